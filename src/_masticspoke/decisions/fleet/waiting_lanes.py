"""Requests that wait at one backend server, and which of them starts next.

Each rank has a lane (a FIFO queue) of its own, as have the nested requests. Nested
requests start first, then those of lower ranks. A lane that has been passed over too
often is served next, so that none starves.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from math import inf
from typing import final

from _masticspoke.decisions.fleet.model import Job

# Number of times that a waiting lane may be passed over; then it is served next.
MAX_PASSED_OVER = 10
# Number of the nested requests' lane. The lanes of ranks have the numbers of the ranks,
# from 0; lower lanes start first.
NESTED_LANE = -1


@final
@dataclass(frozen=True, slots=True)
class Waiting:
    """A waiting request."""

    ticket: int
    job: Job
    expires_at: float


@final
@dataclass(slots=True)
class _Lane:
    waiting: deque[Waiting] = field(default_factory=deque)
    passed_over: int = 0


@final
@dataclass(slots=True)
class Lanes:
    """All lanes of one backend server.

    :param by_number: lanes by rank; nested requests are in :data:`NESTED_LANE`.
    :param earliest_expiry: no waiting request expires before this time; infinite if
        none waits.
    """

    by_number: dict[int, _Lane] = field(default_factory=dict)
    earliest_expiry: float = inf

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return sum(len(lane.waiting) for lane in self.by_number.values())

    @property
    def waiting_nested(self) -> int:
        """Number of waiting nested requests."""
        lane = self.by_number.get(NESTED_LANE)
        return len(lane.waiting) if lane is not None else 0


def _lane_number(job: Job) -> int:
    return NESTED_LANE if job.nested else job.rank


def enqueue(lanes: Lanes, ticket: int, job: Job, expires_at: float) -> None:
    """Let a request wait."""
    lane = lanes.by_number.setdefault(_lane_number(job), _Lane())
    lane.waiting.append(Waiting(ticket, job, expires_at))
    lanes.earliest_expiry = min(lanes.earliest_expiry, expires_at)


def dequeue(lanes: Lanes, top_level_allowed: bool) -> Waiting | None:
    """Remove and return the request that starts next; ``None`` if none may.

    :param top_level_allowed: whether a request that is not nested may start.
    """
    waiting = [
        lanes.by_number[number]
        for number in sorted(lanes.by_number)
        if lanes.by_number[number].waiting
        and (top_level_allowed or number == NESTED_LANE)
    ]
    if not waiting:
        return None
    starved = [lane for lane in waiting if lane.passed_over >= MAX_PASSED_OVER]
    chosen = starved[0] if starved else waiting[0]
    for lane in waiting:
        lane.passed_over = 0 if lane is chosen else lane.passed_over + 1
    return chosen.waiting.popleft()


def must_wait_behind_others(lanes: Lanes, job: Job) -> bool:
    """Return whether a new request has to wait though a slot is free."""
    own_lane = _lane_number(job)
    return any(
        lane.waiting and (number <= own_lane or not job.nested)
        for number, lane in lanes.by_number.items()
    )


def ahead_of(lanes: Lanes, job: Job) -> int:
    """Return how many requests of its kind, nested or not, a new one waits behind."""
    own_lane = _lane_number(job)
    return sum(
        len(lane.waiting)
        for number, lane in lanes.by_number.items()
        if number <= own_lane and (number == NESTED_LANE) == job.nested
    )


def remove(lanes: Lanes, ticket: int) -> None:
    """Remove a waiting request."""
    for lane in lanes.by_number.values():
        for waiting in lane.waiting:
            if waiting.ticket == ticket:
                lane.waiting.remove(waiting)
                return


def remove_all(lanes: Lanes) -> list[Waiting]:
    """Remove and return all waiting requests."""
    removed: list[Waiting] = []
    for lane in lanes.by_number.values():
        removed += lane.waiting
        lane.waiting.clear()
    lanes.earliest_expiry = inf
    return removed


def remove_expired(lanes: Lanes, now: float) -> list[Waiting]:
    """Remove and return the requests that have waited too long."""
    if lanes.earliest_expiry > now:
        return []
    expired: list[Waiting] = []
    for lane in lanes.by_number.values():
        expired += [w for w in lane.waiting if w.expires_at <= now]
        lane.waiting = deque(w for w in lane.waiting if w.expires_at > now)
    times = [w.expires_at for lane in lanes.by_number.values() for w in lane.waiting]
    lanes.earliest_expiry = min(times, default=inf)
    return expired
