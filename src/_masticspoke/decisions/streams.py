"""Apply records of the log's streams to a node's catalogue and views."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from typing import final

from _masticspoke.decisions.catalogue import CatalogueState
from _masticspoke.decisions.catalogue import Change
from _masticspoke.decisions.catalogue import reduce_change
from _masticspoke.decisions.hints import Hint
from _masticspoke.decisions.hints import member_hint
from _masticspoke.decisions.members import changed_views
from _masticspoke.decisions.members import MembershipRecord
from _masticspoke.decisions.members import MembersState
from _masticspoke.decisions.members import reduce_membership
from _masticspoke.decisions.replay import advance
from _masticspoke.decisions.replay import Replay
from _masticspoke.decisions.replay import Snapshot
from _masticspoke.decisions.replay import start_at
from _masticspoke.model import View

CatalogueReplay = Replay[CatalogueState, Change]
MembersReplay = Replay[MembersState, MembershipRecord]


@final
@dataclass(frozen=True, slots=True)
class MembersUpdate:
    """The changes from one read of the stream ``members``.

    :param views: new views in the log's order. While records are missing there are
        none; the snapshot that covers the missing ones yields all views.
    :param hints: hints of members that joined or left, for routing.
    """

    replay: MembersReplay
    views: tuple[View, ...] = field(default=())
    hints: tuple[Hint, ...] = field(default=())


def new_catalogue_replay() -> CatalogueReplay:
    """Return the replay of the stream ``catalogue`` before its first record."""
    return Replay(CatalogueState())


def new_members_replay() -> MembersReplay:
    """Return the replay of the stream ``members`` before its first record."""
    return Replay(MembersState())


def read_catalogue(
    replay: CatalogueReplay,
    oldest: int,
    records: Iterable[tuple[int, Change | Snapshot[CatalogueState] | None]],
) -> tuple[CatalogueReplay, tuple[Change, ...]]:
    """Return the replay after one read, and the changes that were rejected.

    :param oldest: oldest offset that the log retains.
    """
    replay = start_at(replay, oldest)
    rejected: list[Change] = []
    for offset, value in records:
        previous = replay.state
        replay = advance(replay, value, offset, reduce_change)
        if isinstance(value, Change) and replay.complete and replay.state is previous:
            rejected.append(value)
    return replay, tuple(rejected)


def read_members(
    replay: MembersReplay,
    oldest: int,
    records: Iterable[tuple[int, MembershipRecord | Snapshot[MembersState] | None]],
) -> MembersUpdate:
    """Return the replay after one read, with the new views and hints.

    :param oldest: oldest offset that the log retains.
    """
    before = replay.state
    replay = start_at(replay, oldest)
    views: list[View] = []
    for offset, value in records:
        previous = replay.state
        replay = advance(replay, value, offset, reduce_membership)
        views += changed_views(previous, replay.state)
    if replay.state is before:
        return MembersUpdate(replay)
    return MembersUpdate(replay, tuple(views), _hints(before, replay.state))


def _hints(before: MembersState, after: MembersState) -> tuple[Hint, ...]:
    joins = tuple(
        member_hint(member)
        for node, member in after.by_node.items()
        if before.by_node.get(node) is not member
    )
    ended = {
        node: member.incarnation
        for node, member in before.by_node.items()
        if node not in after.by_node
    }
    ended |= {n: i for n, i in after.ended.items() if before.ended.get(n) != i}
    return joins + tuple(Hint(node, incarnation) for node, incarnation in ended.items())
