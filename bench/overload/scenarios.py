"""What is measured: goodput under overload, recovery, and floods of one class."""

from __future__ import annotations

import gc
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import final

from bench.overload.clients import BUCKET_S
from bench.overload.clients import flow
from bench.overload.clients import Load
from bench.overload.clients import Tally
from bench.overload.policies import MakePolicy
from bench.overload.workloads import rates
from bench.overload.workloads import single_service
from bench.overload.workloads import Workload
from bench.overload.world import make_world
from bench.overload.world import run_until
from bench.overload.world import World

SLOWDOWN = 4.0


@final
@dataclass(frozen=True, slots=True)
class Span:
    """Warm-up and measured time of a run, in virtual seconds."""

    warm_s: float
    end_s: float

    def covers(self, bucket: int) -> bool:
        """Whether a bucket lies in the measured time."""
        return self.warm_s <= bucket * BUCKET_S < self.end_s

    @property
    def length_s(self) -> float:
        """Measured time."""
        return self.end_s - self.warm_s


@final
@dataclass(frozen=True, slots=True)
class Kept:
    """User actions of a kind, those answered whole, and the slot time they took."""

    asked: int
    whole: int
    held_s: float


@final
@dataclass(frozen=True, slots=True)
class Surge:
    """A surge and what follows it, in virtual seconds; ``base`` is the usual load."""

    begin_s: float = 4.0
    length_s: float = 30.0
    after_s: float = 12.0
    base: float = 0.85
    factor: float = 5.0
    resends: int = 8


def constant(load: float) -> Load:
    """Return a load that stays the same."""
    return lambda now: load


def run(
    workload: Workload,
    make_policy: MakePolicy,
    loads: Callable[[str], Load],
    end_s: float,
    *,
    seed: int = 1,
    resends: int = 1,
    disturb: Callable[[World], None] | None = None,
) -> Tally:
    """Run a site and return what became of its user actions.

    :param loads: the load of each root kind, by its name.
    :param disturb: changes the site before it starts.
    """
    world = make_world(workload, seed, make_policy)
    if disturb is not None:
        disturb(world)
    tally = Tally()
    for name, rate in rates(workload).items():
        flow(world, tally, workload.kind(name), rate, loads(name), resends)
    gc.disable()
    try:
        run_until(world, end_s)
    finally:
        gc.enable()
    return tally


def goodput(
    workload: Workload, make_policy: MakePolicy, factor: float, span: Span
) -> float:
    """Return the share of all slots' time that went into whole answers in time."""
    load = constant(factor)
    tally = run(workload, make_policy, lambda name: load, span.end_s)
    return useful_share(workload, tally, span)


def useful_share(workload: Workload, tally: Tally, span: Span) -> float:
    """Return useful slot time over all slot time."""
    useful = sum(s for (bucket, _), s in tally.useful.items() if span.covers(bucket))
    slots = sum(s.servers * s.slots for s in workload.services)
    return useful / (slots * span.length_s)


def kept(tally: Tally, name: str, span: Span) -> Kept:
    """Return what a kind asked and got in the measured time."""

    def total(counts: Counter[tuple[int, str]]) -> float:
        return sum(
            n for (b, kind), n in counts.items() if kind == name and span.covers(b)
        )

    return Kept(int(total(tally.asked)), int(total(tally.whole)), total(tally.held))


def recovery_s(
    make_policy: MakePolicy,
    surge: Surge,
    *,
    deadline_s: float = 2.0,
    workload: Workload | None = None,
) -> float | None:
    """Return the time from the end of a surge until goodput is back for good.

    It is back when 99% of the user actions begun in each later window of half a
    second are answered whole; ``None`` when that does not come.
    """
    over = surge.begin_s + surge.length_s
    end_s = over + surge.after_s

    def load(now: float) -> float:
        surging = surge.begin_s <= now < over
        return surge.base * (surge.factor if surging else 1.0)

    tally = run(
        workload or single_service(),
        make_policy,
        lambda name: load,
        end_s + 2 * deadline_s,
        resends=surge.resends,
    )
    window = round(0.5 / BUCKET_S)
    back: float | None = None
    for first in range(round(over / BUCKET_S), round(end_s / BUCKET_S), window):
        good = _whole_share(tally, first, first + window) >= 0.99
        if not good:
            back = None
        elif back is None:
            back = first * BUCKET_S - over
    return back


def _whole_share(tally: Tally, first: int, end: int) -> float:
    asked = sum(n for (b, _), n in tally.asked.items() if first <= b < end)
    whole = sum(n for (b, _), n in tally.whole.items() if first <= b < end)
    return whole / max(1, asked)


def flood(
    workload: Workload,
    make_policy: MakePolicy,
    kind: str,
    factor: float,
    span: Span,
    *,
    disturb: Callable[[World], None] | None = None,
) -> dict[str, Kept]:
    """Return what each root kind asked and got while one floods the site."""
    base, much = constant(0.8), constant(factor)

    def loads(name: str) -> Load:
        return much if name == kind else base

    slowest_s = max(k.deadline_s for k in workload.kinds)
    end_s = span.end_s + 2 * slowest_s
    tally = run(workload, make_policy, loads, end_s, disturb=disturb)
    return {name: kept(tally, name, span) for name in rates(workload)}


def floor_kept(workload: Workload, found: Kept, kind: str, span: Span) -> float:
    """Return what a kind got: of its class's floor, or of its demand if that is less.

    The floor is a share of slots, so slot time is what counts.
    """
    spec = workload.kind(kind)
    floor_s = workload.floors[spec.rank] * workload.slots(spec.service) * span.length_s
    return max(found.whole / found.asked, found.held_s / floor_s)


def straggle(world: World) -> None:
    """Make one backend server of each service slower."""
    for servers in world.sites.values():
        servers[0].slowdown = SLOWDOWN
