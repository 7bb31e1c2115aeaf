"""One connection of the HTTP server: it parses requests and writes their answers."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterable
from collections.abc import Mapping
from typing import final
from typing import TYPE_CHECKING

from aiohttp import EMPTY_PAYLOAD
from aiohttp import StreamReader
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import BadHttpMessage
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import HttpRequestParser
from loguru import logger
from multidict import CIMultiDict

from _masticspoke.border.http_answer import encode_answer_head
from _masticspoke.border.http_answer import encode_chunk
from _masticspoke.border.http_answer import encode_whole
from _masticspoke.border.http_answer import LAST_CHUNK
from _masticspoke.connections import MAX_LINE_BYTES
from _masticspoke.connections import READ_BUFFER_BYTES
from _masticspoke.decisions.fleet.client_timeouts import Awaited
from _masticspoke.decisions.fleet.client_timeouts import became_idle
from _masticspoke.decisions.fleet.client_timeouts import ClientWait
from _masticspoke.decisions.fleet.client_timeouts import overdue
from _masticspoke.decisions.fleet.client_timeouts import received_head
from _masticspoke.decisions.fleet.client_timeouts import received_part_of_head
from _masticspoke.decisions.fleet.model import Limits
from _masticspoke.events import Event
from _masticspoke.events import log_event
from _masticspoke.http_messages import BodyTooLongError
from _masticspoke.http_messages import Handler
from _masticspoke.http_messages import IncompleteBodyError
from _masticspoke.http_messages import NoBodyMemoryError
from _masticspoke.http_messages import Request
from _masticspoke.http_messages import Response
from _masticspoke.http_messages import Streamed
from _masticspoke.http_pipeline import Exchange
from _masticspoke.http_pipeline import Pipeline
from _masticspoke.request_framing import BodyFraming
from _masticspoke.request_framing import HeadFraming

if TYPE_CHECKING:
    from _masticspoke.http_server import HttpServer

# Reading from a connection pauses once more requests than this wait for their turn, and
# goes on when half of them are left: enough to keep all that may run at once busy.
_MAX_PIPELINED_REQUESTS = 8
# If a request is answered before its body is read, the rest of the body is read for at
# most this long: closing the connection at once would reset it, and the client could
# lose the answer. The same holds for requests that a client sends behind the last one
# that is answered.
_LINGERING_CLOSE_S = 1.0
# The headers are measured only when more bytes than this were received. Operators are
# assumed to set no lower header limit.
_UNMEASURED_HEAD_BYTES = 1_024
# Answers with these statuses never have a body.
_BODILESS_STATUSES = frozenset({204, 304})
_CHUNKED = ("Transfer-Encoding", "chunked")
_RESPONSE_BY_ERROR: Mapping[type[Exception], Response] = {
    BodyTooLongError: Response(413),
    NoBodyMemoryError: Response(503),
    IncompleteBodyError: Response(400, body=b"the body did not arrive whole\n"),
}


@final
class ServerConnection(BaseProtocol):
    """One client's connection and the task that answers its requests.

    The task writes the answers in the order of the requests. Each request gets one
    answer: once a part of it has been written, whatever else the handler returns is
    dropped, and the connection starts no further request.
    """

    __slots__ = (
        "__weakref__",
        "_client_wait",
        "_framing",
        "_handler",
        "_head_framing",
        "_held_data",
        "_is_lingering",
        "_is_pipelined",
        "_last_content",
        "_pipeline",
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
        self._request_parser = self._parser = self._new_parser()
        self._head_framing = HeadFraming()
        # Of the body that arrives; ``None`` while a head does.
        self._framing: BodyFraming | None = None
        # Arrived behind a body that the parser has not taken yet.
        self._held_data = b""
        self._server = server
        self._handler = handler
        self._pipeline = Pipeline(
            self._respond, server.concurrent, server.ahead, server.in_flight
        )
        self._last_content: StreamReader = EMPTY_PAYLOAD
        self._waiter: asyncio.Future[None] | None = None
        self._task: asyncio.Task[None] | None = None
        # Set by a malformed request or a protocol upgrade; later data is ignored.
        self._stopped_parsing = False
        # Whether the client has sent a request before it had the answer to another one.
        self._is_pipelined = False
        self._is_lingering = False
        # Counted since the connection was last idle.
        self._received_bytes = 0
        self._client_wait = ClientWait(loop.time())

    def _new_parser(self) -> HttpRequestParser:
        return HttpRequestParser(
            self,
            self._loop,
            READ_BUFFER_BYTES,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            auto_decompress=False,
        )

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
        """Cancel all requests: no client waits for their answers."""
        super().connection_lost(exc)
        self._server.remove(self)
        if not self._last_content.is_eof():
            self._last_content.set_exception(
                ConnectionResetError("the client closed the connection")
            )
        self._cancel()

    def _cancel(self) -> None:
        self._pipeline.cancel()
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        """Parse and queue requests; data after a malformed one is ignored."""
        if self._stopped_parsing:
            return
        self._received_bytes += len(data)
        try:
            self._parse(data)
        except HttpProcessingError as error:
            self._reject_malformed(error)
        waiting = len(self._pipeline)
        if waiting:
            self._wake()
            self._is_pipelined |= waiting > 1 or self._pipeline.is_in_turn
            if not self._server.draining:
                self._pipeline.start_ahead()
            if waiting > _MAX_PIPELINED_REQUESTS and not self._buffer_paused:
                self._pause_reading_for_buffer()

    def _parse(self, data: bytes) -> None:
        """Parse data and queue its requests.

        The parser gets one head or body at a time: when it raises an error, such as for
        data behind a request that closes the connection, it drops what it found in the
        same call. It puts the last line of a trailer into the next head, so that a
        chunked body is followed by another parser.
        """
        data, self._held_data = self._held_data + data, b""
        start, length = 0, len(data)
        while not self._stopped_parsing:
            framing = self._framing
            found = (framing or self._head_framing).end_in(data, start)
            end = length if found is None else found
            self._parse_part(data if end - start == length else data[start:end])
            start = end
            if framing is not None and found is not None:
                self._end_body(framing)
                if self._framing is not None:
                    self._held_data = data[start:]
                    return
            if start == length:
                return

    def _parse_part(self, part: bytes) -> None:
        messages, self._stopped_parsing, _ = self._request_parser.feed_data(part)
        for head, content in messages:
            self._pipeline.append(Exchange(head, content, self._server.bodies))
            self._last_content = content
            if not content.is_eof():
                self._framing = BodyFraming(head)
        if messages:
            received_head(self._client_wait)
        elif self._framing is None:
            received_part_of_head(self._client_wait, part, self._loop.time())

    def _end_body(self, framing: BodyFraming) -> None:
        """Prepare for the next head, unless the parser has paused within the body.

        :raises HttpProcessingError: if the parser expects more of the body.
        """
        if self._last_content.is_eof():
            self._framing = None
            if framing.is_chunked:
                self._request_parser = self._parser = self._new_parser()
        elif not self._reading_paused:
            raise BadHttpMessage("the end of the body is not clear")

    def _reject_malformed(self, error: HttpProcessingError) -> None:
        logger.debug("malformed HTTP request: {!r}", error)
        self._stopped_parsing = True
        if not self._last_content.is_eof():
            self._last_content.set_exception(error)
        self._pipeline.append(None)

    def _wake(self) -> None:
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def close_if_overdue(self, limits: Limits, now: float) -> Awaited | None:
        """Close the connection if it exceeds the idle or the header timeout.

        :return: what the client has not sent in time.
        """
        if self.transport is None or self.transport.is_closing():
            return None
        is_serving = not self._pipeline.is_idle
        late = overdue(self._client_wait, limits, now, is_serving=is_serving)
        if late is Awaited.REST_OF_HEAD:
            self._write(Response(408), closes=True)
        if late is not None:
            self.close()
        return late

    def close(self) -> None:
        """Close the connection after its written data is sent; cancel its requests."""
        if self._is_lingering:
            return  # all its answers are written, and it closes in a moment
        if self.transport is not None:
            self.transport.close()
        self._cancel()

    async def _serve_requests(self) -> None:
        try:
            while not await self._serve_request(await self._next_request()):
                continue
            if self._is_pipelined:
                await self._linger()
        except ConnectionError:
            return  # the client closed the connection
        finally:
            self._pipeline.cancel()
            if self.transport is not None:
                self.transport.close()

    async def _linger(self) -> None:
        """Wait until the client closes the connection; discard what it sends."""
        self._is_lingering = self._stopped_parsing = True
        self._pipeline.cancel()
        if self.transport is not None and self.transport.can_write_eof():
            self.transport.write_eof()
        if self._buffer_paused:
            self._resume_reading_for_buffer()
        await asyncio.sleep(_LINGERING_CLOSE_S)

    async def _next_request(self) -> Exchange | None:
        self._pipeline.finish_turn()
        if not self._pipeline:
            became_idle(self._client_wait, self._loop.time())
            if self._client_wait.head_since is None:
                self._received_bytes = 0
            self._waiter = self._loop.create_future()
            await self._waiter
        if self._server.draining:
            self._pipeline.stop()
        exchange = self._pipeline.take()
        if self._buffer_paused and len(self._pipeline) <= _MAX_PIPELINED_REQUESTS // 2:
            self._resume_reading_for_buffer()
        return exchange

    async def _serve_request(self, exchange: Exchange | None) -> bool:
        """Answer one request; return whether the connection must close."""
        if exchange is None:
            self._write(Response(400), closes=True)
            return True
        if exchange.task is None:
            self._server.in_flight.begin()
        try:
            response = await (exchange.task or self._respond(exchange))
            closes = self._closes_after(exchange)
            if isinstance(response, Response) and exchange.answer_begun:
                log_event(Event.SECOND_ANSWER_DROPPED, status=response.status)
                self._pipeline.stop()
                closes = not self._pipeline.is_next_started
            elif isinstance(response, Response):
                self._write(response, closes, exchange.head.method == "HEAD")
                await self._drain_helper()
        finally:
            self._server.in_flight.end()
        if not exchange.content.is_eof():
            await self._read_rest(exchange.content)
        return closes

    def _closes_after(self, exchange: Exchange) -> bool:
        """Return whether the connection closes after the answer to a request.

        Requests that were started already are answered before it closes.
        """
        if (
            exchange.closes
            or self._server.draining
            or self._stopped_parsing
            or not exchange.content.is_eof()
        ):
            self._pipeline.stop()
        return self._pipeline.is_stopped and not self._pipeline.is_next_started

    async def _respond(self, exchange: Exchange) -> Response | Streamed:
        head = exchange.head
        if self._received_bytes > _UNMEASURED_HEAD_BYTES:
            limit = self._server.limits.header_bytes
            if sum(len(name) + len(value) for name, value in head.raw_headers) > limit:
                return Response(431)
        request = Request(
            head.method, head.path, head.headers, exchange.content, self, exchange
        )
        try:
            return await self._handler(request)
        except (BodyTooLongError, NoBodyMemoryError, IncompleteBodyError) as error:
            return _RESPONSE_BY_ERROR[type(error)]
        except ConnectionError:
            raise
        except Exception as error:
            log_event(Event.HANDLER_CRASHED, error=repr(error))
            logger.opt(exception=error).debug("handler crashed")
            return Response(500)
        finally:
            exchange.release_body()

    def send_continue(self) -> None:
        """Tell a client that asks first that the body may be sent."""
        if self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

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
            head = encode_answer_head(response.status, response.headers, length, closes)
            self.transport.write(head + body)

    async def stream(
        self,
        exchange: Exchange,
        status: int,
        headers: Mapping[str, str],
        length: int | None,
        body: AsyncIterable[bytes],
    ) -> Streamed:
        """Write an answer while its body arrives, once it is its turn.

        If the body ends with an error, the connection is aborted, so that the client
        cannot mistake a truncated answer for a complete one.

        :param length: bytes of the body; ``None`` to send it in chunks.
        :raises ConnectionResetError: when the client has disconnected.
        """
        await exchange.wait_for_turn()
        if self.transport is None:
            raise ConnectionResetError("the client has left")
        try:
            if length is None:
                headers = CIMultiDict([*headers.items(), _CHUNKED])
            encode = encode_whole if length is not None else encode_chunk
            closes = self._closes_after(exchange)
            head = encode_answer_head(status, headers, length, closes)
            exchange.answer_begun = True
            self.transport.write(head)
            async for chunk in body:
                await self._drain_helper()
                if self.transport is not None:
                    self.transport.write(encode(chunk))
            if length is None and self.transport is not None:
                self.transport.write(LAST_CHUNK)
            await self._drain_helper()
        except BaseException:
            if self.transport is not None:
                self.transport.abort()
            raise
        return Streamed()
