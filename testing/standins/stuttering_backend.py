"""Stand-in for a backend server that sends answers twice, in whole or in part.

It runs in the event loop of the test and writes its answers itself, so that an answer
and a copy can share a segment. The server answers with successes and failures in turn.
"""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from dataclasses import field
from enum import Enum

FAILURE = "500 Internal Server Error"
SUCCESS = "200 OK"


class Place(Enum):
    """Where a copy is written.

    ``BEHIND``: with the answer itself; ``IDLE``: when no request runs; ``AHEAD``: after
    the next request has arrived and before its answer; ``IN_FRONT``: with the next
    answer.
    """

    BEHIND = "behind"
    IDLE = "idle"
    AHEAD = "ahead"
    IN_FRONT = "in-front"


@dataclass(frozen=True)
class Given:
    """An answer as the server wrote it."""

    status: int
    signature: str
    body: bytes


@dataclass(frozen=True)
class Form:
    """The part of an answer's copy that is written.

    :param start: text behind which the first byte of the part comes.
    :param end: text that ends the part, the first from there.
    :param has_id: whether the copy has the id of its request.
    """

    start: bytes
    end: bytes
    has_id: bool = True

    def cuts(self, answer: bytes) -> range:
        """Return the lengths of the copies of an answer."""
        first = answer.index(self.start) + len(self.start)
        return range(first + 1, answer.index(self.end, first) + len(self.end) + 1)


_LAST_FIELD = b"Content-Length: 42\r\n"
_BODY_PADDING = 35
_WHOLE = (b"x" * _BODY_PADDING, b"#")
FORMS = {
    "version": Form(b"", b"HTTP/1.1"),
    "status": Form(b"HTTP/1.1", b" 200"),
    "reason": Form(b"200", b" OK"),
    "end-of-line": Form(b"OK", b"\r\n"),
    "name": Form(b"\r\n", b"Content-Type"),
    "value-before-the-id": Form(b"Content-Type", b": text/plain"),
    "id": Form(b"X-Attempt-Id", b"\r\n"),
    "value-behind-the-id": Form(b"X-Response-Signature", b"\r\n"),
    "end-of-head": Form(_LAST_FIELD, b"\r\n"),
    "body": Form(_LAST_FIELD + b"\r\n", b"="),
    "whole": Form(*_WHOLE),
    "value-without-id": Form(b"X-Response-Signature", b"\r\n", has_id=False),
    "body-without-id": Form(_LAST_FIELD + b"\r\n", b"=", has_id=False),
    "whole-without-id": Form(*_WHOLE, has_id=False),
}


def body_of(request_id: str) -> bytes:
    return f"{request_id}={'x' * _BODY_PADDING}#".encode()


def encode(given: Given, request_id: str, form: Form | None = None) -> bytes:
    """Encode an answer, or what a copy of the form is cut from."""
    has_id = form is None or form.has_id
    reason = SUCCESS if given.status == 200 else FAILURE
    echo = f"X-Attempt-Id: {request_id}\r\n" if has_id else ""
    head = (
        f"HTTP/1.1 {reason}\r\nContent-Type: text/plain\r\n{echo}"
        f"X-Response-Signature: {given.signature}\r\n"
        f"Content-Length: {len(given.body)}\r\n\r\n"
    )
    return head.encode() + given.body


@dataclass
class StutteringBackend:
    """A server at the address of a stopped stand-in.

    :param form: part of the copies; it may change between requests, as ``place`` may.
    :param cuts: length of the copy of each success in turn; none is sent after these.
    :param in_pieces: whether a copy is written byte by byte.
    :param given: its answer to each request.
    :param copies: number of copies written.
    """

    form: Form
    place: Place
    cuts: list[int] = field(default_factory=list)
    in_pieces: bool = False
    given: dict[str, Given] = field(default_factory=dict)
    copies: int = 0
    _server: asyncio.Server | None = None
    _late: tuple[asyncio.StreamWriter, bytes] | None = None

    async def start(self, host: str, port: int) -> None:
        self._server = await asyncio.start_server(self._serve, host, port)

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()

    async def write_late(self) -> None:
        """Write the copy that waits for an idle connection, if there is one."""
        if self._late is not None and self.place is Place.IDLE:
            writer, copy = self._late
            self._late = None
            await self._write_copy(writer, copy)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(EOFError, ConnectionError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = (line for line in head.split("\r\n")[1:] if line)
                fields = dict(line.split(": ", 1) for line in lines)
                await reader.readexactly(int(fields.get("Content-Length", 0)))
                await self._answer(fields["X-Attempt-Id"], writer)
        writer.close()

    async def _answer(self, request_id: str, writer: asyncio.StreamWriter) -> None:
        number = len(self.given)
        status = 200 if number % 2 == 0 else 500
        given = Given(status, f"{status}.{number:04}", body_of(request_id))
        self.given[request_id] = given
        answer = encode(given, request_id)
        late, self._late = self._late, None
        ahead = late[1] if late is not None and late[0] is writer else b""
        if ahead and self.place is Place.AHEAD:
            await self._write_copy(writer, ahead)
        elif ahead and self.place is Place.IN_FRONT:
            self.copies += 1
            answer = ahead + answer
        if status == 200 and self.cuts:
            copy = encode(given, request_id, self.form)
            copy = copy[: self.cuts.pop(0)]
            if self.place is Place.BEHIND:
                self.copies += 1
                answer += copy
            else:
                self._late = writer, copy
        writer.write(answer)
        await writer.drain()

    async def _write_copy(self, writer: asyncio.StreamWriter, copy: bytes) -> None:
        self.copies += 1
        size = 1 if self.in_pieces else len(copy)
        with contextlib.suppress(ConnectionError):
            for start in range(0, len(copy), size):
                writer.write(copy[start : start + size])
                await writer.drain()
                await asyncio.sleep(0)
