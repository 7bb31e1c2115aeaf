"""Decide which node appends the departures of failed members to the log.

The nodes take turns: the one whose turn it is appends all of them in one batch.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from _masticspoke.decisions.hints import HintsState
from _masticspoke.decisions.members import Left
from _masticspoke.decisions.members import MembersState
from _masticspoke.decisions.turns import has_turn
from _masticspoke.decisions.turns import TURN_S
from _masticspoke.model import Address

# Up to this many departures, the node that detects one appends its record at once.
MAX_UNBATCHED = 8


@final
@dataclass(frozen=True, slots=True)
class DepartureClock:
    """Time from which departures are due to be appended.

    ``None`` if the log has all of them.
    """

    due_since: float | None = None


def unrecorded_departures(
    members: MembersState, hints: HintsState, own_address: Address
) -> tuple[Left, ...]:
    """Return records of members that are gone but still in the views of the log.

    :param own_address: peer address of this node, which records its own departure
        itself.
    """
    departures = []
    for node, member in members.by_node.items():
        hint = hints.by_node.get(node)
        if node == own_address or hint is None or hint.incarnation < member.incarnation:
            continue
        if hint.member is None:
            departures.append(Left(node, member.incarnation))
    return tuple(departures)


def take_turn(
    clock: DepartureClock,
    unrecorded: tuple[Left, ...],
    own_address: Address,
    nodes: tuple[Address, ...],
    now: float,
) -> tuple[DepartureClock, tuple[Left, ...]]:
    """Return the records that this node appends now: all in one batch, or none.

    :param unrecorded: result of :func:`unrecorded_departures`.
    :param nodes: nodes of the members that accept work.
    """
    if not unrecorded:
        return DepartureClock(), ()
    due_since = now + TURN_S if clock.due_since is None else clock.due_since
    if not has_turn(own_address, nodes, due_since, unrecorded[0].incarnation, now):
        return DepartureClock(due_since), ()
    return DepartureClock(now + 2 * TURN_S), unrecorded
