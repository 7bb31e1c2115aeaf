"""Serve HTTP at a listening socket, as a supervised task with a graceful stop."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import final

from aiohttp import web

from _masticspoke.connections import MAX_LINE_BYTES
from _masticspoke.draining import BACKLOG
from _masticspoke.draining import drain
from _masticspoke.draining import open_socket
from _masticspoke.draining import wait_sent
from _masticspoke.entry.requests import OnMalformed
from _masticspoke.entry.requests import request_factory
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

    While ``stop`` is under way, each answer that begins closes its connection and says
    so, so that clients go to another node. The task ends once all answers have been
    sent; requests and connections that outlast the stop are aborted, counted and
    logged.

    :param on_malformed: called for each request that is not HTTP.
    :param before_open: awaited before the socket is opened.
    :param last_requests_wait_s: wait at a stop for the first requests on connections
        accepted just before.
    """

    async def run(life: Lifecycle) -> None:
        if before_open is not None:
            await before_open()
        in_flight = InFlight()
        open_connections = InFlight()
        server = _Server(
            open_connections,
            _tracked(handler, in_flight),
            access_log=None,
            handler_cancellation=True,
            auto_decompress=False,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            request_factory=request_factory(
                on_malformed,
                lambda request: stop.under_way or _may_have_trailer(request),
            ),
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
            await runner.cleanup()
            await wait_sent(address, open_connections, stop, clock)
        finally:
            accept_queue.close()
            await runner.cleanup()

    return run


@final
class _Server(web.Server):
    """Server of aiohttp that counts its connections until they are closed."""

    def __init__(
        self, open_connections: InFlight, handler: Handler, **options: Any
    ) -> None:
        super().__init__(handler, **options)
        self._open_connections = open_connections

    def connection_made(self, handler: Any, transport: asyncio.Transport) -> None:
        """Count a connection."""
        self._open_connections.begin()
        super().connection_made(handler, transport)

    def connection_lost(self, handler: Any, exc: BaseException | None = None) -> None:
        """End the count of a connection, whose data the kernel has taken by then."""
        self._open_connections.end()
        super().connection_lost(handler, exc)


def _tracked(handler: Handler, in_flight: InFlight) -> Handler:
    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        in_flight.begin()
        try:
            return await handler(request)
        finally:
            in_flight.end()

    return handle


def _may_have_trailer(request: web.BaseRequest) -> bool:
    """Return whether the parser may put a trailer into the connection's next head."""
    return "Transfer-Encoding" in request.headers
