"""A listening socket as a supervised task, with a graceful stop."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable
from collections.abc import Callable

from aiohttp import web

from _masticspoke.connections import MAX_LINE_BYTES
from _masticspoke.entry.malformed import OnMalformed
from _masticspoke.entry.malformed import request_factory
from _masticspoke.events import Event
from _masticspoke.events import log_event
from _masticspoke.in_flight import InFlight
from _masticspoke.model import Address
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.planned_stop import PlannedStop
from _masticspoke.supervise.supervisor import Clock

Opening = Callable[[], Awaitable[object]]
Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

# Requests on connections accepted just before the socket closed still arrive.
LAST_ACCEPTED_S = 0.3
BACKLOG = 1024
CUT_TIMEOUT_S = 0.15


def listener(
    address: Address,
    handler: Handler,
    on_malformed: OnMalformed,
    stop: PlannedStop,
    clock: Clock,
    opening: Opening | None = None,
    last_accepted_s: float = LAST_ACCEPTED_S,
) -> ChildBody:
    """Return a body that serves HTTP at ``address``.

    :param on_malformed: called for each request that is not HTTP.
    :param opening: awaited before the socket is opened.
    :param last_accepted_s: time at a stop for requests on the last connections.

    While ``stop`` is under way each answer closes its connection, so that clients
    go to another node; requests that outlast it are cut, counted and logged.
    """

    async def run(life: Lifecycle) -> None:
        if opening is not None:
            await opening()
        in_flight = InFlight()
        server = web.Server(
            _tracked(handler, in_flight, stop),
            access_log=None,
            handler_cancellation=True,
            auto_decompress=False,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            request_factory=request_factory(on_malformed),
        )
        runner = web.ServerRunner(server, shutdown_timeout=CUT_TIMEOUT_S)
        await runner.setup()
        listening = open_socket(address)
        queue = listening.dup()
        try:
            site = web.SockSite(runner, listening, backlog=BACKLOG)
            await site.start()
            life.mark_started()
            await life.stopping()
            stop.begin(clock())
            await site.stop()
            await drain(address, queue, server, in_flight, stop, clock, last_accepted_s)
        finally:
            queue.close()
            await runner.cleanup()

    return run


def open_socket(address: Address) -> socket.socket:
    """Return a listening socket."""
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    listening = socket.socket(family, socket.SOCK_STREAM)
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening.bind((address.host, address.port))
    listening.listen(BACKLOG)
    listening.setblocking(False)
    return listening


async def drain(
    address: Address,
    queue: socket.socket,
    protocol: Callable[[], asyncio.Protocol],
    in_flight: InFlight,
    stop: PlannedStop,
    clock: Clock,
    last_accepted_s: float,
) -> None:
    """End a listener whose socket no longer accepts, within the time of ``stop``.

    Kept connections are served until no request is in flight; requests that outlast
    the stop are logged.

    :param queue: the listening socket, with the connections no one has accepted.
    :param protocol: makes the protocol of a connection.
    """
    await _serve_queue(queue, protocol)
    await asyncio.sleep(min(last_accepted_s, stop.left_s(clock())))
    # ``Server.pre_shutdown`` would leave idle connections open and drop what arrives.
    await in_flight.wait_idle(stop.left_s(clock()))
    if in_flight.count:
        log_event(Event.REQUESTS_CUT, address=address, requests=in_flight.count)


async def _serve_queue(
    queue: socket.socket, protocol: Callable[[], asyncio.Protocol]
) -> None:
    """Serve the connections that clients made and no one has accepted yet.

    Closing the last descriptor of the listening socket resets them.
    """
    accepted = []
    with contextlib.suppress(BlockingIOError):
        while True:
            accepted.append(queue.accept()[0])
    queue.close()
    loop = asyncio.get_running_loop()
    for connection in accepted:
        connection.setblocking(False)
        await loop.connect_accepted_socket(protocol, connection)


def _tracked(handler: Handler, in_flight: InFlight, stop: PlannedStop) -> Handler:
    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        in_flight.begin()
        try:
            response = await handler(request)
        finally:
            in_flight.end()
        if stop.under_way:
            response.force_close()
        return response

    return handle
