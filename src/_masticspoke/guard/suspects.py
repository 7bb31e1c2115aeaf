"""The suspects: owns what is in flight here and which requests crash servers."""

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
# A backend server may crash by a request whose caller has just gone away.
LEFT_S = 1.0


@final
@dataclass(slots=True)
class _InFlight:
    """Requests at the own backend server.

    :param counted: those whose last crash is recorded already.
    :param left: cancelled ones, with the time of it.
    """

    by_trace: dict[Trace, int] = field(default_factory=dict)
    counted: set[Trace] = field(default_factory=set)
    left: list[tuple[float, int]] = field(default_factory=list)


@final
@dataclass(slots=True)
class _SuspectsState:
    own: Address
    sender: Mailbox[SenderMessage]
    watched: Latest[frozenset[int]]
    decided: Suspects = field(default_factory=Suspects)
    flying: _InFlight = field(default_factory=_InFlight)
    turns: dict[int, Reply[Refusal | None]] = field(default_factory=dict)
    service: str = ""
    members: tuple[Member, ...] = ()


def suspects(
    inbox: Mailbox[SuspectsMessage],
    sender: Mailbox[SenderMessage],
    watched: Latest[frozenset[int]],
    own: Address,
    clock: Clock,
) -> ChildBody:
    """Return the body of the suspects' task.

    :param watched: gets the fingerprints of requests that have to ask for a turn.
    :param own: peer address of this node.
    """

    async def run(life: Lifecycle) -> None:
        state = _SuspectsState(own, sender, watched)
        await serve(inbox, state, _HANDLERS, clock, life)

    return run


def _sent(state: _SuspectsState, message: RequestSent, now: float) -> None:
    state.flying.by_trace[message.trace] = message.fingerprint


def _ended(state: _SuspectsState, message: RequestEnded, now: float) -> None:
    fingerprint = state.flying.by_trace.pop(message.trace, None)
    state.flying.counted.discard(message.trace)
    if fingerprint is not None:
        _ENDS[message.end](state, fingerprint, now)


def _answered(state: _SuspectsState, fingerprint: int, now: float) -> None:
    if decide.clear_suspect(state.decided, fingerprint):
        _tell_others(state, (SuspectUpdate(fingerprint, 0, 0.0),), None)
        _publish(state)


def _not_run(state: _SuspectsState, fingerprint: int, now: float) -> None:
    """Nothing is learnt of a request that did not run."""


def _left(state: _SuspectsState, fingerprint: int, now: float) -> None:
    recent = [(t, f) for t, f in state.flying.left if now - t < LEFT_S]
    state.flying.left = [*recent, (now, fingerprint)]


_ENDS: dict[RunEnd, Callable[[_SuspectsState, int, float], None]] = {
    RunEnd.ANSWERED: _answered,
    RunEnd.NOT_RUN: _not_run,
    RunEnd.CANCELLED: _left,
}


def _broken(state: _SuspectsState, message: RequestInterrupted, now: float) -> None:
    flying = state.flying
    if message.trace in flying.counted or message.trace not in flying.by_trace:
        _tell_others(state, (), message.reply)
        return
    hit = dict(flying.by_trace) if message.down else {}
    hit[message.trace] = flying.by_trace[message.trace]
    hit = {trace: f for trace, f in hit.items() if trace not in flying.counted}
    flying.counted |= set(hit)
    left = {f for t, f in flying.left if now - t < LEFT_S} if message.down else set()
    news = decide.record_crash(state.decided, {*hit.values(), *left}, now)
    flying.left = []
    _publish(state)
    _tell_others(state, news, message.reply)


def _ask_turn(state: _SuspectsState, message: AskTurn, now: float) -> None:
    turn = id(message.reply)
    state.turns[turn] = message.reply
    effects = decide.request_turn(
        state.decided, turn, message.fingerprint, message.crashes, now
    )
    _apply(state, effects)
    _publish(state)


def _end_turn(state: _SuspectsState, message: EndTurn, now: float) -> None:
    turn = id(message.reply)
    state.turns.pop(turn, None)
    _apply(state, decide.end_turn(state.decided, turn))


def _told(state: _SuspectsState, message: SuspectsReceived, now: float) -> None:
    _apply(state, decide.apply_updates(state.decided, message.suspects, now))
    _publish(state)


def _members_changed(
    state: _SuspectsState, message: MembersChanged, now: float
) -> None:
    known = set(_others(state))
    state.members = message.members
    joined = tuple(node for node in _others(state) if node not in known)
    news = decide.all_updates(state.decided, now)
    if joined and news:
        state.sender.tell(SendSuspects(joined, news, None))


def _announced(state: _SuspectsState, message: BackendAnnounced, now: float) -> None:
    state.service = message.member.service


def _others(state: _SuspectsState) -> tuple[Address, ...]:
    return tuple(
        m.node
        for m in state.members
        if m.service == state.service and m.node != state.own
    )


def _tell_others(
    state: _SuspectsState, news: tuple[SuspectUpdate, ...], reply: Reply[None] | None
) -> None:
    # Also without news: the answer is to wait for what is under way (issue 4).
    message = SendSuspects(_others(state), news, reply)
    if state.sender.tell(message) is Delivery.FULL and reply is not None:
        reply.answer(None)


def _publish(state: _SuspectsState) -> None:
    state.watched.tell(frozenset(state.decided.by_fingerprint))


def _apply(state: _SuspectsState, effects: tuple[TurnEffect, ...]) -> None:
    for effect in effects:
        _APPLY[type(effect)](state, effect)


def _apply_turn(state: _SuspectsState, effect: GrantTurn) -> None:
    state.turns[effect.turn].answer(None)


def _apply_deny(state: _SuspectsState, effect: DenyTurn) -> None:
    state.turns[effect.turn].answer(effect.refusal)


_APPLY: dict[type, Callable[..., None]] = {
    GrantTurn: _apply_turn,
    DenyTurn: _apply_deny,
}

_HANDLERS: Handlers[_SuspectsState] = {
    RequestSent: _sent,
    RequestEnded: _ended,
    RequestInterrupted: _broken,
    AskTurn: _ask_turn,
    EndTurn: _end_turn,
    SuspectsReceived: _told,
    MembersChanged: _members_changed,
    BackendAnnounced: _announced,
}
