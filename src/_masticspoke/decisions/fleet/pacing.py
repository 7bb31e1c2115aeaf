"""Pace the requests to a backend server that names a limit on their rate.

Handles a backend server in need: it gets no more requests a second than it takes, also
while the guard does not know yet whether it names a limit, and when the limit ends.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import final

# Runs at a time until the first answer of the backend server, which may name a limit,
# and those of them that are not nested, whose runs are longer.
MAX_UNCONFIRMED_RUNS = 16
MAX_UNCONFIRMED_TOP_LEVEL_RUNS = 6
# Requests that were not sent in time may be sent later at once, up to what the rate
# allows in this time, and one.
BURST_S = 0.1
# Rate at a limit below it, requests a second: answers are needed to learn when it ends.
MIN_RATE = 0.5
# After its end, the rate of a limit doubles in this time, so many times.
DOUBLING_S = 0.5
END_DOUBLINGS = 4.0
# Shorter waits are not worth a timer, seconds.
_TIMER_RESOLUTION_S = 0.0005


@final
class PacePhase(Enum):
    """What is known about the limit of a backend server."""

    UNCONFIRMED = "unconfirmed"
    FREE = "free"
    LIMITED = "limited"
    ENDING = "ending"


@final
@dataclass(slots=True)
class Pace:
    """Pace of the requests to one incarnation of a backend server.

    :param limit: limit that it named last, requests a second.
    :param named_at: time of the last answer that named it.
    :param ended_at: time of the first answer after its end.
    :param tokens: requests that may start now, as of ``refilled_at``.
    """

    phase: PacePhase = PacePhase.UNCONFIRMED
    limit: float = 0.0
    named_at: float = 0.0
    ended_at: float = 0.0
    tokens: float = 1.0
    refilled_at: float = 0.0


def rate(pace: Pace, now: float) -> float | None:
    """Return the requests a second that may start; ``None`` if there is no limit."""
    return _RATE_BY_PHASE[pace.phase](pace, now)


def _no_rate(pace: Pace, now: float) -> float | None:
    return None


def _limited_rate(pace: Pace, now: float) -> float | None:
    return max(MIN_RATE, pace.limit)


def _ending_rate(pace: Pace, now: float) -> float | None:
    doublings = max(0.0, now - pace.ended_at) / DOUBLING_S
    if doublings >= END_DOUBLINGS:
        return None
    return float(max(MIN_RATE, pace.limit) * 2.0**doublings)


_RATE_BY_PHASE: Mapping[PacePhase, Callable[[Pace, float], float | None]] = {
    PacePhase.UNCONFIRMED: _no_rate,
    PacePhase.FREE: _no_rate,
    PacePhase.LIMITED: _limited_rate,
    PacePhase.ENDING: _ending_rate,
}


def may_start(pace: Pace, running: int, now: float) -> bool:
    """Return whether a request may start.

    :param running: requests that the backend server is running.
    """
    if pace.phase is PacePhase.UNCONFIRMED:
        return running < MAX_UNCONFIRMED_RUNS
    return not start_wait_s(pace, now)


def max_top_level_runs(pace: Pace) -> int | None:
    """Return how many runs at a time may be top-level; ``None`` for no such limit."""
    unconfirmed = pace.phase is PacePhase.UNCONFIRMED
    return MAX_UNCONFIRMED_TOP_LEVEL_RUNS if unconfirmed else None


def start_wait_s(pace: Pace, now: float) -> float | None:
    """Return the seconds until the rate allows a start; ``None`` if it has no limit."""
    allowed = rate(pace, now)
    if allowed is None:
        return None
    wait_s = (1.0 - _tokens(pace, allowed, now)) / allowed
    return wait_s if wait_s > _TIMER_RESOLUTION_S else 0.0


def _tokens(pace: Pace, allowed: float, now: float) -> float:
    refilled = pace.tokens + allowed * max(0.0, now - pace.refilled_at)
    return min(refilled, 1.0 + allowed * BURST_S)


def record_start(pace: Pace, now: float) -> None:
    """Record that a request starts."""
    allowed = rate(pace, now)
    if allowed is not None:
        pace.tokens = _tokens(pace, allowed, now) - 1.0
        pace.refilled_at = now


def record_answer(pace: Pace, limit: float | None, sent_at: float, now: float) -> bool:
    """Record an answer; return whether the phase or the limit has changed.

    An answer without a limit ends one only if its request was sent after the last
    answer that named it: answers on two connections may arrive in another order.

    :param limit: limit that the answer names, requests a second; ``None`` if it names
        none.
    :param sent_at: time at which its request was sent.
    """
    before = (pace.phase, pace.limit)
    if limit is not None:
        _record_limit(pace, limit, now)
    elif pace.phase is PacePhase.LIMITED and sent_at >= pace.named_at:
        pace.phase, pace.ended_at = PacePhase.ENDING, now
    elif pace.phase is PacePhase.UNCONFIRMED or _has_ended(pace, now):
        pace.phase = PacePhase.FREE
    return before != (pace.phase, pace.limit)


def _record_limit(pace: Pace, limit: float, now: float) -> None:
    allowed = rate(pace, now)
    tokens = 1.0 if allowed is None else _tokens(pace, allowed, now)
    pace.tokens, pace.refilled_at = min(1.0, tokens), now
    pace.phase, pace.limit, pace.named_at = PacePhase.LIMITED, limit, now


def _has_ended(pace: Pace, now: float) -> bool:
    return pace.phase is PacePhase.ENDING and rate(pace, now) is None
