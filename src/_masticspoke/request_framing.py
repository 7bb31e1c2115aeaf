"""Find the ends of heads and bodies of requests in the data of a connection.

A parser of requests puts the last line of a trailer into the next head. It is given the
body of a chunked request without the head behind it, and is replaced.
"""

from __future__ import annotations

from typing import final

from aiohttp import hdrs
from aiohttp.http_parser import RawRequestMessage

# Bytes that are kept of a line between chunks: more than its size has digits. An
# extension or a trailer may be long, and arrive in many parts.
_KEPT_BYTES = 64
_LINE_END = b"\r\n"
_HEAD_END = b"\r\n\r\n"
_SEAM_BYTES = len(_HEAD_END) - 1


@final
class HeadFraming:
    """Where the heads of requests end."""

    __slots__ = ("_seam",)

    def __init__(self) -> None:
        # The last bytes before the present data, which may begin the end of a head.
        self._seam = b""

    def end_in(self, data: bytes, start: int) -> int | None:
        """Return the position behind the head; ``None`` if it goes on behind the data.

        :param start: position at which the head begins or goes on.
        """
        seam, self._seam = self._seam, b""
        found = (seam + data[start : start + _SEAM_BYTES]).find(_HEAD_END)
        if found >= 0:
            return start - len(seam) + found + len(_HEAD_END)
        found = data.find(_HEAD_END, start)
        if found >= 0:
            return found + len(_HEAD_END)
        last = data[max(start, len(data) - _SEAM_BYTES) :]
        self._seam = (seam + last)[-_SEAM_BYTES:]
        return None


@final
class BodyFraming:
    """Where the body of one request ends.

    Data is passed to :meth:`end_in` in the order in which it arrives. Data that is no
    body is left to the parser, which rejects it.
    """

    __slots__ = ("_data_bytes", "_has_ended", "_in_trailer", "_is_chunked", "_line")

    def __init__(self, head: RawRequestMessage) -> None:
        self._is_chunked = head.chunked
        # Bytes of the body, or of the present chunk and its line end, that are due.
        length = head.headers.get(hdrs.CONTENT_LENGTH, "0")
        self._data_bytes = 0 if head.chunked else int(length)
        # The beginning of the present line between chunks.
        self._line = b""
        self._in_trailer = False
        self._has_ended = False

    @property
    def is_chunked(self) -> bool:
        """Whether the body comes in chunks, and may have a trailer."""
        return self._is_chunked

    def end_in(self, data: bytes, start: int) -> int | None:
        """Return the position behind the body; ``None`` if it goes on behind the data.

        :param start: position at which the body begins or goes on; returned if the body
            has ended before.
        """
        while not self._has_ended:
            available = len(data) - start
            if available < self._data_bytes:
                self._data_bytes -= available
                return None
            start += self._data_bytes
            self._data_bytes = 0
            if not self._is_chunked:
                break
            end = data.find(b"\n", start) + 1
            line = self._line + data[start : min(end or len(data), start + _KEPT_BYTES)]
            self._line = b"" if end else line[:_KEPT_BYTES]
            if not end:
                return None
            start = end
            self._has_ended = self._ends_with(line[:_KEPT_BYTES])
        self._has_ended = True
        return start

    def _ends_with(self, line: bytes) -> bool:
        """Return whether a line between chunks ends the body.

        :param line: its first bytes.
        """
        if self._in_trailer:
            return line in (_LINE_END, b"\n")
        try:
            size = int(line.partition(b";")[0], 16)
        except ValueError:
            return True  # the parser rejects it
        self._in_trailer = size == 0
        self._data_bytes = size + len(_LINE_END) if size > 0 else 0
        return False
