"""Test the planned stop of a listener through its clients' connections."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable
from collections.abc import Callable

import pytest
from aiohttp import web
from testing.live.fleet import free_port

from _masticspoke.draining import drain
from _masticspoke.draining import open_socket
from _masticspoke.entry.listener import listener
from _masticspoke.in_flight import InFlight
from _masticspoke.model import Address
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.planned_stop import PlannedStop

_STOP_S = 5.0
_SLOW_ANSWER_S = 0.6
Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def _handle(request: web.BaseRequest) -> web.StreamResponse:
    if request.path == "/slow":
        await asyncio.sleep(_SLOW_ANSWER_S)
    if "X-Trailer" in request.headers:
        return web.Response(text="/trailer-as-header")
    await request.read()
    if request.path.startswith("/stream"):
        return await _stream(request)
    return web.Response(text=request.path)


async def _stream(request: web.BaseRequest) -> web.StreamResponse:
    if request.path == "/stream-after-a-pause":
        await asyncio.sleep(_SLOW_ANSWER_S)
    response = web.StreamResponse()
    response.content_length = len(request.path)
    await response.prepare(request)
    await response.write(request.path[:1].encode())
    await asyncio.sleep(_SLOW_ANSWER_S)
    await response.write(request.path[1:].encode())
    await response.write_eof()
    return response


async def _request(streams: Streams, path: str) -> bytes:
    """Return the bytes up to the end of the answer's body or of the connection."""
    reader, writer = streams
    writer.write(f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
    received = b""
    while not received.endswith(path.encode()):
        more = await reader.read(4096)
        if not more:
            break
        received += more
    return received


async def _with_listener(
    scenario: Callable[[Address, Lifecycle], Awaitable[None]],
) -> None:
    address = Address("127.0.0.1", free_port())
    stop = PlannedStop(_STOP_S)
    body = listener(address, _handle, lambda: None, stop, time.monotonic, None, 0.05)
    life = Lifecycle()
    task = asyncio.create_task(body(life))  # type: ignore[arg-type]
    await life.started()
    await scenario(address, life)
    await asyncio.wait_for(task, _STOP_S)


def test_open_connection_is_answered_while_another_request_runs() -> None:
    """A client may use its idle connection before it learns of the stop.

    Closing the connection when the stop begins would lose that request.
    """

    async def scenario(address: Address, life: Lifecycle) -> None:
        idle = await asyncio.open_connection(address.host, address.port)
        assert b"200" in await _request(idle, "/first")
        busy = await asyncio.open_connection(address.host, address.port)
        slow = asyncio.create_task(_request(busy, "/slow"))
        await asyncio.sleep(0.1)
        life.request_stop()
        await asyncio.sleep(0.2)
        answer = await asyncio.wait_for(_request(idle, "/second"), _SLOW_ANSWER_S / 3)
        assert answer.endswith(b"/second")
        assert b"connection: close" in answer.lower()
        assert (await slow).endswith(b"/slow")

    asyncio.run(_with_listener(scenario))


def test_idle_connection_is_closed_at_the_end_of_the_stop() -> None:
    async def scenario(address: Address, life: Lifecycle) -> None:
        reader, _ = await asyncio.open_connection(address.host, address.port)
        life.request_stop()
        assert await asyncio.wait_for(reader.read(1), 1.0) == b""

    asyncio.run(_with_listener(scenario))


# The header may be another user's, where a proxy shares its connections.
@pytest.mark.parametrize("is_pipelined", [False, True])
def test_trailer_of_a_request_is_no_header_of_the_next(is_pipelined: bool) -> None:
    async def scenario(address: Address, life: Lifecycle) -> None:
        reader, writer = await asyncio.open_connection(address.host, address.port)
        chunked = (
            b"POST /first HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        trailer = b"0\r\nX-Trailer: t\r\n\r\n"
        following = b"GET /next HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        writer.write(chunked + trailer + (following if is_pipelined else b""))
        received = await reader.readuntil(b"/first")
        if not is_pipelined:
            writer.write(following)
        received += await reader.read()
        writer.close()
        assert b"/trailer-as-header" not in received
        life.request_stop()

    asyncio.run(_with_listener(scenario))


# A request that the client sent on the connection meanwhile was lost.
def test_streamed_answer_to_a_chunked_request_announces_that_it_closes() -> None:
    async def scenario(address: Address, life: Lifecycle) -> None:
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(
            b"POST /stream HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"0\r\n\r\n"
        )
        received = await reader.read()
        writer.close()
        assert received.endswith(b"/stream")
        assert b"connection: close" in received.lower()
        life.request_stop()

    asyncio.run(_with_listener(scenario))


# The same for a streamed answer that begins during a stop.
def test_streamed_answer_announces_a_close_for_a_stop() -> None:
    async def scenario(address: Address, life: Lifecycle) -> None:
        busy = await asyncio.open_connection(address.host, address.port)
        path = "/stream-after-a-pause"
        answer = asyncio.create_task(_request(busy, path))
        await asyncio.sleep(_SLOW_ANSWER_S / 3)
        life.request_stop()
        received = await answer
        assert received.endswith(path.encode())
        assert b"connection: close" in received.lower()

    asyncio.run(_with_listener(scenario))


# The connection closed without notice behind an answer that had begun before the stop.
def test_connection_of_an_answer_that_a_stop_overtakes_serves_the_next_request() -> (
    None
):
    async def scenario(address: Address, life: Lifecycle) -> None:
        slow = await asyncio.open_connection(address.host, address.port)
        other = asyncio.create_task(_request(slow, "/stream-after-a-pause"))
        busy = await asyncio.open_connection(address.host, address.port)
        answer = asyncio.create_task(_request(busy, "/stream"))
        await asyncio.sleep(_SLOW_ANSWER_S / 3)
        life.request_stop()
        assert b"connection: close" not in (await answer).lower()
        second = await _request(busy, "/second")
        assert second.endswith(b"/second")
        assert b"connection: close" in second.lower()
        await other

    asyncio.run(_with_listener(scenario))


def test_new_connections_are_refused_during_a_stop() -> None:
    async def scenario(address: Address, life: Lifecycle) -> None:
        busy = await asyncio.open_connection(address.host, address.port)
        slow = asyncio.create_task(_request(busy, "/slow"))
        await asyncio.sleep(0.1)
        life.request_stop()
        await asyncio.sleep(0.2)
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(address.host, address.port)
        await slow

    asyncio.run(_with_listener(scenario))


def test_request_that_begins_while_the_last_one_ends_is_waited_for() -> None:
    async def scenario() -> None:
        address = Address("127.0.0.1", free_port())
        stop = PlannedStop(_STOP_S)
        stop.begin(time.monotonic())
        in_flight = InFlight()
        in_flight.begin()
        draining = asyncio.create_task(
            drain(
                address,
                open_socket(address),
                asyncio.Protocol,
                in_flight,
                stop,
                time.monotonic,
                0.0,
            )
        )
        await asyncio.sleep(0.05)
        in_flight.end()
        in_flight.begin()
        await asyncio.sleep(0.05)
        assert not draining.done()
        in_flight.end()
        await asyncio.wait_for(draining, 1.0)

    asyncio.run(scenario())
