"""Ways to learn a concurrency limit, and the limits that they are compared with."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from math import inf
from typing import final

from _masticspoke.decisions.fleet import learned_limit

# Largest number of concurrent runs at a time.
LimitAt = Callable[[float], int]
# Takes route, run time, concurrent runs, slowdown and time.
RecordRun = Callable[[str, float, float, float | None, float], object]


@final
@dataclass(frozen=True, slots=True)
class LimitWay:
    """A way to limit the concurrency of one server."""

    limit_at: LimitAt
    record: RecordRun


MakeLimit = Callable[[int], LimitWay]


def fixed(fraction: float) -> MakeLimit:
    """Return a limit that is a fraction of the slots."""

    def make(slots: int) -> LimitWay:
        limit = max(1, int(slots * fraction))
        return LimitWay(lambda now: limit, lambda *run: None)

    return make


def elasticity(slots: int) -> LimitWay:
    """Return the limit that guards use."""
    limit = learned_limit.new_learned_limit(max(1, int(slots * 0.95)), 0.0)
    return LimitWay(
        lambda now: learned_limit.limit_at(limit, now),
        lambda *run: learned_limit.record_run(limit, *run),
    )


@final
@dataclass(slots=True)
class _Gradient:
    ceiling: float
    value: float
    lowest_s: dict[str, float] = field(default_factory=dict)
    ratio: float = 1.0

    def record(
        self,
        route: str,
        run_s: float,
        running: float,
        slowdown: float | None,
        now: float,
    ) -> None:
        """Move the limit by the run time against its uncontended value."""
        run_s /= slowdown or 1.0
        known_s = self.lowest_s.get(route, run_s)
        # The mean while few run stands for the uncontended value.
        if running < 0.4 * self.ceiling or route not in self.lowest_s:
            self.lowest_s[route] = known_s + 0.05 * (run_s - known_s)
        self.ratio += 0.02 * (run_s / self.lowest_s[route] - self.ratio)
        gradient = min(1.0, max(0.5, 1.2 / self.ratio))
        goal = self.value * gradient + self.value**0.5 * 0.3
        goal = max(2.0, self.value + 0.01 * (goal - self.value))
        self.value = min(self.ceiling, goal)


def gradient(slots: int) -> LimitWay:
    """Return a limit that follows the gradient of the run time."""
    state = _Gradient(slots * 0.95, slots * 0.95)
    return LimitWay(lambda now: max(1, int(state.value)), state.record)


@final
@dataclass(slots=True)
class _Search:
    ceiling: float
    value: float
    usual_s: dict[str, float] = field(default_factory=dict)
    since: float = 0.0
    work: float = 0.0
    best: float = 0.0
    step: float = -0.05
    full: bool = False

    def record(
        self,
        route: str,
        run_s: float,
        running: float,
        slowdown: float | None,
        now: float,
    ) -> None:
        """Climb by the work that ends a second, counted in usual run times."""
        usual_s = self.usual_s.setdefault(route, run_s)
        self.usual_s[route] = usual_s + 0.01 * (run_s - usual_s)
        self.work += usual_s * (slowdown or 1.0)
        self.full = self.full or running >= 0.9 * self.value
        if now - self.since < 0.4:
            return
        throughput = self.work / (now - self.since)
        if self.full:
            if throughput < self.best:
                self.step = -self.step
            changed = self.value * (1.0 + self.step)
            self.value = min(self.ceiling, max(2.0, changed))
        self.best, self.work, self.since, self.full = throughput, 0.0, now, False


def search(slots: int) -> LimitWay:
    """Return a limit that climbs to the highest throughput."""
    state = _Search(slots * 0.95, slots * 0.95)
    return LimitWay(lambda now: max(1, int(state.value)), state.record)


_BUCKETS = 20


@final
@dataclass(slots=True)
class _Curve:
    slots: int
    usual_s: dict[str, float] = field(default_factory=dict)
    factor: list[float] = field(default_factory=lambda: [1.0] * (_BUCKETS + 1))
    known: list[float] = field(default_factory=lambda: [-inf] * (_BUCKETS + 1))
    value: int = 0
    moved_at: float = 0.0

    def record(
        self,
        route: str,
        run_s: float,
        running: float,
        slowdown: float | None,
        now: float,
    ) -> None:
        """Fit the factor of a run time by occupancy; use the best one."""
        bucket = min(_BUCKETS, round(running * _BUCKETS / self.slots))
        run_s /= slowdown or 1.0
        usual_s = self.usual_s.setdefault(route, run_s)
        ratio = run_s / usual_s
        self.usual_s[route] = usual_s * (1 + 0.01 * (ratio / self.factor[bucket] - 1))
        self.factor[bucket] += 0.03 * (ratio - self.factor[bucket])
        self.known[bucket] = now
        if now - self.moved_at < 0.2:
            return
        self.moved_at = now
        top = _BUCKETS * 19 // 20
        scores = {
            b: b / self.factor[b] if now - self.known[b] < 3.0 else b / 1.0
            for b in range(4, top + 1)
        }
        best = max(scores.values())
        good = min(b for b, score in scores.items() if score >= 0.97 * best)
        self.value = max(1, int(self.slots * good / _BUCKETS))


def curve(slots: int) -> LimitWay:
    """Return a limit from the fitted run time by occupancy."""
    state = _Curve(slots, value=int(slots * 0.95))
    return LimitWay(lambda now: state.value, state.record)


WAYS: dict[str, MakeLimit] = {
    "announced slots": fixed(0.95),
    "gradient of the run time": gradient,
    "throughput search": search,
    "fitted curve by occupancy": curve,
    "elasticity (in use)": elasticity,
}
