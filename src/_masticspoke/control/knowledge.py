"""What the keeper owns, and how a change of it reaches the other branches."""

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
from _masticspoke.decisions.log_health import LogState
from _masticspoke.decisions.own_backend import own_hint
from _masticspoke.decisions.own_backend import OwnBackend
from _masticspoke.decisions.own_backend import reconcile
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

    :param publish: tells the other branches what changed; the views that one read
        of the stream ``members`` made are published before its records.
    :param catalogue: highest version heard of, from the log or another node.
    :param ready: whether it may be acted on, see :func:`mark_ready`.
    :param members_read: whether the stream ``members`` was read to its end.
    :param peers_asked: whether another node told what it knows.
    :param waiting: replies to those who wait until the node knows enough.
    :param routing: members that take work, as published.
    """

    writer: Mailbox[WriterMessage]
    publish: Publish
    own: OwnBackend
    policy: SnapshotPolicy
    catalogue_log: CatalogueReplay = field(default_factory=new_catalogue_replay)
    members_log: MembersReplay = field(default_factory=new_members_replay)
    catalogue_snapshot: SnapshotClock = field(default_factory=SnapshotClock)
    members_snapshot: SnapshotClock = field(default_factory=SnapshotClock)
    silence: DepartureClock = field(default_factory=DepartureClock)
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
    """Put a catalogue in force; a lower or equal version changes nothing."""
    if catalogue.catalogue.version <= state.catalogue.catalogue.version:
        return
    state.catalogue = catalogue
    if state.ready:
        _put_in_force(state)


def mark_ready(state: KeeperState) -> None:
    """Note that the log was read to its end, or that it is down and peers were asked.

    Before that, a node that restarts could act on a version lower than the one that
    it acted on before.
    """
    if state.ready:
        return
    state.ready = True
    if state.catalogue.catalogue.version > 0:
        _put_in_force(state)
    answer_waiting(state)


def answer_waiting(state: KeeperState) -> None:
    """Answer those who wait for catalogue and members, if both are known."""
    without_log = state.peers_asked and not state.log.available
    if not (state.ready and (state.members_read or without_log)):
        return
    for reply in state.waiting:
        reply.answer(None)
    state.waiting.clear()


def republish(state: KeeperState, now: float) -> None:
    """Publish again what is in force, for a task that lost its state in a crash."""
    if state.ready and state.catalogue.catalogue.version > 0:
        state.publish(CatalogueChanged(state.catalogue.catalogue))
    state.publish(MembersChanged(state.routing))
    if state.own.member is not None:
        state.publish(BackendAnnounced(state.own.member, state.own.expires - now))


def _put_in_force(state: KeeperState) -> None:
    catalogue = state.catalogue.catalogue
    log_event(
        Event.CATALOGUE_IN_FORCE,
        change=state.catalogue.change_id,
        version=catalogue.version,
    )
    state.publish(CatalogueChanged(catalogue))


def apply_hints(state: KeeperState, hints: Iterable[Hint]) -> None:
    """Merge hints and publish the members if they changed."""
    after = merge(state.hints, hints)
    if after is state.hints:
        return
    state.hints = after
    _answer_contradiction(state)
    routing = routing_members(state.hints)
    if routing != state.routing:
        state.routing = routing
        state.publish(MembersChanged(routing))


def _answer_contradiction(state: KeeperState) -> None:
    own = reconcile(state.own, state.hints.by_node.get(state.own.node))
    if own is not state.own:
        state.own = own
        state.hints = merge(state.hints, (own_hint(own),))
