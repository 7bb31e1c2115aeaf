"""The keeper: owns the catalogue and the members that are in force here."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import final

from _masticspoke.border.records import decode_record
from _masticspoke.border.records import encode_record
from _masticspoke.border.records import MEMBERS_STREAM
from _masticspoke.control.log_writer import WriterMessage
from _masticspoke.decisions.catalogue import CatalogueState
from _masticspoke.decisions.catalogue import Change
from _masticspoke.decisions.catalogue import reduce_change
from _masticspoke.decisions.members import Joined
from _masticspoke.decisions.members import Left
from _masticspoke.decisions.members import MembersState
from _masticspoke.decisions.members import reduce_membership
from _masticspoke.events import Event
from _masticspoke.events import log_event
from _masticspoke.messages import AppendRecord
from _masticspoke.messages import AskStatus
from _masticspoke.messages import BackendAnnounced
from _masticspoke.messages import BackendLeaving
from _masticspoke.messages import CatalogueChanged
from _masticspoke.messages import LogRecords
from _masticspoke.messages import MembersChanged
from _masticspoke.messages import NodeStatus
from _masticspoke.model import LoadReport
from _masticspoke.model import Member
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.server import Handlers
from _masticspoke.supervise.server import serve
from _masticspoke.supervise.supervisor import Clock

KeeperMessage = LogRecords | BackendAnnounced | BackendLeaving | AskStatus
Publish = Callable[
    [CatalogueChanged | MembersChanged | BackendAnnounced | BackendLeaving], None
]


@final
@dataclass(slots=True)
class _KeeperState:
    writer: Mailbox[WriterMessage]
    publish: Publish
    catalogue: CatalogueState = field(default_factory=CatalogueState)
    members: MembersState = field(default_factory=MembersState)
    own: Member | None = None


def keeper(
    inbox: Mailbox[KeeperMessage],
    writer: Mailbox[WriterMessage],
    publish: Publish,
    clock: Clock,
) -> ChildBody:
    """Return the body of the keeper's task.

    :param publish: tells the other branches what changed.
    """

    async def run(life: Lifecycle) -> None:
        state = _KeeperState(writer, publish)
        await serve(inbox, state, _HANDLERS, clock, life)

    return run


def _log_records(state: _KeeperState, message: LogRecords, now: float) -> None:
    members = state.members
    for record in message.records:
        value = decode_record(record.data)
        if isinstance(value, Change):
            _apply_change(state, value)
        elif value is not None:
            state.members = reduce_membership(state.members, value)
    if state.members is not members:
        state.publish(MembersChanged(tuple(state.members.by_node.values())))


def _apply_change(state: _KeeperState, change: Change) -> None:
    before = state.catalogue
    state.catalogue = reduce_change(before, change)
    version = state.catalogue.catalogue.version
    if state.catalogue is before:
        log_event(Event.CATALOGUE_REJECTED, change=change.change_id, version=version)
        return
    log_event(Event.CATALOGUE_IN_FORCE, change=change.change_id, version=version)
    state.publish(CatalogueChanged(state.catalogue.catalogue))


def _announced(state: _KeeperState, message: BackendAnnounced, now: float) -> None:
    state.publish(message)
    if message.member == state.own:
        return
    state.own = message.member
    log_event(Event.BACKEND_ANNOUNCED, service=message.member.service)
    record = encode_record(Joined(message.member))
    state.writer.tell(AppendRecord(MEMBERS_STREAM, record))


def _leaving(state: _KeeperState, message: BackendLeaving, now: float) -> None:
    state.publish(message)
    own = state.own
    if own is None:
        return
    state.own = None
    log_event(Event.BACKEND_LEAVING, service=own.service)
    record = encode_record(Left(own.node, own.incarnation))
    state.writer.tell(AppendRecord(MEMBERS_STREAM, record))


def _ask_status(state: _KeeperState, message: AskStatus, now: float) -> None:
    message.reply.answer(
        NodeStatus(
            catalogue_version=state.catalogue.catalogue.version,
            members=tuple(state.members.by_node.values()),
            report=LoadReport(),
        )
    )


_HANDLERS: Handlers[_KeeperState] = {
    LogRecords: _log_records,
    BackendAnnounced: _announced,
    BackendLeaving: _leaving,
    AskStatus: _ask_status,
}
