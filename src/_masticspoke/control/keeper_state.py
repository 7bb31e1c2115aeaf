"""State of the keeper, and functions that change and publish it."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from typing import final

from _masticspoke.control.log_writer import WriterMessage
from _masticspoke.decisions.catalogue import CatalogueState
from _masticspoke.decisions.departure_records import DepartureClock
from _masticspoke.decisions.hints import Hint
from _masticspoke.decisions.hints import HintsState
from _masticspoke.decisions.hints import merge
from _masticspoke.decisions.hints import routing_members
from _masticspoke.decisions.local_backend import LocalBackend
from _masticspoke.decisions.local_backend import own_hint
from _masticspoke.decisions.local_backend import reconcile
from _masticspoke.decisions.log_health import LogState
from _masticspoke.decisions.snapshots import SnapshotClock
from _masticspoke.decisions.snapshots import SnapshotPolicy
from _masticspoke.decisions.streams import CatalogueReplay
from _masticspoke.decisions.streams import MembersReplay
from _masticspoke.decisions.streams import new_catalogue_replay
from _masticspoke.decisions.streams import new_members_replay
from _masticspoke.events import Event
from _masticspoke.events import log_event
from _masticspoke.messages.control import BackendAnnounced
from _masticspoke.messages.control import BackendLeaving
from _masticspoke.messages.control import CatalogueChanged
from _masticspoke.messages.control import LogHealth
from _masticspoke.messages.control import LogRecords
from _masticspoke.messages.control import MembersChanged
from _masticspoke.messages.control import ViewsChanged
from _masticspoke.model import Member
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply

Published = (
    CatalogueChanged
    | MembersChanged
    | ViewsChanged
    | LogRecords
    | BackendAnnounced
    | BackendLeaving
    | LogHealth
)
Publish = Callable[[Published], None]


@final
@dataclass(slots=True)
class KeeperState:
    """State of the keeper.

    :param publish: sends a change to the tasks that need it. The views of one read of
        the stream ``members`` are published before its records.
    :param catalogue: highest version received, from the log or another node.
    :param ready: whether ``catalogue`` may be acted on, see :func:`mark_ready`.
    :param members_read: whether the stream ``members`` was read to its end.
    :param peers_asked: whether gossip has exchanged digests with another node.
    :param waiting: replies to :class:`AskReady`, see :func:`answer_if_ready`.
    :param routing: members that accept work, as last published.
    """

    writer: Mailbox[WriterMessage]
    publish: Publish
    local_backend: LocalBackend
    snapshot_policy: SnapshotPolicy
    catalogue_replay: CatalogueReplay = field(default_factory=new_catalogue_replay)
    members_replay: MembersReplay = field(default_factory=new_members_replay)
    catalogue_snapshot_clock: SnapshotClock = field(default_factory=SnapshotClock)
    members_snapshot_clock: SnapshotClock = field(default_factory=SnapshotClock)
    departure_clock: DepartureClock = field(default_factory=DepartureClock)
    catalogue: CatalogueState = field(default_factory=CatalogueState)
    ready: bool = False
    members_read: bool = False
    peers_asked: bool = False
    waiting: list[Reply[None]] = field(default_factory=list)
    hints: HintsState = field(default_factory=HintsState)
    routing: tuple[Member, ...] = ()
    log: LogState = field(default_factory=LogState)
    stopping: bool = False


def apply_catalogue(state: KeeperState, catalogue: CatalogueState) -> None:
    """Adopt a catalogue with a higher version; ignore any other."""
    if catalogue.catalogue.version <= state.catalogue.catalogue.version:
        return
    state.catalogue = catalogue
    if state.ready:
        _publish_catalogue(state)


def mark_ready(state: KeeperState) -> None:
    """Allow the catalogue to be acted on, and publish it.

    Call it once the stream ``catalogue`` was read to its end, or once peers were asked
    while the log is unavailable. If it is called before that, a restarted node may act
    on a lower version than before its restart.
    """
    if state.ready:
        return
    state.ready = True
    if state.catalogue.catalogue.version > 0:
        _publish_catalogue(state)
    answer_if_ready(state)


def answer_if_ready(state: KeeperState) -> None:
    """Answer the waiting replies if both catalogue and members may be acted on."""
    without_log = state.peers_asked and not state.log.available
    if not (state.ready and (state.members_read or without_log)):
        return
    for reply in state.waiting:
        reply.answer(None)
    state.waiting.clear()


def republish(state: KeeperState, now: float) -> None:
    """Publish the current state again, for a task that lost its own in a crash."""
    if state.ready and state.catalogue.catalogue.version > 0:
        state.publish(CatalogueChanged(state.catalogue.catalogue))
    state.publish(MembersChanged(state.routing))
    if state.local_backend.member is not None:
        state.publish(
            BackendAnnounced(
                state.local_backend.member, state.local_backend.expires - now
            )
        )


def _publish_catalogue(state: KeeperState) -> None:
    catalogue = state.catalogue.catalogue
    log_event(
        Event.CATALOGUE_IN_FORCE,
        change=state.catalogue.change_id,
        version=catalogue.version,
    )
    state.publish(CatalogueChanged(catalogue))


def apply_hints(state: KeeperState, hints: Iterable[Hint]) -> None:
    """Merge hints, and publish the members that accept work if they changed."""
    merged = merge(state.hints, hints)
    if merged is state.hints:
        return
    state.hints = merged
    _reconcile_local_backend(state)
    routing = routing_members(state.hints)
    if routing != state.routing:
        state.routing = routing
        state.publish(MembersChanged(routing))


def _reconcile_local_backend(state: KeeperState) -> None:
    backend = reconcile(
        state.local_backend, state.hints.by_node.get(state.local_backend.node)
    )
    if backend is not state.local_backend:
        state.local_backend = backend
        state.hints = merge(state.hints, (own_hint(backend),))
