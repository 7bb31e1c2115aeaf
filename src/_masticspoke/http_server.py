"""A small HTTP/1.1 server for the path of each request, on aiohttp's parser.

The server of aiohttp costs a node more processor time than its decisions. This one does
what a hop needs: kept connections, one request at a time on each, whole or streamed
answers, and limits on what a client may send.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from http import HTTPStatus
from typing import final

from aiohttp import ClientPayloadError
from aiohttp import EMPTY_PAYLOAD
from aiohttp import StreamReader
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import HttpRequestParser
from aiohttp.http_parser import RawRequestMessage
from loguru import logger
from multidict import CIMultiDictProxy

from _masticspoke.border.http_head import encode_head
from _masticspoke.connections import MAX_LINE_BYTES
from _masticspoke.connections import READ_BUFFER_BYTES
from _masticspoke.decisions.fleet.model import Limits
from _masticspoke.events import Event
from _masticspoke.events import log_event
from _masticspoke.in_flight import InFlight

# Requests of one connection that wait behind the one in hand before reading pauses.
_MAX_PIPELINED = 8
# What a client still sends after an early answer is read this long, so that closing
# the connection does not take the answer away from it, seconds.
_LINGER_S = 1.0
# No operator allows fewer bytes of headers; only longer ones are measured.
_SHORT_HEAD_BYTES = 1_024
_REASONS = {status.value: status.phrase for status in HTTPStatus}
# Statuses whose answers never have a body.
_BODILESS = frozenset({204, 304})
_HTTP_1_1 = (1, 1)


@final
class BodyTooLongError(Exception):
    """A request's body is longer than its client may send."""


@final
class BodyBrokenError(Exception):
    """A request's body did not arrive whole."""


@final
@dataclass(frozen=True, slots=True)
class Response:
    """A whole answer.

    :param headers: without those that frame the body.
    """

    status: int
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""


@final
@dataclass(frozen=True, slots=True)
class Streamed:
    """The answer was passed on while it arrived."""


@final
@dataclass(frozen=True, slots=True)
class Request:
    """One request of a client.

    :param target: path and query as they were written.
    :param content: its body, read as it arrives.
    """

    method: str
    target: str
    headers: CIMultiDictProxy[str]
    content: StreamReader
    connection: ServerConnection

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def remote(self) -> str:
        """IP address of the client."""
        return self.connection.remote

    async def body(self, most_bytes: int) -> bytes:
        """Return the whole body.

        :raises BodyTooLongError: when it is longer than ``most_bytes``.
        :raises BodyBrokenError: when it does not arrive whole.
        """
        if self.content is EMPTY_PAYLOAD:
            return b""
        length = self.headers.get("Content-Length")
        if length is not None and int(length) > most_bytes:
            raise BodyTooLongError
        found = bytearray()
        try:
            while chunk := await self.content.readany():
                found += chunk
                if len(found) > most_bytes:
                    raise BodyTooLongError
        except (HttpProcessingError, ClientPayloadError) as error:
            raise BodyBrokenError from error
        return bytes(found)

    async def stream(
        self, status: int, headers: Mapping[str, str], length: int, body: StreamReader
    ) -> Streamed:
        """Pass on an answer of ``length`` bytes; break the connection if it is cut."""
        return await self.connection.stream(status, headers, length, body)


Handler = Callable[[Request], Awaitable[Response | Streamed]]


@final
class HttpServer:
    """All connections of one listening socket.

    :param handler: answers a request; cancelled when its client leaves.
    :param limits: asked anew for each request.
    :param leaving: whether each answer closes its connection.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], Limits],
        leaving: Callable[[], bool],
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._is_leaving = leaving
        self._connections: set[ServerConnection] = set()
        self._in_flight = InFlight()

    @property
    def in_flight(self) -> InFlight:
        """Requests whose answer is not written yet."""
        return self._in_flight

    @property
    def leaving(self) -> bool:
        """Whether each answer closes its connection."""
        return self._is_leaving()

    @property
    def limits(self) -> Limits:
        """The limits in force."""
        return self._limits()

    def __call__(self) -> ServerConnection:
        """Return the protocol of a new connection."""
        return ServerConnection(self, self._handler)

    def add(self, connection: ServerConnection) -> None:
        """Count a connection."""
        self._connections.add(connection)

    def remove(self, connection: ServerConnection) -> None:
        """Forget a connection that was lost."""
        self._connections.discard(connection)

    def close(self) -> None:
        """Close all connections; requests in flight are cut."""
        for connection in tuple(self._connections):
            connection.close()

    def sweep(self, now: float) -> None:
        """Close connections that are idle or slow beyond the limits.

        :param now: time of the event loop's clock.
        """
        limits = self.limits
        for connection in tuple(self._connections):
            connection.check(limits, now)


@final
class ServerConnection(BaseProtocol):
    """One client's connection and the task that answers its requests."""

    __slots__ = (
        "__weakref__",
        "_broken",
        "_handler",
        "_head_since",
        "_idle_since",
        "_last",
        "_queue",
        "_received",
        "_requests",
        "_server",
        "_task",
        "_waiter",
    )

    def __init__(self, server: HttpServer, handler: Handler) -> None:
        loop = asyncio.get_running_loop()
        super().__init__(loop)
        self._requests = self._parser = HttpRequestParser(
            self,
            loop,
            READ_BUFFER_BYTES,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            auto_decompress=False,
        )
        self._server = server
        self._handler = handler
        self._queue: deque[tuple[RawRequestMessage, StreamReader] | None] = deque()
        self._last: StreamReader = EMPTY_PAYLOAD
        self._waiter: asyncio.Future[None] | None = None
        self._task: asyncio.Task[None] | None = None
        self._broken = False
        self._received = 0
        self._idle_since: float | None = loop.time()
        self._head_since: float | None = None

    @property
    def remote(self) -> str:
        """IP address of the client; empty when it has left."""
        if self.transport is None:
            return ""
        return str(self.transport.get_extra_info("peername")[0])

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to answer."""
        super().connection_made(transport)
        self._server.add(self)
        self._task = asyncio.Task(self._answer_all(), loop=self._loop)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the request in hand: nobody waits for its answer."""
        super().connection_lost(exc)
        self._server.remove(self)
        if not self._last.is_eof():
            self._last.set_exception(ConnectionResetError("the client has left"))
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        """Parse requests; what follows a broken one is not read."""
        if self._broken:
            return
        self._received += len(data)
        try:
            messages, self._broken, _ = self._requests.feed_data(data)
        except HttpProcessingError as error:
            self._break(error)
        else:
            for message in messages:
                self._queue.append(message)
                self._last = message[1]
        self._note_head(data)
        if self._queue:
            self._wake()
            if len(self._queue) > _MAX_PIPELINED and not self._buffer_paused:
                self._pause_reading_for_buffer()

    def _break(self, error: HttpProcessingError) -> None:
        logger.debug("not HTTP: {!r}", error)
        self._broken = True
        if not self._last.is_eof():
            self._last.set_exception(error)
        self._queue.append(None)

    def _note_head(self, data: bytes) -> None:
        if self._queue or not self._last.is_eof():
            self._head_since = None
        elif data and self._idle_since is not None and self._head_since is None:
            self._head_since = self._loop.time()

    def _wake(self) -> None:
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def check(self, limits: Limits, now: float) -> None:
        """Close the connection if it is idle or slow beyond the limits."""
        if self._queue or self._idle_since is None:
            return
        if self._head_since is None:
            if now - self._idle_since > limits.idle_timeout_s:
                self.close()
        elif now - self._head_since > limits.header_timeout_s:
            self._write(Response(408), closes=True)
            self.close()

    def close(self) -> None:
        """Close the connection once what was written has been sent."""
        if self.transport is not None:
            self.transport.close()
        if self._task is not None:
            self._task.cancel()

    async def _answer_all(self) -> None:
        try:
            while not await self._answer(await self._next()):
                continue
        except ConnectionError:
            return  # the client has left
        finally:
            if self.transport is not None:
                self.transport.close()

    async def _next(self) -> tuple[RawRequestMessage, StreamReader] | None:
        if not self._queue:
            self._received = 0
            self._idle_since = self._loop.time()
            self._waiter = self._loop.create_future()
            await self._waiter
            self._idle_since = self._head_since = None
        message = self._queue.popleft()
        if not self._queue and self._buffer_paused:
            self._resume_reading_for_buffer()
        return message

    async def _answer(
        self, message: tuple[RawRequestMessage, StreamReader] | None
    ) -> bool:
        """Answer one request; return whether the connection ends."""
        if message is None:
            self._write(Response(400), closes=True)
            return True
        head, content = message
        self._server.in_flight.begin()
        try:
            request = Request(head.method, head.path, head.headers, content, self)
            response = await self._respond(head, request)
            closes = head.should_close or head.version != _HTTP_1_1
            closes = closes or self._server.leaving or self._broken
            early = not content.is_eof()
            if isinstance(response, Response):
                bodiless = head.method == "HEAD"
                self._write(response, closes or early, bodiless)
                await self._drain_helper()
        finally:
            self._server.in_flight.end()
        if early:
            await self._linger(content)
        return closes or early

    async def _respond(
        self, head: RawRequestMessage, request: Request
    ) -> Response | Streamed:
        if "Expect" in head.headers and self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if self._received > _SHORT_HEAD_BYTES:
            limit = self._server.limits.header_bytes
            if sum(len(name) + len(value) for name, value in head.raw_headers) > limit:
                return Response(431)
        try:
            return await self._handler(request)
        except BodyTooLongError:
            return Response(413)
        except BodyBrokenError:
            return Response(400, body=b"the body did not arrive whole\n")
        except ConnectionError:
            raise
        except Exception as error:
            log_event(Event.HANDLER_CRASHED, error=repr(error))
            logger.opt(exception=error).debug("handler crashed")
            return Response(500)

    async def _linger(self, content: StreamReader) -> None:
        with contextlib.suppress(TimeoutError, HttpProcessingError, ConnectionError):
            async with asyncio.timeout(_LINGER_S):
                while await content.readany():
                    continue

    def _write(self, response: Response, closes: bool, bodiless: bool = False) -> None:
        length: int | None = len(response.body)
        body = response.body
        if bodiless or response.status in _BODILESS:
            length, body = None, b""
        if self.transport is not None:
            head = _head(response.status, response.headers, length, closes)
            self.transport.write(head + body)

    async def stream(
        self, status: int, headers: Mapping[str, str], length: int, body: StreamReader
    ) -> Streamed:
        """Write an answer while it arrives; abort the connection if it is cut."""
        if self.transport is None:
            raise ConnectionResetError("the client has left")
        try:
            head = _head(status, headers, length, self._server.leaving)
            self.transport.write(head)
            async for chunk in body.iter_any():
                await self._drain_helper()
                if self.transport is not None:
                    self.transport.write(chunk)
            await self._drain_helper()
        except BaseException:
            if self.transport is not None:
                self.transport.abort()
            raise
        return Streamed()


def _head(
    status: int, headers: Mapping[str, str], length: int | None, closes: bool
) -> bytes:
    start = f"HTTP/1.1 {status} {_REASONS.get(status, '')}"
    return encode_head(start, headers, length, closes)
