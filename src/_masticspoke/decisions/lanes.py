"""Queue of the calls that wait at a guard.

Calls that are treated alike share a lane, in order of arrival. An operation costs
O(log n) in the number of waiting calls and O(k) in the number of lanes that are not
empty; there are at most a few lanes for each kind that the service offers.
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

_MAX_STALE_EXPIRIES = 64


@final
class LaneKey(NamedTuple):
    """Properties that the calls of a lane share.

    Apart from floors, the lane whose first three fields compare lower starts first and
    is shed last.

    :param root: whether the calls are not nested in another call.
    """

    shed_early: bool
    rank: int
    root: bool
    kind: str


@final
@dataclass(slots=True)
class Waiting:
    """Calls that wait, in order of arrival within each lane.

    :param lanes: calls by ticket; empty lanes are absent.
    :param expiries: heap of (latest start, ticket); entries of removed calls are
        dropped later.
    """

    lanes: dict[LaneKey, dict[int, Call]] = field(default_factory=dict)
    lane_by_ticket: dict[int, LaneKey] = field(default_factory=dict)
    count_by_rank: dict[int, int] = field(default_factory=dict)
    expiries: list[tuple[float, int]] = field(default_factory=list)

    def __len__(self) -> int:
        return len(self.lane_by_ticket)


def lane_of(call: Call) -> LaneKey:
    """Return the lane that a call belongs to."""
    return LaneKey(not call.shed_last, call.rank, call.depth == 0, call.kind)


def lane_length(waiting: Waiting, key: LaneKey) -> int:
    """Return the number of calls that wait in a lane."""
    return len(waiting.lanes.get(key, ()))


def push(waiting: Waiting, ticket: int, call: Call, latest_start: float) -> None:
    """Queue a call that expires at ``latest_start``."""
    key = lane_of(call)
    waiting.lanes.setdefault(key, {})[ticket] = call
    waiting.lane_by_ticket[ticket] = key
    waiting.count_by_rank[call.rank] = waiting.count_by_rank.get(call.rank, 0) + 1
    heappush(waiting.expiries, (latest_start, ticket))
    if len(waiting.expiries) > 2 * len(waiting.lane_by_ticket) + _MAX_STALE_EXPIRIES:
        waiting.expiries = [
            e for e in waiting.expiries if e[1] in waiting.lane_by_ticket
        ]
        heapify(waiting.expiries)


def remove(waiting: Waiting, ticket: int) -> Call | None:
    """Remove and return a call; ``None`` if it does not wait."""
    key = waiting.lane_by_ticket.pop(ticket, None)
    if key is None:
        return None
    lane = waiting.lanes[key]
    call = lane.pop(ticket)
    if not lane:
        del waiting.lanes[key]
    _decrement_rank(waiting, call.rank)
    return call


def oldest_ticket(waiting: Waiting, key: LaneKey) -> int:
    """Return the ticket that arrived first in a lane that is not empty."""
    return next(iter(waiting.lanes[key]))


def newest_ticket(waiting: Waiting, key: LaneKey) -> int:
    """Return the ticket that arrived last in a lane that is not empty."""
    return next(reversed(waiting.lanes[key]))


def pop_expired(waiting: Waiting, now: float) -> list[tuple[int, Call]]:
    """Remove and return the calls whose latest start is past."""
    expired: list[tuple[int, Call]] = []
    while waiting.expiries and waiting.expiries[0][0] <= now:
        _, ticket = heappop(waiting.expiries)
        call = remove(waiting, ticket)
        if call is not None:
            expired.append((ticket, call))
    return expired


def next_expiry(waiting: Waiting) -> float | None:
    """Return when the next waiting call expires; ``None`` if none waits."""
    while waiting.expiries and waiting.expiries[0][1] not in waiting.lane_by_ticket:
        heappop(waiting.expiries)
    return waiting.expiries[0][0] if waiting.expiries else None


def _decrement_rank(waiting: Waiting, rank: int) -> None:
    left = waiting.count_by_rank[rank] - 1
    if left:
        waiting.count_by_rank[rank] = left
    else:
        del waiting.count_by_rank[rank]
