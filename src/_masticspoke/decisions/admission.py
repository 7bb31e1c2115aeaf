"""Decide at the guard which call runs, waits or is refused.

A free slot goes to a class below its floor first, then to calls that are shed last,
then by rank. Within a class, entries below their floor go first, then nested calls
before root calls (a nested call continues a user action that has already begun), then
the kind with the fewest running calls. Unused floors are lent to other classes; a class
that needs its floor again gets the next free slot.
"""

from __future__ import annotations

from _masticspoke.decisions import lanes
from _masticspoke.decisions.effects import Effect
from _masticspoke.decisions.effects import Refuse
from _masticspoke.decisions.effects import Run
from _masticspoke.decisions.estimators import add_event
from _masticspoke.decisions.estimators import add_sample
from _masticspoke.decisions.estimators import Mean
from _masticspoke.decisions.estimators import per_second
from _masticspoke.decisions.estimators import Rate
from _masticspoke.decisions.lanes import lane_length
from _masticspoke.decisions.lanes import lane_of
from _masticspoke.decisions.lanes import LaneKey
from _masticspoke.decisions.lanes import newest_ticket
from _masticspoke.decisions.lanes import oldest_ticket
from _masticspoke.decisions.lanes import pop_expired
from _masticspoke.decisions.lanes import push
from _masticspoke.decisions.lanes import remove
from _masticspoke.decisions.limit import record_latency
from _masticspoke.decisions.limit import retain_kinds
from _masticspoke.decisions.occupancy import AdmissionState
from _masticspoke.decisions.occupancy import admitted_rank
from _masticspoke.decisions.occupancy import cannot_meet_deadline
from _masticspoke.decisions.occupancy import has_floor
from _masticspoke.decisions.occupancy import is_at_cap
from _masticspoke.decisions.occupancy import lane_capacity
from _masticspoke.decisions.occupancy import lane_to_displace
from _masticspoke.decisions.occupancy import latest_start
from _masticspoke.decisions.occupancy import may_run
from _masticspoke.decisions.occupancy import queue_is_full_for
from _masticspoke.decisions.occupancy import RunningCall
from _masticspoke.decisions.occupancy import start_order
from _masticspoke.decisions.shares import shares_of
from _masticspoke.model import Call
from _masticspoke.model import Catalogue
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal

_OVERDUE_S = 5.0  # past the deadline
_BASE_RETRY_AFTER_S = 1.0
_MAX_PRESSURE = 10.0  # arrivals for each finished call
_OVERLOAD_REASONS = frozenset(
    {Reason.QUEUE_FULL, Reason.DISPLACED, Reason.DEADLINE_UNMEETABLE}
)


def arrive(
    state: AdmissionState, ticket: int, call: Call, now: float
) -> tuple[Effect, ...]:
    """Admit, queue or refuse an arriving call."""
    add_event(state.arrival_rate, now)
    state.last_arrival_at[call.rank] = now
    key = lane_of(call)
    reason = _immediate_refusal_reason(state, key, call, now)
    if reason is not None:
        return (_refuse(state, ticket, call, reason, now),)
    if not state.waiting.lane_by_ticket and may_run(state, key, now):
        return (_start(state, ticket, key, call, now),)
    effects = expire(state, now)
    reason = _queue_refusal_reason(state, key, call, now)
    if reason is not None:
        return (*effects, _refuse(state, ticket, call, reason, now))
    if queue_is_full_for(state, call.rank, now):
        displaced_lane = lane_to_displace(state, key)
        if displaced_lane is None:
            refusal = _refuse(state, ticket, call, Reason.QUEUE_FULL, now)
            return (*effects, refusal)
        effects = (*effects, _displace(state, displaced_lane, now))
    push(state.waiting, ticket, call, latest_start(state, call))
    return (*effects, *_start_waiting(state, now))


def finish(
    state: AdmissionState, ticket: int, head_s: float | None, now: float
) -> tuple[Effect, ...]:
    """Free the slot of a finished call and start calls that wait.

    :param head_s: seconds until the head of the answer; ``None`` without an answer.
    """
    run = state.running.pop(ticket, None)
    if run is None:
        return ()
    add_event(state.finish_rate, now)
    if head_s is not None:
        record_latency(
            state.concurrency, run.call.kind, head_s, len(state.running) + 1, now
        )
    add_sample(state.hold_times.setdefault(run.call.kind, Mean()), now - run.started_at)
    _count_running(state, run.call, -1)
    return (*expire(state, now), *_start_waiting(state, now))


def withdraw(state: AdmissionState, ticket: int) -> None:
    """Remove a queued call whose caller disconnected."""
    remove(state.waiting, ticket)


def expire(state: AdmissionState, now: float) -> tuple[Effect, ...]:
    """Refuse the queued calls that can no longer be answered by their deadline."""
    return tuple(
        _refuse(state, ticket, call, Reason.DEADLINE_UNMEETABLE, now)
        for ticket, call in pop_expired(state.waiting, now)
    )


def next_expiry(state: AdmissionState) -> float | None:
    """Return when :func:`expire` is due next; ``None`` when no call waits."""
    return lanes.next_expiry(state.waiting)


def overdue(state: AdmissionState, now: float) -> list[int]:
    """Return the tickets of running calls whose deadline is long past.

    A run ends soon after its deadline, so the message that it finished was lost.
    """
    overdue_before = now - _OVERDUE_S
    return [
        ticket
        for ticket, run in state.running.items()
        if run.call.deadline < overdue_before
    ]


def catalogue_changed(state: AdmissionState, catalogue: Catalogue) -> None:
    """Apply the catalogue's shares, and drop measurements of kinds not in use."""
    state.shares = shares_of(catalogue)
    kinds_in_use = {entry.kind for entry in catalogue.entries}
    kinds_in_use.update(kind for kind, count in state.running_by_kind.items() if count)
    state.start_rates = {
        k: v for k, v in state.start_rates.items() if k.kind in kinds_in_use
    }
    state.hold_times = {k: v for k, v in state.hold_times.items() if k in kinds_in_use}
    kinds, entries = state.running_by_kind, state.running_by_entry
    state.running_by_kind = {k: n for k, n in kinds.items() if k in kinds_in_use}
    state.running_by_entry = {e: n for e, n in entries.items() if e[1] in kinds_in_use}
    retain_kinds(state.concurrency, kinds_in_use)


def refuse_all(state: AdmissionState, reason: Reason) -> tuple[Effect, ...]:
    """Refuse all queued calls."""
    tickets = list(state.waiting.lane_by_ticket)
    for ticket in tickets:
        remove(state.waiting, ticket)
    return tuple(Refuse(ticket, Refusal(reason)) for ticket in tickets)


def _immediate_refusal_reason(
    state: AdmissionState, key: LaneKey, call: Call, now: float
) -> Reason | None:
    if now >= call.deadline:
        return Reason.DEADLINE_PASSED
    if cannot_meet_deadline(state, call, now):
        return Reason.DEADLINE_UNMEETABLE
    if (
        len(state.running) >= state.concurrency.limit
        and key.shed_early
        and call.rank > admitted_rank(state, now)
        and not has_floor(state, key)
    ):
        return Reason.RANK_NOT_ADMITTED
    return None


def _queue_refusal_reason(
    state: AdmissionState, key: LaneKey, call: Call, now: float
) -> Reason | None:
    allowed = lane_capacity(state, key, call, now)
    if lane_length(state.waiting, key) < allowed:
        return None
    return Reason.ENTRY_LIMIT if is_at_cap(state, key.kind) else Reason.QUEUE_FULL


def _displace(state: AdmissionState, key: LaneKey, now: float) -> Refuse:
    ticket = newest_ticket(state.waiting, key)
    call = remove(state.waiting, ticket)
    assert call is not None
    return _refuse(state, ticket, call, Reason.DISPLACED, now)


def _start_waiting(state: AdmissionState, now: float) -> tuple[Effect, ...]:
    effects: list[Effect] = []
    while state.waiting.lane_by_ticket and len(state.running) < state.concurrency.limit:
        ready = [key for key in state.waiting.lanes if may_run(state, key, now)]
        if not ready:
            break
        key = min(ready, key=lambda k: start_order(state, k))
        ticket = oldest_ticket(state.waiting, key)
        call = remove(state.waiting, ticket)
        assert call is not None
        if now >= call.deadline or cannot_meet_deadline(state, call, now):
            reason = Reason.DEADLINE_UNMEETABLE
            effects.append(_refuse(state, ticket, call, reason, now))
            continue
        effects.append(_start(state, ticket, key, call, now))
    return tuple(effects)


def _start(
    state: AdmissionState, ticket: int, key: LaneKey, call: Call, now: float
) -> Run:
    state.running[ticket] = RunningCall(call, now)
    _count_running(state, call, 1)
    rate = state.start_rates.get(key)
    if rate is None:
        rate = state.start_rates[key] = Rate()
    add_event(rate, now)
    return Run(ticket)


def _count_running(state: AdmissionState, call: Call, change: int) -> None:
    entry = (call.rank, call.kind)
    ranks, kinds, entries = (
        state.running_by_rank,
        state.running_by_kind,
        state.running_by_entry,
    )
    ranks[call.rank] = ranks.get(call.rank, 0) + change
    kinds[call.kind] = kinds.get(call.kind, 0) + change
    entries[entry] = entries.get(entry, 0) + change


def _refuse(
    state: AdmissionState, ticket: int, call: Call, reason: Reason, now: float
) -> Refuse:
    if reason in _OVERLOAD_REASONS and len(state.running) >= state.concurrency.limit:
        state.last_refusal_at[call.rank] = now
    return Refuse(ticket, Refusal(reason, retry_after_s=_retry_after_s(state, now)))


def _retry_after_s(state: AdmissionState, now: float) -> float:
    """Return a delay after which some of the refused calls should fit, with jitter.

    It grows with the ratio of arrivals to finished calls.
    """
    arriving = per_second(state.arrival_rate, now)
    pressure = arriving / max(1.0, per_second(state.finish_rate, now))
    jitter = 0.5 + state.random.random()
    return _BASE_RETRY_AFTER_S * jitter * min(_MAX_PRESSURE, max(1.0, pressure))
