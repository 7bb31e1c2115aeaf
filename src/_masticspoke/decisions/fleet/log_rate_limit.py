"""Rate limit of log lines: a token bucket for each importance."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import final

# Log lines per second by importance; lines beyond that are dropped and counted.
LINES_PER_S = {"change": 200.0, "failure": 100.0, "routine": 20.0}
# Capacity of a bucket, as the time in which its rate fills it, seconds.
BURST_S = 2.0


@final
class Importance(Enum):
    """Importance of a log line; each has its own rate."""

    # Members are singletons, so that the identity hash is correct; Enum's own __hash__
    # costs a Python call for each look-up.
    __hash__ = object.__hash__

    CHANGE = "change"
    FAILURE = "failure"
    ROUTINE = "routine"


# Reading an enumeration member's value is a Python call for each line.
_RATE_BY_IMPORTANCE = {
    importance: LINES_PER_S[importance.value] for importance in Importance
}


@final
@dataclass(slots=True)
class _Bucket:
    tokens: float
    updated_at: float


@final
@dataclass(slots=True)
class LogRateLimit:
    """Token buckets, and the number of dropped lines, by importance."""

    buckets: dict[Importance, _Bucket] = field(default_factory=dict)
    dropped: dict[Importance, int] = field(default_factory=dict)


def allows_line(limit: LogRateLimit, importance: Importance, now: float) -> bool:
    """Return whether a line may be written.

    Takes a token from its bucket if so, and counts the line as dropped if not.
    """
    rate = _RATE_BY_IMPORTANCE[importance]
    bucket = limit.buckets.get(importance)
    if bucket is None:
        bucket = limit.buckets[importance] = _Bucket(rate * BURST_S, now)
    bucket.tokens = min(
        rate * BURST_S, bucket.tokens + (now - bucket.updated_at) * rate
    )
    bucket.updated_at = now
    if bucket.tokens < 1.0:
        limit.dropped[importance] = limit.dropped.get(importance, 0) + 1
        return False
    bucket.tokens -= 1.0
    return True


def take_dropped(limit: LogRateLimit) -> dict[Importance, int]:
    """Return how many lines were dropped since the last call, by importance."""
    dropped, limit.dropped = limit.dropped, {}
    return dropped
