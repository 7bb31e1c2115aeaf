"""A small HTTP/1.1 client for the path of each request, on aiohttp's parser.

The client session of aiohttp costs more processor time than all the rest of a hop. This
one does what a hop needs: kept connections, one request at a time on each, the answer's
head, its body, and what went wrong. It never sends a request twice.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any
from typing import final

import aiohttp
from multidict import CIMultiDictProxy

from _masticspoke.border.http_head import encode_head
from _masticspoke.connections import CheckedHandler
from _masticspoke.connections import KEEP_IDLE_S
from _masticspoke.connections import MAX_LINE_BYTES
from _masticspoke.connections import READ_BUFFER_BYTES
from _masticspoke.connections import UNACKNOWLEDGED_MS
from _masticspoke.model import Address
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle

_SWEEP_S = 1.0
# Methods that say how long their body is even when they have none.
_WITH_LENGTH = frozenset({"POST", "PUT", "PATCH"})


@final
class NotConnectedError(ConnectionError):
    """No connection could be made; nothing was sent."""


@final
class ExpiredError(Exception):
    """The time for a request is over; it may have been sent."""


@final
@dataclass(frozen=True, slots=True)
class Upstream:
    """The answer of a server.

    :param content: its body, read as it arrives.
    """

    status: int
    headers: CIMultiDictProxy[str]
    content: aiohttp.StreamReader
    connection: CheckedHandler

    @property
    def content_length(self) -> int | None:
        """Length of the body, if the server told it."""
        length = self.headers.get("Content-Length")
        return int(length) if length is not None and length.isdigit() else None

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of the connection tells the end of the body."""
        framed = "Content-Length" in self.headers or "Transfer-Encoding" in self.headers
        return not framed and not self.content.is_eof()


@final
@dataclass(frozen=True, slots=True)
class _Asked:
    """A request to send."""

    address: Address
    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes


@final
class Exchange:
    """One request and its answer on a connection of a pool."""

    __slots__ = ("_asked", "_connection", "_expired", "_pool", "_timer", "_upstream")

    def __init__(self, pool: HttpPool, asked: _Asked, within_s: float | None) -> None:
        self._pool = pool
        self._asked = asked
        self._connection: CheckedHandler | None = None
        self._upstream: Upstream | None = None
        self._expired = False
        self._timer: asyncio.TimerHandle | None = None
        if within_s is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(max(0.0, within_s), self._expire)

    async def __aenter__(self) -> Upstream:
        """Send the request and return the head of its answer."""
        try:
            connection = await self._pool.acquire(self._asked.address, self._left_s())
            self._connection = connection
            if not self._expired:
                self._upstream = await _exchange(self._pool, connection, self._asked)
                return self._upstream
        except BaseException as error:
            self._end(whole=False)
            if self._expired and isinstance(error, Exception):
                raise ExpiredError(str(self._asked.address)) from error
            raise
        self._end(whole=False)
        raise ExpiredError(str(self._asked.address))

    async def __aexit__(self, *exc: object) -> None:
        """Give the connection back, or break it."""
        upstream = self._upstream
        whole = upstream is not None and exc[0] is None and upstream.content.is_eof()
        self._end(whole)
        if self._expired and (exc[0] is None or isinstance(exc[1], Exception)):
            raise ExpiredError(str(self._asked.address))

    def _left_s(self) -> float | None:
        timer = self._timer
        if timer is None:
            return None
        return max(0.0, timer.when() - asyncio.get_running_loop().time())

    def _expire(self) -> None:
        self._expired = True
        if self._connection is not None:
            self._connection.abort()

    def _end(self, whole: bool) -> None:
        if self._timer is not None:
            self._timer.cancel()
        connection, self._connection = self._connection, None
        if connection is not None:
            kept = whole and not self._expired and not connection.should_close
            self._pool.release(self._asked.address, connection, kept)


@final
class HttpPool:
    """Connections to any number of servers; open while their task runs.

    :param connect_timeout_s: time for making a connection.
    :param keep: whether connections serve more than one request.
    :param echo_header: request header that the right answer repeats, if any.
    """

    def __init__(
        self, connect_timeout_s: float, keep: bool = True, echo_header: str = ""
    ) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._keep = keep
        self._echo_header = echo_header
        self._idle: dict[Address, list[tuple[CheckedHandler, float]]] = {}

    @property
    def echo_header(self) -> str:
        """Request header that the right answer repeats; empty if none does."""
        return self._echo_header

    def request(
        self,
        address: Address,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
        within_s: float | None = None,
    ) -> Exchange:
        """Return a context that sends a request and yields the head of its answer.

        The connection is kept when the answer was read to its end, else broken.

        :param within_s: time for all of it, until the context ends.
        :raises NotConnectedError: when nothing was sent.
        :raises ExpiredError: when the time is over.
        :raises aiohttp.ClientError: when the connection broke later.
        """
        asked = _Asked(address, method, target, headers, body)
        return Exchange(self, asked, within_s)

    async def acquire(self, address: Address, within_s: float | None) -> CheckedHandler:
        """Return a connection for one exchange.

        :raises NotConnectedError: when none can be made.
        """
        connection = self._take(address)
        if connection is None:  # a connection without an answer counts as false
            return await self._connect(address, within_s)
        return connection

    def _take(self, address: Address) -> CheckedHandler | None:
        idle = self._idle.get(address)
        oldest = asyncio.get_running_loop().time() - KEEP_IDLE_S
        while idle:
            connection, since = idle.pop()
            if connection.is_connected() and since > oldest:
                return connection
            connection.close()
        return None

    async def _connect(
        self, address: Address, within_s: float | None
    ) -> CheckedHandler:
        loop = asyncio.get_running_loop()
        timeout_s = self._connect_timeout_s
        if within_s is not None:
            timeout_s = min(timeout_s, within_s)
        try:
            async with asyncio.timeout(timeout_s):
                transport, connection = await loop.create_connection(
                    lambda: CheckedHandler(loop), address.host, address.port
                )
        except (OSError, TimeoutError) as error:
            raise NotConnectedError(f"{address}: {error!r}") from None
        made: Any = transport.get_extra_info("socket")
        made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
        return connection

    def release(
        self, address: Address, connection: CheckedHandler, whole: bool
    ) -> None:
        """Keep a connection whose answer was read to its end; break any other."""
        if not (whole and self._keep and connection.is_connected()):
            connection.abort()
            return
        now = asyncio.get_running_loop().time()
        self._idle.setdefault(address, []).append((connection, now))

    def close_idle(self, keep_s: float) -> None:
        """Close connections that were not used for ``keep_s``."""
        oldest = asyncio.get_running_loop().time() - keep_s
        for address, idle in list(self._idle.items()):
            for connection, since in idle:
                if since <= oldest:
                    connection.close()
            left = [pair for pair in idle if pair[1] > oldest]
            if left:
                self._idle[address] = left
            else:
                del self._idle[address]


async def _exchange(
    pool: HttpPool, connection: CheckedHandler, asked: _Asked
) -> Upstream:
    if pool.echo_header:
        connection.expect_echo(pool.echo_header, asked.headers.get(pool.echo_header))
    connection.set_response_params(
        skip_payload=asked.method == "HEAD",
        read_until_eof=True,
        auto_decompress=False,
        read_bufsize=READ_BUFFER_BYTES,
        max_line_size=MAX_LINE_BYTES,
        max_field_size=MAX_LINE_BYTES,
    )
    transport = connection.transport
    if transport is None:
        raise aiohttp.ClientConnectionError("the connection closed while it waited")
    transport.write(_head(asked) + asked.body)
    while True:
        message, content = await connection.read()
        if message.code >= 200:
            break
    if message.should_close:
        connection.force_close()
    return Upstream(message.code, message.headers, content, connection)


def _head(asked: _Asked) -> bytes:
    start = f"{asked.method} {asked.target} HTTP/1.1"
    sized = asked.body or asked.method in _WITH_LENGTH
    return encode_head(start, asked.headers, len(asked.body) if sized else None)


def pool_owner(pool: HttpPool) -> ChildBody:
    """Return the body of the task that closes connections nobody uses."""

    async def run(life: Lifecycle) -> None:
        life.mark_started()
        try:
            while not await life.stops_within(_SWEEP_S):
                pool.close_idle(KEEP_IDLE_S)
        finally:
            pool.close_idle(0.0)

    return run
