"""The server of a hop, seen from its clients' connections."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from dataclasses import field

import pytest
from aiohttp import StreamReader

from _masticspoke.decisions.fleet.model import Limits
from _masticspoke.http_server import HttpServer
from _masticspoke.http_server import Request
from _masticspoke.http_server import Response
from _masticspoke.http_server import Streamed

_TIMEOUT_S = 5.0
LIMITS = Limits(2_000, 1_000, header_timeout_s=0.2, idle_timeout_s=0.5)
HOST = b"Host: h\r\n"


@dataclass
class Seen:
    paths: list[str] = field(default_factory=list)
    bodies: list[bytes] = field(default_factory=list)
    cancelled: int = 0

    async def handle(self, request: Request) -> Response | Streamed:
        self.paths.append(request.path)
        if request.path == "/slow":
            try:
                await asyncio.sleep(_TIMEOUT_S)
            except asyncio.CancelledError:
                self.cancelled += 1
                raise
        if request.path == "/crash":
            raise ZeroDivisionError
        if request.path.startswith("/early"):
            return Response(200, body=b"early")
        if request.path.startswith("/cut"):
            return await _cut_stream(request)
        self.bodies.append(await request.body(LIMITS.body_bytes))
        return Response(200, {"X-Path": request.path}, b"<" + self.bodies[-1] + b">")


async def _cut_stream(request: Request) -> Streamed:
    body = StreamReader(request.connection, 65_536, loop=asyncio.get_running_loop())
    body.feed_data(b"half")
    asyncio.get_running_loop().call_later(
        0.05, body.set_exception, ConnectionResetError("upstream broke")
    )
    return await request.stream(200, {}, 8, body)


@dataclass
class Served:
    server: HttpServer
    seen: Seen
    port: int
    leaving: bool = False

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def say(self, *parts: bytes, until: bytes | None = None) -> bytes:
        """Return what the server sends, to its end or to ``until``."""
        reader, writer = await self.connect()
        for part in parts:
            writer.write(part)
            await asyncio.sleep(0.02)
        found = b""
        while until is None or until not in found:
            more = await reader.read(65_536)
            if not more:
                break
            found += more
        writer.close()
        return found


@asynccontextmanager
async def served() -> AsyncIterator[Served]:
    seen = Seen()
    holder: list[Served] = []
    server = HttpServer(seen.handle, lambda: LIMITS, lambda: holder[0].leaving)
    loop = asyncio.get_running_loop()
    accepting = await loop.create_server(server, "127.0.0.1", 0)
    holder.append(Served(server, seen, accepting.sockets[0].getsockname()[1]))
    try:
        yield holder[0]
    finally:
        accepting.close()
        server.close()


def play(scenario: Callable[[Served], Awaitable[None]]) -> None:
    async def run() -> None:
        async with asyncio.timeout(_TIMEOUT_S), served() as found:
            await scenario(found)

    asyncio.run(run())


def get(path: bytes, more: bytes = b"") -> bytes:
    return b"GET " + path + b" HTTP/1.1\r\n" + HOST + more + b"\r\n"


def test_requests_of_one_connection_are_answered_in_order() -> None:
    async def scenario(found: Served) -> None:
        sent = b"".join(get(f"/{i}".encode()) for i in range(30))
        answer = await found.say(sent, until=b"/29\r\n")
        assert answer.count(b"HTTP/1.1 200 OK") == 30
        assert found.seen.paths == [f"/{i}" for i in range(30)]

    play(scenario)


@pytest.mark.parametrize(
    ("framing", "parts"),
    [
        (b"Content-Length: 6\r\n", (b"abc", b"def")),
        (
            b"Transfer-Encoding: chunked\r\n",
            (b"3\r\nabc\r\n", b"3\r\ndef\r\n0\r\n\r\n"),
        ),
    ],
)
def test_body_arrives_in_parts(framing: bytes, parts: tuple[bytes, ...]) -> None:
    async def scenario(found: Served) -> None:
        head = b"POST /p?q=1 HTTP/1.1\r\n" + HOST + framing + b"\r\n"
        assert b"<abcdef>" in await found.say(head, *parts, until=b">")

    play(scenario)


@pytest.mark.parametrize(
    "raw",
    [
        b"nonsense\r\n\r\n",
        b"GET / HTTP/1.1\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    ],
)
def test_what_is_not_http_is_answered_400_and_closed(raw: bytes) -> None:
    async def scenario(found: Served) -> None:
        answer = await found.say(raw, get(b"/smuggled"))
        assert answer.startswith(b"HTTP/1.1 400")
        assert answer.count(b"HTTP/1.1") == 1
        assert "/smuggled" not in found.seen.paths

    play(scenario)


@pytest.mark.parametrize(
    "framing",
    [b"Content-Length: 1001\r\n", b"Transfer-Encoding: chunked\r\n"],
)
def test_longer_body_than_allowed_is_answered_413(framing: bytes) -> None:
    async def scenario(found: Served) -> None:
        body = b"x" * 1001
        if b"chunked" in framing:
            body = b"3e9\r\n" + body + b"\r\n0\r\n\r\n"
        head = b"POST /p HTTP/1.1\r\n" + HOST + framing + b"\r\n"
        answer = await found.say(head, body, until=b"\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 413")
        assert found.seen.bodies == []

    play(scenario)


def test_longer_headers_than_allowed_are_answered_431() -> None:
    async def scenario(found: Served) -> None:
        answer = await found.say(
            get(b"/a", b"X: " + b"y" * 2_000 + b"\r\n"), until=b"1"
        )
        assert answer.startswith(b"HTTP/1.1 431")
        assert found.seen.paths == []

    play(scenario)


def test_early_answer_to_a_long_upload_arrives_before_the_close() -> None:
    async def scenario(found: Served) -> None:
        head = b"POST /early HTTP/1.1\r\n" + HOST + b"Content-Length: 300000\r\n\r\n"
        answer = await found.say(head, *[b"x" * 30_000] * 10)
        assert b"200 OK" in answer
        assert answer.endswith(b"early")
        assert b"Connection: close" in answer

    play(scenario)


def test_handler_is_cancelled_when_its_client_leaves() -> None:
    async def scenario(found: Served) -> None:
        _, writer = await found.connect()
        writer.write(get(b"/slow"))
        while not found.seen.paths:
            await asyncio.sleep(0.01)
        assert found.server.in_flight.count == 1
        writer.close()
        await found.server.in_flight.wait_idle(1.0)
        assert (found.server.in_flight.count, found.seen.cancelled) == (0, 1)

    play(scenario)


def test_answer_that_is_cut_does_not_look_complete() -> None:
    async def scenario(found: Served) -> None:
        reader, writer = await found.connect()
        writer.write(get(b"/cut"))
        head = await reader.readuntil(b"\r\n\r\n")
        assert b"Content-Length: 8" in head
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await reader.readexactly(8)

    play(scenario)


def test_crash_of_a_handler_is_answered_500() -> None:
    async def scenario(found: Served) -> None:
        assert (await found.say(get(b"/crash"), until=b"\r\n\r\n")).startswith(
            b"HTTP/1.1 500"
        )

    play(scenario)


@pytest.mark.parametrize(
    "raw", [b"GET /a HTTP/1.0\r\n\r\n", get(b"/a", b"Connection: close\r\n")]
)
def test_connection_ends_where_the_client_wants_it(raw: bytes) -> None:
    async def scenario(found: Served) -> None:
        answer = await found.say(raw)
        assert answer.endswith(b"<>")
        assert b"Connection: close" in answer

    play(scenario)


def test_answer_while_leaving_closes_its_connection() -> None:
    async def scenario(found: Served) -> None:
        found.leaving = True
        assert b"Connection: close" in await found.say(get(b"/a"))

    play(scenario)


def test_client_that_asks_first_is_told_to_continue() -> None:
    async def scenario(found: Served) -> None:
        expect = b"Expect: 100-continue\r\nContent-Length: 3\r\n"
        head = b"POST /p HTTP/1.1\r\n" + HOST + expect + b"\r\n"
        answer = await found.say(head, b"abc", until=b">")
        assert answer.startswith(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200")

    play(scenario)


def test_head_has_no_body() -> None:
    async def scenario(found: Served) -> None:
        raw = b"HEAD /a HTTP/1.1\r\n" + HOST + b"Connection: close\r\n\r\n"
        assert (await found.say(raw)).endswith(b"\r\n\r\n")

    play(scenario)


@pytest.mark.parametrize(
    ("part", "after_s", "status"), [(b"", 0.6, b""), (b"GET /a HT", 0.3, b" 408 ")]
)
def test_connection_that_is_idle_or_slow_is_closed(
    part: bytes, after_s: float, status: bytes
) -> None:
    async def scenario(found: Served) -> None:
        reader, writer = await found.connect()
        writer.write(part)
        await asyncio.sleep(0.05)
        loop = asyncio.get_running_loop()
        found.server.sweep(loop.time())
        await asyncio.sleep(after_s)
        found.server.sweep(loop.time())
        answer = await reader.read()
        assert status in answer
        assert found.seen.paths == []

    play(scenario)


def test_connection_in_use_is_not_closed_by_the_limits() -> None:
    async def scenario(found: Served) -> None:
        reader, writer = await found.connect()
        writer.write(get(b"/slow"))
        while not found.seen.paths:
            await asyncio.sleep(0.01)
        found.server.sweep(asyncio.get_running_loop().time() + 60)
        await asyncio.sleep(0.05)
        assert found.seen.cancelled == 0
        assert not reader.at_eof()
        writer.close()

    play(scenario)
