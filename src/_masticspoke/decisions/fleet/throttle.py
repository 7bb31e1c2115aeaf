"""Throttle: how much new work a guard admits while called services are overloaded.

Handles a chain of calls whose end is overloaded. Without the throttle, requests run at
the head of the chain only to fail when their nested requests do. The least urgent ranks
are reduced first, and a fraction of each rank is always admitted.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import final

# Shortest time between two adjustments, seconds.
ADJUST_INTERVAL_S = 0.1
# Pressure above which rank 0 is reduced, seconds.
PRESSURE_THRESHOLD_S = 0.12
# Factor of the threshold from one rank to the next, less urgent one.
RANK_FACTOR = 0.6
# Ranks from this one on have its threshold.
MAX_RANK = 20
# Changes of the admitted fraction: multiplicative decrease at one adjustment, by the
# power of pressure over threshold, and additive increase in one second.
DECREASE_FACTOR = 0.93
INCREASE_PER_S = 0.2
# Time for which a reported pressure counts, and the longest time for which one
# adjustment increases the fractions, seconds. A node that admits little makes few
# nested requests, so it hears little of the pressure.
MAX_PRESSURE_AGE_S = 2.0
# Fraction of each rank's requests that is always admitted. Above what the called
# services can take, it would keep them overloaded for good.
MIN_ADMITTED_FRACTION = 0.05


@final
@dataclass(slots=True)
class _RankAdmission:
    """Admission of the requests of one rank.

    :param credit: grows by ``admitted_fraction`` with each request, up to 2; each
        admitted request uses up 1.
    """

    admitted_fraction: float = 1.0
    credit: float = 0.0


@final
@dataclass(slots=True)
class Throttle:
    """Admitted fraction of the requests of each rank.

    :param adjusted_at: time of the last adjustment.
    """

    ranks: dict[int, _RankAdmission] = field(default_factory=dict)
    adjusted_at: float = 0.0


def adjust(throttle: Throttle, pressure_s: float, now: float) -> None:
    """Adjust the admitted fractions to the pressure that called services report.

    :param pressure_s: highest mean pressure among the services that were called
        recently; ``GuardLoad`` says what pressure is.
    """
    elapsed_s = now - throttle.adjusted_at
    if elapsed_s < ADJUST_INTERVAL_S:
        return
    throttle.adjusted_at = now
    increase = INCREASE_PER_S * min(elapsed_s, MAX_PRESSURE_AGE_S)
    for rank, admission in throttle.ranks.items():
        threshold_s = _threshold_s(rank)
        if pressure_s > threshold_s:
            factor = DECREASE_FACTOR ** (pressure_s / threshold_s)
            admission.admitted_fraction = max(
                MIN_ADMITTED_FRACTION, admission.admitted_fraction * factor
            )
        else:
            admission.admitted_fraction = min(
                1.0, admission.admitted_fraction + increase
            )


def _threshold_s(rank: int) -> float:
    return PRESSURE_THRESHOLD_S * RANK_FACTOR ** max(0, min(rank, MAX_RANK))


def admits(throttle: Throttle, rank: int, now: float) -> bool:
    """Return whether the next request of a rank is admitted, and update its credit.

    The admitted requests are spread evenly over all requests of the rank. If no
    pressure was reported recently, the admitted fractions of all ranks increase first.
    """
    if now - throttle.adjusted_at >= MAX_PRESSURE_AGE_S:
        adjust(throttle, 0.0, now)
    admission = throttle.ranks.setdefault(rank, _RankAdmission())
    admission.credit = min(2.0, admission.credit + admission.admitted_fraction)
    if admission.credit < 1.0:
        return False
    admission.credit -= 1.0
    return True
