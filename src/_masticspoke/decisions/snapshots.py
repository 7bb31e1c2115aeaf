"""Decide when a snapshot of a stream is appended, and which node appends it."""

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
    """How often a stream gets a snapshot.

    :param records: number of records after which a snapshot is due.
    :param interval_s: seconds after which a snapshot is due; must be less than half
        of the log's retention time.
    """

    records: int
    interval_s: float


@final
@dataclass(frozen=True, slots=True)
class SnapshotClock:
    """When the last snapshot of a stream was read, and since when a new one is due.

    :param offset: offset of the last snapshot's record; -1 if there is none.
    :param read_at: time at which that record was read, or at which reading began.
    :param due_since: time since which a snapshot is due; ``None`` if none is due.
    """

    offset: int = -1
    read_at: float | None = None
    due_since: float | None = None


def snapshot_read(offset: int, now: float) -> SnapshotClock:
    """Return the clock after the record of a snapshot was read."""
    return SnapshotClock(offset, now)


def update_due(
    clock: SnapshotClock, read_through: int, policy: SnapshotPolicy, now: float
) -> SnapshotClock:
    """Return the clock at ``now``, with ``due_since`` updated."""
    if clock.read_at is None:
        clock = replace(clock, read_at=now)
    assert clock.read_at is not None
    is_due = read_through - clock.offset > policy.records
    is_due = is_due or (read_through >= 0 and now - clock.read_at > policy.interval_s)
    if not is_due:
        return replace(clock, due_since=None)
    return clock if clock.due_since is not None else replace(clock, due_since=now)


def is_our_turn(
    clock: SnapshotClock, own_address: Address, nodes: Iterable[Address], now: float
) -> bool:
    """Return whether a snapshot is due and this node appends it.

    More than one node may append it, which is harmless.
    """
    if clock.due_since is None:
        return False
    return has_turn(own_address, nodes, clock.due_since, clock.offset, now)


def snapshot_appended(clock: SnapshotClock, now: float) -> SnapshotClock:
    """Return the clock after this node appended a snapshot.

    If that one is not read, this node appends another two turns later at the earliest.
    """
    return replace(clock, due_since=now + 2 * TURN_S)
