"""A small HTTP/1.1 server for the request path, built on aiohttp's parser.

The server of aiohttp takes more processor time per request than the decisions of a
node. This one has only what a hop needs: persistent connections, whole or streamed
answers, and limits on the size and duration of requests. Requests that a client sent
behind another one run beside it where the listener allows it, else one at a time.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import final

from _masticspoke.decisions.fleet.body_memory import BodyMemory
from _masticspoke.decisions.fleet.client_timeouts import Awaited
from _masticspoke.decisions.fleet.model import Limits
from _masticspoke.decisions.fleet.pipelining import AheadCounts
from _masticspoke.events import Event
from _masticspoke.events import log_event
from _masticspoke.http_messages import Concurrent
from _masticspoke.http_messages import Handler
from _masticspoke.http_messages import NoBodyMemoryError
from _masticspoke.http_messages import Request
from _masticspoke.http_messages import Response
from _masticspoke.http_messages import Streamed
from _masticspoke.http_server_connection import ServerConnection
from _masticspoke.in_flight import InFlight

__all__ = [
    "Concurrent",
    "Handler",
    "HttpServer",
    "NoBodyMemoryError",
    "Request",
    "Response",
    "Streamed",
]


@final
class HttpServer:
    """All connections of one listening socket.

    :param handler: answers a request; cancelled when the client disconnects.
    :param limits: returns the limits in force; called whenever they are needed.
    :param draining: returns whether each answer closes its connection.
    :param concurrent: returns whether a request may run at the same time as others of
        its connection; ``None`` to serve one request at a time.
    :param bodies: memory for the bodies of requests, shared with other listeners;
        ``None`` for no bound on all of them together.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], Limits],
        draining: Callable[[], bool],
        concurrent: Concurrent | None = None,
        bodies: BodyMemory | None = None,
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._is_draining = draining
        self._concurrent = concurrent
        self._ahead = AheadCounts()
        self._bodies = BodyMemory() if bodies is None else bodies
        self._connections: set[ServerConnection] = set()
        self._in_flight = InFlight()
        self._open_connections = InFlight()

    @property
    def in_flight(self) -> InFlight:
        """Counter of the requests that are not answered yet."""
        return self._in_flight

    @property
    def open_connections(self) -> InFlight:
        """Counter of the connections that are not closed yet."""
        return self._open_connections

    @property
    def draining(self) -> bool:
        """Whether each answer closes its connection."""
        return self._is_draining()

    @property
    def limits(self) -> Limits:
        """The limits in force."""
        return self._limits()

    @property
    def concurrent(self) -> Concurrent | None:
        """Returns whether a request may run at the same time as others."""
        return self._concurrent

    @property
    def ahead(self) -> AheadCounts:
        """Requests that were started before their turn."""
        return self._ahead

    @property
    def bodies(self) -> BodyMemory:
        """Memory for the bodies of requests."""
        return self._bodies

    def __call__(self) -> ServerConnection:
        """Return the protocol of a new connection."""
        return ServerConnection(self, self._handler)

    def add(self, connection: ServerConnection) -> None:
        """Register a connection that was made."""
        self._connections.add(connection)
        self._open_connections.begin()

    def remove(self, connection: ServerConnection) -> None:
        """Remove a connection that was lost."""
        self._connections.discard(connection)
        self._open_connections.end()

    def close(self) -> None:
        """Close all connections and cancel their requests in flight."""
        for connection in tuple(self._connections):
            connection.close()

    def sweep(self, now: float) -> None:
        """Close connections that exceed the idle or the header timeout.

        :param now: current time of the event loop's clock.
        """
        limits = self.limits
        slow = [
            connection
            for connection in tuple(self._connections)
            if connection.close_if_overdue(limits, now) is Awaited.REST_OF_HEAD
        ]
        if slow:
            remote = slow[0].remote
            log_event(Event.HEAD_TIMED_OUT, connections=len(slow), remote=remote)
