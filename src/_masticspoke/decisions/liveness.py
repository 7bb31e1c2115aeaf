"""Decide which members a node watches, and when it suspects one of having failed."""

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


def watched_nodes(
    members: Sequence[Member], own_address: Address
) -> tuple[Address, ...]:
    """Return the nodes that ``own_address`` watches.

    They are its successors in the ring of its service. Members of a service that is
    too small for a ring of its own are watched by their predecessors in the ring of
    all members.
    """
    services: dict[str, list[Address]] = {}
    for member in members:
        services.setdefault(member.service, []).append(member.node)
    watched: list[Address] = []
    for nodes in services.values():
        if len(nodes) > WATCHED_NEIGHBOURS:
            watched += _successors(nodes, own_address) if own_address in nodes else ()
    all_nodes = [m.node for m in members]
    nodes_of_small_services = {
        node
        for nodes in services.values()
        if len(nodes) <= WATCHED_NEIGHBOURS
        for node in nodes
    }
    watched += [
        n for n in _successors(all_nodes, own_address) if n in nodes_of_small_services
    ]
    return tuple(dict.fromkeys(watched))


def record_round(
    failures: Mapping[Address, int], answered: Mapping[Address, bool]
) -> tuple[dict[Address, int], tuple[Address, ...]]:
    """Return the consecutive failures after a round, and the nodes to suspect.

    :param answered: whether each watched node answered in this round.
    """
    updated = {n: failures.get(n, 0) + 1 for n, up in answered.items() if not up}
    return updated, tuple(
        n for n, count in updated.items() if count >= ROUNDS_TO_SUSPECT
    )


def choose_prober(
    members: Iterable[Member],
    failures: Mapping[Address, int],
    own_address: Address,
    random: Random,
) -> Address | None:
    """Return a random other node to probe a suspected one; ``None`` if there is none.

    Only nodes without failed rounds qualify; a node that is not watched here has none.
    """
    answering = [
        m.node for m in members if m.node != own_address and m.node not in failures
    ]
    return random.choice(answering) if answering else None


def choose_partners(
    members: Iterable[Member],
    seeds: Iterable[Address],
    own_address: Address,
    count: int,
    random: Random,
) -> tuple[Address, ...]:
    """Return random nodes to exchange digests with.

    Seeds stay candidates after members are known, so that the two sides of a network
    partition find each other again.
    """
    candidates = sorted({*(m.node for m in members), *seeds} - {own_address})
    return tuple(random.sample(candidates, min(count, len(candidates))))


def _successors(nodes: Iterable[Address], own_address: Address) -> tuple[Address, ...]:
    ring = sorted({*nodes, own_address}, key=_ring_position)
    start = ring.index(own_address) + 1
    rotated = ring[start:] + ring[: start - 1]
    return tuple(rotated[:WATCHED_NEIGHBOURS])


def _ring_position(node: Address) -> tuple[int, Address]:
    return zlib.crc32(str(node).encode()), node
