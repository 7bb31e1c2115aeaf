"""Decide when a node appends a snapshot of a stream, and which node does."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import replace
from typing import final

from _masticspoke.decisions.turns import has_turn
from _masticspoke.decisions.turns import TURN_S
from _masticspoke.model import Address


@final
@dataclass(frozen=True, slots=True)
class SnapshotPolicy:
    """How long a stream goes without a snapshot.

    :param records: records after which a snapshot is due.
    :param interval_s: seconds after which a snapshot is due; to be less than half of
        the time for which the log retains records.
    """

    records: int
    interval_s: float


@final
@dataclass(frozen=True, slots=True)
class SnapshotClock:
    """When the last snapshot of a stream was seen.

    :param offset: offset of its record, or -1.
    :param at: time at which it was read, or at which reading began.
    :param due_since: when the present one became due.
    """

    offset: int = -1
    at: float | None = None
    due_since: float | None = None


def snapshot_read(offset: int, now: float) -> SnapshotClock:
    """Return the clock after a snapshot's record was read."""
    return SnapshotClock(offset, now)


def update_due(
    clock: SnapshotClock, read_through: int, policy: SnapshotPolicy, now: float
) -> SnapshotClock:
    """Return the clock at ``now``; it notes since when a snapshot is due."""
    if clock.at is None:
        clock = replace(clock, at=now)
    assert clock.at is not None
    due = read_through - clock.offset > policy.records
    due = due or (read_through >= 0 and now - clock.at > policy.interval_s)
    if not due:
        return replace(clock, due_since=None)
    return clock if clock.due_since is not None else replace(clock, due_since=now)


def is_our_turn(
    clock: SnapshotClock, own: Address, nodes: Iterable[Address], now: float
) -> bool:
    """Return whether this node appends the snapshot that is due.

    Two snapshots of the same stream are harmless.
    """
    if clock.due_since is None:
        return False
    return has_turn(own, nodes, clock.due_since, clock.offset, now)


def snapshot_appended(clock: SnapshotClock, now: float) -> SnapshotClock:
    """Return the clock after this node appended; two turns pass before it repeats."""
    return replace(clock, due_since=now + 2 * TURN_S)
