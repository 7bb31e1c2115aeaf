"""What the keeper does by itself: lapses, and records that the log lacks."""

from __future__ import annotations

from _masticspoke.border.records import CATALOGUE_STREAM
from _masticspoke.border.records import encode_record
from _masticspoke.border.records import encode_snapshot
from _masticspoke.border.records import MEMBERS_STREAM
from _masticspoke.control.knowledge import apply_hints
from _masticspoke.control.knowledge import KeeperState
from _masticspoke.decisions import departure_records
from _masticspoke.decisions import own_backend
from _masticspoke.decisions import snapshots
from _masticspoke.decisions.members import Left
from _masticspoke.decisions.snapshots import SnapshotClock
from _masticspoke.decisions.streams import CatalogueReplay
from _masticspoke.decisions.streams import MembersReplay
from _masticspoke.events import Event
from _masticspoke.events import log_event
from _masticspoke.messages.control import AppendRecord
from _masticspoke.messages.control import BackendLeaving


def upkeep(state: KeeperState, now: float) -> None:
    """Note a lapse, and give the writer what the log lacks and this node adds."""
    if own_backend.has_lapsed(state.own, now):
        leave(state, Event.BACKEND_LAPSED)
    if not state.log.available:
        return
    if state.members_log.complete:
        _append_own(state, now)
        _append_ends(state, now)
    state.catalogue_snapshot = _append_snapshot(
        state, CATALOGUE_STREAM, state.catalogue_log, state.catalogue_snapshot, now
    )
    state.members_snapshot = _append_snapshot(
        state, MEMBERS_STREAM, state.members_log, state.members_snapshot, now
    )


def _append_own(state: KeeperState, now: float) -> None:
    members = state.members_log.state
    state.own, record = own_backend.next_record(state.own, members, now)
    if record is not None:
        append(state, MEMBERS_STREAM, encode_record(record))


def _append_ends(state: KeeperState, now: float) -> None:
    nodes = tuple(member.node for member in state.routing)
    state.silence, records = departure_records.take_turn(
        state.silence, unrecorded_departures(state), state.own.node, nodes, now
    )
    for record in records:
        append(state, MEMBERS_STREAM, encode_record(record))


def _append_snapshot(
    state: KeeperState,
    stream: str,
    replay: CatalogueReplay | MembersReplay,
    clock: SnapshotClock,
    now: float,
) -> SnapshotClock:
    clock = snapshots.update_due(clock, replay.read_through, state.policy, now)
    nodes = (member.node for member in state.routing)
    if not snapshots.is_our_turn(clock, state.own.node, nodes, now):
        return clock
    if replay.complete:
        append(state, stream, encode_snapshot(replay.read_through, replay.state))
    return snapshots.snapshot_appended(clock, now)


def append(state: KeeperState, stream: str, record: bytes) -> None:
    """Give the log writer a record."""
    state.writer.tell(AppendRecord(stream, record))


def leave(state: KeeperState, event: Event) -> None:
    """Stop taking work for the own backend server."""
    member = state.own.member
    if member is None:
        return
    state.own = own_backend.leave(state.own)
    log_event(event, service=member.service, address=member.backend)
    # The router first: it then sends the gate nothing that would be refused.
    apply_hints(state, (own_backend.own_hint(state.own),))
    state.publish(BackendLeaving())


def unrecorded_departures(state: KeeperState) -> tuple[Left, ...]:
    """Return records about members that are gone but still in their views."""
    return departure_records.unrecorded_departures(
        state.members_log.state, state.hints, state.own.node
    )
