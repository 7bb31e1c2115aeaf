"""Task that tracks crash suspects and the requests in flight at the backend server.

A crash suspect is a request that was in flight when a backend server crashed, here or
at another guard of the service. At each guard, suspects run one at a time.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import final

from _masticspoke.decisions import suspects as decide
from _masticspoke.decisions.suspects import DenyTurn
from _masticspoke.decisions.suspects import GrantTurn
from _masticspoke.decisions.suspects import Suspects
from _masticspoke.decisions.suspects import SuspectUpdate
from _masticspoke.decisions.suspects import TurnEffect
from _masticspoke.guard.suspect_sender import SenderMessage
from _masticspoke.messages.control import BackendAnnounced
from _masticspoke.messages.control import MembersChanged
from _masticspoke.messages.suspects import AskTurn
from _masticspoke.messages.suspects import EndTurn
from _masticspoke.messages.suspects import RequestEnded
from _masticspoke.messages.suspects import RequestInterrupted
from _masticspoke.messages.suspects import RequestSent
from _masticspoke.messages.suspects import RunEnd
from _masticspoke.messages.suspects import SendSuspects
from _masticspoke.messages.suspects import SuspectsReceived
from _masticspoke.model import Address
from _masticspoke.model import Member
from _masticspoke.model import Trace
from _masticspoke.refusals import Refusal
from _masticspoke.supervise.latest import Latest
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Delivery
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply
from _masticspoke.supervise.server import Handlers
from _masticspoke.supervise.server import serve
from _masticspoke.supervise.supervisor import Clock

SuspectsMessage = (
    RequestSent
    | RequestEnded
    | RequestInterrupted
    | AskTurn
    | EndTurn
    | SuspectsReceived
    | MembersChanged
    | BackendAnnounced
)
# A cancelled request may still run, so a crash within this time makes it a suspect.
CANCELLED_SUSPECT_S = 1.0


@final
@dataclass(slots=True)
class _InFlight:
    """Requests in flight at this node's backend server.

    :param counted: requests for which a crash is already recorded.
    :param cancelled: times and fingerprints of recently cancelled requests.
    """

    fingerprints: dict[Trace, int] = field(default_factory=dict)
    counted: set[Trace] = field(default_factory=set)
    cancelled: list[tuple[float, int]] = field(default_factory=list)


@final
@dataclass(slots=True)
class _SuspectsState:
    """State of the task.

    :param own_address: peer address of this node.
    :param suspect_fingerprints: published fingerprints of all suspects.
    :param turn_replies: reply of the :class:`AskTurn` of each turn that has not ended,
        by turn.
    :param service: service of this node's backend server; empty until announced.
    """

    own_address: Address
    sender: Mailbox[SenderMessage]
    suspect_fingerprints: Latest[frozenset[int]]
    suspects: Suspects = field(default_factory=Suspects)
    in_flight: _InFlight = field(default_factory=_InFlight)
    turn_replies: dict[int, Reply[Refusal | None]] = field(default_factory=dict)
    service: str = ""
    members: tuple[Member, ...] = ()


def suspects(
    inbox: Mailbox[SuspectsMessage],
    sender: Mailbox[SenderMessage],
    suspect_fingerprints: Latest[frozenset[int]],
    own_address: Address,
    clock: Clock,
) -> ChildBody:
    """Return the body of the task that tracks crash suspects.

    :param suspect_fingerprints: set to the fingerprints of all suspects.
    :param own_address: peer address of this node.
    """

    async def run(life: Lifecycle) -> None:
        state = _SuspectsState(own_address, sender, suspect_fingerprints)
        await serve(inbox, state, _HANDLERS, clock, life)

    return run


def _request_sent(state: _SuspectsState, message: RequestSent, now: float) -> None:
    state.in_flight.fingerprints[message.trace] = message.fingerprint


def _request_ended(state: _SuspectsState, message: RequestEnded, now: float) -> None:
    fingerprint = state.in_flight.fingerprints.pop(message.trace, None)
    state.in_flight.counted.discard(message.trace)
    if fingerprint is not None:
        _ON_RUN_END[message.end](state, fingerprint, now)


def _clear_suspect(state: _SuspectsState, fingerprint: int, now: float) -> None:
    if decide.clear_suspect(state.suspects, fingerprint):
        _send_updates(state, (SuspectUpdate(fingerprint, 0, 0.0),), None)
        _publish_fingerprints(state)


def _ignore_failed(state: _SuspectsState, fingerprint: int, now: float) -> None:
    """Do nothing: the end of a failed run neither clears a suspect nor makes one."""


def _record_cancelled(state: _SuspectsState, fingerprint: int, now: float) -> None:
    recent = [
        (t, f) for t, f in state.in_flight.cancelled if now - t < CANCELLED_SUSPECT_S
    ]
    state.in_flight.cancelled = [*recent, (now, fingerprint)]


_ON_RUN_END: dict[RunEnd, Callable[[_SuspectsState, int, float], None]] = {
    RunEnd.ANSWERED: _clear_suspect,
    RunEnd.FAILED: _ignore_failed,
    RunEnd.CANCELLED: _record_cancelled,
}


def _request_interrupted(
    state: _SuspectsState, message: RequestInterrupted, now: float
) -> None:
    """Record a possible crash, and reply once the other guards were notified.

    The interrupted request becomes a suspect. If the backend server is down, so do all
    requests in flight and the recently cancelled ones. A run that was recorded when
    another one was interrupted is not counted again. The record of cancelled requests
    is emptied even if the backend server is not down.
    """
    in_flight = state.in_flight
    if (
        message.trace in in_flight.counted
        or message.trace not in in_flight.fingerprints
    ):
        _send_updates(state, (), message.reply)
        return
    affected = dict(in_flight.fingerprints) if message.backend_down else {}
    affected[message.trace] = in_flight.fingerprints[message.trace]
    affected = {
        trace: f for trace, f in affected.items() if trace not in in_flight.counted
    }
    in_flight.counted |= set(affected)
    cancelled = (
        {f for t, f in in_flight.cancelled if now - t < CANCELLED_SUSPECT_S}
        if message.backend_down
        else set()
    )
    updates = decide.record_crash(state.suspects, {*affected.values(), *cancelled}, now)
    in_flight.cancelled = []
    _publish_fingerprints(state)
    _send_updates(state, updates, message.reply)


def _ask_turn(state: _SuspectsState, message: AskTurn, now: float) -> None:
    turn = id(message.reply)
    state.turn_replies[turn] = message.reply
    effects = decide.request_turn(
        state.suspects, turn, message.fingerprint, message.crashes, now
    )
    _apply(state, effects)
    _publish_fingerprints(state)


def _end_turn(state: _SuspectsState, message: EndTurn, now: float) -> None:
    turn = id(message.reply)
    state.turn_replies.pop(turn, None)
    _apply(state, decide.end_turn(state.suspects, turn))


def _suspects_received(
    state: _SuspectsState, message: SuspectsReceived, now: float
) -> None:
    _apply(state, decide.apply_updates(state.suspects, message.suspects, now))
    _publish_fingerprints(state)


def _members_changed(
    state: _SuspectsState, message: MembersChanged, now: float
) -> None:
    previous = set(_other_guards(state))
    state.members = message.members
    joined = tuple(node for node in _other_guards(state) if node not in previous)
    updates = decide.all_updates(state.suspects, now)
    if joined and updates:
        state.sender.tell(SendSuspects(joined, updates, None))


def _backend_announced(
    state: _SuspectsState, message: BackendAnnounced, now: float
) -> None:
    state.service = message.member.service


def _other_guards(state: _SuspectsState) -> tuple[Address, ...]:
    return tuple(
        m.node
        for m in state.members
        if m.service == state.service and m.node != state.own_address
    )


def _send_updates(
    state: _SuspectsState, updates: tuple[SuspectUpdate, ...], reply: Reply[None] | None
) -> None:
    # Sent even without updates: the sender handles its messages in order, so the reply
    # is answered only after the earlier updates were sent.
    message = SendSuspects(_other_guards(state), updates, reply)
    if state.sender.tell(message) is Delivery.FULL and reply is not None:
        reply.answer(None)


def _publish_fingerprints(state: _SuspectsState) -> None:
    state.suspect_fingerprints.tell(frozenset(state.suspects.by_fingerprint))


def _apply(state: _SuspectsState, effects: tuple[TurnEffect, ...]) -> None:
    for effect in effects:
        _EFFECT_HANDLERS[type(effect)](state, effect)


def _grant_turn(state: _SuspectsState, effect: GrantTurn) -> None:
    state.turn_replies[effect.turn].answer(None)


def _deny_turn(state: _SuspectsState, effect: DenyTurn) -> None:
    state.turn_replies[effect.turn].answer(effect.refusal)


_EFFECT_HANDLERS: dict[type, Callable[..., None]] = {
    GrantTurn: _grant_turn,
    DenyTurn: _deny_turn,
}

_HANDLERS: Handlers[_SuspectsState] = {
    RequestSent: _request_sent,
    RequestEnded: _request_ended,
    RequestInterrupted: _request_interrupted,
    AskTurn: _ask_turn,
    EndTurn: _end_turn,
    SuspectsReceived: _suspects_received,
    MembersChanged: _members_changed,
    BackendAnnounced: _backend_announced,
}
