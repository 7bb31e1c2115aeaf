"""The figures of ``make bench``, with the bounds that they must keep."""

from __future__ import annotations

import time
from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from typing import final

from bench.overload.policies import FIFO
from bench.overload.policies import GUARD
from bench.overload.policies import MakePolicy
from bench.overload.policies import NO_CONTROL
from bench.overload.policies import STRICT
from bench.overload.scenarios import add_straggler
from bench.overload.scenarios import flood
from bench.overload.scenarios import floor_share
from bench.overload.scenarios import goodput
from bench.overload.scenarios import recovery_s
from bench.overload.scenarios import Span
from bench.overload.scenarios import Surge
from bench.overload.slopes import slopes
from bench.overload.workloads import KERALA
from bench.overload.workloads import rates
from bench.overload.workloads import single_service
from bench.overload.workloads import SLOVAKIA
from bench.overload.world import World

MIN_GOODPUT = 0.95
MAX_RECOVERY_S = 2.0
MIN_KEPT_SHARE = 0.99
POLICIES: dict[str, MakePolicy] = {
    "no control": NO_CONTROL,
    "FIFO, static limit": FIFO,
    "strict priority": STRICT,
    "guard": GUARD,
}


@final
@dataclass(frozen=True, slots=True)
class Figure:
    """One line of the table.

    :param missed: whether the figure has a bound and misses it.
    """

    name: str
    value: str
    bound: str = ""
    missed: bool = False


def goodput_figures() -> Iterator[Figure]:
    """Yield the share of slot time that is useful, under overload."""
    for workload in (KERALA, SLOVAKIA):
        for factor in (2.0, 5.0, 10.0):
            for name, policy in POLICIES.items():
                share = goodput(workload, policy, factor, Span(3.0, 6.0))
                label = f"goodput {workload.name} {factor:g}x, {name}"
                yield _bounded_figure(
                    label, share, MIN_GOODPUT, bounded=policy is GUARD
                )


def recovery_figures() -> Iterator[Figure]:
    """Yield the time to recover from a surge with clients that re-send often."""
    surge = Surge()
    recovered_after_s = recovery_s(GUARD, surge)
    yield Figure(
        "recovery after 5x for 30 s, guard",
        _seconds(recovered_after_s),
        f"<= {MAX_RECOVERY_S:g} s",
        recovered_after_s is None or recovered_after_s > MAX_RECOVERY_S,
    )
    uncontrolled_s = recovery_s(NO_CONTROL, Surge(length_s=10.0))
    yield Figure(
        "recovery after 5x for 10 s, no control",
        _seconds(uncontrolled_s),
        "stays collapsed",
        uncontrolled_s is not None,
    )
    yield Figure(
        "recovery after 5x for 10 s, FIFO, static limit",
        _seconds(recovery_s(FIFO, Surge(length_s=10.0))),
    )


def flood_figures() -> Iterator[Figure]:
    """Yield the share that each other class keeps during a flood of one class."""
    for suffix, disturb in _DISTURBANCES.items():
        for name in ("strict priority", "guard"):
            yield from _flood_of_least_urgent(suffix, disturb, name)
            yield from _flood_of_most_urgent(suffix, disturb, name)


def slope_figures() -> Iterator[Figure]:
    """Yield time and memory of the guard's decisions."""
    for name, value in slopes():
        yield Figure(name, value)


def _flood_of_least_urgent(
    suffix: str, disturb: Callable[[World], None] | None, name: str
) -> Iterator[Figure]:
    workload = single_service()
    least = max(workload.kinds, key=lambda k: k.rank)
    span = Span(3.0, 7.0)
    policy = POLICIES[name]
    baseline = flood(workload, policy, least.name, 0.8, span, disturb=disturb)
    results = flood(workload, policy, least.name, 10.0, span, disturb=disturb)
    for kind in rates(workload):
        if kind != least.name:
            before = baseline[kind].completed / baseline[kind].actions
            kept = results[kind].completed / results[kind].actions / before
            label = f"flood of the least urgent{suffix}, {kind} keeps, {name}"
            yield _bounded_figure(label, kept, MIN_KEPT_SHARE, bounded=name == "guard")


def _flood_of_most_urgent(
    suffix: str, disturb: Callable[[World], None] | None, name: str
) -> Iterator[Figure]:
    workload = single_service()
    span = Span(3.0, 7.0)
    results = flood(workload, POLICIES[name], "kind-0", 10.0, span, disturb=disturb)
    for kind in list(rates(workload))[1:]:
        kept = floor_share(workload, results[kind], kind, span)
        label = f"flood of the most urgent{suffix}, {kind} of its floor, {name}"
        yield _bounded_figure(label, kept, MIN_KEPT_SHARE, bounded=name == "guard")


def _bounded_figure(name: str, value: float, bound: float, *, bounded: bool) -> Figure:
    if not bounded:
        return Figure(name, f"{value:.3f}")
    return Figure(name, f"{value:.3f}", f">= {bound:g}", value < bound)


def _seconds(value: float | None) -> str:
    return "never" if value is None else f"{value:.1f} s"


_DISTURBANCES: dict[str, Callable[[World], None] | None] = {
    "": None,
    " with a straggler": add_straggler,
}
_SECTIONS: dict[str, Callable[[], Iterator[Figure]]] = {
    "goodput": goodput_figures,
    "recovery": recovery_figures,
    "flood": flood_figures,
    "slopes": slope_figures,
}


def main(sections: list[str]) -> int:
    """Print the figures of the given or all sections; return the exit code."""
    missed = 0
    for section in sections or _SECTIONS:
        started = time.perf_counter()
        for figure in _SECTIONS[section]():
            missed += figure.missed
            mark = "  MISSED" if figure.missed else ""
            print(f"{figure.name:<72} {figure.value:>9} {figure.bound}{mark}")
        print(f"({section}: {time.perf_counter() - started:.0f} s)", flush=True)
    print(f"{missed} bounds missed")
    return 1 if missed else 0
