"""What a guard holds, and questions about it: who is next, who may run or wait."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from math import inf
from random import Random
from typing import final

from _masticspoke.decisions.estimators import Mean
from _masticspoke.decisions.estimators import per_second
from _masticspoke.decisions.estimators import Rate
from _masticspoke.decisions.lanes import lane_length
from _masticspoke.decisions.lanes import LaneKey
from _masticspoke.decisions.lanes import oldest
from _masticspoke.decisions.lanes import Waiting
from _masticspoke.decisions.limit import initial_limit
from _masticspoke.decisions.limit import LimitState
from _masticspoke.decisions.shares import cap_of
from _masticspoke.decisions.shares import Shares
from _masticspoke.decisions.shares import unused_floors
from _masticspoke.model import Call

ALL_RANKS = 1_000
_WAIT_SHARE = 0.05
_MIN_LANE_CALLS = 2
_SHORT_LANE_CALLS = 4
_SHORT_LANE_WAIT_SHARE = 0.2
_RETURN_S = 0.1
_DEMAND_WINDOW_S = 30.0
_LEVEL_HOLD_S = 0.25


@final
@dataclass(frozen=True, slots=True)
class RunningCall:
    """A call that runs, and since when."""

    call: Call
    started: float


@final
@dataclass(slots=True)
class AdmissionState:
    """Calls that run and wait at one guard, and what was learnt from others.

    :param queue_length: calls that may wait.
    :param random: source of the jitter of Retry-After.
    :param asked_at: when a call of each rank arrived last.
    :param refused_at: when a call of each rank was last refused for overload.
    """

    queue_length: int
    random: Random
    limit: LimitState = field(default_factory=lambda: initial_limit(1))
    shares: Shares = field(default_factory=Shares)
    running: dict[int, RunningCall] = field(default_factory=dict)
    running_of_rank: dict[int, int] = field(default_factory=dict)
    running_of_kind: dict[str, int] = field(default_factory=dict)
    running_of_entry: dict[tuple[int, str], int] = field(default_factory=dict)
    waiting: Waiting = field(default_factory=Waiting)
    holds: dict[str, Mean] = field(default_factory=dict)
    start_rates: dict[LaneKey, Rate] = field(default_factory=dict)
    arrivals: Rate = field(default_factory=Rate)
    finishes: Rate = field(default_factory=Rate)
    asked_at: dict[int, float] = field(default_factory=dict)
    refused_at: dict[int, float] = field(default_factory=dict)


def admitted_rank(state: AdmissionState, now: float) -> int:
    """Return the least urgent rank that is admitted beyond floors.

    While calls of a rank are refused for overload, all less urgent ones get no more
    than their floors.
    """
    recent = (r for r, t in state.refused_at.items() if now - t < _LEVEL_HOLD_S)
    return min(recent, default=ALL_RANKS)


def is_hopeless(state: AdmissionState, call: Call, now: float) -> bool:
    """Whether a call can't be answered in time; one of each kind always tries."""
    if not state.running_of_kind.get(call.kind):
        return False
    return now + hold_s(state, call.kind) > call.deadline


def hold_s(state: AdmissionState, kind: str) -> float:
    """Return how long a run of a kind holds its slot of late, in seconds."""
    mean = state.holds.get(kind)
    return mean.value_s if mean is not None else 0.0


def latest_start(state: AdmissionState, call: Call) -> float:
    """Return when a call must start to be answered by its deadline."""
    return call.deadline - hold_s(state, call.kind)


def is_full_for(state: AdmissionState, rank: int, now: float) -> bool:
    """Return whether no place in the queue is left that others do not keep."""
    kept = unused_floors(
        _demanded(state, now),
        state.waiting.by_rank,
        state.queue_length,
        except_rank=rank,
    )
    return len(state.waiting) + kept >= state.queue_length


def _may_lose(state: AdmissionState, key: LaneKey) -> bool:
    share = state.shares.classes.get(key.rank, 0.0)
    if state.waiting.by_rank[key.rank] <= share * state.queue_length:
        return False
    return key.shed_early or all(not k.shed_early for k in state.waiting.lanes)


def lane_to_displace(state: AdmissionState, key: LaneKey) -> LaneKey | None:
    """Return the lane that loses a call to one that arrives; ``None`` if none."""
    worse = [k for k in state.waiting.lanes if k[:3] > key[:3] and _may_lose(state, k)]
    if not worse:
        return None
    return max(worse, key=lambda k: (k[:3], lane_length(state.waiting, k)))


def start_order(
    state: AdmissionState, key: LaneKey
) -> tuple[bool, bool, int, bool, bool, int, int]:
    """Return the sort key of a lane that is not empty; the least starts next."""
    return (
        not _class_below_floor(state, key.rank),
        key.shed_early,
        key.rank,
        not _entry_below_floor(state, key),
        key.root,
        state.running_of_kind.get(key.kind, 0),
        oldest(state.waiting, key),
    )


def has_floor(state: AdmissionState, key: LaneKey) -> bool:
    """Return whether a class keeps a share, whoever else asks."""
    return key.rank in state.shares.classes


def _class_below_floor(state: AdmissionState, rank: int) -> bool:
    floor = state.shares.classes.get(rank, 0.0) * state.limit.limit
    return state.running_of_rank.get(rank, 0) < floor


def _entry_below_floor(state: AdmissionState, key: LaneKey) -> bool:
    entry = (key.rank, key.kind)
    floor = state.shares.entries.get(entry, 0.0) * state.limit.limit
    return state.running_of_entry.get(entry, 0) < floor


def may_run(state: AdmissionState, key: LaneKey, now: float) -> bool:
    """Return whether a call of a lane may take a slot now."""
    limit = state.limit.limit
    free = limit - len(state.running)
    if free <= 0 or is_capped(state, key.kind):
        return False
    if hold_s(state, key.kind) <= _RETURN_S * limit:
        return True
    if _class_below_floor(state, key.rank) or not state.running:
        return True
    return free > unused_floors(
        _demanded(state, now), state.running_of_rank, limit, except_rank=key.rank
    )


def _demanded(state: AdmissionState, now: float) -> dict[int, float]:
    """Return the floors of the classes that asked for something of late."""
    return {
        rank: share
        for rank, share in state.shares.classes.items()
        if now - state.asked_at.get(rank, -inf) < _DEMAND_WINDOW_S
    }


def is_capped(state: AdmissionState, kind: str) -> bool:
    """Return whether a kind holds all that its entry allows."""
    cap = cap_of(state.shares, kind, state.limit.limit)
    return cap is not None and state.running_of_kind.get(kind, 0) >= cap


def lane_capacity(state: AdmissionState, key: LaneKey, call: Call, now: float) -> float:
    """Return the calls that may wait in a lane so that this one starts soon.

    A lane whose calls start seldom may hold a few more, lest it runs dry (issue 4).
    """
    rate = state.start_rates.get(key)
    pace = per_second(rate, now) if rate is not None else 0.0
    remaining_s = call.deadline - now
    wait_s = remaining_s - hold_s(state, call.kind)
    if key.shed_early:
        wait_s = min(wait_s, _WAIT_SHARE * remaining_s)
    few = min(_SHORT_LANE_CALLS, _SHORT_LANE_WAIT_SHARE * remaining_s * pace)
    return max(_MIN_LANE_CALLS, few, wait_s * pace)
