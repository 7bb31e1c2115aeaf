"""The gate: owns what runs and waits at the own backend server."""

from __future__ import annotations

import secrets
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import final

from _masticspoke.decisions import admission
from _masticspoke.decisions.admission import AdmissionState
from _masticspoke.decisions.admission import Effect
from _masticspoke.decisions.admission import Refuse
from _masticspoke.decisions.admission import Run
from _masticspoke.messages import Admit
from _masticspoke.messages import Admitted
from _masticspoke.messages import BackendAnnounced
from _masticspoke.messages import BackendLeaving
from _masticspoke.messages import CatalogueChanged
from _masticspoke.messages import Finished
from _masticspoke.messages import NotAdmitted
from _masticspoke.messages import Report
from _masticspoke.messages import Withdrawn
from _masticspoke.model import LoadReport
from _masticspoke.model import Member
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
    | Report
    | BackendAnnounced
    | BackendLeaving
    | CatalogueChanged
)
_SMOOTHING = 0.1


@final
@dataclass(slots=True)
class _GateState:
    admission: AdmissionState = field(default_factory=AdmissionState)
    replies: dict[int, Reply[Admitted | NotAdmitted]] = field(default_factory=dict)
    member: Member | None = None
    last_ticket: int = 0
    latency_s: float = 0.0
    catalogue_version: int = 0


def gate(inbox: Mailbox[GateMessage], clock: Clock, queue_calls: int) -> ChildBody:
    """Return the body of the gate's task."""

    async def run(life: Lifecycle) -> None:
        state = _GateState(admission=AdmissionState(queue_length=queue_calls))
        await serve(inbox, state, _HANDLERS, clock, life)

    return run


def _admit(state: _GateState, message: Admit, now: float) -> None:
    if state.member is None:
        refusal = Refusal(Reason.NO_BACKEND_SERVER)
        message.reply.answer(NotAdmitted(refusal, _load(state)))
        return
    state.last_ticket += 1
    ticket = state.last_ticket
    state.replies[ticket] = message.reply
    _apply(state, admission.arrive(state.admission, ticket, message.call, now))


def _finished(state: _GateState, message: Finished, now: float) -> None:
    state.latency_s += _SMOOTHING * (message.latency_s - state.latency_s)
    _apply(state, admission.finish(state.admission, message.ticket, now))


def _withdrawn(state: _GateState, message: Withdrawn, now: float) -> None:
    for ticket, reply in list(state.replies.items()):
        if reply is message.reply:
            del state.replies[ticket]
            admission.withdraw(state.admission, ticket)


def _report(state: _GateState, message: Report, now: float) -> None:
    message.reply.answer(_load(state))


def _announced(state: _GateState, message: BackendAnnounced, now: float) -> None:
    state.member = message.member
    state.admission.limit = message.member.slots
    state.admission.leaving = False


def _leaving(state: _GateState, message: BackendLeaving, now: float) -> None:
    state.admission.leaving = True


def _catalogue_changed(
    state: _GateState, message: CatalogueChanged, now: float
) -> None:
    state.catalogue_version = message.catalogue.version


def _apply(state: _GateState, effects: tuple[Effect, ...]) -> None:
    for effect in effects:
        _APPLY[type(effect)](state, effect)


def _apply_run(state: _GateState, effect: Run) -> None:
    reply = state.replies.pop(effect.ticket)
    call = state.admission.running[effect.ticket]
    trace = Trace(call.action, secrets.token_hex(8))
    assert state.member is not None
    reply.answer(Admitted(effect.ticket, state.member.backend, trace, _load(state)))


def _apply_refuse(state: _GateState, effect: Refuse) -> None:
    reply = state.replies.pop(effect.ticket)
    reply.answer(NotAdmitted(effect.refusal, _load(state)))


_APPLY: dict[type, Callable[..., None]] = {Run: _apply_run, Refuse: _apply_refuse}


def _load(state: _GateState) -> LoadReport:
    held = state.admission
    return LoadReport(
        in_flight=len(held.running) + len(held.queue),
        limit=held.limit,
        latency_s=state.latency_s,
        catalogue_version=state.catalogue_version,
        leaving=held.leaving,
    )


_HANDLERS: Handlers[_GateState] = {
    Admit: _admit,
    Finished: _finished,
    Withdrawn: _withdrawn,
    Report: _report,
    BackendAnnounced: _announced,
    BackendLeaving: _leaving,
    CatalogueChanged: _catalogue_changed,
}
