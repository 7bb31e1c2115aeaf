"""Run many schedules; ``python -m testing.explorer.explore SECONDS``: free seeds."""

from __future__ import annotations

import secrets
import sys
import time
from collections.abc import Iterable
from dataclasses import dataclass

from testing.explorer.world import BrokenPromiseError
from testing.explorer.world import Faults
from testing.explorer.world import World


@dataclass(frozen=True)
class Found:
    seed: int
    what: str


@dataclass
class Outcome:
    """What a number of schedules came to; the counts show that they got anywhere."""

    schedules: int = 0
    runs: int = 0
    confirmed_runs: int = 0
    views: int = 0
    found: Found | None = None


def explore(seeds: Iterable[int], faults: Faults | None = None) -> Outcome:
    """Run schedules until one breaks a promise."""
    outcome = Outcome()
    for seed in seeds:
        world = World(seed, faults or Faults())
        outcome.schedules += 1
        try:
            world.run()
        except BrokenPromiseError as violation:
            outcome.found = Found(seed, str(violation))
            break
        outcome.runs += len(world.runs)
        outcome.confirmed_runs += world.confirmed_runs
        outcome.views += world.log_views
    return outcome


def soak(seconds: float) -> Outcome:
    """Explore with free seeds for so many seconds."""
    end = time.monotonic() + seconds

    def seeds() -> Iterable[int]:
        while time.monotonic() < end:
            yield secrets.randbits(48)

    return explore(seeds())


if __name__ == "__main__":
    result = soak(float(sys.argv[1]))
    sys.stdout.write(f"at most once: {result}\n")
    sys.exit(result.found is not None)
