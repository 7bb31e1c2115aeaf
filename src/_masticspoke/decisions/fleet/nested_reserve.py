"""Slots, and the part of a limited rate, that are reserved for nested requests.

Handles a burst of long requests: it fills all slots, and short nested requests time out
behind them.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import exp
from math import sqrt
from typing import final

# Time constant of the decay of the measured need for nested slots, seconds.
RESERVE_DECAY_S = 1.5
# Slots reserved beyond the mean need, in standard deviations of Poisson arrivals.
RESERVE_DEVIATIONS = 2.0
# Largest fraction of the slots, and of a limited rate, that is reserved for nested
# requests.
MAX_RESERVED_FRACTION = 0.85


@final
@dataclass(slots=True)
class Reserve:
    """Measured need of nested requests.

    :param slots_needed: smoothed number of slots that they need (arrival rate times run
        time), as of ``updated_at``.
    :param per_s: smoothed arrival rate, as of then.
    """

    slots_needed: float = 0.0
    per_s: float = 0.0
    updated_at: float = 0.0


def record_arrival(reserve: Reserve, usual_run_s: float, now: float) -> None:
    """Record the arrival of a nested request."""
    decay = _decay(reserve, now)
    reserve.slots_needed *= decay
    reserve.slots_needed += usual_run_s / RESERVE_DECAY_S
    reserve.per_s = reserve.per_s * decay + 1.0 / RESERVE_DECAY_S
    reserve.updated_at = now


def _decay(reserve: Reserve, now: float) -> float:
    return exp(-max(0.0, now - reserve.updated_at) / RESERVE_DECAY_S)


def reserved_slots(reserve: Reserve, limit: int, now: float) -> int:
    """Return how many of the slots top-level requests leave free."""
    if not reserve.slots_needed:
        return 0
    needed = reserve.slots_needed * _decay(reserve, now)
    reserved = round(needed + RESERVE_DEVIATIONS * sqrt(needed))
    return min(reserved, int(limit * MAX_RESERVED_FRACTION))


def reserved_rate(reserve: Reserve, rate: float, now: float) -> float:
    """Return how much of a limited rate is left to nested requests."""
    return min(reserve.per_s * _decay(reserve, now), rate * MAX_RESERVED_FRACTION)
