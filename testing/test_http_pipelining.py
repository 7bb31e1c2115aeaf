"""Tests of requests that a client sends behind others on its connection."""

from __future__ import annotations

import asyncio
import re
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from dataclasses import field

import pytest

from _masticspoke.decisions.fleet.model import Limits
from _masticspoke.decisions.fleet.pipelining import MAX_CONCURRENT
from _masticspoke.http_server import HttpServer
from _masticspoke.http_server import Request
from _masticspoke.http_server import Response
from _masticspoke.http_server import Streamed

_TIMEOUT_S = 8.0
LONG_ANSWER_BYTES = 1_048_576
RUN_S = 0.06
OBJECTIVE_S = 0.2
BODY = re.compile(rb"<([^<>]*)>")


@dataclass
class Gates:
    """A handler whose runs end when the test lets them.

    :param open: paths whose runs may end; ``None`` for all.
    """

    started: list[str] = field(default_factory=list)
    ended: list[str] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)
    open: set[str] | None = field(default_factory=set)
    most_at_once: int = 0

    async def handle(self, request: Request) -> Response | Streamed:
        path = request.target
        self.started.append(path)
        running = len(self.started) - len(self.ended) - len(self.cancelled)
        self.most_at_once = max(self.most_at_once, running)
        try:
            if path.startswith("/timed"):
                await asyncio.sleep(RUN_S)
            while self.open is not None and path not in self.open:
                await asyncio.sleep(0.005)
        except asyncio.CancelledError:
            self.cancelled.append(path)
            raise
        self.ended.append(path)
        return await self._answer(request, path)

    async def _answer(self, request: Request, path: str) -> Response | Streamed:
        if path.startswith("/long"):
            return Response(
                200, body=b"<%b>" % path.encode() + bytes(LONG_ANSWER_BYTES)
            )
        if path.startswith("/stream"):
            return await request.stream(200, {}, None, _chunks(path))
        if path.startswith("/twice"):
            await request.stream(200, {}, None, _chunks(path))
            return Response(504)
        if path.startswith("/cut"):
            return await request.stream(200, {}, 100, _cut())
        if path.startswith("/unread"):
            return Response(413, body=f"<{path}>".encode())
        await request.body(1_000)
        return Response(200, body=f"<{path}>".encode())


async def _chunks(path: str) -> AsyncIterator[bytes]:
    for part in ("<", path, ">"):
        yield part.encode()
        await asyncio.sleep(0.005)


async def _cut() -> AsyncIterator[bytes]:
    yield b"half"
    raise ConnectionResetError("upstream broke")


@dataclass
class Running:
    gates: Gates
    server: HttpServer
    port: int
    draining: bool = False

    async def send(self, *requests: bytes) -> Client:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(b"".join(requests))
        return Client(reader, writer)

    async def wait_started(self, *paths: str) -> None:
        while not set(paths) <= set(self.gates.started):
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.03)  # time for a start that must not happen

    def allow(self, *paths: str) -> None:
        assert self.gates.open is not None
        self.gates.open |= set(paths)


@dataclass
class Client:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def read_to_close(self) -> bytes:
        answer = await self.reader.read()
        self.writer.close()
        return answer

    async def read_answers(self, count: int) -> list[str]:
        answer = bytearray()
        while answer.count(b">") < count:
            chunk = await self.reader.read(65_536)
            assert chunk, "closed early"
            answer += chunk.replace(b"\0", b"")
        return bodies(bytes(answer))


def bodies(answer: bytes) -> list[str]:
    # A body in chunks has the size lines of the chunks between its parts.
    unframed = re.sub(rb"\r\n[0-9a-f]+\r\n(?!\r\n)", b"", answer)
    return [body.decode() for body in BODY.findall(unframed)]


@asynccontextmanager
async def running_server(gates: Gates) -> AsyncIterator[Running]:
    holder: list[Running] = []
    server = HttpServer(
        gates.handle,
        lambda: Limits(header_timeout_s=0.2, idle_timeout_s=0.3),
        lambda: holder[0].draining,
        lambda head: "once" not in head.path,
    )
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    holder.append(Running(gates, server, port))
    try:
        yield holder[0]
    finally:
        listener.close()
        server.close()


def run_scenario(
    scenario: Callable[[Running], Awaitable[None]], gates: Gates | None = None
) -> Gates:
    used = gates or Gates()

    async def run() -> None:
        async with asyncio.timeout(_TIMEOUT_S), running_server(used) as running:
            await scenario(running)
            await running.server.in_flight.wait_idle(1.0)
            assert running.server.in_flight.count == 0
            ahead = running.server.ahead
            assert (ahead.requests, ahead.waiting_bytes) == (0, 0)

    asyncio.run(run())
    return used


def get(path: str, extra: bytes = b"") -> bytes:
    return b"GET " + path.encode() + b" HTTP/1.1\r\nHost: h\r\n" + extra + b"\r\n"


CLOSE = b"Connection: close\r\n"


def test_answers_that_end_in_reverse_are_written_in_the_order_of_the_requests() -> None:
    async def scenario(running: Running) -> None:
        client = await running.send(get("/a"), get("/b"), get("/c"))
        await running.wait_started("/a", "/b", "/c")
        for path in ("/c", "/b", "/a"):
            running.allow(path)
            await asyncio.sleep(0.02)
        assert running.gates.ended == ["/c", "/b", "/a"]
        assert await client.read_answers(3) == ["/a", "/b", "/c"]

    run_scenario(scenario)


# LATE: answers came after the sum of the runs in front of them.
def test_no_answer_is_late_that_alone_would_be_in_time() -> None:
    async def scenario(running: Running) -> None:
        async def late_answers(number: int) -> int:
            paths = [f"/timed/{number}/{i}" for i in range(6)]
            sent_at = asyncio.get_running_loop().time()
            client = await running.send(*map(get, paths))
            late = 0
            for count in range(len(paths)):
                line = await client.reader.readuntil(b">")
                assert line.endswith(f"<{paths[count]}>".encode())
                late += asyncio.get_running_loop().time() - sent_at > OBJECTIVE_S
            client.writer.close()
            return late

        late = sum(await asyncio.gather(*(late_answers(i) for i in range(8))))
        assert late == 0

    run_scenario(scenario, Gates(open=None))


def test_request_that_arrives_during_a_run_starts_beside_it() -> None:
    async def scenario(running: Running) -> None:
        client = await running.send(get("/a"))
        await running.wait_started("/a")
        client.writer.write(get("/b"))
        await running.wait_started("/b")
        running.allow("/a", "/b")
        assert await client.read_answers(2) == ["/a", "/b"]

    run_scenario(scenario)


def test_eight_requests_of_a_connection_run_at_once_and_all_are_answered() -> None:
    async def scenario(running: Running) -> None:
        paths = [f"/timed/{i}" for i in range(40)]
        client = await running.send(*map(get, paths))
        assert await client.read_answers(40) == paths

    gates = run_scenario(scenario, Gates(open=None))
    assert gates.most_at_once == MAX_CONCURRENT


# TWICE or out of order: a request that must not run beside others did.
def test_request_that_is_not_idempotent_runs_alone() -> None:
    async def scenario(running: Running) -> None:
        paths = ["/a", "/b", "/once", "/c", "/d"]
        client = await running.send(*map(get, paths))
        await running.wait_started("/a", "/b")
        assert running.gates.started == ["/a", "/b"]
        running.allow("/b", "/a")
        await running.wait_started("/once")
        assert running.gates.started[2:] == ["/once"]
        running.allow("/once")
        await running.wait_started("/c", "/d")
        running.allow("/c", "/d")
        assert await client.read_answers(5) == paths

    run_scenario(scenario)


# LOST: a request behind the close ran, and its answer had no connection.
def test_nothing_starts_behind_a_request_that_closes_the_connection() -> None:
    async def scenario(running: Running) -> None:
        client = await running.send(get("/a"), get("/b", CLOSE), get("/c"))
        await running.wait_started("/a", "/b")
        running.allow("/b", "/a", "/c")
        answer = await client.read_to_close()
        assert bodies(answer) == ["/a", "/b"]
        assert answer.count(b"Connection: close") == 1
        assert running.gates.started == ["/a", "/b"]

    run_scenario(scenario)


# LOST: data behind a close, or a malformed request, dropped those in front of it.
@pytest.mark.parametrize("behind", [b"nonsense\r\n\r\n", get("/b", CLOSE) + get("/c")])
def test_requests_in_one_segment_with_an_error_are_answered(behind: bytes) -> None:
    async def scenario(running: Running) -> None:
        client = await running.send(get("/a") + behind)
        await running.wait_started("/a")
        running.allow("/a", "/b")
        answer = await client.read_to_close()
        assert bodies(answer) == (["/a", "/b"] if b"/b" in behind else ["/a"])
        assert b"HTTP/1.1 400" not in answer

    run_scenario(scenario)


# LOST: a planned stop closed the connection with requests of it under way.
def test_started_requests_are_answered_before_a_drained_connection_closes() -> None:
    async def scenario(running: Running) -> None:
        client = await running.send(get("/a"), get("/b"), get("/once"))
        await running.wait_started("/a", "/b")
        running.draining = True
        client.writer.write(get("/c"))
        running.allow("/a", "/b", "/once", "/c")
        answer = await client.read_to_close()
        assert bodies(answer) == ["/a", "/b"]
        first, second = answer.split(b"</a>", 1)
        assert b"Connection: close" not in first
        assert b"Connection: close" in second
        assert running.gates.started == ["/a", "/b"]

    run_scenario(scenario)


def test_requests_in_front_of_a_malformed_one_are_answered_before_the_close() -> None:
    async def scenario(running: Running) -> None:
        client = await running.send(get("/a"), get("/b"))
        await running.wait_started("/a", "/b")
        client.writer.write(b"nonsense\r\n\r\n" + get("/c"))
        await asyncio.sleep(0.02)
        running.allow("/a", "/b", "/c")
        assert bodies(await client.read_to_close()) == ["/a", "/b"]
        assert running.gates.started == ["/a", "/b"]

    run_scenario(scenario)


def test_all_requests_are_cancelled_when_the_client_leaves() -> None:
    async def scenario(running: Running) -> None:
        client = await running.send(get("/a"), get("/b"), get("/c"))
        await running.wait_started("/a", "/b", "/c")
        running.allow("/c")
        while not running.gates.ended:
            await asyncio.sleep(0.005)
        assert running.server.in_flight.count == 3
        client.writer.close()
        await running.server.in_flight.wait_idle(1.0)
        assert sorted(running.gates.cancelled) == ["/a", "/b"]

    run_scenario(scenario)


# MIXED: a streamed answer was written between the parts of another one.
def test_streamed_answer_waits_for_its_turn() -> None:
    async def scenario(running: Running) -> None:
        client = await running.send(get("/a"), get("/stream"), get("/b"))
        await running.wait_started("/a", "/stream", "/b")
        running.allow("/stream", "/b")
        await asyncio.sleep(0.05)
        assert not client.reader._buffer  # type: ignore[attr-defined]
        running.allow("/a")
        assert await client.read_answers(3) == ["/a", "/stream", "/b"]

    run_scenario(scenario)


def test_client_that_leaves_ends_a_stream_that_waits_for_its_turn() -> None:
    async def scenario(running: Running) -> None:
        client = await running.send(get("/a"), get("/stream"))
        await running.wait_started("/a", "/stream")
        running.allow("/stream")
        await asyncio.sleep(0.02)
        client.writer.close()
        await running.server.in_flight.wait_idle(1.0)
        assert running.gates.cancelled == ["/a"]

    run_scenario(scenario)


# MIXED: the second answer of a handler was taken for that to the next request.
def test_second_answer_is_dropped_and_started_requests_are_answered() -> None:
    async def scenario(running: Running) -> None:
        client = await running.send(get("/twice"), get("/b"), get("/once"))
        await running.wait_started("/twice", "/b")
        running.allow("/b", "/twice", "/once")
        answer = await client.read_to_close()
        assert bodies(answer) == ["/twice", "/b"]
        assert answer.count(b"HTTP/1.1 ") == 2
        assert running.gates.started == ["/twice", "/b"]

    run_scenario(scenario)


def test_answer_that_breaks_off_ends_the_requests_behind_it() -> None:
    async def scenario(running: Running) -> None:
        client = await running.send(get("/cut"), get("/b"))
        await running.wait_started("/cut", "/b")
        running.allow("/cut")
        try:
            answer = await client.reader.read()
        except ConnectionResetError:
            answer = b""
        assert b"</b>" not in answer
        await running.server.in_flight.wait_idle(1.0)
        assert running.gates.cancelled == ["/b"]

    run_scenario(scenario)


def test_upload_that_is_refused_ahead_closes_the_connection_in_its_turn() -> None:
    async def scenario(running: Running) -> None:
        upload = b"POST /unread HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n"
        client = await running.send(get("/a"), upload, b"x" * 500)
        await running.wait_started("/a", "/unread")
        running.allow("/unread")
        await asyncio.sleep(0.02)
        running.allow("/a")
        answer = await client.reader.readuntil(b"</unread>")
        assert b"HTTP/1.1 413" in answer
        assert b"Connection: close" in answer
        client.writer.write(b"x" * 8_500 + get("/c"))
        await client.read_to_close()
        assert "/c" not in running.gates.started

    run_scenario(scenario)


# MEMORY: a client that reads nothing makes the node keep any number of answers.
def test_answers_for_slow_readers_are_bounded() -> None:
    async def scenario(running: Running) -> None:
        requests = [get(f"/long/{i}") for i in range(12)]
        clients = [await running.send(*requests) for _ in range(4)]
        while len(running.gates.started) < 4 * MAX_CONCURRENT:
            await asyncio.sleep(0.005)
        running.allow(*(f"/long/{i}" for i in range(12)))
        await asyncio.sleep(0.3)
        waiting = running.server.ahead.waiting_bytes
        assert waiting <= 4 * (MAX_CONCURRENT - 1) * (LONG_ANSWER_BYTES + 20)
        # Some answers fit into the kernel's buffers; no request takes their places.
        # At most one for each connection had started before the bound was reached.
        assert waiting < 4_194_304 or len(running.gates.started) <= 4 * 9
        for client in clients:
            assert await client.read_answers(12) == [f"/long/{i}" for i in range(12)]

    run_scenario(scenario)


def test_timeouts_spare_a_connection_with_requests_under_way() -> None:
    async def scenario(running: Running) -> None:
        client = await running.send(get("/a"), get("/b"), b"GET /c HT")
        await running.wait_started("/a", "/b")
        now = asyncio.get_running_loop().time()
        running.server.sweep(now + 60)
        running.allow("/a", "/b")
        assert await client.read_answers(2) == ["/a", "/b"]
        await asyncio.sleep(0.05)
        running.server.sweep(now + 60)
        await client.read_to_close()

    run_scenario(scenario)


def test_interim_answer_is_written_in_its_turn() -> None:
    async def scenario(running: Running) -> None:
        upload = b"POST /p HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
        client = await running.send(get("/a"), upload, b"Content-Length: 3\r\n\r\n")
        await running.wait_started("/a")
        assert running.gates.started == ["/a"]
        running.allow("/a", "/p")
        await client.reader.readuntil(b"100 Continue\r\n\r\n")
        client.writer.write(b"abc")
        assert await client.read_answers(1) == ["/p"]

    run_scenario(scenario)
