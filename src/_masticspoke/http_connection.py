"""One client connection of a pool: sends requests in turn and parses their answers.

It is built on aiohttp's parser, which it keeps for all answers of the connection. Bytes
that belong to no request abort it, as do a head without end, heads without end, and a
status that no answer has.
"""

from __future__ import annotations

import asyncio
import re
from collections import deque
from http import HTTPStatus
from itertools import count
from typing import cast
from typing import final

from aiohttp import ClientConnectionError
from aiohttp import ClientOSError
from aiohttp import ClientPayloadError
from aiohttp import EMPTY_PAYLOAD
from aiohttp import ServerDisconnectedError
from aiohttp import StreamReader
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_parser import HttpResponseParser
from aiohttp.http_parser import RawResponseMessage
from loguru import logger

from _masticspoke.answer_boundary import Behind
from _masticspoke.answer_boundary import behind_answer
from _masticspoke.connections import MAX_EARLIER_HEADS
from _masticspoke.connections import MAX_HEAD_BYTES
from _masticspoke.connections import MAX_LINE_BYTES
from _masticspoke.connections import READ_BUFFER_BYTES
from _masticspoke.decisions.answer_origin import joins_heads
from _masticspoke.decisions.answer_origin import Origin
from _masticspoke.decisions.answer_origin import origin_of_answer
from _masticspoke.decisions.statuses import is_invalid
from _masticspoke.foreign_bytes import ForeignBytes
from _masticspoke.foreign_bytes import ignore_foreign_bytes
from _masticspoke.foreign_bytes import MAX_SAMPLE_BYTES
from _masticspoke.foreign_bytes import OnForeignBytes
from _masticspoke.foreign_bytes import Place

# Answers with these statuses never have a body.
_BODILESS_STATUSES = frozenset({HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED})
# Bytes beside the name and the value in the line of a header, in a body that is
# searched for one.
_MAX_LINE_SPACE = 32
_ACCOUNTED_FOR = frozenset({Origin.OWN, Origin.INTERIM})
_UNCERTAIN = frozenset({Origin.UNNAMED, Origin.SEVERAL, Origin.JOINED})
_numbers = count(1)
Answer = tuple[RawResponseMessage, StreamReader]


@final
class ClientConnection(BaseProtocol):
    """A connection that serves one request at a time.

    :param on_foreign_bytes: is told of bytes that no request accounts for.
    """

    __slots__ = (
        "__weakref__",
        "_answers",
        "_awaits_head",
        "_body",
        "_closes",
        "_error",
        "_expected_echo",
        "_first_bytes",
        "_head_bytes",
        "_heads",
        "_last_bytes",
        "_number",
        "_on_foreign_bytes",
        "_requests",
        "_reset",
        "_response_parser",
        "_server",
        "_skips_body",
        "_waiter",
    )

    def __init__(self, on_foreign_bytes: OnForeignBytes = ignore_foreign_bytes) -> None:
        super().__init__(asyncio.get_running_loop())
        self._on_foreign_bytes = on_foreign_bytes
        self._number = next(_numbers)
        self._server = ""
        # Of the data since the last request was sent.
        self._first_bytes = b""
        self._last_bytes = b""
        self._response_parser: HttpResponseParser | None = None
        self._skips_body = False
        self._answers: deque[Answer] = deque()
        # Body of the last answer; it may still arrive.
        self._body: StreamReader | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._error: Exception | None = None
        self._awaits_head = False
        self._head_bytes = 0
        self._heads = 0
        self._requests = 0
        self._closes = False
        self._reset = False
        self._expected_echo: tuple[str, str] | None = None

    @property
    def number(self) -> int:
        """Number of the connection, unique in this process."""
        return self._number

    @property
    def was_reset(self) -> bool:
        """Whether the connection ended with an error."""
        return self._reset

    @property
    def was_reused(self) -> bool:
        """Whether the request is not the first one on the connection."""
        return self._requests > 1

    @property
    def is_connected(self) -> bool:
        """Whether the connection is open."""
        return self.transport is not None and not self.transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; event loops set ``TCP_NODELAY`` themselves."""
        # uvloop's transports are no subclass of asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        peer = transport.get_extra_info("peername")
        if peer is not None:
            self._server = f"{peer[0]}:{peer[1]}"

    def send(
        self, request: bytes, *, skips_body: bool, echo: tuple[str, str] | None
    ) -> None:
        """Send a request; :meth:`read_answer` returns its answer.

        :param skips_body: whether the answer has no body whatever its head says.
        :param echo: header that the answer repeats and its value. Answers with another
            value belong to earlier requests, and so may those without it unless the
            request is the first one; ``None`` accepts any answer.
        :raises aiohttp.ClientConnectionError: when the connection is closed.
        """
        if self.transport is None:
            raise ClientConnectionError("the connection closed while it waited")
        if self._response_parser is None or self._skips_body or skips_body:
            self._skips_body = skips_body
            # The base class pauses ``_parser``, whose declared type is wider.
            self._response_parser = self._parser = HttpResponseParser(
                self,
                self._loop,
                READ_BUFFER_BYTES,
                payload_exception=ClientPayloadError,
                response_with_body=not skips_body,
                read_until_eof=True,
                auto_decompress=False,
                max_line_size=MAX_LINE_BYTES,
                max_field_size=MAX_LINE_BYTES,
            )
        self._expected_echo = echo
        self._awaits_head = True
        self._head_bytes = self._heads = 0
        self._first_bytes = b""
        self._requests += 1
        self.transport.write(request)

    async def read_answer(self) -> Answer:
        """Return head and body of the answer; discard interim and earlier answers.

        :raises aiohttp.ClientError: when the connection fails, or the answer can't be
            told from one to an earlier request.
        """
        while True:
            if not self._answers:
                await self._wait_for_answer()
            head, body = self._answers.popleft()
            origin = self._origin(head)
            if origin is Origin.OWN:
                self._awaits_head = False
                return head, body
            if origin in _UNCERTAIN:
                raise ClientPayloadError(f"{origin.value} on a used connection")
            await self._discard(body)

    async def _discard(self, body: StreamReader) -> None:
        """Read a body that belongs to no request.

        :raises aiohttp.ClientPayloadError: when it was cut off, and holds the answer to
            the present request.
        """
        header, value = self._expected_echo or ("", "")
        name, own_id = header.encode(), value.encode()
        line = rb"\n%b:[ \t]*%b[ \t]*\r?\n" % (re.escape(name), re.escape(own_id))
        pattern = re.compile(line, re.IGNORECASE)
        kept = len(name) + len(own_id) + _MAX_LINE_SPACE
        end = b""
        while chunk := await body.readany():
            end += chunk
            if value and pattern.search(end):
                raise ClientPayloadError("the answer is in the body of another one")
            end = end[-kept:]

    async def _wait_for_answer(self) -> None:
        if self._error is not None:
            raise self._error
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _origin(self, head: RawResponseMessage) -> Origin:
        header, value = self._expected_echo or ("", None)
        joined = value is not None and joins_heads(head.reason, head.headers.values())
        # The next answers of such a server can't be told from joined heads.
        self._closes = self._closes or joined
        origin = origin_of_answer(
            head.code,
            head.headers.getall(header, []),
            value,
            joined=joined,
            was_used=self.was_reused,
        )
        if origin not in _ACCOUNTED_FOR:
            self._report(Place.AHEAD, origin, self._first_bytes)
        return origin

    def _report(self, place: Place, origin: Origin, sample: bytes) -> None:
        report = ForeignBytes(
            self._server,
            self._number,
            self._requests,
            place,
            origin,
            "" if self._expected_echo is None else self._expected_echo[1],
            sample[:MAX_SAMPLE_BYTES],
        )
        self._on_foreign_bytes(report)

    def data_received(self, data: bytes) -> None:
        """Parse data of an expected answer; abort the connection on any other data."""
        parser = self._response_parser
        idle = self._body is None or self._body.is_eof()
        if parser is None or (data and idle and not self._awaits_head):
            self._report(Place.IDLE, Origin.UNREQUESTED, data)
            self.abort()
            return
        self._head_bytes += len(data)
        if not self._first_bytes:
            self._first_bytes = data[:MAX_SAMPLE_BYTES]
        # Empty data resumes the parser.
        self._last_bytes = data[-MAX_SAMPLE_BYTES:] or self._last_bytes
        try:
            answers, upgraded, _ = parser.feed_data(data)
        except Exception as error:
            # The parser raises many types; each means that the answer is malformed.
            logger.debug("malformed answer: {!r}", error)
            self._report(Place.AHEAD, Origin.MALFORMED, self._first_bytes)
            self._fail(ClientPayloadError(f"malformed answer: {error!r}"))
            return
        for head, body in answers:
            if is_invalid(head.code):
                self._fail(ClientPayloadError(f"invalid status {head.code}"))
                return
            self._add_answer(head, body)
        if upgraded:
            self._closes = True
        if self._awaits_head and self._is_head_too_long():
            self._fail(ClientPayloadError("the head has no end"))

    def _add_answer(self, head: RawResponseMessage, body: StreamReader) -> None:
        self._heads += 1
        self._closes = self._closes or head.should_close
        self._body = body
        if self._skips_body or head.code in _BODILESS_STATUSES:
            body = EMPTY_PAYLOAD
        self._answers.append((head, body))
        self._wake()

    def _is_head_too_long(self) -> bool:
        if self._heads > MAX_EARLIER_HEADS:
            return True
        return self._heads == 0 and self._head_bytes > MAX_HEAD_BYTES

    def end_request(self) -> bool:
        """Return whether the connection can serve another request.

        It must have received the whole answer and nothing behind it.
        """
        body_arrives = self._body is not None and not self._body.is_eof()
        if self._closes or body_arrives:
            return False
        assert self._response_parser is not None
        behind = behind_answer(self._response_parser)
        if self._answers or behind is Behind.PART_OF_HEAD:
            self._report(Place.BEHIND, Origin.UNREQUESTED, self._last_bytes)
        return not self._answers and behind is Behind.NOTHING

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _fail(self, error: Exception) -> None:
        """Abort the connection; whoever reads from it gets the error."""
        self._closes = True
        self._end(error)
        self.abort()

    def _end(self, error: Exception) -> None:
        if self._error is None:
            self._error = error
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(self._error)

    def abort(self) -> None:
        """Close the connection at once; a body that is not complete ends with an error.

        Its reader would otherwise wait for ever, or take the end of the connection for
        the end of the body.
        """
        transport, self.transport = self.transport, None
        if transport is not None:
            transport.abort()
        self._end_body(ClientPayloadError("the connection was aborted"))

    def close(self) -> None:
        """Close the connection after its written data is sent."""
        transport, self.transport = self.transport, None
        if transport is not None:
            transport.close()

    def _end_body(self, error: Exception) -> None:
        body, self._body = self._body, None
        if body is not None and not body.is_eof() and body.exception() is None:
            body.set_exception(error)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the answer that arrives: completely if the end of the connection ends it.

        ``was_reset`` tells whether it was an orderly end.
        """
        self._reset = exc is not None
        self._closes = True
        if self._response_parser is not None:
            try:
                self._response_parser.feed_eof()
            except Exception as error:
                # The parser raises many types; each means that the body is truncated.
                self._end_body(ClientPayloadError(f"truncated answer: {error!r}"))
        self._end_body(ClientPayloadError("the connection closed"))
        if isinstance(exc, OSError):
            self._end(ClientOSError(*exc.args))
        else:
            self._end(ServerDisconnectedError())
        super().connection_lost(exc)
