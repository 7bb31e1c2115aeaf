"""Requests that wait at one backend server, and which of them starts next.

Each rank has a lane of its own, as have the nested requests. Nested requests start
first, then those of lower ranks. A lane that has been passed over too often is served
next, so that none starves. Within a rank, organisations are served in turn; nested
requests start in order of arrival, or first those of the most urgent runs.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from heapq import heapify
from heapq import heappop
from heapq import heappush
from math import inf
from typing import final

from _masticspoke.decisions.fleet import fair_queue
from _masticspoke.decisions.fleet.fair_queue import FairQueue
from _masticspoke.decisions.fleet.model import Job

# Number of times that a waiting lane may be passed over; then it is served next.
MAX_PASSED_OVER = 10
# Number of the nested requests' lane. The lanes of ranks have the numbers of the ranks,
# from 0; lower lanes start first.
NESTED_LANE = -1
# Number of lanes below it, for nested requests that are told apart by rank.
_NESTED_LANES = 100
# Expiry times of requests that no longer wait, which are kept at least.
_MAX_STALE_EXPIRIES = 64


@final
@dataclass(frozen=True, slots=True)
class Waiting:
    """A waiting request."""

    ticket: int
    job: Job
    expires_at: float
    lane: int


@final
@dataclass(slots=True)
class _Lane:
    queue: FairQueue = field(default_factory=FairQueue)
    passed_over: int = 0


@final
@dataclass(slots=True)
class Lanes:
    """All lanes of one backend server.

    :param by_number: lanes by rank; nested requests are in :data:`NESTED_LANE`.
    :param by_ticket: all waiting requests.
    :param expiries: heap of expiry time and ticket; entries of requests that no longer
        wait are dropped later.
    :param has_organisations: whether a request of an organisation has waited. Only then
        are requests without one told apart by the calling service.
    :param ranks_nested: whether nested requests of more urgent runs start first.
    """

    by_number: dict[int, _Lane] = field(default_factory=dict)
    by_ticket: dict[int, Waiting] = field(default_factory=dict)
    expiries: list[tuple[float, int]] = field(default_factory=list)
    has_organisations: bool = False
    ranks_nested: bool = False

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self.by_ticket)

    @property
    def waiting_nested(self) -> int:
        """Number of waiting nested requests."""
        return sum(
            len(lane.queue)
            for number, lane in self.by_number.items()
            if number <= NESTED_LANE
        )

    @property
    def earliest_expiry(self) -> float:
        """Time before which no waiting request expires; infinite if none waits."""
        return self.expiries[0][0] if self.expiries and self.by_ticket else inf


def _lane_number(lanes: Lanes, job: Job) -> int:
    if not job.nested:
        return job.rank
    if not lanes.ranks_nested:
        return NESTED_LANE
    return NESTED_LANE - _NESTED_LANES + max(0, min(job.rank, _NESTED_LANES))


def _flow_key(lanes: Lanes, job: Job) -> str:
    if job.nested:
        return ""
    return fair_queue.flow_key(job, lanes.has_organisations)


def enqueue(
    lanes: Lanes, ticket: int, job: Job, expires_at: float, cost_s: float
) -> None:
    """Let a request wait.

    :param cost_s: expected run time.
    """
    if job.organisation and not job.nested:
        lanes.has_organisations = True
    number = _lane_number(lanes, job)
    lane = lanes.by_number.setdefault(number, _Lane())
    fair_queue.enqueue(lane.queue, ticket, _flow_key(lanes, job), cost_s)
    lanes.by_ticket[ticket] = Waiting(ticket, job, expires_at, number)
    heappush(lanes.expiries, (expires_at, ticket))
    if len(lanes.expiries) > 2 * len(lanes.by_ticket) + _MAX_STALE_EXPIRIES:
        lanes.expiries = [(w.expires_at, w.ticket) for w in lanes.by_ticket.values()]
        heapify(lanes.expiries)


def dequeue(lanes: Lanes, top_level_allowed: bool) -> Waiting | None:
    """Remove and return the request that starts next; ``None`` if none may.

    :param top_level_allowed: whether a request that is not nested may start.
    """
    waiting = [
        lanes.by_number[number]
        for number in sorted(lanes.by_number)
        if len(lanes.by_number[number].queue)
        and (top_level_allowed or number <= NESTED_LANE)
    ]
    if not waiting:
        return None
    starved = [lane for lane in waiting if lane.passed_over >= MAX_PASSED_OVER]
    chosen = starved[0] if starved else waiting[0]
    for lane in waiting:
        lane.passed_over = 0 if lane is chosen else lane.passed_over + 1
    ticket = fair_queue.dequeue(chosen.queue)
    return None if ticket is None else lanes.by_ticket.pop(ticket)


def must_wait_behind_others(lanes: Lanes, job: Job) -> bool:
    """Return whether a new request has to wait though a slot is free."""
    own_lane = _lane_number(lanes, job)
    return any(
        len(lane.queue) and (number <= own_lane or not job.nested)
        for number, lane in lanes.by_number.items()
    )


def ahead_of(lanes: Lanes, job: Job) -> int:
    """Return how many requests of its kind, nested or not, a new one waits behind."""
    own_lane = _lane_number(lanes, job)
    ahead = sum(
        len(lane.queue)
        for number, lane in lanes.by_number.items()
        if number < own_lane and (number <= NESTED_LANE) == job.nested
    )
    lane = lanes.by_number.get(own_lane)
    if lane is None:
        return ahead
    return ahead + fair_queue.ahead_of(lane.queue, _flow_key(lanes, job))


def remove(lanes: Lanes, ticket: int) -> None:
    """Remove a waiting request."""
    waiting = lanes.by_ticket.pop(ticket, None)
    if waiting is not None:
        lane = lanes.by_number[waiting.lane]
        fair_queue.remove(lane.queue, ticket)


def remove_all(lanes: Lanes) -> list[Waiting]:
    """Remove and return all waiting requests."""
    removed = list(lanes.by_ticket.values())
    lanes.by_ticket.clear()
    lanes.by_number.clear()
    lanes.expiries.clear()
    return removed


def remove_expired(lanes: Lanes, now: float) -> list[Waiting]:
    """Remove and return the requests that have waited too long."""
    expired: list[Waiting] = []
    while lanes.expiries and lanes.expiries[0][0] <= now:
        _, ticket = heappop(lanes.expiries)
        waiting = lanes.by_ticket.get(ticket)
        if waiting is not None:
            expired.append(waiting)
            remove(lanes, ticket)
    return expired
