"""What became of requests that must not run twice, at the guard that got them.

It answers an answer that is lost between two nodes: the sender asks what became of its
request. "Never came" is a promise that binds from then on.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import final

# Ends and promises are kept for this long; no sender waits longer, seconds.
KEPT_S = 30.0
# Ends that are kept at most; the oldest goes first.
MAX_KEPT = 4_096


@final
class RunStatus(Enum):
    """What a guard knows of a request."""

    BARRED = "never"
    RUNNING = "running"
    ENDED = "ended"


@final
@dataclass(slots=True)
class RunRecords:
    """Requests by id.

    :param running: requests that a run was begun for.
    :param ended: when each request ended.
    :param barred: when each request was promised never to run.
    """

    running: set[str] = field(default_factory=set)
    ended: dict[str, float] = field(default_factory=dict)
    barred: dict[str, float] = field(default_factory=dict)


def begin(fates: RunRecords, request_id: str, now: float) -> RunStatus | None:
    """Return why a request that came may not run; ``None`` if it runs from now on."""
    _expire(fates, now)
    if request_id in fates.barred:
        return RunStatus.BARRED
    if request_id in fates.running:
        return RunStatus.RUNNING
    if request_id in fates.ended:
        return RunStatus.ENDED
    fates.running.add(request_id)
    return None


def end(fates: RunRecords, request_id: str, now: float) -> None:
    """Note that a request has ended."""
    fates.running.discard(request_id)
    fates.ended[request_id] = now


def look_up_or_bar(
    fates: RunRecords, request_id: str, asked_after_s: float, now: float
) -> RunStatus:
    """Return what became of a request; one that never came is barred.

    :param asked_after_s: time since it was sent; a promise is kept as long again.
    """
    _expire(fates, now)
    if request_id in fates.running:
        return RunStatus.RUNNING
    if request_id in fates.ended:
        return RunStatus.ENDED
    fates.barred[request_id] = now + asked_after_s
    return RunStatus.BARRED


def started_before_send(up_s: float, asked_after_s: float) -> bool:
    """Return whether a guard that started ``up_s`` ago knows of a request."""
    return up_s > asked_after_s


def _expire(fates: RunRecords, now: float) -> None:
    for kept in (fates.ended, fates.barred):
        while kept:
            oldest = next(iter(kept))
            if now - kept[oldest] < KEPT_S and len(kept) <= MAX_KEPT:
                break
            del kept[oldest]
