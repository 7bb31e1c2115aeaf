"""Close connections whose client is idle, or sends the head of a request too slowly.

The status 408 promises that the request has not run and never will. Only
:func:`overdue` decides that a connection gets it, and never while one of its requests
is being served.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from enum import auto
from enum import Enum
from math import inf
from typing import final

from _masticspoke.decisions.fleet.model import Limits

_LINE_BREAKS = b"\r\n"


@final
class Awaited(Enum):
    """What a connection waits for: its own answer, or data from its client."""

    ANSWER = auto()
    REQUEST = auto()
    REST_OF_HEAD = auto()


@final
@dataclass(slots=True)
class ClientWait:
    """Since when a connection waits for its client.

    :param idle_since: time at which the last request was answered, or else of the
        connection.
    :param head_since: time at which the first part of a head arrived whose end has not
        arrived yet; ``None`` if there is none.
    """

    idle_since: float
    head_since: float | None = None


def received_part_of_head(wait: ClientWait, data: bytes, now: float) -> None:
    """Record data that belongs neither to a whole head nor to a body.

    Clients may send line breaks between two requests.
    """
    if wait.head_since is None and data.strip(_LINE_BREAKS):
        wait.head_since = now


def received_head(wait: ClientWait) -> None:
    """Record the end of a head."""
    wait.head_since = None


def became_idle(wait: ClientWait, now: float) -> None:
    """Record that the last request was answered."""
    wait.idle_since = now


def overdue(
    wait: ClientWait, limits: Limits, now: float, *, is_serving: bool
) -> Awaited | None:
    """Return what the client has not sent in time; ``None`` if it is not late.

    A head that begins to arrive while a request is being served has its whole time from
    the answer on.

    :param is_serving: whether a request that was received isn't answered yet.
    """
    awaited = _awaited(wait, is_serving)
    waited_s = now - max(wait.idle_since, wait.head_since or wait.idle_since)
    return awaited if waited_s > _LIMIT_S[awaited](limits) else None


def _awaited(wait: ClientWait, is_serving: bool) -> Awaited:
    if is_serving:
        return Awaited.ANSWER
    return Awaited.REQUEST if wait.head_since is None else Awaited.REST_OF_HEAD


_LIMIT_S: Mapping[Awaited, Callable[[Limits], float]] = {
    Awaited.ANSWER: lambda limits: inf,
    Awaited.REQUEST: lambda limits: limits.idle_timeout_s,
    Awaited.REST_OF_HEAD: lambda limits: limits.header_timeout_s,
}
