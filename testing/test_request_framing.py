from __future__ import annotations

import asyncio
import tracemalloc
from random import Random

import pytest
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_parser import HttpRequestParser

from _masticspoke.decisions.fleet.model import Limits
from _masticspoke.http_server import HttpServer
from _masticspoke.http_server import Request
from _masticspoke.http_server import Response
from _masticspoke.request_framing import BodyFraming

HOST = b"Host: h\r\n"
_TIMEOUT_S = 5.0
_LATE_S = 0.1
_MAX_BODY_BYTES = 1_000_000
_LAST = b"POST /last HTTP/1.1\r\n" + HOST + b"Content-Length: 3\r\n\r\nEND"
_TRAILERS = (b"", b"X-Trailer: t\r\n", b"X-A: a\r\nX-Trailer: t\r\n")
_SEEDS = range(60)


def request(random: Random, number: int) -> tuple[bytes, bytes]:
    """Return a request with a random framing, and the body that its answer repeats."""
    body = bytes(random.choices(b"a0\r\n", k=random.choice([0, 1, 5, 40])))
    head = b"POST /%d HTTP/1.1\r\n" % number + HOST
    if random.random() < 0.3:
        return head + b"Content-Length: %d\r\n\r\n" % len(body) + body, body
    chunks, at = b"", 0
    while at < len(body):
        size = random.randint(1, len(body) - at)
        extension = random.choice([b"", b";e=1"])
        chunks += b"%X%b\r\n" % (size, extension) + body[at : at + size] + b"\r\n"
        at += size
    end = random.choice([b"0", b"000"]) + b"\r\n" + random.choice(_TRAILERS) + b"\r\n"
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + end, body


def segments(random: Random, data: bytes) -> list[bytes]:
    cuts = sorted(random.sample(range(len(data)), min(len(data), random.randint(0, 6))))
    ends = [*cuts, len(data)]
    return [data[a:b] for a, b in zip([0, *cuts], ends, strict=True)]


async def answers(*parts: bytes) -> tuple[bytes, list[tuple[str, str]]]:
    """Return what a server sends until its last answer, and its paths and headers."""
    seen: list[tuple[str, str]] = []

    async def handle(request: Request) -> Response:
        seen.extend((request.path, name) for name in request.headers)
        if request.path == "/late":
            await asyncio.sleep(_LATE_S)
        return Response(200, {}, b"<" + await request.body(_MAX_BODY_BYTES) + b">")

    server = HttpServer(handle, Limits, lambda: False)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    reader, writer = await asyncio.open_connection(host, port)
    received = b""
    async with asyncio.timeout(_TIMEOUT_S):
        for part in parts:
            writer.write(part)
            await asyncio.sleep(0.002)
        while b"<END>" not in received and (data := await reader.read(65_536)):
            received += data
    writer.close()
    listener.close()
    server.close()
    return received, seen


# A trailer became a header of the next request, or the end of a body was not found.
@pytest.mark.parametrize("seed", _SEEDS)
def test_pipelined_bodies_of_any_framing_are_read_whole(seed: int) -> None:
    random = Random(seed)
    requests = [request(random, number) for number in range(6)]
    sent = b"".join(raw for raw, _ in requests) + _LAST
    received, seen = asyncio.run(answers(*segments(random, sent)))

    assert received.count(b"HTTP/1.1 200 OK") == len(requests) + 1
    for _, body in requests:
        assert b"<" + body + b">" in received
    assert not [name for _, name in seen if name == "X-Trailer"]


# The parser pauses within a body that nobody reads; what is behind it has to wait.
@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("following", [0, 200_000])
def test_request_behind_a_body_that_is_read_late_keeps_its_own_headers(
    chunked: bool, following: int
) -> None:
    body = b"x" * 300_000
    framing = b"Content-Length: %d\r\n\r\n" % len(body) + body
    if chunked:
        data = b"%X\r\n" % len(body) + body + b"\r\n0\r\nX-Trailer: t\r\n\r\n"
        framing = b"Transfer-Encoding: chunked\r\n\r\n" + data
    late = b"POST /late HTTP/1.1\r\n" + HOST + framing
    head = b"POST /next HTTP/1.1\r\n" + HOST + b"Content-Length: %d\r\n\r\n"
    sent = late + head % following + b"y" * following + _LAST
    received, seen = asyncio.run(answers(sent))

    assert received.count(b"HTTP/1.1 200 OK") == 3
    assert b"<" + b"y" * following + b">" in received
    assert not [name for _, name in seen if name == "X-Trailer"]


# A body that the parser and the framing read in another way could hide a request.
@pytest.mark.parametrize(
    "line",
    [b"0x1", b"+1", b"1_0", b" 1", b"-1", b"", b"1 1", b"\xd9\xa1", b"g", b"1\r"],
)
def test_size_of_a_chunk_that_is_no_hexadecimal_number_is_rejected(line: bytes) -> None:
    head = b"POST /p HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\n"
    received, seen = asyncio.run(answers(head, line + b"\r\na\r\n0\r\n\r\n" + _LAST))

    assert b"HTTP/1.1 400" in received
    assert "/last" not in {path for path, _ in seen}


# An extension without end filled the memory.
@pytest.mark.parametrize("begin", [b"1;", b"0\r\nX-Trailer: "])
def test_line_without_end_is_not_kept(begin: bytes) -> None:
    head = b"POST /p HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\n"
    framing = asyncio.run(_framing_of(head))
    assert framing.end_in(begin, 0) is None
    tracemalloc.start()
    for _ in range(20):
        assert framing.end_in(b"e" * 1_000_000, 0) is None
    kept, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert kept < 10_000


@pytest.mark.parametrize("length", [1, 63, 64, 65, 200])
@pytest.mark.parametrize("cut", [0, 1, 30, 64, 70])
def test_long_extension_and_trailer_end_with_their_lines(length: int, cut: int) -> None:
    chunk = b"1;" + b"e" * length + b"\r\na\r\n"
    data = chunk + b"0\r\nX: " + b"t" * length + b"\r\n\r\n" + _LAST
    head = b"POST /p HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\n"
    received, _ = asyncio.run(answers(head, data[:cut], data[cut:]))

    assert b"<a>" in received
    assert received.count(b"HTTP/1.1 200 OK") == 2


async def _framing_of(head: bytes) -> BodyFraming:
    loop = asyncio.get_running_loop()
    parser = HttpRequestParser(BaseProtocol(loop), loop, 65_536)
    ((message, _),), _, _ = parser.feed_data(head)
    return BodyFraming(message)
