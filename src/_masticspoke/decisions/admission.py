"""Decide at the guard which call runs, waits or is refused.

A free slot goes to a class or entry below its floor first, then to calls that are
shed last, then by rank; within a class, work already begun goes before new work, and
the kind that holds the least goes before the others. Floors that nobody uses are
lent, and the next free slot gives them back.
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
from _masticspoke.decisions.lanes import newest
from _masticspoke.decisions.lanes import oldest
from _masticspoke.decisions.lanes import pop_expired
from _masticspoke.decisions.lanes import push
from _masticspoke.decisions.lanes import remove
from _masticspoke.decisions.limit import forget_kinds
from _masticspoke.decisions.limit import observe
from _masticspoke.decisions.occupancy import AdmissionState
from _masticspoke.decisions.occupancy import admitted_rank
from _masticspoke.decisions.occupancy import has_floor
from _masticspoke.decisions.occupancy import is_capped
from _masticspoke.decisions.occupancy import is_full_for
from _masticspoke.decisions.occupancy import is_hopeless
from _masticspoke.decisions.occupancy import lane_capacity
from _masticspoke.decisions.occupancy import lane_to_displace
from _masticspoke.decisions.occupancy import latest_start
from _masticspoke.decisions.occupancy import may_run
from _masticspoke.decisions.occupancy import RunningCall
from _masticspoke.decisions.occupancy import start_order
from _masticspoke.decisions.shares import shares_of
from _masticspoke.model import Call
from _masticspoke.model import Catalogue
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal

_OVERDUE_S = 5.0
_RETRY_AFTER_S = 1.0
_MAX_PRESSURE = 10.0
_OVERLOAD = frozenset({Reason.QUEUE_FULL, Reason.DISPLACED, Reason.DEADLINE_UNMEETABLE})


def arrive(
    state: AdmissionState, ticket: int, call: Call, now: float
) -> tuple[Effect, ...]:
    """Admit, queue or refuse an arriving call."""
    add_event(state.arrivals, now)
    state.asked_at[call.rank] = now
    key = lane_of(call)
    reason = _reason_at_once(state, key, call, now)
    if reason is not None:
        return (_refuse(state, ticket, call, reason, now),)
    if not state.waiting.lane_by_ticket and may_run(state, key, now):
        return (_run(state, ticket, key, call, now),)
    effects = expire(state, now)
    reason = _reason_not_to_queue(state, key, call, now)
    if reason is not None:
        return (*effects, _refuse(state, ticket, call, reason, now))
    if is_full_for(state, call.rank, now):
        ousted = lane_to_displace(state, key)
        if ousted is None:
            full = _refuse(state, ticket, call, Reason.QUEUE_FULL, now)
            return (*effects, full)
        effects = (*effects, _displace(state, ousted, now))
    push(state.waiting, ticket, call, latest_start(state, call))
    return (*effects, *_start_waiting(state, now))


def finish(
    state: AdmissionState, ticket: int, head_s: float | None, now: float
) -> tuple[Effect, ...]:
    """Free the slot of a finished call and start what waits.

    :param head_s: time to the head of the answer; ``None`` when there was none.
    """
    run = state.running.pop(ticket, None)
    if run is None:
        return ()
    add_event(state.finishes, now)
    if head_s is not None:
        observe(state.limit, run.call.kind, head_s, len(state.running) + 1, now)
    add_sample(state.holds.setdefault(run.call.kind, Mean()), now - run.started)
    _count_running(state, run.call, -1)
    return (*expire(state, now), *_start_waiting(state, now))


def withdraw(state: AdmissionState, ticket: int) -> None:
    """Forget a queued call whose caller went away."""
    remove(state.waiting, ticket)


def expire(state: AdmissionState, now: float) -> tuple[Effect, ...]:
    """Refuse the queued calls that can't be answered in time any more."""
    return tuple(
        _refuse(state, ticket, call, Reason.DEADLINE_UNMEETABLE, now)
        for ticket, call in pop_expired(state.waiting, now)
    )


def next_expiry(state: AdmissionState) -> float | None:
    """Return when :func:`expire` has something to refuse, if anything waits."""
    return lanes.next_expiry(state.waiting)


def overdue(state: AdmissionState, now: float) -> list[int]:
    """Return the runs whose end was never told; none outlives its deadline long."""
    last = now - _OVERDUE_S
    return [t for t, run in state.running.items() if run.call.deadline < last]


def catalogue_changed(state: AdmissionState, catalogue: Catalogue) -> None:
    """Take over the shares, and forget what was learnt of kinds that are gone."""
    state.shares = shares_of(catalogue)
    known = {entry.kind for entry in catalogue.entries}
    known.update(kind for kind, held in state.running_of_kind.items() if held)
    state.start_rates = {k: v for k, v in state.start_rates.items() if k.kind in known}
    state.holds = {k: v for k, v in state.holds.items() if k in known}
    kinds, entries = state.running_of_kind, state.running_of_entry
    state.running_of_kind = {k: n for k, n in kinds.items() if k in known}
    state.running_of_entry = {e: n for e, n in entries.items() if e[1] in known}
    forget_kinds(state.limit, known)


def refuse_all(state: AdmissionState, reason: Reason) -> tuple[Effect, ...]:
    """Refuse all queued calls."""
    tickets = list(state.waiting.lane_by_ticket)
    for ticket in tickets:
        remove(state.waiting, ticket)
    return tuple(Refuse(ticket, Refusal(reason)) for ticket in tickets)


def _reason_at_once(
    state: AdmissionState, key: LaneKey, call: Call, now: float
) -> Reason | None:
    if now >= call.deadline:
        return Reason.DEADLINE_PASSED
    if is_hopeless(state, call, now):
        return Reason.DEADLINE_UNMEETABLE
    if (
        len(state.running) >= state.limit.limit
        and key.shed_early
        and call.rank > admitted_rank(state, now)
        and not has_floor(state, key)
    ):
        return Reason.RANK_NOT_ADMITTED
    return None


def _reason_not_to_queue(
    state: AdmissionState, key: LaneKey, call: Call, now: float
) -> Reason | None:
    allowed = lane_capacity(state, key, call, now)
    if lane_length(state.waiting, key) < allowed:
        return None
    return Reason.ENTRY_LIMIT if is_capped(state, key.kind) else Reason.QUEUE_FULL


def _displace(state: AdmissionState, key: LaneKey, now: float) -> Refuse:
    ticket = newest(state.waiting, key)
    call = remove(state.waiting, ticket)
    assert call is not None
    return _refuse(state, ticket, call, Reason.DISPLACED, now)


def _start_waiting(state: AdmissionState, now: float) -> tuple[Effect, ...]:
    effects: list[Effect] = []
    while state.waiting.lane_by_ticket and len(state.running) < state.limit.limit:
        ready = [key for key in state.waiting.lanes if may_run(state, key, now)]
        if not ready:
            break
        key = min(ready, key=lambda k: start_order(state, k))
        ticket = oldest(state.waiting, key)
        call = remove(state.waiting, ticket)
        assert call is not None
        if now >= call.deadline or is_hopeless(state, call, now):
            reason = Reason.DEADLINE_UNMEETABLE
            effects.append(_refuse(state, ticket, call, reason, now))
            continue
        effects.append(_run(state, ticket, key, call, now))
    return tuple(effects)


def _run(
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
        state.running_of_rank,
        state.running_of_kind,
        state.running_of_entry,
    )
    ranks[call.rank] = ranks.get(call.rank, 0) + change
    kinds[call.kind] = kinds.get(call.kind, 0) + change
    entries[entry] = entries.get(entry, 0) + change


def _refuse(
    state: AdmissionState, ticket: int, call: Call, reason: Reason, now: float
) -> Refuse:
    if reason in _OVERLOAD and len(state.running) >= state.limit.limit:
        state.refused_at[call.rank] = now
    return Refuse(ticket, Refusal(reason, retry_after_s=_retry_after_s(state, now)))


def _retry_after_s(state: AdmissionState, now: float) -> float:
    """Return a time after which a share of the refused would fit, with jitter."""
    arriving = per_second(state.arrivals, now)
    pressure = arriving / max(1.0, per_second(state.finishes, now))
    jitter = 0.5 + state.random.random()
    return _RETRY_AFTER_S * jitter * min(_MAX_PRESSURE, max(1.0, pressure))
