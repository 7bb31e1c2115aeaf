"""Decide what caused bytes that a server sent on a connection.

A faulty server may send an answer twice, the second time late or cut off at any byte.
Only the bytes behind the first request of a connection were certainly caused by it. An
answer to a later request must show that it is that request's own: by its id, in a head
that is not joined to the beginning of another one.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from collections.abc import Sequence
from enum import Enum
from typing import final

from _masticspoke.decisions.statuses import is_interim

# Begins each head; behind other bytes of a head, that head was cut off there.
_STATUS_LINE = re.compile(r"HTTP/1\.[01] \d{3}(?!\d)")


@final
class Origin(Enum):
    """What caused the bytes; the value is for logs and metrics."""

    OWN = "own-answer"
    INTERIM = "interim-answer"
    EARLIER = "earlier-answer"
    UNNAMED = "no-id"
    SEVERAL = "several-ids"
    JOINED = "joined-heads"
    UNREQUESTED = "unrequested"
    MALFORMED = "malformed"


def origin_of_answer(
    status: int,
    ids: Sequence[str],
    expected_id: str | None,
    *,
    joined: bool,
    was_used: bool,
) -> Origin:
    """Return what caused an answer that arrives while a request waits for its own.

    :param ids: values of the header that repeats the id of the answered request.
    :param expected_id: id of the request that waits; ``None`` if servers repeat none.
    :param joined: whether :func:`joins_heads` holds for the answer's head.
    :param was_used: whether the connection has served another request before.
    """
    if expected_id is None:
        return Origin.INTERIM if is_interim(status) else Origin.OWN
    if joined and was_used:
        return Origin.JOINED
    if is_interim(status):
        return Origin.INTERIM
    if not ids:
        return Origin.UNNAMED if was_used else Origin.OWN
    if was_used and len(set(ids)) > 1:
        return Origin.SEVERAL
    return Origin.OWN if ids[0] == expected_id else Origin.EARLIER


def joins_heads(reason: str, values: Iterable[str]) -> bool:
    """Return whether a head may be the beginning of one and the whole of another.

    :param reason: its reason phrase.
    :param values: its header values.
    """
    return _STATUS_LINE.search("\n".join((reason, *values))) is not None
