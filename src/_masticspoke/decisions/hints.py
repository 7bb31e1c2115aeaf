"""Merge what nodes tell each other about members, for routing only.

A hint is never a base for at-most-once decisions; those read the log's views.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import final

from _masticspoke.model import Address
from _masticspoke.model import Member

MAX_ENDED_HINTS = 4_000
MAX_UPDATES = 6
TELLINGS = 12


@final
@dataclass(frozen=True, slots=True)
class Hint:
    """Newest that is known about one node address.

    :param member: ``None`` when this incarnation takes no new work any more.
    """

    node: Address
    incarnation: str
    member: Member | None = None


@final
@dataclass(frozen=True, slots=True)
class HintsState:
    """Hints by node, and how often each new one is still to be told.

    :param checksum: the same for equal sets of members that take work.
    """

    by_node: Mapping[Address, Hint] = field(default_factory=dict)
    untold: Mapping[Address, int] = field(default_factory=dict)
    checksum: int = 0


def member_hint(member: Member) -> Hint:
    """Return the hint that a member takes work."""
    return Hint(member.node, member.incarnation, member)


def merge(state: HintsState, hints: Iterable[Hint]) -> HintsState:
    """Return the state with every hint that is newer; the same object if none is."""
    newer: dict[Address, Hint] = {}
    for hint in hints:
        known = newer.get(hint.node) or state.by_node.get(hint.node)
        if known is None or _rank(hint) > _rank(known):
            newer[hint.node] = hint
    if not newer:
        return state
    by_node = _bounded({**state.by_node, **newer})
    return HintsState(
        by_node=by_node,
        untold={**state.untold, **dict.fromkeys(newer, TELLINGS)},
        checksum=_checksum(by_node.values()),
    )


def take_updates(state: HintsState) -> tuple[HintsState, tuple[Hint, ...]]:
    """Return the hints to tell in one exchange, and the state afterwards.

    A hint is told :data:`TELLINGS` times by each node that learns it; nodes that
    miss it find a different checksum.
    """
    chosen = list(state.untold)[:MAX_UPDATES]
    news = tuple(state.by_node[n] for n in chosen if n in state.by_node)
    untold = {n: left for n, left in state.untold.items() if n not in chosen}
    # Told ones go to the end, so that a long list is told in turn.
    untold |= {n: state.untold[n] - 1 for n in chosen if state.untold[n] > 1}
    return replace(state, untold=untold), news


def routing_members(state: HintsState) -> tuple[Member, ...]:
    """Return the members that take work."""
    return tuple(h.member for h in state.by_node.values() if h.member is not None)


def _rank(hint: Hint) -> tuple[str, bool]:
    return hint.incarnation, hint.member is None


def _bounded(by_node: dict[Address, Hint]) -> dict[Address, Hint]:
    ended = [n for n, h in by_node.items() if h.member is None]
    dropped = set(ended[: max(0, len(ended) - MAX_ENDED_HINTS)])
    return {n: h for n, h in by_node.items() if n not in dropped}


def _checksum(hints: Iterable[Hint]) -> int:
    total = 0
    for hint in hints:
        if hint.member is not None:
            total ^= zlib.crc32(f"{hint.node} {hint.incarnation}".encode())
    return total
