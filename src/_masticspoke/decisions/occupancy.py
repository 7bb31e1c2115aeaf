"""Calls that run and wait at a guard, and which of them may run or wait next."""

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
from _masticspoke.decisions.lanes import oldest_ticket
from _masticspoke.decisions.lanes import Waiting
from _masticspoke.decisions.limit import initial_limit
from _masticspoke.decisions.limit import LimitState
from _masticspoke.decisions.shares import cap_of
from _masticspoke.decisions.shares import reserved_for_others
from _masticspoke.decisions.shares import Shares
from _masticspoke.model import Call

ALL_RANKS = 1_000  # admitted rank if no rank is barred
_MAX_WAIT_SHARE = 0.05  # of the time until the deadline
_MIN_LANE_CALLS = 2
_SLOW_LANE_CALLS = 4
_SLOW_LANE_WAIT_SHARE = 0.2  # of the time until the deadline
_MAX_RECLAIM_S = 0.1  # mean time until a lent slot is free again
_DEMAND_WINDOW_S = 30.0  # a class without arrivals for this time lends its floor
_REFUSAL_HOLD_S = 0.25  # a refusal bars less urgent ranks for this time


@final
@dataclass(frozen=True, slots=True)
class RunningCall:
    """A running call and the time it started."""

    call: Call
    started_at: float


@final
@dataclass(slots=True)
class AdmissionState:
    """Calls that run and wait at one guard, and measurements of earlier calls.

    :param queue_length: number of calls that may wait.
    :param random: source of the jitter of Retry-After.
    :param running_by_entry: running calls for each (rank, kind).
    :param hold_times: mean time that a run of each kind holds its slot.
    :param last_arrival_at: when a call of each rank last arrived.
    :param last_refusal_at: when a call of each rank was last refused for overload.
    """

    queue_length: int
    random: Random
    concurrency: LimitState = field(default_factory=lambda: initial_limit(1))
    shares: Shares = field(default_factory=Shares)
    running: dict[int, RunningCall] = field(default_factory=dict)
    running_by_rank: dict[int, int] = field(default_factory=dict)
    running_by_kind: dict[str, int] = field(default_factory=dict)
    running_by_entry: dict[tuple[int, str], int] = field(default_factory=dict)
    waiting: Waiting = field(default_factory=Waiting)
    hold_times: dict[str, Mean] = field(default_factory=dict)
    start_rates: dict[LaneKey, Rate] = field(default_factory=dict)
    arrival_rate: Rate = field(default_factory=Rate)
    finish_rate: Rate = field(default_factory=Rate)
    last_arrival_at: dict[int, float] = field(default_factory=dict)
    last_refusal_at: dict[int, float] = field(default_factory=dict)


def admitted_rank(state: AdmissionState, now: float) -> int:
    """Return the least urgent rank that is admitted even without a floor.

    While calls of a rank are refused for overload and all slots are in use, the guard
    refuses calls of less urgent ranks at once, unless their class has a floor or they
    are shed last.
    """
    recent = (r for r, t in state.last_refusal_at.items() if now - t < _REFUSAL_HOLD_S)
    return min(recent, default=ALL_RANKS)


def cannot_meet_deadline(state: AdmissionState, call: Call, now: float) -> bool:
    """Return whether a call is expected to be answered after its deadline.

    A kind without running calls is always tried, so that its hold time is measured
    again.
    """
    if not state.running_by_kind.get(call.kind):
        return False
    return now + hold_s(state, call.kind) > call.deadline


def hold_s(state: AdmissionState, kind: str) -> float:
    """Return the moving mean of the time that a kind holds a slot, in seconds.

    It is 0 for a kind that has not been measured.
    """
    mean = state.hold_times.get(kind)
    return mean.value_s if mean is not None else 0.0


def latest_start(state: AdmissionState, call: Call) -> float:
    """Return when a call must start at the latest to meet its deadline.

    A kind without running calls is always tried, see :func:`cannot_meet_deadline`.
    """
    if not state.running_by_kind.get(call.kind):
        return call.deadline
    return call.deadline - hold_s(state, call.kind)


def queue_is_full_for(state: AdmissionState, rank: int, now: float) -> bool:
    """Return whether all queue places are taken or reserved for other ranks."""
    reserved = reserved_for_others(
        _floors_in_demand(state, now),
        state.waiting.count_by_rank,
        state.queue_length,
        except_rank=rank,
    )
    return len(state.waiting) + reserved >= state.queue_length


def _may_displace_from(state: AdmissionState, key: LaneKey) -> bool:
    """Return whether a lane may lose a queued call.

    A class keeps the queue places of its floor. Calls that are shed last are displaced
    only if no other calls wait.
    """
    share = state.shares.class_floors.get(key.rank, 0.0)
    if state.waiting.count_by_rank[key.rank] <= share * state.queue_length:
        return False
    return key.shed_early or all(not k.shed_early for k in state.waiting.lanes)


def lane_to_displace(state: AdmissionState, key: LaneKey) -> LaneKey | None:
    """Return the lane that loses a call to an arriving one; ``None`` if none does."""
    worse = [
        k
        for k in state.waiting.lanes
        if k[:3] > key[:3] and _may_displace_from(state, k)
    ]
    if not worse:
        return None
    return max(worse, key=lambda k: (k[:3], lane_length(state.waiting, k)))


def start_order(
    state: AdmissionState, key: LaneKey
) -> tuple[bool, bool, int, bool, bool, int, int]:
    """Return the sort key of a lane that is not empty; the lowest starts next."""
    return (
        not _class_below_floor(state, key.rank),
        key.shed_early,
        key.rank,
        not _entry_below_floor(state, key),
        key.root,
        state.running_by_kind.get(key.kind, 0),
        oldest_ticket(state.waiting, key),
    )


def has_floor(state: AdmissionState, key: LaneKey) -> bool:
    """Return whether the catalogue reserves a share for the class of a lane."""
    return key.rank in state.shares.class_floors


def _class_below_floor(state: AdmissionState, rank: int) -> bool:
    floor = state.shares.class_floors.get(rank, 0.0) * state.concurrency.limit
    return state.running_by_rank.get(rank, 0) < floor


def _entry_below_floor(state: AdmissionState, key: LaneKey) -> bool:
    entry = (key.rank, key.kind)
    floor = state.shares.entry_floors.get(entry, 0.0) * state.concurrency.limit
    return state.running_by_entry.get(entry, 0) < floor


def may_run(state: AdmissionState, key: LaneKey, now: float) -> bool:
    """Return whether a call of a lane may take a slot now.

    A slot that is reserved for another class is lent to kinds with short hold times,
    since it is soon free again, and to any kind while no call runs.
    """
    limit = state.concurrency.limit
    free = limit - len(state.running)
    if free <= 0 or is_at_cap(state, key.kind):
        return False
    if hold_s(state, key.kind) <= _MAX_RECLAIM_S * limit:
        return True
    if _class_below_floor(state, key.rank) or not state.running:
        return True
    return free > reserved_for_others(
        _floors_in_demand(state, now),
        state.running_by_rank,
        limit,
        except_rank=key.rank,
    )


def _floors_in_demand(state: AdmissionState, now: float) -> dict[int, float]:
    """Return the floors of the classes with recent arrivals."""
    return {
        rank: share
        for rank, share in state.shares.class_floors.items()
        if now - state.last_arrival_at.get(rank, -inf) < _DEMAND_WINDOW_S
    }


def is_at_cap(state: AdmissionState, kind: str) -> bool:
    """Return whether a kind runs as many calls as its entry allows."""
    cap = cap_of(state.shares, kind, state.concurrency.limit)
    return cap is not None and state.running_by_kind.get(kind, 0) >= cap


def lane_capacity(state: AdmissionState, key: LaneKey, call: Call, now: float) -> float:
    """Return how many calls may wait in a lane so that the next one starts soon.

    A lane that starts few calls may hold a few more, so that it does not run empty.
    """
    rate = state.start_rates.get(key)
    starts_per_s = per_second(rate, now) if rate is not None else 0.0
    remaining_s = call.deadline - now
    wait_s = remaining_s - hold_s(state, call.kind)
    if key.shed_early:
        wait_s = min(wait_s, _MAX_WAIT_SHARE * remaining_s)
    slow_lane_calls = min(
        _SLOW_LANE_CALLS, _SLOW_LANE_WAIT_SHARE * remaining_s * starts_per_s
    )
    return max(_MIN_LANE_CALLS, slow_lane_calls, wait_s * starts_per_s)
