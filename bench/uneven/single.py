"""One server under each way to limit its concurrency."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import final

from bench.uneven.limits import fixed
from bench.uneven.limits import MakeLimit
from bench.uneven.limits import WAYS
from bench.uneven.server import early_knee
from bench.uneven.server import Knee
from bench.uneven.server import late_knee
from bench.uneven.server import no_knee
from bench.uneven.server import SimulatedServer
from bench.uneven.server import Slowdown
from bench.uneven.server import spells
from bench.uneven.server import steady
from bench.uneven.server import step_at

SLOTS = 60
END_S = 20.0
WARM_UP_S = 4.0
OBJECTIVE_S = 0.8
SHORT_S = 0.05
LONG_S = 0.25
# Spread of the work of one route: sigma of a log-normal distribution.
SPREAD = 0.4


@final
@dataclass(frozen=True, slots=True)
class Scenario:
    """Load and server of one comparison.

    :param load: part of the best throughput that is asked.
    :param best_fraction: fraction of the slots that an oracle uses.
    :param long_share: share of long requests, by time.
    :param named: whether the server names its slowdown.
    """

    name: str
    load: float
    knee: Knee = no_knee
    slowdown: Callable[[Random], Slowdown] = lambda random: steady
    best_fraction: float = 0.95
    long_share: Callable[[float], float] = lambda now: 0.3
    named: bool = True


@final
@dataclass(slots=True)
class Result:
    """Outcome: requests within the objective, and the limit over time."""

    asked: int
    good: int
    times_s: list[float]
    limits: list[tuple[float, int]]


def play(scenario: Scenario, make: MakeLimit, seed: int, speed: float = 1.0) -> Result:
    """Let a server serve a Poisson load; requests that wait too long are refused."""
    random = Random(seed)
    server = SimulatedServer(SLOTS, speed, scenario.knee, scenario.slowdown(random))
    way = make(SLOTS)
    best = SLOTS * scenario.best_fraction
    result = Result(0, 0, [], [])
    waiting: deque[tuple[float, str, float]] = deque()
    running: dict[int, tuple[float, float, str, float]] = {}
    # Time integral of the number of runs, from which their mean during a run follows.
    integral, integral_at = 0.0, 0.0
    ticket, now = 0, 0.0
    next_arrival, next_change = 0.0, 0.0
    while now < END_S:
        now = min(next_arrival, server.next_end(), next_change)
        integral += len(running) * (now - integral_at)
        integral_at = now
        for done in list(server.ended(now)):
            arrived, started, route, begun = running.pop(done)
            slowdown = server.slowdown(now) if scenario.named else None
            run_s = max(1e-6, now - started)
            mean = (integral - begun) / run_s
            way.record(route, run_s, mean, slowdown, now)
            if arrived > WARM_UP_S:
                result.times_s.append(now - arrived)
                result.good += now - arrived <= OBJECTIVE_S
        if now >= next_change:
            # The speed may change at these times only.
            next_change = now + 0.02
            result.limits.append((now, way.limit_at(now)))
        if now >= next_arrival:
            share = scenario.long_share(now)
            mean_s = share * LONG_S + (1 - share) * SHORT_S
            is_long = random.random() < share
            work = (LONG_S if is_long else SHORT_S) * random.lognormvariate(0, SPREAD)
            waiting.append((now, "long" if is_long else "short", work))
            result.asked += now > WARM_UP_S
            rate = scenario.load * best * speed / (mean_s * 1.083)
            next_arrival = now + random.expovariate(rate)
        while waiting and now - waiting[0][0] > OBJECTIVE_S * 0.5:
            waiting.popleft()
        while waiting and len(running) < way.limit_at(now):
            arrived, route, work = waiting.popleft()
            ticket += 1
            running[ticket] = (arrived, now, route, integral)
            server.start(ticket, work, now)
    return result


def _shift(now: float) -> float:
    return 0.1 if now < 10.0 else 0.8


LOADS = (0.9, 1.2, 2.0)
SCENARIOS = [
    *(Scenario(f"no knee, load {f}", f) for f in LOADS),
    *(Scenario(f"knee at 0.95, load {f}", f, late_knee) for f in LOADS),
    *(
        Scenario(f"knee at 0.6, load {f}", f, early_knee, best_fraction=0.6)
        for f in LOADS
    ),
    *(
        Scenario(f"spells, load {f}", f, slowdown=lambda r: spells(r, END_S))
        for f in LOADS
    ),
    *(
        Scenario(
            f"spells unnamed, load {f}",
            f,
            slowdown=lambda r: spells(r, END_S),
            named=False,
        )
        for f in LOADS
    ),
    *(
        Scenario(
            f"step unnamed, load {f}",
            f,
            slowdown=lambda r: step_at(10.0, 2.5),
            named=False,
        )
        for f in (0.35, 0.9)
    ),
    *(Scenario(f"mix shifts, load {f}", f, long_share=_shift) for f in LOADS),
]


def p99(times_s: list[float]) -> float:
    """Return the 99th percentile."""
    return sorted(times_s)[int(len(times_s) * 0.99)] if times_s else 0.0


def main() -> None:
    """Print goodput and 99th percentile of each way, over the oracle's."""
    print(f"{'scenario':28}" + "".join(f"{name[:24]:>26}" for name in WAYS))
    for scenario in SCENARIOS:
        cells = []
        oracle = [play(scenario, fixed(scenario.best_fraction), s) for s in (1, 2, 3)]
        for make in WAYS.values():
            results = [play(scenario, make, s) for s in (1, 2, 3)]
            good = sum(r.good for r in results) / max(1, sum(r.good for r in oracle))
            tail = p99([t for r in results for t in r.times_s]) / p99(
                [t for r in oracle for t in r.times_s]
            )
            last = results[0].limits[-1][1]
            cells.append(f"{good:.3f} p99 {tail:.2f} lim {last}")
        print(f"{scenario.name:28}" + "".join(f"{c:>26}" for c in cells), flush=True)


if __name__ == "__main__":
    main()
