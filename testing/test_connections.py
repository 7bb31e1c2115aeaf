from __future__ import annotations

import asyncio

import aiohttp
import pytest
from testing.test_http_pool import start_raw_server

from _masticspoke.connections import Connections

ANSWERS = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Last: y\r\n\r\n",
    "unframed": b"HTTP/1.1 200 OK\r\nX-Last: y\r\nConnection: close\r\n\r\n",
    "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "old": b"HTTP/1.0 200 OK\r\nX-Last: y\r\n\r\n",
}


# MIXED, ORDER: a head that broke off reached the client as a whole answer.
@pytest.mark.parametrize("answer", ANSWERS.values(), ids=ANSWERS)
def test_answer_that_breaks_off_within_its_head_is_an_error(answer: bytes) -> None:
    cuts = iter(range(len(answer)))

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer[: next(cuts)])
        await writer.drain()
        writer.close()

    async def scenario() -> None:
        server, address = await start_raw_server(serve)
        connections = Connections()
        await connections.open(1.0)
        for _ in answer:
            with pytest.raises(aiohttp.ClientError):
                async with connections.session.get(f"http://{address}/") as response:
                    await response.read()
        server.close()
        await connections.close()

    asyncio.run(scenario())
