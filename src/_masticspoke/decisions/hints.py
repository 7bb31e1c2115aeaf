"""Merge the hints that nodes exchange about members; they serve routing only.

At-most-once decisions never depend on hints; they use the views from the log.
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
MAX_UPDATES = 6  # hints sent in one exchange
SENDS_PER_UPDATE = 12


@final
@dataclass(frozen=True, slots=True)
class Hint:
    """State of the newest known incarnation at one node address.

    :param member: ``None`` when the incarnation no longer takes new work.
    """

    node: Address
    incarnation: str
    member: Member | None = None


@final
@dataclass(frozen=True, slots=True)
class HintsState:
    """Hints by node, and those that still have to be sent to peers.

    :param remaining_sends: how often each new hint is still to be sent.
    :param checksum: equal for equal sets of members that take work.
    """

    by_node: Mapping[Address, Hint] = field(default_factory=dict)
    remaining_sends: Mapping[Address, int] = field(default_factory=dict)
    checksum: int = 0


def member_hint(member: Member) -> Hint:
    """Return a hint that a member accepts work."""
    return Hint(member.node, member.incarnation, member)


def merge(state: HintsState, hints: Iterable[Hint]) -> HintsState:
    """Return the state with all newer hints; the same object if there are none."""
    newer: dict[Address, Hint] = {}
    for hint in hints:
        current = newer.get(hint.node) or state.by_node.get(hint.node)
        if current is None or _precedence(hint) > _precedence(current):
            newer[hint.node] = hint
    if not newer:
        return state
    by_node = _bounded({**state.by_node, **newer})
    return HintsState(
        by_node=by_node,
        remaining_sends={
            **state.remaining_sends,
            **dict.fromkeys(newer, SENDS_PER_UPDATE),
        },
        checksum=_checksum(by_node.values()),
    )


def take_updates(state: HintsState) -> tuple[HintsState, tuple[Hint, ...]]:
    """Return the state after one exchange, and the hints to send in it.

    Each node sends a hint that is new to it :data:`SENDS_PER_UPDATE` times; a node
    that misses the hint notices that the checksums differ.
    """
    nodes = list(state.remaining_sends)[:MAX_UPDATES]
    updates = tuple(state.by_node[n] for n in nodes if n in state.by_node)
    remaining_sends = {
        n: sends for n, sends in state.remaining_sends.items() if n not in nodes
    }
    # Sent hints move to the end, so that all hints of a long list are sent in turn.
    remaining_sends |= {
        n: state.remaining_sends[n] - 1 for n in nodes if state.remaining_sends[n] > 1
    }
    return replace(state, remaining_sends=remaining_sends), updates


def routing_members(state: HintsState) -> tuple[Member, ...]:
    """Return the members that take work."""
    return tuple(h.member for h in state.by_node.values() if h.member is not None)


def _precedence(hint: Hint) -> tuple[str, bool]:
    return hint.incarnation, hint.member is None


def _bounded(by_node: dict[Address, Hint]) -> dict[Address, Hint]:
    ended = [n for n, h in by_node.items() if h.member is None]
    dropped_nodes = set(ended[: max(0, len(ended) - MAX_ENDED_HINTS)])
    return {n: h for n, h in by_node.items() if n not in dropped_nodes}


def _checksum(hints: Iterable[Hint]) -> int:
    total = 0
    for hint in hints:
        if hint.member is not None:
            total ^= zlib.crc32(f"{hint.node} {hint.incarnation}".encode())
    return total
