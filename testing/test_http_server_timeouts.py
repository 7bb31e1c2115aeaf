"""Tests of the idle and header timeouts of the HTTP server, without a network."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import final

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from _masticspoke.decisions.fleet.model import Limits
from _masticspoke.events import counted_events
from _masticspoke.events import Event
from _masticspoke.http_server import HttpServer
from _masticspoke.http_server import Request
from _masticspoke.http_server import Response
from _masticspoke.http_server import Streamed
from _masticspoke.http_server_connection import ServerConnection

LIMITS = Limits(2_000, 10_000, header_timeout_s=3.0, idle_timeout_s=15.0)
LATER_S = 60.0
HEAD = b"POST /p HTTP/1.1\r\nHost: h\r\n"
SIZED = HEAD + b"Content-Length: 6\r\n\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
EXPECTING = HEAD + b"Expect: 100-continue\r\nContent-Length: 6\r\n\r\n"
GET = b"GET /g HTTP/1.1\r\nHost: h\r\n\r\n"


@final
class RecordingTransport(asyncio.Transport):
    """A transport that keeps what is written."""

    def __init__(self) -> None:
        super().__init__()
        self.written = bytearray()
        self.closed = False

    def write(self, data: Any) -> None:
        assert not self.closed
        self.written += data

    def close(self) -> None:
        self.closed = True

    def is_closing(self) -> bool:
        return self.closed

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return ("127.0.0.1", 1) if name == "peername" else default

    def can_write_eof(self) -> bool:
        return False

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass


@dataclass
class Client:
    """A connection, and the runs of its requests, which wait to be allowed to end."""

    limits: Limits = LIMITS
    draining: bool = False
    transport: RecordingTransport = field(default_factory=RecordingTransport)
    running: int = 0
    ended: int = 0
    cancelled: int = 0
    may_end: asyncio.Semaphore = field(default_factory=lambda: asyncio.Semaphore(0))

    def __post_init__(self) -> None:
        self.server = HttpServer(
            self.handle, lambda: self.limits, lambda: self.draining
        )
        self.connection: ServerConnection = self.server()
        self.connection.connection_made(self.transport)

    async def handle(self, request: Request) -> Response | Streamed:
        await request.body(self.limits.body_bytes)
        self.running += 1
        try:
            await self.may_end.acquire()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self.running -= 1
        self.ended += 1
        return Response(200)

    async def send(self, *parts: bytes) -> None:
        """Send parts; the connection's tasks run after each of them."""
        for part in parts:
            self.connection.data_received(part)
            await self.step()

    async def step(self) -> None:
        for _ in range(10):
            await asyncio.sleep(0)

    async def end_run(self) -> None:
        self.may_end.release()
        await self.step()

    def sweep(self, after_s: float = LATER_S) -> None:
        self.server.sweep(asyncio.get_running_loop().time() + after_s)

    @property
    def statuses(self) -> list[int]:
        heads = bytes(self.transport.written).split(b"HTTP/1.1 ")[1:]
        return [int(head[:3]) for head in heads]


def run_scenario(scenario: Callable[[Client], Awaitable[None]]) -> None:
    async def run() -> None:
        client = Client()
        async with asyncio.timeout(5.0):
            await scenario(client)
        client.server.close()
        client.connection.connection_lost(None)
        await client.step()

    asyncio.run(run())


# REFUSED: an upload that ran longer than the header timeout was answered 408 if its
# first bytes had come with the handshake.
@pytest.mark.parametrize(
    "parts",
    [
        pytest.param([SIZED, b"abcdef"], id="body-behind-the-head"),
        pytest.param([SIZED + b"abc", b"def"], id="body-in-pieces"),
        pytest.param([SIZED + b"abcdef"], id="whole"),
        pytest.param([GET], id="no-body"),
        pytest.param([CHUNKED + b"3\r\nabc\r\n", b"0\r\n\r\n"], id="chunks"),
        pytest.param([CHUNKED, b"3\r\nab", b"c\r\n0\r\n", b"\r\n"], id="cut-chunks"),
        pytest.param([EXPECTING, b"abc", b"def"], id="expect"),
        pytest.param([HEAD[:9], SIZED[9:], b"abcdef"], id="head-in-pieces"),
    ],
)
@pytest.mark.parametrize("earlier", [0, 1, 2])
def test_request_that_runs_is_not_timed_out(parts: list[bytes], earlier: int) -> None:
    async def scenario(client: Client) -> None:
        for _ in range(earlier):
            await client.send(*parts)
            await client.end_run()
        await client.send(*parts)
        client.sweep()
        await client.step()
        assert (client.running, client.cancelled) == (1, 0)
        await client.end_run()
        assert [s for s in client.statuses if s != 100] == [200] * (earlier + 1)

    run_scenario(scenario)


# REFUSED: the same for requests that wait behind one that runs.
def test_requests_behind_one_that_runs_are_not_timed_out() -> None:
    async def scenario(client: Client) -> None:
        await client.send(SIZED + b"abcdef" + SIZED + b"abc", b"def" + GET + GET[:9])
        for answered in range(3):
            client.sweep()
            await client.step()
            assert client.cancelled == 0
            assert client.statuses == [200] * answered
            await client.end_run()

    run_scenario(scenario)


@pytest.mark.parametrize("change", ["reload", "stop"])
def test_request_that_runs_outlasts_shorter_limits_and_a_stop(change: str) -> None:
    """Both sweep the connections at limits that were not in force at its start."""

    async def scenario(client: Client) -> None:
        await client.send(SIZED + b"abc", b"def")
        if change == "reload":
            client.limits = Limits(header_timeout_s=0.0, idle_timeout_s=0.0)
        client.draining = change == "stop"
        client.sweep(0.1)
        await client.step()
        assert client.cancelled == 0
        await client.end_run()
        assert client.statuses == [200]

    run_scenario(scenario)


# REFUSED: 408 was written for a second time, or behind the answer, at the next sweep.
def test_connection_that_closes_gets_nothing_more() -> None:
    async def scenario(client: Client) -> None:
        await client.send(GET[:9])
        client.sweep()
        client.sweep()
        assert client.statuses == [408]
        assert client.transport.closed

    run_scenario(scenario)


def test_slow_heads_are_logged_once_for_all_connections_of_a_sweep() -> None:
    """A flood of them must not flood the log."""

    async def scenario(client: Client) -> None:
        other = RecordingTransport()
        connection = client.server()
        connection.connection_made(other)
        await client.send(GET[:9])
        connection.data_received(GET[:9])
        numbers: list[int] = []
        with counted_events(numbers.append):
            client.sweep()
        assert other.closed
        assert numbers == [Event.HEAD_TIMED_OUT.value.number]
        connection.connection_lost(None)

    run_scenario(scenario)


# A head that began behind a request was closed by the idle timeout only.
def test_slow_head_behind_an_answered_request_is_timed_out_from_the_answer_on() -> None:
    async def scenario(client: Client) -> None:
        await client.send(GET + GET[:9])
        await client.end_run()
        client.sweep(LIMITS.header_timeout_s - 0.5)
        assert client.statuses == [200]
        client.sweep(LIMITS.header_timeout_s + 0.5)
        assert client.statuses == [200, 408]

    run_scenario(scenario)


# Line breaks behind a body were taken for a head, and the idle connection got 408.
@pytest.mark.parametrize("breaks", [b"\r\n", b"\r\n\r\n", b"\n"])
def test_line_breaks_between_requests_begin_no_head(breaks: bytes) -> None:
    async def scenario(client: Client) -> None:
        await client.send(SIZED + b"abcdef")
        await client.end_run()
        await client.send(breaks)
        client.sweep(LIMITS.header_timeout_s + 0.5)
        assert not client.transport.closed
        client.sweep(LIMITS.idle_timeout_s + 0.5)
        assert client.transport.closed
        assert client.statuses == [200]

    run_scenario(scenario)


def test_long_head_that_began_behind_a_request_is_refused() -> None:
    """Its first part counts for the limit although it came before the answer."""

    async def scenario(client: Client) -> None:
        long = GET[:-2] + b"X: " + b"x" * LIMITS.header_bytes + b"\r\n\r\n"
        await client.send(GET + long[:-10])
        await client.end_run()
        await client.send(long[-10:])
        assert client.statuses == [200, 431]

    run_scenario(scenario)


_REQUESTS = st.lists(
    st.sampled_from(
        [GET, SIZED + b"abcdef", CHUNKED + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"]
    ),
    min_size=1,
    max_size=3,
)


# REFUSED: 408 promises that the request has not run and never will.
@settings(max_examples=200, deadline=None)
@given(_REQUESTS, st.data())
def test_no_request_that_was_passed_on_is_timed_out(
    requests: list[bytes], data: st.DataObject
) -> None:
    stream = b"".join(requests)
    cuts = data.draw(st.lists(st.integers(1, len(stream)), max_size=6).map(sorted))
    parts = [
        stream[start:end] for start, end in zip([0, *cuts], [*cuts, None], strict=True)
    ]
    steps = data.draw(st.lists(st.booleans(), min_size=len(parts), max_size=len(parts)))

    async def scenario(client: Client) -> None:
        for part, steps_after in zip(parts, steps, strict=True):
            client.connection.data_received(part)
            if steps_after:
                await client.step()
        await client.step()
        answered = 0
        while client.running:
            client.sweep()
            await client.step()
            assert client.cancelled == 0
            await client.end_run()
            answered += 1
            assert client.statuses == [200] * answered
        assert answered == len(requests)

    run_scenario(scenario)
