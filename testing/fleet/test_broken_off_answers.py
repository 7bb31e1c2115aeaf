"""Answers that break off halfway, over one hop and over two, under each framing."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from itertools import count
from pathlib import Path

import aiohttp
import pytest
from testing.fleet.platform_fleet import PlatformFleet
from testing.fleet.platform_fleet import run_scenario
from testing.fleet.test_path import BOOK
from testing.fleet.test_path import READ

# Beyond what a node holds before it forwards an answer, and below it.
LONG = b"x" * (3 * 2**20)
SHORT = b"x" * 2_000
ECHO = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\n"


def with_length(body: bytes) -> bytes:
    return b"Content-Length: %d\r\n\r\n%b" % (len(body), body[: len(body) // 2])


def in_chunks(body: bytes) -> bytes:
    """The last chunk is whole, and the one that ends the body is missing."""
    half = body[: len(body) // 2]
    return b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(half), half)


def within_a_chunk(body: bytes) -> bytes:
    half = body[: len(body) // 2]
    return b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b" % (len(body), half)


def with_a_malformed_chunk(body: bytes) -> bytes:
    return in_chunks(body) + b"no length\r\n"


FRAMINGS = [with_length, in_chunks, within_a_chunk, with_a_malformed_chunk]


@pytest.mark.parametrize("body", [SHORT, LONG], ids=["short", "long"])
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("hops", [1, 2])
def test_answer_that_breaks_off_is_no_success(
    tmp_path: Path, hops: int, framing: object, body: bytes
) -> None:
    assert callable(framing)
    start = framing(body)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
        writer.write(ECHO.format(fields["X-Attempt-Id"]).encode() + start)
        await writer.drain()
        writer.close()

    async def scenario(fleet: PlatformFleet) -> None:
        fleet.publish(READ, BOOK)
        nodes = [await fleet.add("desk"), await fleet.add("board")]
        await fleet.wait_until_synchronised()
        await nodes[0].backend.stop()
        address = nodes[0].parts.settings.backend
        server = await asyncio.start_server(serve, address.host, address.port)
        for path, method in (("/book/1", "POST"), ("/read/1", "GET")):
            try:
                status, _, _ = await fleet.ask(nodes[hops - 1], path, method)
            except aiohttp.ClientError:
                continue  # the answer had begun, and its end shows that it broke off
            assert status in (502, 504)
        server.close()

    run_scenario(tmp_path, scenario)


HEADS = {
    "length": "Content-Length: 5\r\nX-Response-Signature: s\r\n\r\n",
    "length last": "X-Response-Signature: s\r\nContent-Length: 5\r\n\r\n",
    "unframed": "X-Response-Signature: s\r\nConnection: close\r\n\r\n",
    "chunked": "Transfer-Encoding: chunked\r\nX-Response-Signature: s\r\n\r\n",
}


# MIXED, ORDER: a head that broke off reached the client as a whole answer.
@pytest.mark.parametrize("hops", [1, 2])
@pytest.mark.parametrize("head", HEADS.values(), ids=HEADS)
def test_answer_that_breaks_off_within_its_head_is_no_success(
    tmp_path: Path, head: str, hops: int
) -> None:
    cuts = count(1)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(EOFError):  # a probe for a crash sends nothing
            request = (await reader.readuntil(b"\r\n\r\n")).decode()
            lines = request.split("\r\n")[1:]
            fields = dict(line.split(": ", 1) for line in lines if line)
            answer = ECHO.format(fields["X-Attempt-Id"]) + head
            writer.write(answer.encode()[: min(next(cuts), len(answer) - 1)])
            await writer.drain()
        writer.close()

    async def scenario(fleet: PlatformFleet) -> None:
        fleet.publish(BOOK)
        nodes = [await fleet.add("desk"), await fleet.add("board")]
        await fleet.wait_until_synchronised()
        await nodes[0].backend.stop()
        address = nodes[0].parts.settings.backend
        server = await asyncio.start_server(serve, address.host, address.port)
        statuses = Counter[int]()
        for _ in range(len(ECHO.format("r10") + head)):
            status, _, _ = await fleet.ask(nodes[hops - 1], "/book/1", "POST")
            statuses[status] += 1
        assert set(statuses) <= {502, 503}
        assert statuses[502] == next(cuts) - 1  # one for each run
        server.close()

    run_scenario(tmp_path, scenario)
