"""Client connections of one supervisor branch, and the task that owns them."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import socket
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import final

import aiohttp
from aiohttp.client_proto import ResponseHandler

from _masticspoke.answer_boundary import Behind
from _masticspoke.answer_boundary import behind_answer
from _masticspoke.decisions.answer_origin import joins_heads
from _masticspoke.decisions.statuses import is_interim
from _masticspoke.decisions.statuses import is_invalid
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle

# Below the usual idle timeouts of servers, which are 5 s and more.
KEEP_IDLE_S = 4.0
# The kernel closes a connection when sent data stays unacknowledged for this long.
TCP_USER_TIMEOUT_MS = 1_500
# The kernel closes a connection whose peer has answered no probe: first probe and
# interval in seconds, and their number.
TCP_KEEPALIVE = {
    socket.TCP_KEEPIDLE: 1,
    socket.TCP_KEEPINTVL: 1,
    socket.TCP_KEEPCNT: 1,
}
# Longest wait for the session to close. A connection with unsent data for an
# unreachable peer delays it.
_CLOSE_TIMEOUT_S = 0.1
READ_BUFFER_BYTES = 65_536
# Longest request or header line; limits that operators configure are lower.
MAX_LINE_BYTES = 65_536
# Longest head of an answer, and most heads that may come before it: interim answers and
# late answers to earlier requests.
MAX_HEAD_BYTES = 131_072
MAX_EARLIER_HEADS = 16
# Errors that are raised before any part of the request is sent.
NOT_CONNECTED = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
_SKIPPED_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
# Takes status and headers of an answer.
IsLast = Callable[[int, Mapping[str, str]], bool]


def _is_never_last(status: int, headers: Mapping[str, str]) -> bool:
    return False


@final
class CheckedHandler(ResponseHandler):
    """A client connection that aborts on data that belongs to no request.

    It also aborts on a head without end, on heads without end before an answer, on a
    status that no answer has, on a head that is joined to the beginning of an answer to
    an earlier request, and on two answers where one is due.

    :param is_last: returns whether the connection is closed after an answer.
    """

    def __init__(self, loop: Any, is_last: IsLast = _is_never_last) -> None:
        super().__init__(loop)
        self._is_last = is_last
        self._awaits_head = False
        self._head_bytes = 0
        self._heads = 0
        self._answers = 0
        self._requests = 0
        self._is_parsing = False

    def set_response_params(self, **options: Any) -> None:
        """Prepare for the answer to the next request."""
        self._awaits_head = True
        self._head_bytes = self._heads = self._answers = 0
        self._requests += 1
        super().set_response_params(**options)

    async def read(self) -> Any:
        """Read the head and body of the answer."""
        answer = await super().read()
        self._awaits_head = is_interim(answer[0].code)
        return answer

    def data_received(self, data: bytes) -> None:
        """Parse data of an expected answer; abort the connection on any other data."""
        idle = self._payload is None or self._payload.is_eof()
        if data and not self._awaits_head and idle:
            self.abort()
            return
        self._head_bytes += len(data)
        self._is_parsing = True
        try:
            super().data_received(data)
        finally:
            self._is_parsing = False
        if not self._awaits_head and self.should_close and self._has_whole_answer:
            # aiohttp releases a connection within the parser's call that ends the body,
            # when what is behind the body has not been parsed.
            self.abort()
            return
        if self._awaits_head and (
            (self._heads == 0 and self._head_bytes > MAX_HEAD_BYTES)
            or self._heads > MAX_EARLIER_HEADS
        ):
            self._reject("the head has no end")

    @property
    def _has_whole_answer(self) -> bool:
        return self._payload is not None and self._payload.is_eof()

    @property
    def should_close(self) -> bool:
        """Whether the connection can serve no further request.

        It must have received the whole answer and nothing behind it.
        """
        if super().should_close:
            return True
        if self._is_parsing or not self._has_whole_answer or self._parser is None:
            return False
        if behind_answer(self._parser) is Behind.PART_OF_HEAD:
            self.force_close()
        return self._should_close

    def _reject(self, reason: str) -> None:
        """Abort the connection; whoever waits for the answer gets an error.

        aiohttp's handler forgets at its abort the error that it had, and a reader that
        comes later would get the end of the stream.
        """
        self.abort()
        self.set_exception(aiohttp.ClientPayloadError(reason))

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Pass on a head that has arrived whole."""
        self._heads += 1
        head, _ = data
        if not self._awaits_head:
            # aiohttp has released the connection within this call of the parser.
            self.abort()
            return
        if is_invalid(head.code):
            self._reject(f"invalid status {head.code}")
            return
        joined = joins_heads(head.reason, head.headers.values())
        if joined and self._requests > 1:
            self._reject("joined heads on a used connection")
            return
        self._answers += not is_interim(head.code)
        if self._answers > 1 and self._requests > 1:
            # The first one may be a copy of the answer to an earlier request.
            self._buffer.clear()
            self._reject("two answers to one request on a used connection")
            return
        # The next answers of such a server can't be told from joined heads.
        if joined or self._is_last(head.code, head.headers):
            self.force_close()
        super().feed_data(data, size)

    def abort(self) -> None:
        """Close the connection at once; a body that is not complete ends with an error.

        aiohttp's handler forgets the body: a reader would wait for ever, or take the
        end of the connection for the end of the body.
        """
        body = self._payload
        super().abort()
        if body is not None and not body.is_eof():
            body.set_exception(aiohttp.ClientPayloadError("the connection was aborted"))


@final
class _Connector(aiohttp.TCPConnector):
    """Connector that creates :class:`CheckedHandler` connections."""

    def __init__(self, is_last: IsLast, **options: Any) -> None:
        super().__init__(**options)
        self._factory = functools.partial(  # type: ignore[assignment]
            CheckedHandler, loop=self._loop, is_last=is_last
        )


def _new_socket(address_info: Any) -> socket.socket:
    family, kind, protocol, _, _ = address_info
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    return sock


def _new_probed_socket(address_info: Any) -> socket.socket:
    sock = _new_socket(address_info)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in TCP_KEEPALIVE.items():
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    return sock


@final
class Connections:
    """A client session, open while its owner runs; see :func:`connection_owner`.

    :param probed: whether the kernel probes idle connections. A lost probe closes a
        connection, so its requests must be harmless to repeat.
    :param is_last: returns whether a connection is closed after an answer with this
        status and these headers.
    """

    def __init__(self, probed: bool = False, is_last: IsLast = _is_never_last) -> None:
        self._session: aiohttp.ClientSession | None = None
        self._probed = probed
        self._is_last = is_last

    @property
    def session(self) -> aiohttp.ClientSession:
        """The open session.

        :raises RuntimeError: when the owning task is not running.
        """
        if self._session is None:
            raise RuntimeError(
                "the client session is closed because its task is not running"
            )
        return self._session

    async def open(self, connect_timeout_s: float) -> None:
        """Open the session.

        :param connect_timeout_s: seconds to establish a connection.
        """
        self._session = aiohttp.ClientSession(
            connector=_connector(
                _new_probed_socket if self._probed else _new_socket, self._is_last
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=_SKIPPED_AUTO_HEADERS,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_timeout_s),
            read_bufsize=READ_BUFFER_BYTES,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            middlewares=(_prevent_resend,),
        )

    async def close(self) -> None:
        """Close all connections; unresponsive peers delay this by a bounded time."""
        session, self._session = self._session, None
        if session is not None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_CLOSE_TIMEOUT_S):
                    await session.close()


def _connector(
    socket_factory: Callable[[Any], socket.socket], is_last: IsLast
) -> _Connector:
    return _Connector(
        is_last,
        limit=0,
        use_dns_cache=False,
        socket_factory=socket_factory,
        keepalive_timeout=KEEP_IDLE_S,
    )


async def _prevent_resend(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Middleware that keeps aiohttp from resending a request that may have run.

    aiohttp resends a request with an idempotent method when the connection fails with
    one of the two errors that are replaced here by their common base class, after which
    it does not resend.
    """
    try:
        return await handler(request)
    except NOT_CONNECTED:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise aiohttp.ClientConnectionError(repr(error)) from error


@contextlib.asynccontextmanager
async def open_session(
    connect_timeout_s: float,
) -> AsyncIterator[aiohttp.ClientSession]:
    """Yield a client session that only the calling task uses, with probed connections.

    :param connect_timeout_s: seconds to establish a connection.
    """
    connections = Connections(probed=True)
    await connections.open(connect_timeout_s)
    try:
        yield connections.session
    finally:
        await connections.close()


def connection_owner(connections: Connections, connect_timeout_s: float) -> ChildBody:
    """Return a child body that keeps ``connections`` open while it runs."""

    async def run(life: Lifecycle) -> None:
        await connections.open(connect_timeout_s)
        try:
            life.mark_started()
            await life.stopping()
        finally:
            await connections.close()

    return run
