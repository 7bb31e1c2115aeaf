"""A listening socket of a fleet's node as a supervised task, with a graceful stop."""

from __future__ import annotations

import asyncio
import contextlib

from _masticspoke.entry.listener import open_socket
from _masticspoke.entry.listener import serve_queue
from _masticspoke.events import Event
from _masticspoke.events import log_event
from _masticspoke.http_server import HttpServer
from _masticspoke.model import Address
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.planned_stop import PlannedStop
from _masticspoke.supervise.supervisor import Clock

# Time between two looks for connections that are idle or slow beyond the limits.
_SWEEP_S = 1.0


def listening(
    address: Address,
    server: HttpServer,
    stop: PlannedStop,
    clock: Clock,
    last_accepted_s: float,
) -> ChildBody:
    """Return the body of a task that serves HTTP at ``address``.

    :param last_accepted_s: time at a stop for requests on the last connections.

    Requests on kept connections are answered until those in flight have ended;
    requests that outlast the stop are cut, counted and logged.
    """

    async def run(life: Lifecycle) -> None:
        socket = open_socket(address)
        queue = socket.dup()
        loop = asyncio.get_running_loop()
        accepting = await loop.create_server(server, sock=socket)
        try:
            life.mark_started()
            await _sweep(server, life)
            stop.begin(clock())
            accepting.close()
            await serve_queue(queue, server)
            await asyncio.sleep(min(last_accepted_s, stop.left_s(clock())))
            await server.wait_idle(stop.left_s(clock()))
            if server.in_flight:
                log_event(
                    Event.REQUESTS_CUT, address=address, requests=server.in_flight
                )
        finally:
            queue.close()
            accepting.close()
            server.close()

    return run


async def _sweep(server: HttpServer, life: Lifecycle) -> None:
    """Close connections beyond the limits until the stop begins."""
    loop = asyncio.get_running_loop()
    while not life.is_stopping:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_SWEEP_S):
                await life.stopping()
        server.sweep(loop.time())
