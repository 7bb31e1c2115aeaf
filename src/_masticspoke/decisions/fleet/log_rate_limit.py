"""Which log lines are written when there are more than the volume allows."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import final

# Lines a second by importance; the rest is counted.
LINES_PER_S = {"change": 200.0, "failure": 100.0, "routine": 20.0}
# Seconds' worth of lines that may come at once.
BURST_S = 2.0


@final
class Importance(Enum):
    """How a line fares when there are too many."""

    # Members are singletons; the hash of Enum is a call for each look-up.
    __hash__ = object.__hash__

    CHANGE = "change"
    FAILURE = "failure"
    ROUTINE = "routine"


@final
@dataclass(slots=True)
class _Bucket:
    left: float
    at: float


@final
@dataclass(slots=True)
class LogRateLimit:
    """Lines that may still be written, and those that were not."""

    buckets: dict[Importance, _Bucket] = field(default_factory=dict)
    dropped: dict[Importance, int] = field(default_factory=dict)


def allows_line(volume: LogRateLimit, importance: Importance, now: float) -> bool:
    """Return whether a line is written; one that is not is counted."""
    rate = LINES_PER_S[importance.value]
    bucket = volume.buckets.setdefault(importance, _Bucket(rate * BURST_S, now))
    bucket.left = min(rate * BURST_S, bucket.left + (now - bucket.at) * rate)
    bucket.at = now
    if bucket.left < 1.0:
        volume.dropped[importance] = volume.dropped.get(importance, 0) + 1
        return False
    bucket.left -= 1.0
    return True


def take_dropped(volume: LogRateLimit) -> dict[Importance, int]:
    """Return how many lines were dropped since the last call."""
    dropped, volume.dropped = volume.dropped, {}
    return dropped
