"""A listening socket of a fleet's node as a supervised task, with a graceful stop."""

from __future__ import annotations

import asyncio

from _masticspoke.entry.listener import finish
from _masticspoke.entry.listener import open_socket
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
            await finish(
                address, queue, server, server.in_flight, stop, clock, last_accepted_s
            )
        finally:
            queue.close()
            accepting.close()
            server.close()

    return run


async def _sweep(server: HttpServer, life: Lifecycle) -> None:
    """Close connections beyond the limits until the stop begins."""
    loop = asyncio.get_running_loop()
    while not await life.stops_within(_SWEEP_S):
        server.sweep(loop.time())
