"""Measure the rules and print a table."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from random import Random
from typing import final

from bench.chains import rules
from bench.chains.world import CAPACITY_PER_S
from bench.chains.world import LOOKUP
from bench.chains.world import RequestKind
from bench.chains.world import World

FACTORS = (0.8, 1.0, 1.5, 2.0, 5.0)
LONG_FACTORS = (1.5, 5.0)
RULES = {"pressure": rules.by_pressure, "outcome": rules.by_outcome}
WARM_UP_S = 5.0
COUNTED_S = 15.0
SURGE_FACTOR = 5.0
NORMAL_FACTOR = 0.5
# Slowdown of the last service at which few calls end in time.
STALL_SLOWDOWN = 15.0
SURGE_BEGIN_S = 3.0
SURGE_END_S = 11.0
# A request whose runs use 0.79 of their time without any wait.
LONG_LOOKUP = replace(LOOKUP, run_s=0.4)
# Part of the requests that may be lost in normal times.
MAX_LOST = 0.1
_STEP_S = 0.5


@final
@dataclass(frozen=True, slots=True)
class Figures:
    """Outcome of one load.

    :param goodput: served requests over the most that can be served.
    :param wasted: part of the run time at the head that failed runs took.
    """

    goodput: float
    wasted: float


def play(
    rule: str,
    factor: float,
    seed: int = 1,
    counted_s: float = COUNTED_S,
    kind: RequestKind = LOOKUP,
) -> Figures:
    """Return the figures at a demand that is a multiple of the capacity."""
    world = World(
        Random(seed), RULES[rule], lambda now: factor * CAPACITY_PER_S, kinds=(kind,)
    )
    world.counted_from_s = WARM_UP_S
    world.run(WARM_UP_S + counted_s)
    best = min(world.counts["asked"], CAPACITY_PER_S * counted_s)
    wasted = world.wasted_time_s / max(world.run_time_s, 1e-9)
    return Figures(world.counts["served"] / best, wasted)


def play_ranks(rule: str, factor: float, seed: int = 1) -> tuple[float, float]:
    """Return the served part of an urgent and of a less urgent route, half of each."""
    kinds = (
        replace(LOOKUP, part=0.5),
        replace(LOOKUP, route="batch", rank=2, part=0.5),
    )
    world = World(
        Random(seed), RULES[rule], lambda now: factor * CAPACITY_PER_S, kinds=kinds
    )
    world.counted_from_s = WARM_UP_S
    world.run(WARM_UP_S + COUNTED_S)
    counts = world.counts
    lookup, batch = (
        counts[f"served {kind.route}"] / counts[f"asked {kind.route}"] for kind in kinds
    )
    return lookup, batch


def recovery_s(
    rule: str, surge_factor: float = SURGE_FACTOR, slowdown: float = 1.0, seed: int = 1
) -> float:
    """Return the time from the end of a surge until 0.9 of the requests are served.

    :param slowdown: how many times longer runs of the last service take in the surge.
    """

    def surging(now: float) -> bool:
        return SURGE_BEGIN_S <= now < SURGE_END_S

    def demand_per_s(now: float) -> float:
        return CAPACITY_PER_S * (surge_factor if surging(now) else NORMAL_FACTOR)

    def last_slowdown(now: float) -> float:
        return slowdown if surging(now) else 1.0

    world = World(Random(seed), RULES[rule], demand_per_s, last_slowdown=last_slowdown)
    world.run(SURGE_END_S + 10.0)
    most_lost = MAX_LOST * NORMAL_FACTOR * CAPACITY_PER_S * _STEP_S
    recovered = SURGE_END_S
    for step in range(int(10.0 / _STEP_S)):
        begin = SURGE_END_S + step * _STEP_S
        if sum(begin <= at < begin + _STEP_S for at in world.lost_at) > most_lost:
            recovered = begin + _STEP_S
    return recovered - SURGE_END_S


def main() -> None:
    """Print the table."""
    for rule in RULES:
        for kind, factors in ((LOOKUP, FACTORS), (LONG_LOOKUP, LONG_FACTORS)):
            for factor in factors:
                figures = play(rule, factor, kind=kind)
                print(
                    f"{rule:9} run {kind.run_s:.2f} s, {factor:3} times the capacity: "
                    f"goodput {figures.goodput:.3f} wasted {figures.wasted:.3f}"
                )
        urgent, other = play_ranks(rule, 2.0)
        print(f"{rule:9} two ranks at 2.0: served {urgent:.3f} and {other:.3f}")
        print(f"{rule:9} recovery {recovery_s(rule):.2f} s")
        stalled_s = recovery_s(rule, NORMAL_FACTOR, STALL_SLOWDOWN)
        print(f"{rule:9} recovery from a stall {stalled_s:.2f} s")
