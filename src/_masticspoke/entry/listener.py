"""Serve HTTP at a listening socket, as a supervised task with a graceful stop."""

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

BeforeOpen = Callable[[], Awaitable[object]]
Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

# Requests may still arrive on connections accepted just before the socket closes.
LAST_REQUESTS_WAIT_S = 0.3
BACKLOG = 1024
_SHUTDOWN_TIMEOUT_S = 0.15


def listener(
    address: Address,
    handler: Handler,
    on_malformed: OnMalformed,
    stop: PlannedStop,
    clock: Clock,
    before_open: BeforeOpen | None = None,
    last_requests_wait_s: float = LAST_REQUESTS_WAIT_S,
) -> ChildBody:
    """Return a body that serves HTTP at ``address``.

    While ``stop`` is under way, each answer closes its connection, so that clients go
    to another node. Requests that outlast the stop are aborted, counted and logged.

    :param on_malformed: called for each request that is not HTTP.
    :param before_open: awaited before the socket is opened.
    :param last_requests_wait_s: wait at a stop for the first requests on connections
        accepted just before.
    """

    async def run(life: Lifecycle) -> None:
        if before_open is not None:
            await before_open()
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
        runner = web.ServerRunner(server, shutdown_timeout=_SHUTDOWN_TIMEOUT_S)
        await runner.setup()
        listening = open_socket(address)
        accept_queue = listening.dup()
        try:
            site = web.SockSite(runner, listening, backlog=BACKLOG)
            await site.start()
            life.mark_started()
            await life.stopping()
            stop.begin(clock())
            await site.stop()
            await drain(
                address,
                accept_queue,
                server,
                in_flight,
                stop,
                clock,
                last_requests_wait_s,
            )
        finally:
            accept_queue.close()
            await runner.cleanup()

    return run


def open_socket(address: Address) -> socket.socket:
    """Return a non-blocking socket that listens at ``address``."""
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    listening = socket.socket(family, socket.SOCK_STREAM)
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening.bind((address.host, address.port))
    listening.listen(BACKLOG)
    listening.setblocking(False)
    return listening


async def drain(
    address: Address,
    accept_queue: socket.socket,
    protocol_factory: Callable[[], asyncio.Protocol],
    in_flight: InFlight,
    stop: PlannedStop,
    clock: Clock,
    last_requests_wait_s: float,
) -> None:
    """Finish the requests of a listener that no longer accepts connections.

    Open connections are served until no request is in flight or the time of ``stop``
    is over; requests that are left then are logged.

    :param accept_queue: the listening socket; connections may wait in its queue.
    :param protocol_factory: returns the protocol of a new connection.
    :param last_requests_wait_s: wait for the first requests on the last connections.
    """
    await _serve_queue(accept_queue, protocol_factory)
    await asyncio.sleep(min(last_requests_wait_s, stop.left_s(clock())))
    # ``Server.pre_shutdown`` isn't used: it would leave idle connections open and drop
    # the requests that arrive on them.
    # A request may have begun between the end of the last one and this task's turn.
    while in_flight.count and (left_s := stop.left_s(clock())) > 0:
        await in_flight.wait_idle(left_s)
    if in_flight.count:
        log_event(Event.REQUESTS_CUT, address=address, requests=in_flight.count)


async def _serve_queue(
    accept_queue: socket.socket, protocol_factory: Callable[[], asyncio.Protocol]
) -> None:
    """Serve the connections that wait in a listening socket's queue, and close it.

    The kernel would reset them when the socket's last descriptor is closed.
    """
    accepted = []
    with contextlib.suppress(BlockingIOError):
        while True:
            accepted.append(accept_queue.accept()[0])
    accept_queue.close()
    loop = asyncio.get_running_loop()
    for connection in accepted:
        connection.setblocking(False)
        await loop.connect_accepted_socket(protocol_factory, connection)


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
