"""Tell what a parser of answers holds behind the end of an answer."""

from __future__ import annotations

from enum import auto
from enum import Enum
from http import HTTPStatus
from typing import Any
from typing import final

from aiohttp.http_parser import HttpParser
from loguru import logger

from _masticspoke.decisions.answer_origin import joins_heads

# The shortest answer.
_PROBE = b"HTTP/1.1 204 \r\n\r\n"


@final
class Behind(Enum):
    """What a parser holds; it would become a part of the next head."""

    NOTHING = auto()
    # The last line of the answer's trailer.
    TRAILER = auto()
    PART_OF_HEAD = auto()


def behind_answer(parser: HttpParser[Any]) -> Behind:
    """Return what the parser holds behind an answer that it has parsed whole.

    The parser doesn't tell, so it is shown by the head of a probe. A parser that holds
    something can't be used afterwards.
    """
    try:
        answers, _, _ = parser.feed_data(_PROBE)
    except Exception as error:
        # The parser raises many types; each means that it held a part of a head.
        logger.debug("part of a head behind an answer: {!r}", error)
        return Behind.PART_OF_HEAD
    if [(head.code, head.reason) for head, _ in answers] != [
        (HTTPStatus.NO_CONTENT, "")
    ]:
        return Behind.PART_OF_HEAD
    values = answers[0][0].headers.values()
    if joins_heads("", values):
        return Behind.PART_OF_HEAD
    return Behind.TRAILER if values else Behind.NOTHING
