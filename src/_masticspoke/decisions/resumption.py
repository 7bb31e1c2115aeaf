"""Decide whether the rest of an interrupted answer can come from another server."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import final

from _masticspoke.model import Call

_OK = 200
_PARTIAL = 206
_CONTENT_RANGE = re.compile(r"bytes (\d+)-(\d+)/(\d+)")


@final
@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Properties of an answer's body, read from its status line and headers.

    :param etag: the entity tag as it was sent; empty if there is none.
    :param accepts_ranges: whether the server accepts byte ranges.
    :param length: length of the body in bytes; ``None`` if it is unknown.
    :param content_range: value of ``Content-Range``; empty if there is none.
    """

    status: int
    etag: str
    accepts_ranges: bool
    length: int | None
    content_range: str = ""


def is_resumable(
    call: Call, method: str, head: AnswerHead, *, asked_range: bool
) -> bool:
    """Return whether an answer that breaks off may be resumed from another server.

    The entity tag must be strong, which shows in its leading quotation mark: a weak one
    does not promise the same bytes.

    :param asked_range: whether the caller's own request has a ``Range`` header.
    """
    return (
        method == "GET"
        and call.idempotent
        and not asked_range
        and head.status == _OK
        and head.accepts_ranges
        and head.etag.startswith('"')
        and head.length is not None
    )


def is_continuation(first: AnswerHead, sent: int, part: AnswerHead) -> bool:
    """Return whether ``part`` is the rest of ``first`` after ``sent`` bytes."""
    match = _CONTENT_RANGE.fullmatch(part.content_range)
    if part.status != _PARTIAL or match is None or first.length is None:
        return False
    begin, last, total = (int(number) for number in match.groups())
    return (
        (begin, last, total) == (sent, first.length - 1, first.length)
        and part.etag == first.etag
        and part.length in (None, first.length - sent)
    )
