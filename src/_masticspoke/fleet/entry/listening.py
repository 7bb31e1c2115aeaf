"""A listening socket of a fleet's node as a supervised task, with a graceful stop."""

from __future__ import annotations

import asyncio

from _masticspoke.draining import drain
from _masticspoke.draining import open_socket
from _masticspoke.draining import wait_sent
from _masticspoke.http_server import HttpServer
from _masticspoke.model import Address
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.planned_stop import PlannedStop
from _masticspoke.supervise.supervisor import Clock


def http_listener(
    address: Address,
    server: HttpServer,
    stop: PlannedStop,
    clock: Clock,
    last_requests_wait_s: float,
    sweep_interval_s: float,
) -> ChildBody:
    """Return the body of a task that serves HTTP at ``address``.

    At a stop, requests on open connections are answered until none is in flight, and
    the task ends once all answers have been sent; requests and connections that outlast
    the stop are aborted, counted and logged.

    :param last_requests_wait_s: wait at a stop for the first requests on connections
        accepted just before.
    :param sweep_interval_s: time between two checks for connections that are idle or
        slow beyond the limits.
    """

    async def run(life: Lifecycle) -> None:
        socket = open_socket(address)
        accept_queue = socket.dup()
        loop = asyncio.get_running_loop()
        asyncio_server = await loop.create_server(server, sock=socket)
        try:
            life.mark_started()
            await _sweep(server, life, sweep_interval_s)
            stop.begin(clock())
            asyncio_server.close()
            await drain(
                address,
                accept_queue,
                server,
                server.in_flight,
                stop,
                clock,
                last_requests_wait_s,
            )
            server.close()
            await wait_sent(address, server.open_connections, stop, clock)
        finally:
            accept_queue.close()
            asyncio_server.close()
            server.close()

    return run


async def _sweep(server: HttpServer, life: Lifecycle, interval_s: float) -> None:
    """Close connections that are idle or slow beyond the limits, until the stop."""
    loop = asyncio.get_running_loop()
    while not await life.stops_within(interval_s):
        server.sweep(loop.time())
