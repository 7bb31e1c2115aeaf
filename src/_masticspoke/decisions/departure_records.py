"""Decide who tells the log that members are gone, so that it hears it in batches."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from _masticspoke.decisions.hints import HintsState
from _masticspoke.decisions.members import Left
from _masticspoke.decisions.members import MembersState
from _masticspoke.decisions.turns import has_turn
from _masticspoke.decisions.turns import TURN_S
from _masticspoke.model import Address

MAX_UNBATCHED = 8


@final
@dataclass(frozen=True, slots=True)
class DepartureClock:
    """Since when the log lacks the end of members; ``None`` when it lacks none."""

    due_since: float | None = None


def unrecorded_departures(
    members: MembersState, hints: HintsState, own: Address
) -> tuple[Left, ...]:
    """Return the records about members that are gone but still in their views.

    :param own: peer address of this node, which tells the log about itself.
    """
    found = []
    for node, member in members.by_node.items():
        hint = hints.by_node.get(node)
        if node == own or hint is None or hint.incarnation < member.incarnation:
            continue
        if hint.member is None:
            found.append(Left(node, member.incarnation))
    return tuple(found)


def take_turn(
    clock: DepartureClock,
    missing: tuple[Left, ...],
    own: Address,
    nodes: tuple[Address, ...],
    now: float,
) -> tuple[DepartureClock, tuple[Left, ...]]:
    """Return the records that this node appends now, all in one batch.

    :param nodes: nodes of the members that take work.
    """
    if not missing:
        return DepartureClock(), ()
    due_since = now + TURN_S if clock.due_since is None else clock.due_since
    if not has_turn(own, nodes, due_since, missing[0].incarnation, now):
        return DepartureClock(due_since), ()
    return DepartureClock(now + 2 * TURN_S), missing
