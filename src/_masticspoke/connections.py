"""Client connections of one branch, and the task that owns them."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import socket
from typing import Any
from typing import final

import aiohttp
from aiohttp.client_proto import ResponseHandler

from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle

# Below the idle time-outs usual in servers, which are 5 s and more.
KEEP_IDLE_S = 4.0
# A connection whose peer acknowledges nothing for this long is broken, milliseconds.
UNACKNOWLEDGED_MS = 1_500
# Connections with unsent bytes for a peer that is cut off never close, seconds.
_CLOSE_S = 0.1
READ_BUFFER_BYTES = 65_536
# Longest request or header line; the operator's own limits lie below it.
MAX_LINE_BYTES = 65_536
# Nothing of a request was sent when one of these is raised.
NOT_CONNECTED = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
_SKIPPED = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


@final
class CheckedHandler(ResponseHandler):
    """A connection that closes when its server says more than it was asked for."""

    def __init__(self, loop: Any) -> None:
        super().__init__(loop)
        self._head_due = False
        self._reset = False
        self._echo: tuple[str, str] | None = None

    @property
    def was_reset(self) -> bool:
        """Whether the connection ended with an error."""
        return self._reset

    def expect_echo(self, header: str, value: str | None) -> None:
        """Wait for the answer that repeats a header of the next request."""
        self._echo = None if value is None else (header, value)

    def set_response_params(self, **options: Any) -> None:
        """Prepare for the answer of the next request."""
        self._head_due = True
        super().set_response_params(**options)

    async def read(self) -> Any:
        """Return the head of the answer."""
        while True:
            head, body = await super().read()
            if self._is_ours(head):
                self._head_due = False
                return head, body
            await body.read()

    def _is_ours(self, head: Any) -> bool:
        # A late second answer to an earlier request may come first.
        if self._echo is None:
            return True
        header, value = self._echo
        return bool(head.headers.get(header, value) == value)

    def data_received(self, data: bytes) -> None:
        """Pass on what belongs to an answer; anything else ends the connection."""
        idle = self._payload is None or self._payload.is_eof()
        if data and not self._head_due and idle:
            self.abort()
            return
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Remember whether the connection ended with an error."""
        self._reset = exc is not None
        super().connection_lost(exc)


@final
class _Connector(aiohttp.TCPConnector):
    """Connections made by :class:`CheckedHandler`."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self._factory = functools.partial(CheckedHandler, loop=self._loop)  # type: ignore[assignment]


def _new_socket(found: Any) -> socket.socket:
    family, kind, protocol, _, _ = found
    made = socket.socket(family, kind, protocol)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
    return made


@final
class Connections:
    """Client connections of one branch; open while their task runs."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    @property
    def session(self) -> aiohttp.ClientSession:
        """The open session.

        :raises RuntimeError: when the owning task is not running.
        """
        if self._session is None:
            raise RuntimeError("connections are closed; their task is not running")
        return self._session

    async def open(self, connect_timeout_s: float) -> None:
        """Open the session."""
        self._session = aiohttp.ClientSession(
            connector=_connector(),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=_SKIPPED,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_timeout_s),
            read_bufsize=READ_BUFFER_BYTES,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            middlewares=(_send_once,),
        )

    async def close(self) -> None:
        """Close all connections; a peer that does not answer holds nothing up."""
        session, self._session = self._session, None
        if session is not None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_CLOSE_S):
                    await session.close()


def _connector() -> _Connector:
    return _Connector(
        limit=0,
        use_dns_cache=False,
        socket_factory=_new_socket,
        keepalive_timeout=KEEP_IDLE_S,
    )


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Keep the library from sending a request again that may have run.

    It does so after these two errors of a kept connection, not after their base.
    """
    try:
        return await handler(request)
    except NOT_CONNECTED:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise aiohttp.ClientConnectionError(repr(error)) from error


def connection_owner(held: Connections, connect_timeout_s: float) -> ChildBody:
    """Return a body that keeps ``held`` open while it runs."""

    async def run(life: Lifecycle) -> None:
        await held.open(connect_timeout_s)
        try:
            life.mark_started()
            await life.stopping()
        finally:
            await held.close()

    return run
