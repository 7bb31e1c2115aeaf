"""Clients of the model: open arrivals, and re-sends that ignore Retry-After."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import final

from _masticspoke.model import Call
from bench.overload.workloads import Kind
from bench.overload.world import at
from bench.overload.world import send
from bench.overload.world import Spent
from bench.overload.world import World

BUCKET_S = 0.1
RESEND_PAUSE_S = 0.1


@final
@dataclass(slots=True)
class Tally:
    """What became of user actions.

    :param asked: user actions by (bucket of their begin, kind).
    :param whole: those answered whole and in time.
    :param useful: slot-seconds of whole answers by (bucket of the end, service), as
        they take at rest.
    :param held: slot-seconds that they took, by (bucket of the end, root kind).
    """

    asked: Counter[tuple[int, str]] = field(default_factory=Counter)
    whole: Counter[tuple[int, str]] = field(default_factory=Counter)
    useful: Counter[tuple[int, str]] = field(default_factory=Counter)
    held: Counter[tuple[int, str]] = field(default_factory=Counter)


Load = Callable[[float], float]


def flow(
    world: World, tally: Tally, kind: Kind, rate: float, load: Load, resends: int
) -> None:
    """Let clients ask for a kind of work.

    :param rate: user actions a second at load 1.
    :param load: factor on the rate at a time.
    :param resends: how often a client sends again what failed.
    """

    def arrival() -> None:
        _ask(world, tally, kind, resends)
        _next(world, rate, load, arrival)

    _next(world, rate, load, arrival)


def _next(world: World, rate: float, load: Load, arrival: Callable[[], None]) -> None:
    present = rate * load(world.now)
    if present <= 0:
        at(world, BUCKET_S, lambda: _next(world, rate, load, arrival))
        return
    at(world, world.random.expovariate(present), arrival)


def _ask(world: World, tally: Tally, kind: Kind, resends: int) -> None:
    begun = int(world.now / BUCKET_S)
    tally.asked[begun, kind.name] += 1

    def attempt(left: int) -> None:
        spent: list[Spent] = []

        def done(ok: bool) -> None:
            if ok:
                tally.whole[begun, kind.name] += 1
                _count_useful(world, tally, kind.name, spent)
            elif left > 0:
                pause_s = RESEND_PAUSE_S * (0.5 + world.random.random())
                at(world, pause_s, lambda: attempt(left - 1))

        send(world, kind, _root_call(world, kind), spent, done)

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


def _count_useful(world: World, tally: Tally, kind: str, spent: list[Spent]) -> None:
    bucket = int(world.now / BUCKET_S)
    for run in spent:
        tally.useful[bucket, run.service] += run.nominal_s  # type: ignore[assignment]
        tally.held[bucket, kind] += run.held_s  # type: ignore[assignment]
