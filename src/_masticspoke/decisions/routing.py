"""Choose the backend server for an attempt."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
from random import Random

from _masticspoke.model import Address
from _masticspoke.model import LoadReport
from _masticspoke.model import Member

_UNKNOWN = LoadReport()


def choose_member(
    members: Sequence[Member],
    loads: Mapping[Address, LoadReport],
    tried: Collection[Address],
    own: Address,
    random: Random,
) -> Member | None:
    """Return the member for the next attempt, or ``None`` if all were tried.

    The own backend server goes first when it is not busier than a random other;
    among the others the less busy of two random ones is taken.

    :param loads: last load report of each node, by peer address.
    :param tried: nodes that this call has been sent to already.
    :param own: peer address of this node.
    """
    open_members = [
        m
        for m in members
        if m.node not in tried and not loads.get(m.node, _UNKNOWN).leaving
    ]
    if not open_members:
        return None
    pair = random.sample(open_members, min(2, len(open_members)))
    pair += [m for m in open_members if m.node == own]
    return min(pair, key=lambda m: (_busyness(m, loads), m.node != own))


def _busyness(member: Member, loads: Mapping[Address, LoadReport]) -> float:
    load = loads.get(member.node)
    if load is None:
        return 0.0
    return load.in_flight / max(1, load.limit)
