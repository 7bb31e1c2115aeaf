"""Simulated clients: open-loop Poisson arrivals; re-sends ignore Retry-After."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import final

from _masticspoke.model import Call
from bench.overload.workloads import Kind
from bench.overload.world import RunCost
from bench.overload.world import schedule
from bench.overload.world import send
from bench.overload.world import World

BUCKET_S = 0.1
RESEND_PAUSE_S = 0.1  # mean


@final
@dataclass(slots=True)
class Tally:
    """Outcomes of user actions. A bucket is an interval of ``BUCKET_S``.

    :param actions: user actions by (bucket of their start, kind).
    :param completed: those answered whole and in time, by the same keys.
    :param useful_slot_s: slot-seconds that the completed actions take without load,
        by (bucket of their end, service).
    :param held_slot_s: slot-seconds that they held, by (bucket of their end, kind).
    """

    actions: Counter[tuple[int, str]] = field(default_factory=Counter)
    completed: Counter[tuple[int, str]] = field(default_factory=Counter)
    useful_slot_s: Counter[tuple[int, str]] = field(default_factory=Counter)
    held_slot_s: Counter[tuple[int, str]] = field(default_factory=Counter)


Load = Callable[[float], float]


def generate_arrivals(
    world: World, tally: Tally, kind: Kind, rate: float, load: Load, resends: int
) -> None:
    """Schedule the user actions of a kind, each with its re-sends.

    :param rate: user actions a second at load 1.
    :param load: returns the factor on the rate at a virtual time.
    :param resends: how often a client re-sends a failed action.
    """

    def arrival() -> None:
        _start_action(world, tally, kind, resends)
        _schedule_arrival(world, rate, load, arrival)

    _schedule_arrival(world, rate, load, arrival)


def _schedule_arrival(
    world: World, rate: float, load: Load, arrival: Callable[[], None]
) -> None:
    current_rate = rate * load(world.now)
    if current_rate <= 0:
        schedule(world, BUCKET_S, lambda: _schedule_arrival(world, rate, load, arrival))
        return
    schedule(world, world.random.expovariate(current_rate), arrival)


def _start_action(world: World, tally: Tally, kind: Kind, resends: int) -> None:
    start_bucket = int(world.now / BUCKET_S)
    tally.actions[start_bucket, kind.name] += 1

    def attempt(resends_left: int) -> None:
        costs: list[RunCost] = []

        def on_done(ok: bool) -> None:
            if ok:
                tally.completed[start_bucket, kind.name] += 1
                _count_slot_time(world, tally, kind.name, costs)
            elif resends_left > 0:
                pause_s = RESEND_PAUSE_S * (0.5 + world.random.random())
                schedule(world, pause_s, lambda: attempt(resends_left - 1))

        send(world, kind, _root_call(world, kind), costs, on_done)

    attempt(resends)


def _root_call(world: World, kind: Kind) -> Call:
    return Call(
        action="",
        kind=kind.name,
        service=kind.service,
        rank=kind.rank,
        deadline=world.now + kind.deadline_s,
        idempotent=not kind.shed_last,
        shed_last=kind.shed_last,
        allowance=1,
    )


def _count_slot_time(
    world: World, tally: Tally, kind: str, costs: list[RunCost]
) -> None:
    bucket = int(world.now / BUCKET_S)
    for cost in costs:
        tally.useful_slot_s[bucket, cost.service] += cost.nominal_s  # type: ignore[assignment]
        tally.held_slot_s[bucket, kind] += cost.held_s  # type: ignore[assignment]
