"""Shares of a guard's limit that the catalogue reserves or allows."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from math import ceil
from typing import final

from _masticspoke.model import Catalogue


@final
@dataclass(frozen=True, slots=True)
class Shares:
    """Floors and caps as fractions of a guard's limit.

    :param class_floors: reserved for each rank.
    :param entry_floors: reserved for each (rank, kind).
    :param caps: most that a kind may use; kinds without a cap are absent.
    """

    class_floors: dict[int, float] = field(default_factory=dict)
    entry_floors: dict[tuple[int, str], float] = field(default_factory=dict)
    caps: dict[str, float] = field(default_factory=dict)


def shares_of(catalogue: Catalogue) -> Shares:
    """Return the shares that a catalogue defines."""
    classes = {
        c.rank: c.floor_percent / 100 for c in catalogue.classes if c.floor_percent > 0
    }
    entries = {
        (e.rank, e.kind): classes[e.rank] * e.floor_percent / 100
        for e in catalogue.entries
        if e.floor_percent > 0 and e.rank in classes
    }
    caps = {
        e.kind: e.limit_percent / 100
        for e in catalogue.entries
        if e.limit_percent < 100
    }
    return Shares(classes, entries, caps)


def cap_of(shares: Shares, kind: str, limit: int) -> int | None:
    """Return how many calls of a kind may run at once; ``None`` without a cap."""
    share = shares.caps.get(kind)
    return None if share is None else max(1, int(share * limit))


def reserved_for_others(
    floors: dict[int, float], used: dict[int, int], capacity: int, except_rank: int
) -> int:
    """Return how many slots or queue places are reserved for other ranks and unused.

    :param floors: share reserved for each rank.
    :param used: slots or queue places in use by each rank.
    :param capacity: number of all slots or queue places.
    """
    return sum(
        max(0, ceil(share * capacity) - used.get(rank, 0))
        for rank, share in floors.items()
        if rank != except_rank
    )
