"""Periodic work of the keeper: lapsed announcements, and records to append."""

from __future__ import annotations

from _masticspoke.border.records import CATALOGUE_STREAM
from _masticspoke.border.records import encode_record
from _masticspoke.border.records import encode_snapshot
from _masticspoke.border.records import MEMBERS_STREAM
from _masticspoke.control.keeper_state import apply_hints
from _masticspoke.control.keeper_state import KeeperState
from _masticspoke.decisions import departure_records
from _masticspoke.decisions import local_backend
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
    """Withdraw a lapsed backend server, and append records that are due."""
    if local_backend.has_lapsed(state.local_backend, now):
        leave(state, Event.BACKEND_LAPSED)
    if not state.log.available:
        return
    if state.members_replay.complete:
        _append_own_record(state, now)
        _append_departures(state, now)
    state.catalogue_snapshot_clock = _append_snapshot(
        state,
        CATALOGUE_STREAM,
        state.catalogue_replay,
        state.catalogue_snapshot_clock,
        now,
    )
    state.members_snapshot_clock = _append_snapshot(
        state, MEMBERS_STREAM, state.members_replay, state.members_snapshot_clock, now
    )


def _append_own_record(state: KeeperState, now: float) -> None:
    members = state.members_replay.state
    state.local_backend, record = local_backend.next_record(
        state.local_backend, members, now
    )
    if record is not None:
        append(state, MEMBERS_STREAM, encode_record(record))


def _append_departures(state: KeeperState, now: float) -> None:
    nodes = tuple(member.node for member in state.routing)
    state.departure_clock, records = departure_records.take_turn(
        state.departure_clock,
        unrecorded_departures(state),
        state.local_backend.node,
        nodes,
        now,
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
    clock = snapshots.update_due(clock, replay.read_through, state.snapshot_policy, now)
    nodes = (member.node for member in state.routing)
    if not snapshots.is_our_turn(clock, state.local_backend.node, nodes, now):
        return clock
    if replay.complete:
        append(state, stream, encode_snapshot(replay.read_through, replay.state))
    return snapshots.snapshot_appended(clock, now)


def append(state: KeeperState, stream: str, record: bytes) -> None:
    """Send a record to the log writer."""
    state.writer.tell(AppendRecord(stream, record))


def leave(state: KeeperState, event: Event) -> None:
    """Stop accepting work for the local backend server."""
    member = state.local_backend.member
    if member is None:
        return
    state.local_backend = local_backend.leave(state.local_backend)
    log_event(event, service=member.service, address=member.backend)
    # The router is notified first, so that it sends the gate no request to refuse.
    apply_hints(state, (local_backend.own_hint(state.local_backend),))
    state.publish(BackendLeaving())


def unrecorded_departures(state: KeeperState) -> tuple[Left, ...]:
    """Return departure records of members that are gone but still in the views."""
    return departure_records.unrecorded_departures(
        state.members_replay.state, state.hints, state.local_backend.node
    )
