"""Decide which members a node watches, and when it suspects one."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from random import Random

from _masticspoke.model import Address
from _masticspoke.model import Member

WATCHED_NEIGHBOURS = 2
ROUNDS_TO_SUSPECT = 3


def watched_nodes(members: Sequence[Member], own: Address) -> tuple[Address, ...]:
    """Return the nodes that ``own`` watches.

    They are its successors in the ring of its service. A service with too few
    members for a ring of its own is watched from the ring of all members.
    """
    services: dict[str, list[Address]] = {}
    for member in members:
        services.setdefault(member.service, []).append(member.node)
    found: list[Address] = []
    for nodes in services.values():
        if len(nodes) > WATCHED_NEIGHBOURS:
            found += _successors(nodes, own) if own in nodes else ()
    every = [m.node for m in members]
    small = {
        node
        for nodes in services.values()
        if len(nodes) <= WATCHED_NEIGHBOURS
        for node in nodes
    }
    found += [n for n in _successors(every, own) if n in small]
    return tuple(dict.fromkeys(found))


def record_round(
    failures: Mapping[Address, int], answered: Mapping[Address, bool]
) -> tuple[dict[Address, int], tuple[Address, ...]]:
    """Return the failures in a row after a round, and the nodes now suspected.

    :param answered: whether each watched node answered in this round.
    """
    after = {n: failures.get(n, 0) + 1 for n, up in answered.items() if not up}
    return after, tuple(n for n, count in after.items() if count >= ROUNDS_TO_SUSPECT)


def choose_confirmer(
    members: Iterable[Member],
    failures: Mapping[Address, int],
    own: Address,
    random: Random,
) -> Address | None:
    """Return a second node that is asked about a suspected one."""
    open_nodes = [m.node for m in members if m.node != own and m.node not in failures]
    return random.choice(open_nodes) if open_nodes else None


def choose_partners(
    members: Iterable[Member],
    seeds: Iterable[Address],
    own: Address,
    count: int,
    random: Random,
) -> tuple[Address, ...]:
    """Return random nodes to exchange digests with.

    While other members are known a seed is one candidate among them, so that two
    halves that lost each other meet again.
    """
    candidates = sorted({*(m.node for m in members), *seeds} - {own})
    return tuple(random.sample(candidates, min(count, len(candidates))))


def _successors(nodes: Iterable[Address], own: Address) -> tuple[Address, ...]:
    ring = sorted({*nodes, own}, key=_place)
    start = ring.index(own) + 1
    turned = ring[start:] + ring[: start - 1]
    return tuple(turned[:WATCHED_NEIGHBOURS])


def _place(node: Address) -> tuple[int, Address]:
    return zlib.crc32(str(node).encode()), node
