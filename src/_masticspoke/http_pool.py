"""A small HTTP/1.1 client for the request path, built on aiohttp's parser.

The client session of aiohttp takes more processor time than all the rest of a hop. This
client has only what a hop needs: persistent connections, one request at a time on each,
the head and the body of the answer, and errors that tell whether the request may have
been sent. It never sends a request twice.
"""

from __future__ import annotations

import asyncio
import functools
import socket
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any
from typing import final

import aiohttp
from multidict import CIMultiDictProxy

from _masticspoke.border.http_head import encode_head
from _masticspoke.connections import KEEP_IDLE_S
from _masticspoke.connections import TCP_USER_TIMEOUT_MS
from _masticspoke.foreign_bytes import ignore_foreign_bytes
from _masticspoke.foreign_bytes import OnForeignBytes
from _masticspoke.http_connection import ClientConnection
from _masticspoke.model import Address
from _masticspoke.supervise.clocks import boot_clock
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle

_SWEEP_INTERVAL_S = 2.0
# Requests with these methods carry Content-Length even when the body is empty.
_METHODS_WITH_LENGTH = frozenset({"POST", "PUT", "PATCH"})


@final
class NotConnectedError(ConnectionError):
    """The connection could not be established; nothing was sent."""


@final
class ExpiredError(Exception):
    """The request timed out; it may have been sent."""


@final
@dataclass(frozen=True, slots=True)
class UpstreamAnswer:
    """The answer of a server.

    :param content: the body, readable while it arrives.
    """

    status: int
    headers: CIMultiDictProxy[str]
    content: aiohttp.StreamReader
    connection: ClientConnection

    @property
    def content_length(self) -> int | None:
        """Value of ``Content-Length``, or ``None`` if it is absent or invalid."""
        length = self.headers.get("Content-Length")
        return int(length) if length is not None and length.isdigit() else None

    def belongs_to(self, echo_header: str, value: str) -> bool:
        """Return whether it is certainly the answer to the request.

        An answer to an earlier request may lack the header that would identify it.

        :param value: the request's value of ``echo_header``.
        """
        return not self.connection.was_reused or self.headers.get(echo_header) == value

    async def read_start(self, max_bytes: int) -> tuple[bytes, bool]:
        """Read the body up to its end, or until more than ``max_bytes`` have arrived.

        :return: what was read, and whether the body has ended.
        :raises aiohttp.ClientError: when the connection fails.
        """
        content = self.content
        if content.is_eof() and content.exception() is None:
            # Most answers arrive in one segment; waiting for data and then for the end
            # would cost two more calls each.
            whole = content.read_nowait()
            return whole, len(whole) <= max_bytes
        start = bytearray()
        while len(start) <= max_bytes:
            chunk = await self.content.readany()
            if not chunk:
                return bytes(start), True
            start += chunk
        return bytes(start), False

    @property
    def ends_with_connection(self) -> bool:
        """Whether the body ends when the server closes the connection."""
        framed = "Content-Length" in self.headers or "Transfer-Encoding" in self.headers
        return not framed and not self.content.is_eof()


@final
@dataclass(frozen=True, slots=True)
class _Request:
    """A request to send."""

    address: Address
    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes


@final
class Exchange:
    """One request and its answer on a connection of a pool."""

    __slots__ = (
        "_connection",
        "_connection_number",
        "_deadline",
        "_expired",
        "_pool",
        "_request",
        "_timer",
        "_upstream",
    )

    def __init__(
        self, pool: HttpPool, request: _Request, timeout_s: float | None
    ) -> None:
        self._pool = pool
        self._request = request
        self._connection: ClientConnection | None = None
        self._connection_number: int | None = None
        self._upstream: UpstreamAnswer | None = None
        self._expired = False
        self._timer: asyncio.Handle | None = None
        self._deadline: float | None = None
        if timeout_s is not None:
            loop = asyncio.get_running_loop()
            self._deadline = loop.time() + timeout_s
            self._timer = loop.call_later(max(0.0, timeout_s), self._expire)

    @property
    def connection_number(self) -> int | None:
        """Number of the request's connection, also after it ended.

        ``None`` while it has none.
        """
        return self._connection_number

    async def __aenter__(self) -> UpstreamAnswer:
        """Send the request and return the head of its answer."""
        try:
            address = self._request.address
            connection = None
            if self._pool.can_identify_answer(self._request.headers):
                connection = self._pool.pop_idle(address)
            if connection is None:
                connection = await self._pool.connect(address, self._left_s())
            self._connection = connection
            self._connection_number = connection.number
            if not self._expired:
                self._upstream = await _send(self._pool, connection, self._request)
                return self._upstream
        except BaseException as error:
            self._finish(complete=False)
            if self._expired and isinstance(error, Exception):
                raise ExpiredError(str(self._request.address)) from error
            raise
        self._finish(complete=False)
        raise ExpiredError(str(self._request.address))

    async def __aexit__(self, *exc: object) -> None:
        """Return the connection to the pool, or abort it if it cannot be reused.

        An answer that was read to its end has not timed out, even if the reader took
        longer than the server.
        """
        upstream = self._upstream
        complete = upstream is not None and exc[0] is None and upstream.content.is_eof()
        self._finish(complete)
        if complete:
            return
        if self._expired and (exc[0] is None or isinstance(exc[1], Exception)):
            raise ExpiredError(str(self._request.address))

    def _left_s(self) -> float | None:
        # The handle that uvloop returns for a delay of 0 doesn't know its time.
        if self._deadline is None:
            return None
        return max(0.0, self._deadline - asyncio.get_running_loop().time())

    def _expire(self) -> None:
        self._expired = True
        if self._connection is not None:
            self._connection.abort()

    def _finish(self, complete: bool) -> None:
        if self._timer is not None:
            self._timer.cancel()
        connection, self._connection = self._connection, None
        if connection is not None:
            reusable = complete and not self._expired and connection.end_request()
            self._pool.release(self._request.address, connection, reusable)


@final
class HttpPool:
    """Connections to any number of servers; :func:`pool_owner` closes idle ones.

    :param connect_timeout_s: seconds to establish a connection.
    :param keep_alive: whether connections serve more than one request.
    :param echo_header: request header that each server repeats in its answer. Answers
        with another value belong to earlier requests and are discarded.
    :param on_foreign_bytes: is told of bytes that no request accounts for.
    """

    def __init__(
        self,
        connect_timeout_s: float,
        keep_alive: bool = True,
        echo_header: str = "",
        on_foreign_bytes: OnForeignBytes = ignore_foreign_bytes,
    ) -> None:
        self._new_connection = functools.partial(ClientConnection, on_foreign_bytes)
        self._connect_timeout_s = connect_timeout_s
        self._keep_alive = keep_alive
        self._echo_header = echo_header
        self._idle: dict[Address, list[tuple[ClientConnection, float]]] = {}

    @property
    def echo_header(self) -> str:
        """Request header that is repeated in the answer; empty for none."""
        return self._echo_header

    def request(
        self,
        address: Address,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout_s: float | None = None,
    ) -> Exchange:
        """Return a context manager that sends a request and yields its answer's head.

        On exit, the connection is kept if the answer was read to its end and the
        connection can serve another request; otherwise it is aborted.

        :param target: path and query as they go into the request line.
        :param timeout_s: seconds until the context must have ended.
        :raises NotConnectedError: when nothing was sent.
        :raises ExpiredError: when the request timed out.
        :raises aiohttp.ClientError: when the connection failed later.
        """
        request = _Request(address, method, target, headers, body)
        return Exchange(self, request, timeout_s)

    async def acquire(
        self, address: Address, timeout_s: float | None
    ) -> ClientConnection:
        """Return an idle connection, or a new one.

        :param timeout_s: seconds to establish a new one, if less than the pool allows.
        :raises NotConnectedError: when no connection can be established.
        """
        connection = self.pop_idle(address)
        if connection is None:
            return await self.connect(address, timeout_s)
        return connection

    def can_identify_answer(self, headers: Mapping[str, str]) -> bool:
        """Return whether the answer to a request with these headers can be recognised.

        If not, the request needs a connection that has served no other.
        """
        return not self._echo_header or bool(headers.get(self._echo_header))

    def pop_idle(self, address: Address) -> ClientConnection | None:
        """Return an idle connection, if there is one."""
        idle = self._idle.get(address)
        cutoff = boot_clock() - KEEP_IDLE_S
        while idle:
            connection, idle_since = idle.pop()
            if connection.is_connected and idle_since > cutoff:
                return connection
            connection.close()
        return None

    async def connect(
        self, address: Address, timeout_s: float | None
    ) -> ClientConnection:
        """Return a new connection.

        :param timeout_s: seconds to establish it, if less than the pool allows.
        :raises NotConnectedError: when it can't be established.
        """
        loop = asyncio.get_running_loop()
        connect_timeout_s = self._connect_timeout_s
        if timeout_s is not None:
            connect_timeout_s = min(connect_timeout_s, timeout_s)
        try:
            async with asyncio.timeout(connect_timeout_s):
                transport, connection = await loop.create_connection(
                    self._new_connection, address.host, address.port
                )
        except (OSError, TimeoutError) as error:
            raise NotConnectedError(f"{address}: {error!r}") from None
        sock: Any = transport.get_extra_info("socket")
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        return connection

    def release(
        self, address: Address, connection: ClientConnection, reusable: bool
    ) -> None:
        """Keep a connection for the next request, or abort it.

        :param reusable: whether the connection can serve another request.
        """
        if not (reusable and self._keep_alive and connection.is_connected):
            connection.abort()
            return
        now = boot_clock()
        self._idle.setdefault(address, []).append((connection, now))

    def close_idle(self, keep_s: float) -> None:
        """Close connections that have been idle for at least ``keep_s``."""
        cutoff = boot_clock() - keep_s
        for address, idle in list(self._idle.items()):
            for connection, idle_since in idle:
                if idle_since <= cutoff:
                    connection.close()
            remaining = [pair for pair in idle if pair[1] > cutoff]
            if remaining:
                self._idle[address] = remaining
            else:
                del self._idle[address]


async def _send(
    pool: HttpPool, connection: ClientConnection, request: _Request
) -> UpstreamAnswer:
    value = request.headers.get(pool.echo_header) if pool.echo_header else None
    connection.send(
        _encode_request_head(request) + request.body,
        skips_body=request.method == "HEAD",
        echo=None if value is None else (pool.echo_header, value),
    )
    message, content = await connection.read_answer()
    return UpstreamAnswer(message.code, message.headers, content, connection)


def _encode_request_head(request: _Request) -> bytes:
    request_line = f"{request.method} {request.target} HTTP/1.1"
    has_length = request.body or request.method in _METHODS_WITH_LENGTH
    return encode_head(
        request_line, request.headers, len(request.body) if has_length else None
    )


def pool_owner(pool: HttpPool) -> ChildBody:
    """Return the body of the task that closes idle connections."""

    async def run(life: Lifecycle) -> None:
        life.mark_started()
        try:
            while not await life.stops_within(_SWEEP_INTERVAL_S):
                pool.close_idle(KEEP_IDLE_S)
        finally:
            pool.close_idle(0.0)

    return run
