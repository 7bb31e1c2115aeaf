"""The home: owns the keys, claims and kept claims of this process.

Its state outlives a crash of its task: a process that forgot what it ran could run it
again (issue 5).
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from typing import final

from _masticspoke.border.once import decode_once
from _masticspoke.border.once import encode_once
from _masticspoke.border.records import MEMBERS_STREAM
from _masticspoke.control.log_writer import WriterMessage
from _masticspoke.decisions.once.decide import decide
from _masticspoke.decisions.once.model import Append
from _masticspoke.decisions.once.model import Confirmation
from _masticspoke.decisions.once.model import Identity
from _masticspoke.decisions.once.model import OnceEvent
from _masticspoke.decisions.once.model import OnceRecord
from _masticspoke.decisions.once.model import RecordsRead
from _masticspoke.decisions.once.model import RequestArrived
from _masticspoke.decisions.once.model import RequestWithdrawn
from _masticspoke.decisions.once.model import Run
from _masticspoke.decisions.once.model import RunEnded
from _masticspoke.decisions.once.model import SendConfirmation
from _masticspoke.decisions.once.model import SendConfirmRequest
from _masticspoke.decisions.once.model import SendReply
from _masticspoke.decisions.once.model import Tick
from _masticspoke.decisions.once.state import ledger_of
from _masticspoke.decisions.once.state import OnceState
from _masticspoke.events import Event
from _masticspoke.events import log_event
from _masticspoke.messages.control import AppendRecord
from _masticspoke.messages.control import LogRecords
from _masticspoke.messages.control import ViewsChanged
from _masticspoke.messages.once import AskKey
from _masticspoke.messages.once import Granted
from _masticspoke.messages.once import KeepClaims
from _masticspoke.messages.once import KeyAbandoned
from _masticspoke.messages.once import KeyEnded
from _masticspoke.messages.once import KeyResult
from _masticspoke.model import Ran
from _masticspoke.model import View
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply
from _masticspoke.supervise.server import Handlers
from _masticspoke.supervise.server import serve
from _masticspoke.supervise.supervisor import Clock

HomeMessage = (
    AskKey
    | KeyAbandoned
    | KeyEnded
    | KeepClaims
    | Confirmation
    | ViewsChanged
    | LogRecords
)
_TICK_S = 0.1
_NOT_STARTED = Refusal(Reason.BUSY, Ran.NO)


@final
@dataclass(frozen=True, slots=True)
class _Asker:
    ticket: int
    digest: str
    reply: Reply[KeyResult]


@final
@dataclass(slots=True)
class HomeState:
    """State of the home.

    :param views: read, but not their records yet.
    :param gap: whether records were missed that the log no longer retains.
    :param views_through: offset up to which all views were read.
    :param read_through: offset of the last record handled.
    :param askers: those that wait, by ticket.
    :param running: those that were granted the right to run.
    """

    once: OnceState
    writer: Mailbox[WriterMessage]
    confirmer: Mailbox[SendConfirmRequest]
    views: list[View] = field(default_factory=list)
    gap: bool = False
    views_through: int = -1
    read_through: int = -1
    last_ticket: int = 0
    askers: dict[int, _Asker] = field(default_factory=dict)
    running: dict[Reply[KeyResult], _Asker] = field(default_factory=dict)
    confirmed: list[Confirmation] = field(default_factory=list)


def home(inbox: Mailbox[HomeMessage], state: HomeState, clock: Clock) -> ChildBody:
    """Return the body of the home's task."""

    async def run(life: Lifecycle) -> None:
        await serve(inbox, state, _HANDLERS, clock, life, tick_s=_TICK_S, on_tick=_tick)

    return run


def _decide(state: HomeState, event: OnceEvent, now: float) -> None:
    for effect in decide(state.once, event, now):
        _APPLY[type(effect)](state, effect, now)


def _ask_key(state: HomeState, message: AskKey, now: float) -> None:
    state.last_ticket += 1
    ticket = state.last_ticket
    state.askers[ticket] = _Asker(ticket, message.digest, message.reply)
    event = RequestArrived(ticket, message.service, message.digest, message.fingerprint)
    _decide(state, event, now)


def _abandoned(state: HomeState, message: KeyAbandoned, now: float) -> None:
    granted = state.running.pop(message.reply, None)
    if granted is not None:
        _decide(state, RunEnded(granted.digest, _NOT_STARTED), now)
        return
    waiting = [a for a in state.askers.values() if a.reply is message.reply]
    for asker in waiting:
        del state.askers[asker.ticket]
        _decide(state, RequestWithdrawn(asker.ticket, asker.digest), now)


def _key_ended(state: HomeState, message: KeyEnded, now: float) -> None:
    asker = state.running.pop(message.reply, None)
    if asker is not None:
        _decide(state, RunEnded(asker.digest, message.outcome), now)


def _keep_claims(state: HomeState, message: KeepClaims, now: float) -> None:
    state.confirmed = []
    for question in message.requests:
        _decide(state, question, now)
    message.reply.answer(tuple(state.confirmed))


def _views_changed(state: HomeState, message: ViewsChanged, now: float) -> None:
    state.views += message.views
    state.views_through = message.read_through


def _log_records(state: HomeState, message: LogRecords, now: float) -> None:
    if message.stream != MEMBERS_STREAM:
        return
    state.gap = state.gap or message.oldest_offset > state.read_through + 1
    follows = _follow(state, state.views)
    if _has_missed(state, message) or not (follows or state.gap):
        log_event(Event.CLAIMS_MISSED, offset=state.read_through)
        state.once.me = Identity(state.once.me.node, "")
    last = message.records[-1].offset if message.records else state.read_through
    items: list[tuple[int, View | OnceRecord]] = [(v.offset, v) for v in state.views]
    for record in message.records:
        value = decode_once(record.data)
        if value is not None and record.offset > state.read_through:
            items.append((record.offset, value))
    known = state.views_through >= last and follows
    state.gap = state.gap and not state.views
    state.views = []
    state.read_through = max(state.read_through, last)
    items.sort(key=lambda item: item[0])
    _decide(state, RecordsRead(tuple(i for _, i in items), views_complete=known), now)


def _has_missed(state: HomeState, message: LogRecords) -> bool:
    """Whether records were lost on the way here that the log still has."""
    if not message.records:
        return False
    return message.records[0].offset > max(
        state.read_through + 1, message.oldest_offset
    )


def _follow(state: HomeState, views: Iterable[View]) -> bool:
    """Whether no view between the known ones and these is missing."""
    known: dict[str, int] = {}
    for view in views:
        before = known.get(view.service)
        if before is None:
            before = ledger_of(state.once, view.service).view.number
        if view.number > before + 1:
            return False
        known[view.service] = view.number
    return True


def _tick(state: HomeState, now: float) -> None:
    _decide(state, Tick(), now)


def _reply(state: HomeState, effect: SendReply, now: float) -> None:
    asker = state.askers.pop(effect.ticket, None)
    if asker is not None:
        asker.reply.answer(effect.result)


def _run(state: HomeState, effect: Run, now: float) -> None:
    asker = state.askers.pop(effect.ticket, None)
    if asker is None or asker.reply.abandoned:
        _decide(state, RunEnded(effect.digest, _NOT_STARTED), now)
        return
    state.running[asker.reply] = asker
    asker.reply.answer(Granted())


def _append(state: HomeState, effect: Append, now: float) -> None:
    state.writer.tell(AppendRecord(MEMBERS_STREAM, encode_once(effect.record)))


def _send_question(state: HomeState, effect: SendConfirmRequest, now: float) -> None:
    state.confirmer.tell(effect)


def _send_confirmed(state: HomeState, effect: SendConfirmation, now: float) -> None:
    state.confirmed.append(effect.confirmation)


_APPLY: dict[type, Callable[..., None]] = {
    SendReply: _reply,
    Run: _run,
    Append: _append,
    SendConfirmRequest: _send_question,
    SendConfirmation: _send_confirmed,
}
_HANDLERS: Handlers[HomeState] = {
    AskKey: _ask_key,
    KeyAbandoned: _abandoned,
    KeyEnded: _key_ended,
    KeepClaims: _keep_claims,
    Confirmation: _decide,
    ViewsChanged: _views_changed,
    LogRecords: _log_records,
}
