"""Calls that wait at a guard, in lanes of equal treatment.

Work on a call costs O(log n) in the calls that wait and O(k) in the lanes that are
not empty; there are at most a few for each kind that the service offers.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from heapq import heapify
from heapq import heappop
from heapq import heappush
from typing import final
from typing import NamedTuple

from _masticspoke.model import Call

_SPARE_EXPIRIES = 64


@final
class LaneKey(NamedTuple):
    """What calls of a lane share; a lower key starts first and is shed last."""

    shed_early: bool
    rank: int
    root: bool
    kind: str


@final
@dataclass(slots=True)
class Waiting:
    """All calls that wait, in order of arrival within each lane."""

    lanes: dict[LaneKey, dict[int, Call]] = field(default_factory=dict)
    lane_by_ticket: dict[int, LaneKey] = field(default_factory=dict)
    by_rank: dict[int, int] = field(default_factory=dict)
    expiries: list[tuple[float, int]] = field(default_factory=list)

    def __len__(self) -> int:
        return len(self.lane_by_ticket)


def lane_of(call: Call) -> LaneKey:
    """Return the lane that a call belongs to."""
    return LaneKey(not call.shed_last, call.rank, call.depth == 0, call.kind)


def lane_length(waiting: Waiting, key: LaneKey) -> int:
    """Return how many calls wait in a lane."""
    return len(waiting.lanes.get(key, ()))


def push(waiting: Waiting, ticket: int, call: Call, latest_start: float) -> None:
    """Let a call wait until it is started, or ``latest_start`` is past."""
    key = lane_of(call)
    waiting.lanes.setdefault(key, {})[ticket] = call
    waiting.lane_by_ticket[ticket] = key
    waiting.by_rank[call.rank] = waiting.by_rank.get(call.rank, 0) + 1
    heappush(waiting.expiries, (latest_start, ticket))
    if len(waiting.expiries) > 2 * len(waiting.lane_by_ticket) + _SPARE_EXPIRIES:
        waiting.expiries = [
            e for e in waiting.expiries if e[1] in waiting.lane_by_ticket
        ]
        heapify(waiting.expiries)


def remove(waiting: Waiting, ticket: int) -> Call | None:
    """Take a call out; ``None`` when it does not wait."""
    key = waiting.lane_by_ticket.pop(ticket, None)
    if key is None:
        return None
    lane = waiting.lanes[key]
    call = lane.pop(ticket)
    if not lane:
        del waiting.lanes[key]
    _forget_rank(waiting, call.rank)
    return call


def oldest(waiting: Waiting, key: LaneKey) -> int:
    """Return the ticket that came first in a lane that is not empty."""
    return next(iter(waiting.lanes[key]))


def newest(waiting: Waiting, key: LaneKey) -> int:
    """Return the ticket that came last in a lane that is not empty."""
    return next(reversed(waiting.lanes[key]))


def pop_expired(waiting: Waiting, now: float) -> list[tuple[int, Call]]:
    """Take out the calls whose latest start is past."""
    found: list[tuple[int, Call]] = []
    while waiting.expiries and waiting.expiries[0][0] <= now:
        _, ticket = heappop(waiting.expiries)
        call = remove(waiting, ticket)
        if call is not None:
            found.append((ticket, call))
    return found


def next_expiry(waiting: Waiting) -> float | None:
    """Return when the next call's latest start is past, if any waits."""
    while waiting.expiries and waiting.expiries[0][1] not in waiting.lane_by_ticket:
        heappop(waiting.expiries)
    return waiting.expiries[0][0] if waiting.expiries else None


def _forget_rank(waiting: Waiting, rank: int) -> None:
    left = waiting.by_rank[rank] - 1
    if left:
        waiting.by_rank[rank] = left
    else:
        del waiting.by_rank[rank]
