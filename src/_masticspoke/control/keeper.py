"""The keeper: owns this node's catalogue and members.

Its state survives a crash of its task, so that the node never goes back to an earlier
catalogue version.
"""

from __future__ import annotations

from collections.abc import Callable

from _masticspoke.border.records import CATALOGUE_STREAM
from _masticspoke.border.records import decode_catalogue
from _masticspoke.border.records import decode_membership
from _masticspoke.border.records import encode_record
from _masticspoke.border.records import MEMBERS_STREAM
from _masticspoke.control.keeper_state import answer_if_ready
from _masticspoke.control.keeper_state import apply_catalogue
from _masticspoke.control.keeper_state import apply_hints
from _masticspoke.control.keeper_state import KeeperState
from _masticspoke.control.keeper_state import mark_ready
from _masticspoke.control.keeper_state import republish
from _masticspoke.control.upkeep import append
from _masticspoke.control.upkeep import leave
from _masticspoke.control.upkeep import unrecorded_departures
from _masticspoke.control.upkeep import upkeep
from _masticspoke.decisions import departure_records
from _masticspoke.decisions import local_backend
from _masticspoke.decisions import snapshots
from _masticspoke.decisions.catalogue import newer_state
from _masticspoke.decisions.hints import Hint
from _masticspoke.decisions.hints import take_updates
from _masticspoke.decisions.local_backend import announcement_refusal
from _masticspoke.decisions.log_health import LogTransition
from _masticspoke.decisions.log_health import record_result
from _masticspoke.decisions.replay import Snapshot
from _masticspoke.decisions.streams import read_catalogue
from _masticspoke.decisions.streams import read_members
from _masticspoke.events import Event
from _masticspoke.events import log_event
from _masticspoke.messages.control import Announce
from _masticspoke.messages.control import AskDigest
from _masticspoke.messages.control import AskKeeperSnapshot
from _masticspoke.messages.control import AskPosition
from _masticspoke.messages.control import AskReady
from _masticspoke.messages.control import AskStatus
from _masticspoke.messages.control import BackendAnnounced
from _masticspoke.messages.control import BackendLeaving
from _masticspoke.messages.control import Digest
from _masticspoke.messages.control import KeeperSnapshot
from _masticspoke.messages.control import LogHealth
from _masticspoke.messages.control import LogRecords
from _masticspoke.messages.control import MemberSilent
from _masticspoke.messages.control import NodeStatus
from _masticspoke.messages.control import NodeStopping
from _masticspoke.messages.control import PeersAsked
from _masticspoke.messages.control import PeerUpdate
from _masticspoke.messages.control import Resend
from _masticspoke.messages.control import ViewsChanged
from _masticspoke.model import LoadReport
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.server import Handlers
from _masticspoke.supervise.server import serve
from _masticspoke.supervise.supervisor import Clock

KeeperMessage = (
    LogRecords
    | LogHealth
    | AskPosition
    | Announce
    | BackendLeaving
    | NodeStopping
    | PeerUpdate
    | PeersAsked
    | MemberSilent
    | AskReady
    | AskDigest
    | AskKeeperSnapshot
    | AskStatus
    | Resend
)
_TICK_S = 0.25


def keeper(
    inbox: Mailbox[KeeperMessage], state: KeeperState, clock: Clock
) -> ChildBody:
    """Return the body of the keeper's task."""

    async def run(life: Lifecycle) -> None:
        await serve(
            inbox, state, _HANDLERS, clock, life, tick_s=_TICK_S, on_tick=upkeep
        )

    return run


def _log_records(state: KeeperState, message: LogRecords, now: float) -> None:
    _RECORD_HANDLERS[message.stream](state, message, now)


def _catalogue_records(state: KeeperState, message: LogRecords, now: float) -> None:
    values = [(r.offset, decode_catalogue(r.data)) for r in message.records]
    state.catalogue_replay, rejected = read_catalogue(
        state.catalogue_replay, message.oldest_offset, values
    )
    for change in rejected:
        log_event(Event.CATALOGUE_REJECTED, change=change.change_id)
    for offset, value in values:
        if isinstance(value, Snapshot):
            state.catalogue_snapshot_clock = snapshots.snapshot_read(offset, now)
    replay = state.catalogue_replay
    if replay.complete:
        apply_catalogue(state, newer_state(state.catalogue, replay.state))
    if message.at_end:
        mark_ready(state)


def _members_records(state: KeeperState, message: LogRecords, now: float) -> None:
    values = [(r.offset, decode_membership(r.data)) for r in message.records]
    before = state.members_replay
    update = read_members(before, message.oldest_offset, values)
    state.members_replay = update.replay
    for offset, value in values:
        if isinstance(value, Snapshot):
            state.members_snapshot_clock = snapshots.snapshot_read(offset, now)
    if update.replay.complete and update.replay.read_through != before.read_through:
        state.publish(ViewsChanged(update.views, update.replay.read_through))
    state.publish(message)
    apply_hints(state, update.hints)
    if message.at_end and not state.members_read:
        state.members_read = True
        answer_if_ready(state)


_RECORD_HANDLERS: dict[str, Callable[[KeeperState, LogRecords, float], None]] = {
    CATALOGUE_STREAM: _catalogue_records,
    MEMBERS_STREAM: _members_records,
}


def _ask_ready(state: KeeperState, message: AskReady, now: float) -> None:
    state.waiting.append(message.reply)
    answer_if_ready(state)


def _ask_position(state: KeeperState, message: AskPosition, now: float) -> None:
    positions = {
        CATALOGUE_STREAM: state.catalogue_replay.read_through,
        MEMBERS_STREAM: state.members_replay.read_through,
    }
    message.reply.answer(positions[message.stream] + 1)


def _log_health(state: KeeperState, message: LogHealth, now: float) -> None:
    state.log, transition = record_result(state.log, message.source, message.fault)
    if transition is LogTransition.UNAVAILABLE:
        log_event(Event.LOG_UNAVAILABLE, source=message.source, fault=message.fault)
    if transition is LogTransition.AVAILABLE:
        log_event(Event.LOG_AVAILABLE, source=message.source)
    if message.fault:
        state.publish(message)
    _mark_ready_without_log(state)


def _announce(state: KeeperState, message: Announce, now: float) -> None:
    catalogue = state.catalogue.catalogue
    refusal = announcement_refusal(catalogue, message.member, stopping=state.stopping)
    message.reply.answer(refusal)
    if refusal is not None:
        return
    before = state.local_backend
    state.local_backend = local_backend.announce(
        before, message.member, message.ttl_s, now
    )
    member = state.local_backend.member
    if member is None:
        return
    state.publish(BackendAnnounced(member, message.ttl_s))
    if member == before.member:
        return
    log_event(Event.BACKEND_ANNOUNCED, service=member.service, address=member.backend)
    apply_hints(state, (local_backend.own_hint(state.local_backend),))


def _backend_leaving(state: KeeperState, message: BackendLeaving, now: float) -> None:
    leave(state, Event.BACKEND_LEAVING)


def _node_stopping(state: KeeperState, message: NodeStopping, now: float) -> None:
    state.stopping = True
    leave(state, Event.BACKEND_LEAVING)


def _peer_update(state: KeeperState, message: PeerUpdate, now: float) -> None:
    apply_hints(state, message.hints)
    if message.catalogue is not None:
        apply_catalogue(state, newer_state(state.catalogue, message.catalogue))


def _peers_asked(state: KeeperState, message: PeersAsked, now: float) -> None:
    state.peers_asked = True
    _mark_ready_without_log(state)


def _mark_ready_without_log(state: KeeperState) -> None:
    if state.peers_asked and not state.log.available:
        mark_ready(state)
        answer_if_ready(state)


def _member_silent(state: KeeperState, message: MemberSilent, now: float) -> None:
    apply_hints(state, (Hint(message.node, message.incarnation),))
    unrecorded = unrecorded_departures(state)
    departures = [left for left in unrecorded if left.node == message.node]
    if not departures:
        return
    log_event(Event.MEMBER_SILENT, node=message.node)
    # When many members fail at once, one node appends all departures: see upkeep.
    if len(unrecorded) <= departure_records.MAX_UNBATCHED and state.log.available:
        append(state, MEMBERS_STREAM, encode_record(departures[0]))


def _ask_digest(state: KeeperState, message: AskDigest, now: float) -> None:
    state.hints, updates = take_updates(state.hints)
    version = state.catalogue.catalogue.version
    checksum = state.hints.checksum
    message.reply.answer(Digest(state.local_backend.node, version, checksum, updates))


def _ask_keeper_snapshot(
    state: KeeperState, message: AskKeeperSnapshot, now: float
) -> None:
    hints = tuple(state.hints.by_node.values())
    message.reply.answer(KeeperSnapshot(state.catalogue, hints))


def _ask_status(state: KeeperState, message: AskStatus, now: float) -> None:
    message.reply.answer(
        NodeStatus(
            catalogue_version=state.catalogue.catalogue.version if state.ready else 0,
            members=state.routing,
            report=LoadReport(),
        )
    )


def _resend(state: KeeperState, message: Resend, now: float) -> None:
    republish(state, now)


_HANDLERS: Handlers[KeeperState] = {
    LogRecords: _log_records,
    LogHealth: _log_health,
    AskPosition: _ask_position,
    Announce: _announce,
    BackendLeaving: _backend_leaving,
    NodeStopping: _node_stopping,
    PeerUpdate: _peer_update,
    PeersAsked: _peers_asked,
    MemberSilent: _member_silent,
    AskReady: _ask_ready,
    AskDigest: _ask_digest,
    AskKeeperSnapshot: _ask_keeper_snapshot,
    AskStatus: _ask_status,
    Resend: _resend,
}
