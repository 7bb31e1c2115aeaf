"""Apply the records of the log's two streams to what a node knows."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from typing import final

from _masticspoke.decisions.catalogue import CatalogueState
from _masticspoke.decisions.catalogue import Change
from _masticspoke.decisions.catalogue import reduce_change
from _masticspoke.decisions.hints import Hint
from _masticspoke.decisions.hints import joined
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
    """What a read of the stream ``members`` changed.

    :param views: new views in the log's order; all of them after missed records;
        none while records are missing.
    :param hints: members that joined and left, for routing.
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
    """Return the replay after one read, and the changes that lost their race.

    :param oldest: oldest offset that the log retains.
    """
    replay = start_at(replay, oldest)
    refused: list[Change] = []
    for offset, value in records:
        known = replay.state
        replay = advance(replay, value, offset, reduce_change)
        if isinstance(value, Change) and replay.complete and replay.state is known:
            refused.append(value)
    return replay, tuple(refused)


def read_members(
    replay: MembersReplay,
    oldest: int,
    records: Iterable[tuple[int, MembershipRecord | Snapshot[MembersState] | None]],
) -> MembersUpdate:
    """Return what one read changed.

    :param oldest: oldest offset that the log retains.
    """
    before = replay.state
    replay = start_at(replay, oldest)
    views: list[View] = []
    for offset, value in records:
        known = replay.state
        replay = advance(replay, value, offset, reduce_membership)
        views += changed_views(known, replay.state)
    if replay.state is before:
        return MembersUpdate(replay)
    return MembersUpdate(replay, tuple(views), _hints(before, replay.state))


def _hints(before: MembersState, after: MembersState) -> tuple[Hint, ...]:
    taken = tuple(
        joined(member)
        for node, member in after.by_node.items()
        if before.by_node.get(node) is not member
    )
    ended = {
        node: member.incarnation
        for node, member in before.by_node.items()
        if node not in after.by_node
    }
    ended |= {n: i for n, i in after.ended.items() if before.ended.get(n) != i}
    return taken + tuple(Hint(node, incarnation) for node, incarnation in ended.items())
