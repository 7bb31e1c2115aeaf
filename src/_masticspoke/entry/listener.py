"""A listening socket as a supervised task, with a graceful stop."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable
from collections.abc import Callable
from typing import final

from aiohttp import web

from _masticspoke.connections import MAX_LINE_BYTES
from _masticspoke.entry.malformed import OnMalformed
from _masticspoke.entry.malformed import request_factory
from _masticspoke.events import Event
from _masticspoke.events import log_event
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


@final
class _InFlight:
    """Requests in flight at one listener."""

    def __init__(self) -> None:
        self._count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def count(self) -> int:
        """Requests whose handler runs."""
        return self._count

    def begin(self) -> None:
        """Count a request."""
        self._count += 1
        self._idle.clear()

    def end(self) -> None:
        """Count it as ended."""
        self._count -= 1
        if self._count == 0:
            self._idle.set()

    async def wait_idle(self, timeout_s: float) -> None:
        """Wait until there is none, at most ``timeout_s``."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        except TimeoutError:
            return


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
        in_flight = _InFlight()
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
            await serve_queue(queue, server)
            await asyncio.sleep(min(last_accepted_s, stop.left_s(clock())))
            # Kept connections are served until the end: ``Server.pre_shutdown`` would
            # leave them open and drop what arrives on them.
            await in_flight.wait_idle(stop.left_s(clock()))
            if in_flight.count:
                log_event(Event.REQUESTS_CUT, address=address, requests=in_flight.count)
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


async def serve_queue(
    queue: socket.socket, server: Callable[[], asyncio.Protocol]
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
        await loop.connect_accepted_socket(server, connection)


def _tracked(handler: Handler, in_flight: _InFlight, stop: PlannedStop) -> Handler:
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
