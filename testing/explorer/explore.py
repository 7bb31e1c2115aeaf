"""Run the schedules of many seeds and report the first violated guarantee.

``python -m testing.explorer.explore SECONDS`` runs random seeds.
"""

from __future__ import annotations

import secrets
import sys
import time
from collections.abc import Iterable
from dataclasses import dataclass

from testing.explorer.world import Faults
from testing.explorer.world import GuaranteeViolationError
from testing.explorer.world import World


@dataclass(frozen=True)
class Violation:
    seed: int
    what: str


@dataclass
class Outcome:
    """Result of a number of schedules; the counts show how much they exercised.

    :param schedules: schedules run, including one that violated a guarantee.
    :param runs: keys that were run, in all schedules without a violation.
    :param confirmed_runs: runs that a majority granted by confirmations.
    :param views: views in the logs of these schedules.
    :param found: the violation that ended the exploration, if any.
    """

    schedules: int = 0
    runs: int = 0
    confirmed_runs: int = 0
    views: int = 0
    found: Violation | None = None


def explore(seeds: Iterable[int], faults: Faults | None = None) -> Outcome:
    """Run one schedule for each seed until one violates a guarantee."""
    outcome = Outcome()
    for seed in seeds:
        world = World(seed, faults or Faults())
        outcome.schedules += 1
        try:
            world.run()
        except GuaranteeViolationError as error:
            outcome.found = Violation(seed, str(error))
            break
        outcome.runs += len(world.runs)
        outcome.confirmed_runs += world.confirmed_runs
        outcome.views += world.log_views
    return outcome


def soak(seconds: float) -> Outcome:
    """Explore random seeds for ``seconds``, or until a violation is found."""
    end_at = time.monotonic() + seconds

    def seeds() -> Iterable[int]:
        while time.monotonic() < end_at:
            yield secrets.randbits(48)

    return explore(seeds())


if __name__ == "__main__":
    result = soak(float(sys.argv[1]))
    sys.stdout.write(f"at most once: {result}\n")
    sys.exit(result.found is not None)
