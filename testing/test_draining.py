from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable
from collections.abc import Callable

import pytest
import uvloop
from aiohttp import web
from testing.live.fleet import free_port

from _masticspoke.decisions.fleet.model import Limits
from _masticspoke.entry.listener import listener
from _masticspoke.events import counted_events
from _masticspoke.events import Event
from _masticspoke.fleet.entry.listening import http_listener
from _masticspoke.http_server import HttpServer
from _masticspoke.http_server import Request
from _masticspoke.http_server import Response
from _masticspoke.model import Address
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.planned_stop import PlannedStop

# More than the kernel's buffers hold.
BODY = bytes(16 * 2**20)
STOP_S = 5.0
NewLoop = Callable[[], asyncio.AbstractEventLoop]
NewListener = Callable[[Address, PlannedStop], ChildBody]
Scenario = Callable[
    [asyncio.StreamReader, Lifecycle, "asyncio.Task[None]"], Awaitable[None]
]


def platform_listener(address: Address, stop: PlannedStop) -> ChildBody:
    async def handle(request: Request) -> Response:
        transport = request.connection.transport
        assert transport is not None
        transport.set_write_buffer_limits(2 * len(BODY))  # the request ends at once
        return Response(200, body=BODY)

    server = HttpServer(handle, Limits, lambda: stop.under_way)
    return http_listener(address, server, stop, time.monotonic, 0.0, 1.0)


def product_listener(address: Address, stop: PlannedStop) -> ChildBody:
    async def handle(request: web.BaseRequest) -> web.Response:
        assert request.transport is not None
        request.transport.set_write_buffer_limits(2 * len(BODY))
        return web.Response(body=BODY)

    return listener(address, handle, lambda: None, stop, time.monotonic, None, 0.0)


async def run_listener(
    new_listener: NewListener, stop_s: float, scenario: Scenario
) -> None:
    """Start a listener, ask for an answer and read its head."""
    address = Address("127.0.0.1", free_port())
    life = Lifecycle()
    body = new_listener(address, PlannedStop(stop_s))
    task = asyncio.create_task(body(life))  # type: ignore[arg-type]
    await life.started()
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    await reader.readuntil(b"\r\n\r\n")
    await asyncio.sleep(0.1)
    await scenario(reader, life, task)
    writer.close()


both_listeners = pytest.mark.parametrize(
    "new_listener", [platform_listener, product_listener]
)
both_loops = pytest.mark.parametrize(
    "new_loop", [asyncio.new_event_loop, uvloop.new_event_loop]
)


# LOST: a stopping node ended before it had sent the end of slowly read answers.
@both_listeners
@both_loops
def test_stop_waits_until_answers_have_left_the_process(
    new_loop: NewLoop, new_listener: NewListener
) -> None:
    async def scenario(
        reader: asyncio.StreamReader, life: Lifecycle, task: asyncio.Task[None]
    ) -> None:
        life.request_stop()
        await asyncio.sleep(0.5)
        assert not task.done()
        assert len(await reader.readexactly(len(BODY))) == len(BODY)
        await asyncio.wait_for(task, 1.0)

    with asyncio.Runner(loop_factory=new_loop) as runner:
        runner.run(run_listener(new_listener, STOP_S, scenario))


@both_listeners
@both_loops
def test_stop_ends_in_time_for_a_client_that_does_not_read(
    new_loop: NewLoop, new_listener: NewListener
) -> None:
    events: list[int] = []

    async def scenario(
        reader: asyncio.StreamReader, life: Lifecycle, task: asyncio.Task[None]
    ) -> None:
        life.request_stop()
        await asyncio.wait_for(task, 2.0)

    with counted_events(events.append), asyncio.Runner(loop_factory=new_loop) as runner:
        runner.run(run_listener(new_listener, 0.5, scenario))
    assert Event.REQUESTS_CUT.value.number in events
