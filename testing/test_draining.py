from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import pytest
import uvloop
from aiohttp.base_protocol import BaseProtocol
from testing.live.fleet import free_port

from _masticspoke.draining import drain
from _masticspoke.draining import open_socket
from _masticspoke.in_flight import InFlight
from _masticspoke.model import Address
from _masticspoke.supervise.planned_stop import PlannedStop

# More than the kernel's buffers hold.
ANSWER = bytes(16 * 2**20)
STOP_S = 5.0
NewLoop = Callable[[], asyncio.AbstractEventLoop]


async def start_unread_answer(
    *, closes: bool
) -> tuple[BaseProtocol, asyncio.StreamReader, asyncio.StreamWriter]:
    """Return a server's connection with an answer in its buffer, and the client's."""
    loop = asyncio.get_running_loop()
    connections: list[BaseProtocol] = []

    def connect() -> BaseProtocol:
        connections.append(BaseProtocol(loop))
        return connections[-1]

    address = Address("127.0.0.1", free_port())
    await loop.create_server(connect, address.host, address.port)
    reader, writer = await asyncio.open_connection(address.host, address.port)
    await asyncio.sleep(0.05)
    (connection,) = connections
    assert connection.transport is not None
    connection.transport.write(ANSWER)
    if closes:
        connection.transport.close()
    return connection, reader, writer


def start_drain(connection: BaseProtocol, stop_s: float) -> asyncio.Task[None]:
    """Drain a listener without a request in flight."""
    stop = PlannedStop(stop_s)
    stop.begin(time.monotonic())
    address = Address("127.0.0.1", free_port())
    accept_queue = open_socket(address)
    return asyncio.create_task(
        drain(
            address,
            accept_queue,
            asyncio.Protocol,
            InFlight(),
            lambda: [connection],
            stop,
            time.monotonic,
            0.0,
        )
    )


# LOST: a stopping node ended before it had sent the end of slowly read answers.
@pytest.mark.parametrize("closes", [False, True])
@pytest.mark.parametrize("new_loop", [asyncio.new_event_loop, uvloop.new_event_loop])
def test_stop_waits_until_answers_have_left_the_process(
    new_loop: NewLoop, closes: bool
) -> None:
    async def scenario() -> None:
        connection, reader, writer = await start_unread_answer(closes=closes)
        draining = start_drain(connection, STOP_S)
        await asyncio.sleep(0.3)
        assert not draining.done()
        received = 0
        while received < len(ANSWER):
            received += len(await reader.read(2**16))
        await asyncio.wait_for(draining, 1.0)
        writer.close()

    with asyncio.Runner(loop_factory=new_loop) as runner:
        runner.run(scenario())


@pytest.mark.parametrize("new_loop", [asyncio.new_event_loop, uvloop.new_event_loop])
def test_stop_ends_in_time_for_a_client_that_does_not_read(new_loop: NewLoop) -> None:
    async def scenario() -> None:
        connection, _, writer = await start_unread_answer(closes=False)
        await asyncio.wait_for(start_drain(connection, 0.3), 1.0)
        assert connection.transport is not None
        connection.transport.abort()
        writer.close()

    with asyncio.Runner(loop_factory=new_loop) as runner:
        runner.run(scenario())
