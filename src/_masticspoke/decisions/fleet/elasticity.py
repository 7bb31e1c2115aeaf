"""Compare run times with the number of concurrent runs.

The elasticity says by how many percent a run takes longer with one percent more
concurrent runs. It is the slope of a line through the logarithms of both, fitted to
recent runs.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import exp
from typing import final

# Time constant over which run times and numbers of runs are compared, seconds.
WINDOW_S = 3.0
# Time constant of their present means, from which they deviate, seconds. Slower
# changes, such as a VM that is shared from now on, are no elasticity.
PRESENT_S = 0.5
# Part of the comparison that is kept when the limit falls, so that runs above the new
# limit don't make it fall again.
KEPT_EVIDENCE = 0.3


@final
@dataclass(slots=True)
class Comparison:
    """Sums over recent runs of deviations from their present means.

    :param weight: number of runs, less with age.
    :param oo: squared deviations of the logarithm of the number of runs.
    :param rr: squared deviations of the logarithm of the run time.
    """

    at: float = 0.0
    present_weight: float = 0.0
    present_run: float = 0.0
    present_occupancy: float = 0.0
    weight: float = 0.0
    oo: float = 0.0
    orr: float = 0.0
    rr: float = 0.0


def compare(
    sums: Comparison, deviation: float, log_occupancy: float, now: float
) -> None:
    """Add a run.

    :param deviation: logarithm of its run time against the usual one of its route.
    :param log_occupancy: logarithm of the mean number of concurrent runs meanwhile.
    """
    age_s = max(0.0, now - sums.at)
    sums.at = now
    sums.present_weight = sums.present_weight * exp(-age_s / PRESENT_S) + 1.0
    sums.present_run += (deviation - sums.present_run) / sums.present_weight
    sums.present_occupancy += (
        log_occupancy - sums.present_occupancy
    ) / sums.present_weight
    run = deviation - sums.present_run
    occupancy = log_occupancy - sums.present_occupancy
    decay = exp(-age_s / WINDOW_S)
    sums.weight = sums.weight * decay + 1.0
    sums.oo = sums.oo * decay + occupancy * occupancy
    sums.orr = sums.orr * decay + occupancy * run
    sums.rr = sums.rr * decay + run * run


def local_elasticity(sums: Comparison) -> tuple[float, float]:
    """Return the elasticity around the present number of runs, and its error."""
    if sums.weight < 3.0 or sums.oo < 1e-6:
        return 0.0, 1e3
    slope = sums.orr / sums.oo
    residual = max(0.0, sums.rr - slope * sums.orr)
    return slope, float((residual / sums.weight / sums.oo) ** 0.5)


def forget_most(sums: Comparison) -> None:
    """Keep only a part of what was compared."""
    sums.weight *= KEPT_EVIDENCE
    sums.oo *= KEPT_EVIDENCE
    sums.orr *= KEPT_EVIDENCE
    sums.rr *= KEPT_EVIDENCE
