"""The home: owns the keys, claims and kept claims of this process.

Its state survives a crash of its task: a process that lost it could run a key twice.
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
class _KeyRequest:
    ticket: int
    digest: str
    reply: Reply[KeyResult]


@final
@dataclass(slots=True)
class HomeState:
    """State of the home.

    :param pending_views: views whose records have not been received yet.
    :param gap: whether records were missed that the log no longer retains, and no views
        have been received since.
    :param views_through: offset up to which all views were received.
    :param read_through: offset of the last record handled.
    :param waiting: requests that wait for a reply, by ticket.
    :param running: requests that were granted the right to run, by their reply.
    :param confirmations: for the :class:`KeepClaims` that is being handled.
    """

    once: OnceState
    writer: Mailbox[WriterMessage]
    confirmer: Mailbox[SendConfirmRequest]
    pending_views: list[View] = field(default_factory=list)
    gap: bool = False
    views_through: int = -1
    read_through: int = -1
    last_ticket: int = 0
    waiting: dict[int, _KeyRequest] = field(default_factory=dict)
    running: dict[Reply[KeyResult], _KeyRequest] = field(default_factory=dict)
    confirmations: list[Confirmation] = field(default_factory=list)


def home(inbox: Mailbox[HomeMessage], state: HomeState, clock: Clock) -> ChildBody:
    """Return the body of the home's task."""

    async def run(life: Lifecycle) -> None:
        await serve(inbox, state, _HANDLERS, clock, life, tick_s=_TICK_S, on_tick=_tick)

    return run


def _decide(state: HomeState, event: OnceEvent, now: float) -> None:
    for effect in decide(state.once, event, now):
        _EFFECT_HANDLERS[type(effect)](state, effect, now)


def _ask_key(state: HomeState, message: AskKey, now: float) -> None:
    state.last_ticket += 1
    ticket = state.last_ticket
    state.waiting[ticket] = _KeyRequest(ticket, message.digest, message.reply)
    event = RequestArrived(ticket, message.service, message.digest, message.fingerprint)
    _decide(state, event, now)


def _key_abandoned(state: HomeState, message: KeyAbandoned, now: float) -> None:
    granted = state.running.pop(message.reply, None)
    if granted is not None:
        _decide(state, RunEnded(granted.digest, _NOT_STARTED), now)
        return
    withdrawn = [r for r in state.waiting.values() if r.reply is message.reply]
    for request in withdrawn:
        del state.waiting[request.ticket]
        _decide(state, RequestWithdrawn(request.ticket, request.digest), now)


def _key_ended(state: HomeState, message: KeyEnded, now: float) -> None:
    request = state.running.pop(message.reply, None)
    if request is not None:
        _decide(state, RunEnded(request.digest, message.outcome), now)


def _keep_claims(state: HomeState, message: KeepClaims, now: float) -> None:
    state.confirmations = []
    for confirm_request in message.requests:
        _decide(state, confirm_request, now)
    message.reply.answer(tuple(state.confirmations))


def _views_changed(state: HomeState, message: ViewsChanged, now: float) -> None:
    state.pending_views += message.views
    state.views_through = message.read_through


def _log_records(state: HomeState, message: LogRecords, now: float) -> None:
    if message.stream != MEMBERS_STREAM:
        return
    state.gap = state.gap or message.oldest_offset > state.read_through + 1
    consecutive = _are_consecutive(state, state.pending_views)
    if _skips_retained_records(state, message) or not (consecutive or state.gap):
        log_event(Event.CLAIMS_MISSED, offset=state.read_through)
        # No member has this identity, so this process claims and confirms nothing more.
        state.once.me = Identity(state.once.me.node, "")
    last = message.records[-1].offset if message.records else state.read_through
    items: list[tuple[int, View | OnceRecord]] = [
        (v.offset, v) for v in state.pending_views
    ]
    for record in message.records:
        value = decode_once(record.data)
        if value is not None and record.offset > state.read_through:
            items.append((record.offset, value))
    views_complete = state.views_through >= last and consecutive
    state.gap = state.gap and not state.pending_views
    state.pending_views = []
    state.read_through = max(state.read_through, last)
    items.sort(key=lambda item: item[0])
    _decide(
        state,
        RecordsRead(tuple(i for _, i in items), views_complete=views_complete),
        now,
    )


def _skips_retained_records(state: HomeState, message: LogRecords) -> bool:
    """Whether the message skips records that the log still retains."""
    if not message.records:
        return False
    return message.records[0].offset > max(
        state.read_through + 1, message.oldest_offset
    )


def _are_consecutive(state: HomeState, views: Iterable[View]) -> bool:
    """Whether each service's views continue from the newest one, without a gap."""
    newest: dict[str, int] = {}
    for view in views:
        before = newest.get(view.service)
        if before is None:
            before = ledger_of(state.once, view.service).view.number
        if view.number > before + 1:
            return False
        newest[view.service] = view.number
    return True


def _tick(state: HomeState, now: float) -> None:
    _decide(state, Tick(), now)


def _reply(state: HomeState, effect: SendReply, now: float) -> None:
    request = state.waiting.pop(effect.ticket, None)
    if request is not None:
        request.reply.answer(effect.result)


def _grant(state: HomeState, effect: Run, now: float) -> None:
    request = state.waiting.pop(effect.ticket, None)
    if request is None or request.reply.abandoned:
        _decide(state, RunEnded(effect.digest, _NOT_STARTED), now)
        return
    state.running[request.reply] = request
    request.reply.answer(Granted())


def _append(state: HomeState, effect: Append, now: float) -> None:
    state.writer.tell(AppendRecord(MEMBERS_STREAM, encode_once(effect.record)))


def _send_confirm_request(
    state: HomeState, effect: SendConfirmRequest, now: float
) -> None:
    state.confirmer.tell(effect)


def _send_confirmation(state: HomeState, effect: SendConfirmation, now: float) -> None:
    state.confirmations.append(effect.confirmation)


_EFFECT_HANDLERS: dict[type, Callable[..., None]] = {
    SendReply: _reply,
    Run: _grant,
    Append: _append,
    SendConfirmRequest: _send_confirm_request,
    SendConfirmation: _send_confirmation,
}
_HANDLERS: Handlers[HomeState] = {
    AskKey: _ask_key,
    KeyAbandoned: _key_abandoned,
    KeyEnded: _key_ended,
    KeepClaims: _keep_claims,
    Confirmation: _decide,
    ViewsChanged: _views_changed,
    LogRecords: _log_records,
}
