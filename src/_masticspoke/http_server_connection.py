"""One connection of the HTTP server: it parses requests and writes their answers."""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from collections.abc import AsyncIterable
from collections.abc import Mapping
from http import HTTPStatus
from typing import final
from typing import TYPE_CHECKING

from aiohttp import EMPTY_PAYLOAD
from aiohttp import StreamReader
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import HttpRequestParser
from aiohttp.http_parser import RawRequestMessage
from loguru import logger
from multidict import CIMultiDict

from _masticspoke.border.http_head import encode_head
from _masticspoke.connections import MAX_LINE_BYTES
from _masticspoke.connections import READ_BUFFER_BYTES
from _masticspoke.decisions.fleet.model import Limits
from _masticspoke.events import Event
from _masticspoke.events import log_event
from _masticspoke.http_messages import BodyTooLongError
from _masticspoke.http_messages import Handler
from _masticspoke.http_messages import IncompleteBodyError
from _masticspoke.http_messages import Request
from _masticspoke.http_messages import Response
from _masticspoke.http_messages import Streamed

if TYPE_CHECKING:
    from _masticspoke.http_server import HttpServer

# Reading from a connection pauses once more requests than this are queued on it, until
# the last of them is taken from the queue.
_MAX_PIPELINED_REQUESTS = 8
# If a request is answered before its body is read, the rest of the body is read for at
# most this long: closing the connection at once would reset it, and the client could
# lose the answer.
_LINGERING_CLOSE_S = 1.0
# The headers are measured only when more bytes than this were received. Operators are
# assumed to set no lower header limit.
_UNMEASURED_HEAD_BYTES = 1_024
_REASON_PHRASES = {status.value: status.phrase for status in HTTPStatus}
# Answers with these statuses never have a body.
_BODILESS_STATUSES = frozenset({204, 304})
_HTTP_1_1 = (1, 1)
_CHUNKED = ("Transfer-Encoding", "chunked")
_LAST_CHUNK = b"0\r\n\r\n"


@final
class ServerConnection(BaseProtocol):
    """One client's connection and the task that answers its requests.

    Each request gets one answer: once a part of it has been written, whatever else the
    handler returns is dropped, and the connection serves no further request.
    """

    __slots__ = (
        "__weakref__",
        "_answer_begun",
        "_handler",
        "_head_started_at",
        "_idle_since",
        "_last_content",
        "_queue",
        "_received_bytes",
        "_request_parser",
        "_server",
        "_stopped_parsing",
        "_task",
        "_waiter",
    )

    def __init__(self, server: HttpServer, handler: Handler) -> None:
        loop = asyncio.get_running_loop()
        super().__init__(loop)
        # The base class pauses ``_parser``, whose declared type is wider.
        self._request_parser = self._parser = HttpRequestParser(
            self,
            loop,
            READ_BUFFER_BYTES,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            auto_decompress=False,
        )
        self._server = server
        self._handler = handler
        # ``None`` is the last item and stands for a malformed request.
        self._queue: deque[tuple[RawRequestMessage, StreamReader] | None] = deque()
        self._last_content: StreamReader = EMPTY_PAYLOAD
        self._waiter: asyncio.Future[None] | None = None
        self._task: asyncio.Task[None] | None = None
        # Whether any part of the answer to the current request has been written.
        self._answer_begun = False
        # Set by a malformed request or a protocol upgrade; later data is ignored.
        self._stopped_parsing = False
        # Counted since the connection was last idle.
        self._received_bytes = 0
        self._idle_since: float | None = loop.time()
        self._head_started_at: float | None = None

    @property
    def remote(self) -> str:
        """IP address of the client; empty once the connection is closed."""
        if self.transport is None:
            return ""
        return str(self.transport.get_extra_info("peername")[0])

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the task that answers the requests."""
        super().connection_made(transport)
        self._server.add(self)
        self._task = asyncio.Task(self._serve_requests(), loop=self._loop)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the current request: no client waits for its answer."""
        super().connection_lost(exc)
        self._server.remove(self)
        if not self._last_content.is_eof():
            self._last_content.set_exception(
                ConnectionResetError("the client closed the connection")
            )
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        """Parse and queue requests; data after a malformed one is ignored."""
        if self._stopped_parsing:
            return
        self._received_bytes += len(data)
        try:
            messages, self._stopped_parsing, _ = self._request_parser.feed_data(data)
        except HttpProcessingError as error:
            self._reject_malformed(error)
        else:
            for message in messages:
                self._queue.append(message)
                self._last_content = message[1]
        self._track_head_start(data)
        if self._queue:
            self._wake()
            if len(self._queue) > _MAX_PIPELINED_REQUESTS and not self._buffer_paused:
                self._pause_reading_for_buffer()

    def _reject_malformed(self, error: HttpProcessingError) -> None:
        logger.debug("malformed HTTP request: {!r}", error)
        self._stopped_parsing = True
        if not self._last_content.is_eof():
            self._last_content.set_exception(error)
        self._queue.append(None)

    def _track_head_start(self, data: bytes) -> None:
        """Record when a head began to arrive on an idle connection."""
        if self._queue or not self._last_content.is_eof():
            self._head_started_at = None
        elif data and self._idle_since is not None and self._head_started_at is None:
            self._head_started_at = self._loop.time()

    def _wake(self) -> None:
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def close_if_overdue(self, limits: Limits, now: float) -> None:
        """Close the connection if it exceeds the idle or the header timeout."""
        if self._queue or self._idle_since is None:
            return
        if self._head_started_at is None:
            if now - self._idle_since > limits.idle_timeout_s:
                self.close()
        elif now - self._head_started_at > limits.header_timeout_s:
            self._write(Response(408), closes=True)
            self.close()

    def close(self) -> None:
        """Close the connection after its written data is sent; cancel its task."""
        if self.transport is not None:
            self.transport.close()
        if self._task is not None:
            self._task.cancel()

    async def _serve_requests(self) -> None:
        try:
            while not await self._serve_request(await self._next_request()):
                continue
        except ConnectionError:
            return  # the client closed the connection
        finally:
            if self.transport is not None:
                self.transport.close()

    async def _next_request(self) -> tuple[RawRequestMessage, StreamReader] | None:
        if not self._queue:
            self._received_bytes = 0
            self._idle_since = self._loop.time()
            self._waiter = self._loop.create_future()
            await self._waiter
            self._idle_since = self._head_started_at = None
        message = self._queue.popleft()
        if not self._queue and self._buffer_paused:
            self._resume_reading_for_buffer()
        return message

    async def _serve_request(
        self, message: tuple[RawRequestMessage, StreamReader] | None
    ) -> bool:
        """Answer one request; return whether the connection must close."""
        if message is None:
            self._write(Response(400), closes=True)
            return True
        head, content = message
        self._answer_begun = False
        self._server.in_flight.begin()
        try:
            request = Request(head.method, head.path, head.headers, content, self)
            response = await self._respond(head, request)
            closes = head.should_close or head.version != _HTTP_1_1
            closes = closes or self._server.draining or self._stopped_parsing
            body_unread = not content.is_eof()
            if isinstance(response, Response) and self._answer_begun:
                log_event(Event.SECOND_ANSWER_DROPPED, status=response.status)
                closes = True
            elif isinstance(response, Response):
                omit_body = head.method == "HEAD"
                self._write(response, closes or body_unread, omit_body)
                await self._drain_helper()
        finally:
            self._server.in_flight.end()
        if body_unread:
            await self._read_rest(content)
        return closes or body_unread

    async def _respond(
        self, head: RawRequestMessage, request: Request
    ) -> Response | Streamed:
        if "Expect" in head.headers and self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if self._received_bytes > _UNMEASURED_HEAD_BYTES:
            limit = self._server.limits.header_bytes
            if sum(len(name) + len(value) for name, value in head.raw_headers) > limit:
                return Response(431)
        try:
            return await self._handler(request)
        except BodyTooLongError:
            return Response(413)
        except IncompleteBodyError:
            return Response(400, body=b"the body did not arrive whole\n")
        except ConnectionError:
            raise
        except Exception as error:
            log_event(Event.HANDLER_CRASHED, error=repr(error))
            logger.opt(exception=error).debug("handler crashed")
            return Response(500)

    async def _read_rest(self, content: StreamReader) -> None:
        with contextlib.suppress(TimeoutError, HttpProcessingError, ConnectionError):
            async with asyncio.timeout(_LINGERING_CLOSE_S):
                while await content.readany():
                    continue

    def _write(self, response: Response, closes: bool, omit_body: bool = False) -> None:
        length: int | None = len(response.body)
        body = response.body
        if omit_body or response.status in _BODILESS_STATUSES:
            length, body = None, b""
        if self.transport is not None:
            head = _encode_response_head(
                response.status, response.headers, length, closes
            )
            self.transport.write(head + body)

    async def stream(
        self,
        status: int,
        headers: Mapping[str, str],
        length: int | None,
        body: AsyncIterable[bytes],
    ) -> Streamed:
        """Write an answer while its body arrives.

        If the body ends with an error, the connection is aborted, so that the client
        cannot mistake a truncated answer for a complete one.

        :param length: bytes of the body; ``None`` to send it in chunks.
        :raises ConnectionResetError: when the client has disconnected.
        """
        if self.transport is None:
            raise ConnectionResetError("the client has left")
        try:
            if length is None:
                headers = CIMultiDict([*headers.items(), _CHUNKED])
            encode = _whole if length is not None else _encode_chunk
            head = _encode_response_head(status, headers, length, self._server.draining)
            self._answer_begun = True
            self.transport.write(head)
            async for chunk in body:
                await self._drain_helper()
                if self.transport is not None:
                    self.transport.write(encode(chunk))
            if length is None and self.transport is not None:
                self.transport.write(_LAST_CHUNK)
            await self._drain_helper()
        except BaseException:
            if self.transport is not None:
                self.transport.abort()
            raise
        return Streamed()


def _whole(chunk: bytes) -> bytes:
    return chunk


def _encode_chunk(chunk: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(chunk), chunk)


def _encode_response_head(
    status: int, headers: Mapping[str, str], length: int | None, closes: bool
) -> bytes:
    status_line = f"HTTP/1.1 {status} {_REASON_PHRASES.get(status, '')}"
    return encode_head(status_line, headers, length, closes)
