"""Scenarios: goodput under overload, recovery from a surge, floods of one class."""

from __future__ import annotations

import gc
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import final

from bench.overload.clients import BUCKET_S
from bench.overload.clients import generate_arrivals
from bench.overload.clients import Load
from bench.overload.clients import Tally
from bench.overload.policies import MakePolicy
from bench.overload.workloads import rates
from bench.overload.workloads import single_service
from bench.overload.workloads import Workload
from bench.overload.world import make_world
from bench.overload.world import run_until
from bench.overload.world import World

STRAGGLER_SLOWDOWN = 4.0


@final
@dataclass(frozen=True, slots=True)
class Span:
    """Measured interval of a run, after its warm-up, in virtual seconds."""

    warm_up_s: float
    end_s: float

    def covers(self, bucket: int) -> bool:
        """Return whether a bucket starts in the measured interval."""
        return self.warm_up_s <= bucket * BUCKET_S < self.end_s

    @property
    def length_s(self) -> float:
        """Length of the measured interval."""
        return self.end_s - self.warm_up_s


@final
@dataclass(frozen=True, slots=True)
class KindResult:
    """User actions of a kind, those completed, and the slot time that these held."""

    actions: int
    completed: int
    held_s: float


@final
@dataclass(frozen=True, slots=True)
class Surge:
    """A surge of load by ``factor``, and the time observed after it.

    Times are in virtual seconds. ``base_load`` is the load outside the surge.
    """

    begin_s: float = 4.0
    length_s: float = 30.0
    after_s: float = 12.0
    base_load: float = 0.85
    factor: float = 5.0
    resends: int = 8


def constant(load: float) -> Load:
    """Return a load that does not change."""
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
    """Simulate a workload and return the outcomes of its user actions.

    :param loads: returns the load of a root kind, given its name.
    :param disturb: changes the simulated servers before the run starts.
    """
    world = make_world(workload, seed, make_policy)
    if disturb is not None:
        disturb(world)
    tally = Tally()
    for name, rate in rates(workload).items():
        generate_arrivals(world, tally, workload.kind(name), rate, loads(name), resends)
    gc.disable()
    try:
        run_until(world, end_s)
    finally:
        gc.enable()
    return tally


def goodput(
    workload: Workload, make_policy: MakePolicy, factor: float, span: Span
) -> float:
    """Return the share of all slot time that went into completed user actions."""
    load = constant(factor)
    tally = run(workload, make_policy, lambda name: load, span.end_s)
    return useful_share(workload, tally, span)


def useful_share(workload: Workload, tally: Tally, span: Span) -> float:
    """Return useful slot time divided by all slot time."""
    useful_slot_s = sum(
        s for (bucket, _), s in tally.useful_slot_s.items() if span.covers(bucket)
    )
    slot_count = sum(s.servers * s.slots for s in workload.services)
    return useful_slot_s / (slot_count * span.length_s)


def kind_result(tally: Tally, name: str, span: Span) -> KindResult:
    """Return the outcomes of a kind in the measured interval."""

    def total(counts: Counter[tuple[int, str]]) -> float:
        return sum(
            n for (b, kind), n in counts.items() if kind == name and span.covers(b)
        )

    return KindResult(
        int(total(tally.actions)), int(total(tally.completed)), total(tally.held_slot_s)
    )


def recovery_s(
    make_policy: MakePolicy,
    surge: Surge,
    *,
    deadline_s: float = 2.0,
    workload: Workload | None = None,
) -> float | None:
    """Return the time from the end of a surge until goodput has recovered for good.

    Goodput has recovered when 99% of the user actions started in each later window of
    half a second are completed. Return ``None`` when it does not recover.
    """
    surge_end_s = surge.begin_s + surge.length_s
    end_s = surge_end_s + surge.after_s

    def load(now: float) -> float:
        surging = surge.begin_s <= now < surge_end_s
        return surge.base_load * (surge.factor if surging else 1.0)

    tally = run(
        workload or single_service(),
        make_policy,
        lambda name: load,
        end_s + 2 * deadline_s,
        resends=surge.resends,
    )
    window_buckets = round(0.5 / BUCKET_S)
    recovered_after_s: float | None = None
    for first in range(
        round(surge_end_s / BUCKET_S), round(end_s / BUCKET_S), window_buckets
    ):
        is_good = _completed_share(tally, first, first + window_buckets) >= 0.99
        if not is_good:
            recovered_after_s = None
        elif recovered_after_s is None:
            recovered_after_s = first * BUCKET_S - surge_end_s
    return recovered_after_s


def _completed_share(tally: Tally, first: int, end: int) -> float:
    actions = sum(n for (b, _), n in tally.actions.items() if first <= b < end)
    completed = sum(n for (b, _), n in tally.completed.items() if first <= b < end)
    return completed / max(1, actions)


def flood(
    workload: Workload,
    make_policy: MakePolicy,
    kind: str,
    factor: float,
    span: Span,
    *,
    disturb: Callable[[World], None] | None = None,
) -> dict[str, KindResult]:
    """Return the outcomes of each root kind while one of them has a raised load."""
    base_load, flood_load = constant(0.8), constant(factor)

    def loads(name: str) -> Load:
        return flood_load if name == kind else base_load

    longest_deadline_s = max(k.deadline_s for k in workload.kinds)
    end_s = span.end_s + 2 * longest_deadline_s
    tally = run(workload, make_policy, loads, end_s, disturb=disturb)
    return {name: kind_result(tally, name, span) for name in rates(workload)}


def floor_share(workload: Workload, result: KindResult, kind: str, span: Span) -> float:
    """Return the share of its class's floor that a kind got.

    The floor is a share of slots, so it is compared with held slot time. A kind that
    demands less than its floor gets 1 when all its actions are completed.
    """
    spec = workload.kind(kind)
    floor_s = workload.floors[spec.rank] * workload.slots(spec.service) * span.length_s
    return max(result.completed / result.actions, result.held_s / floor_s)


def add_straggler(world: World) -> None:
    """Slow down one backend server of each service."""
    for servers in world.services.values():
        servers[0].slowdown = STRAGGLER_SLOWDOWN
