from __future__ import annotations

import asyncio
import tracemalloc

import aiohttp
import pytest
from testing.test_http_pool import fetch
from testing.test_http_pool import run_scenario
from testing.test_http_pool import start_raw_server

from _masticspoke.http_pool import HttpPool
from _masticspoke.model import Address

_AT_ONCE_S = 1.0
# What the server of the test holds included.
_MAX_HELD_BYTES = 20_000_000
_CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


async def raw_server(*segments: bytes) -> tuple[asyncio.Server, Address]:
    """Start a server that answers with ``segments`` and keeps the connection open."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        for segment in segments:
            writer.write(segment)
            await asyncio.sleep(0.05)
        await reader.read()
        writer.close()

    return await start_raw_server(serve)


@pytest.mark.parametrize(
    "segments",
    [
        (b"no answer\r\n\r\n",),
        (b"HTTP/1.1 2x0 OK\r\n\r\n",),
        (_CHUNKED, b"5\r\nhello\r\n", b"no length\r\n"),
        (_CHUNKED + b"5\r\nhello\r\n", b"-1\r\n"),
    ],
)
def test_malformed_answer_is_an_error_at_once(segments: tuple[bytes, ...]) -> None:
    async def scenario() -> None:
        server, address = await raw_server(*segments)
        async with asyncio.timeout(_AT_ONCE_S):
            with pytest.raises(aiohttp.ClientError):
                await fetch(HttpPool(1.0), address)
        server.close()

    run_scenario(scenario())


def test_late_answer_to_an_earlier_request_fills_no_memory() -> None:
    """Its body is discarded while it arrives."""

    async def scenario() -> None:
        late = b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 50000000\r\n\r\n"
        own = b"HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 3\r\n\r\nown"
        segment = b"x" * 1_000_000
        segments = [late, *[segment] * 50, own]

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            for segment in segments:
                writer.write(segment)
                await writer.drain()

        server, address = await start_raw_server(serve)
        pool = HttpPool(1.0, True, "X-Id")
        tracemalloc.start()
        try:
            assert await fetch(pool, address, **{"X-Id": "2"}) == b"own"
            assert tracemalloc.get_traced_memory()[1] < _MAX_HELD_BYTES
        finally:
            tracemalloc.stop()
        server.close()

    run_scenario(scenario())
