"""The gate: the task that does admission control for this node's backend server.

It owns the running and queued calls. Each running call holds a slot of the concurrency
limit.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from functools import partial
from itertools import count
from random import Random
from typing import final

from _masticspoke.decisions import admission
from _masticspoke.decisions.backend import announce
from _masticspoke.decisions.backend import Backend
from _masticspoke.decisions.backend import leave
from _masticspoke.decisions.backend import refusal_reason
from _masticspoke.decisions.effects import Effect
from _masticspoke.decisions.effects import Refuse
from _masticspoke.decisions.effects import Run
from _masticspoke.decisions.limit import initial_limit
from _masticspoke.decisions.limit import set_slots
from _masticspoke.decisions.loops import add_running
from _masticspoke.decisions.loops import is_loop
from _masticspoke.decisions.loops import remove_running
from _masticspoke.decisions.loops import RunningRequests
from _masticspoke.decisions.occupancy import AdmissionState
from _masticspoke.decisions.occupancy import admitted_rank
from _masticspoke.messages.control import BackendAnnounced
from _masticspoke.messages.control import BackendLeaving
from _masticspoke.messages.control import CatalogueChanged
from _masticspoke.messages.guard import Admit
from _masticspoke.messages.guard import Admitted
from _masticspoke.messages.guard import AskLoadReport
from _masticspoke.messages.guard import Finished
from _masticspoke.messages.guard import NotAdmitted
from _masticspoke.messages.guard import Withdrawn
from _masticspoke.model import LoadReport
from _masticspoke.model import Trace
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply
from _masticspoke.supervise.server import Handlers
from _masticspoke.supervise.server import serve
from _masticspoke.supervise.supervisor import Clock

GateMessage = (
    Admit
    | Finished
    | Withdrawn
    | AskLoadReport
    | BackendAnnounced
    | BackendLeaving
    | CatalogueChanged
)
# Weight of a new sample in the smoothed latency.
_LATENCY_WEIGHT = 0.1
_RECLAIM_INTERVAL_S = 1.0


@final
@dataclass(slots=True)
class _GateState:
    """State of the gate.

    :param replies: reply of each running or queued call, by ticket.
    :param tickets: ticket of each of these calls, by reply.
    :param requests: the same calls by request, to detect call loops.
    :param latency_s: smoothed seconds from the start of a run to the head of its
        answer, or to its end if there was no head; failed runs are not counted.
    :param catalogue_version: catalogue version in force; 0 while none is known.
    :param reclaimed_at: when overdue runs were last looked for, to reclaim their slots.
    """

    admission: AdmissionState
    replies: dict[int, Reply[Admitted | NotAdmitted]] = field(default_factory=dict)
    tickets: dict[Reply[Admitted | NotAdmitted], int] = field(default_factory=dict)
    requests: RunningRequests = field(default_factory=RunningRequests)
    backend: Backend = field(default_factory=Backend)
    latency_s: float = 0.0
    catalogue_version: int = 0
    reclaimed_at: float = 0.0


def gate(
    inbox: Mailbox[GateMessage], clock: Clock, queue_calls: int, random: Random
) -> ChildBody:
    """Return the body of the gate's task.

    :param queue_calls: maximum number of queued calls.
    :param random: source of the jitter of Retry-After.
    """
    # The numbers continue after a crash of the task: runs that were admitted before it
    # still report their end, and their tickets must differ from those of new runs.
    new_tickets = count(1)

    async def run(life: Lifecycle) -> None:
        state = _GateState(AdmissionState(queue_calls, random))
        handlers: Handlers[_GateState] = {
            **_HANDLERS,
            Admit: partial(_admit, new_tickets),
        }
        try:
            await serve(
                inbox, state, handlers, clock, life, on_tick=_tick, wait_s=_wait_s
            )
        finally:
            _apply(state, admission.refuse_all(state.admission, Reason.STOPPING), 0.0)

    return run


def _admit(
    new_tickets: Iterator[int], state: _GateState, message: Admit, now: float
) -> None:
    call = message.call
    reason = refusal_reason(state.backend, now)
    if is_loop(state.requests, call, message.fingerprint):
        reason = Reason.LOOP
    if reason is not None:
        message.reply.answer(NotAdmitted(Refusal(reason), _load_report(state, now)))
        return
    ticket = next(new_tickets)
    state.replies[ticket] = message.reply
    state.tickets[message.reply] = ticket
    add_running(state.requests, ticket, call, message.fingerprint)
    _apply(state, admission.arrive(state.admission, ticket, call, now), now)


def _finished(state: _GateState, message: Finished, now: float) -> None:
    head_s = None if message.failed else message.head_s or message.latency_s
    if head_s is not None:
        state.latency_s += _LATENCY_WEIGHT * (head_s - state.latency_s)
    _end_run(state, message.ticket, head_s, now)


def _end_run(state: _GateState, ticket: int, head_s: float | None, now: float) -> None:
    """Free the slot of a run, and admit queued calls to the free slots.

    :param head_s: latency sample for the concurrency limit; ``None`` for no sample.
    """
    _remove_call(state, ticket)
    _apply(state, admission.finish(state.admission, ticket, head_s, now), now)


def _withdrawn(state: _GateState, message: Withdrawn, now: float) -> None:
    ticket = state.tickets.get(message.reply)
    if ticket is None:
        return
    if ticket in state.admission.running:
        _end_run(state, ticket, None, now)
        return
    _remove_call(state, ticket)
    admission.withdraw(state.admission, ticket)


def _remove_call(
    state: _GateState, ticket: int
) -> Reply[Admitted | NotAdmitted] | None:
    """Forget a call and return its reply; ``None`` if the ticket is unknown."""
    remove_running(state.requests, ticket)
    reply = state.replies.pop(ticket, None)
    if reply is not None:
        del state.tickets[reply]
    return reply


def _ask_load_report(state: _GateState, message: AskLoadReport, now: float) -> None:
    message.reply.answer(_load_report(state, now))


def _backend_announced(
    state: _GateState, message: BackendAnnounced, now: float
) -> None:
    previous = state.backend
    state.backend = announce(previous, message.member, message.ttl_s, now)
    if state.backend.available_since != previous.available_since:
        state.admission.concurrency = initial_limit(message.member.slots)
    else:
        set_slots(state.admission.concurrency, message.member.slots)


def _backend_leaving(state: _GateState, message: BackendLeaving, now: float) -> None:
    state.backend = leave(state.backend)


def _catalogue_changed(
    state: _GateState, message: CatalogueChanged, now: float
) -> None:
    state.catalogue_version = message.catalogue.version
    admission.catalogue_changed(state.admission, message.catalogue)


def _tick(state: _GateState, now: float) -> None:
    """Refuse expired queued calls, and reclaim the slots of overdue runs.

    When the backend server's announcement lapses, all queued calls are refused. A
    backend server that is leaving still runs them.
    """
    effects = admission.expire(state.admission, now)
    if refusal_reason(state.backend, now) is Reason.NO_BACKEND_SERVER:
        reason = Reason.NO_BACKEND_SERVER
        effects = (*effects, *admission.refuse_all(state.admission, reason))
    _apply(state, effects, now)
    if now - state.reclaimed_at >= _RECLAIM_INTERVAL_S:
        state.reclaimed_at = now
        for ticket in admission.overdue(state.admission, now):
            _end_run(state, ticket, None, now)


def _wait_s(state: _GateState, now: float) -> float | None:
    """Return the seconds until :func:`_tick` has work; ``None`` if it has none.

    That is when a queued call expires, when overdue runs are next looked for, or when
    the backend server's announcement lapses while calls are queued.
    """
    times = [admission.next_expiry(state.admission)]
    if state.admission.running:
        times.append(state.reclaimed_at + _RECLAIM_INTERVAL_S)
    if state.admission.waiting.lane_by_ticket and not state.backend.leaving:
        times.append(state.backend.expires)
    return min((t - now for t in times if t is not None), default=None)


def _apply(state: _GateState, effects: tuple[Effect, ...], now: float) -> None:
    for effect in effects:
        _EFFECT_HANDLERS[type(effect)](state, effect, now)


def _apply_run(state: _GateState, effect: Run, now: float) -> None:
    reply = state.replies[effect.ticket]
    if reply.abandoned:
        _end_run(state, effect.ticket, None, now)
        return
    call = state.admission.running[effect.ticket].call
    trace = Trace(call.action, secrets.token_hex(8))
    member = state.backend.member
    assert member is not None
    report = _load_report(state, now)
    reply.answer(Admitted(effect.ticket, member.backend, trace, report))


def _apply_refuse(state: _GateState, effect: Refuse, now: float) -> None:
    reply = _remove_call(state, effect.ticket)
    if reply is not None:
        reply.answer(NotAdmitted(effect.refusal, _load_report(state, now)))


_EFFECT_HANDLERS: dict[type, Callable[..., None]] = {
    Run: _apply_run,
    Refuse: _apply_refuse,
}


def _load_report(state: _GateState, now: float) -> LoadReport:
    admission_state = state.admission
    return LoadReport(
        in_flight=len(admission_state.running) + len(admission_state.waiting),
        limit=admission_state.concurrency.limit,
        latency_s=state.latency_s,
        admitted_rank=admitted_rank(admission_state, now),
        catalogue_version=state.catalogue_version,
        leaving=state.backend.leaving,
    )


_HANDLERS: Handlers[_GateState] = {
    Finished: _finished,
    Withdrawn: _withdrawn,
    AskLoadReport: _ask_load_report,
    BackendAnnounced: _backend_announced,
    BackendLeaving: _backend_leaving,
    CatalogueChanged: _catalogue_changed,
}
