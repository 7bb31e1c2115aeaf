"""A backend server in virtual time whose runs slow each other down."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from heapq import heappop
from heapq import heappush
from math import inf
from random import Random
from typing import final

# Time by which each run is longer, by the fraction of the slots that is in use.
Knee = Callable[[float], float]
# Time by which each run is longer as the VM is shared, by the time.
Slowdown = Callable[[float], float]


def no_knee(used: float) -> float:
    """Return 1: runs don't slow each other down."""
    return 1.0


def late_knee(used: float) -> float:
    """Return the slowdown of a server that is 1.3 times slower above 0.95."""
    return 1.3 if used > 0.95 else 1.0


def early_knee(used: float) -> float:
    """Return the slowdown of a server whose throughput falls above 0.6."""
    return max(1.0, used / 0.6) ** 1.5


def steady(now: float) -> float:
    """Return 1: nothing else runs on the VM."""
    return 1.0


def step_at(at: float, factor: float) -> Slowdown:
    """Return a slowdown that begins at a time and stays."""
    return lambda now: factor if now >= at else 1.0


def spells(
    random: Random, end_s: float, factor: float = 2.5, share: float = 0.15
) -> Slowdown:
    """Return a slowdown in spells of about half a second for a share of the time."""
    begins: list[tuple[float, float]] = []
    now = 0.0
    while now < end_s:
        now += random.expovariate(share / (0.5 * (1 - share)))
        length_s = random.uniform(0.3, 0.7)
        begins.append((now, now + length_s))
        now += length_s
    return lambda now: factor if any(a <= now < b for a, b in begins) else 1.0


@final
@dataclass(slots=True)
class SimulatedServer:
    """A server that serves all its runs at one common speed.

    :param done_work: work that a run since the start would have received, as of ``at``.
    :param slowed: slowdown since then.
    :param runs: work at which each run ends, and its ticket.
    """

    slots: int
    speed: float
    knee: Knee = no_knee
    slowdown: Slowdown = steady
    done_work: float = 0.0
    at: float = 0.0
    runs: list[tuple[float, int]] = field(default_factory=list)
    slowed: float = 1.0

    @property
    def rate(self) -> float:
        """Work per second that each run receives."""
        return self.speed / (self.knee(len(self.runs) / self.slots) * self.slowed)

    def advance(self, now: float) -> None:
        """Let all runs receive work until ``now``."""
        self.done_work += (now - self.at) * self.rate
        self.at = now
        self.slowed = self.slowdown(now)

    def start(self, ticket: int, work_s: float, now: float) -> None:
        """Start a run."""
        self.advance(now)
        heappush(self.runs, (self.done_work + work_s, ticket))

    def next_end(self) -> float:
        """Return when the next run ends if the speed stays; infinite without runs."""
        if not self.runs:
            return inf
        left = max(0.0, self.runs[0][0] - self.done_work)
        return self.at + left / self.rate

    def ended(self, now: float) -> Iterator[int]:
        """Yield the tickets of the runs that have ended."""
        self.advance(now)
        while self.runs and self.runs[0][0] <= self.done_work + 1e-9:
            yield heappop(self.runs)[1]
