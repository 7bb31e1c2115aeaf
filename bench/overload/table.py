"""The figures of ``make bench``, each with the bound that its target gives."""

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
from bench.overload.scenarios import flood
from bench.overload.scenarios import floor_kept
from bench.overload.scenarios import goodput
from bench.overload.scenarios import recovery_s
from bench.overload.scenarios import Span
from bench.overload.scenarios import straggle
from bench.overload.scenarios import Surge
from bench.overload.slopes import slopes
from bench.overload.workloads import KERALA
from bench.overload.workloads import rates
from bench.overload.workloads import single_service
from bench.overload.workloads import SLOVAKIA
from bench.overload.world import World

MIN_GOODPUT = 0.95
MAX_RECOVERY_S = 2.0
MIN_KEPT = 0.99
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

    :param missed: whether a bound exists and the figure is past it.
    """

    name: str
    value: str
    bound: str = ""
    missed: bool = False


def goodput_figures() -> Iterator[Figure]:
    """Yield useful slot time over all slot time, under overload."""
    for site in (KERALA, SLOVAKIA):
        for factor in (2.0, 5.0, 10.0):
            for name, policy in POLICIES.items():
                found = goodput(site, policy, factor, Span(3.0, 6.0))
                label = f"goodput {site.name} {factor:g}x, {name}"
                yield _at_least(label, found, MIN_GOODPUT, bounded=policy is GUARD)


def recovery_figures() -> Iterator[Figure]:
    """Yield the time to recover from a surge with clients that re-send hard."""
    surge = Surge()
    back = recovery_s(GUARD, surge)
    yield Figure(
        "recovery after 5x for 30 s, guard",
        _seconds(back),
        f"<= {MAX_RECOVERY_S:g} s",
        back is None or back > MAX_RECOVERY_S,
    )
    collapsed = recovery_s(NO_CONTROL, Surge(length_s=10.0))
    yield Figure(
        "recovery after 5x for 10 s, no control",
        _seconds(collapsed),
        "stays collapsed",
        collapsed is not None,
    )
    yield Figure(
        "recovery after 5x for 10 s, FIFO, static limit",
        _seconds(recovery_s(FIFO, Surge(length_s=10.0))),
    )


def flood_figures() -> Iterator[Figure]:
    """Yield what the other classes keep while one floods."""
    for title, disturb in _DISTURBANCES.items():
        for name in ("strict priority", "guard"):
            yield from _flood_of_least(title, disturb, name)
            yield from _flood_of_most(title, disturb, name)


def slope_figures() -> Iterator[Figure]:
    """Yield processor time and memory of the guard's decisions."""
    for name, value in slopes():
        yield Figure(name, value)


def _flood_of_least(
    title: str, disturb: Callable[[World], None] | None, name: str
) -> Iterator[Figure]:
    workload = single_service()
    least = max(workload.kinds, key=lambda k: k.rank)
    span = Span(3.0, 7.0)
    policy = POLICIES[name]
    calm = flood(workload, policy, least.name, 0.8, span, disturb=disturb)
    found = flood(workload, policy, least.name, 10.0, span, disturb=disturb)
    for kind in rates(workload):
        if kind != least.name:
            before = calm[kind].whole / calm[kind].asked
            kept = found[kind].whole / found[kind].asked / before
            label = f"flood of the least urgent{title}, {kind} keeps, {name}"
            yield _at_least(label, kept, MIN_KEPT, bounded=name == "guard")


def _flood_of_most(
    title: str, disturb: Callable[[World], None] | None, name: str
) -> Iterator[Figure]:
    workload = single_service()
    span = Span(3.0, 7.0)
    found = flood(workload, POLICIES[name], "kind-0", 10.0, span, disturb=disturb)
    for kind in list(rates(workload))[1:]:
        kept = floor_kept(workload, found[kind], kind, span)
        label = f"flood of the most urgent{title}, {kind} of its floor, {name}"
        yield _at_least(label, kept, MIN_KEPT, bounded=name == "guard")


def _at_least(name: str, found: float, bound: float, *, bounded: bool) -> Figure:
    if not bounded:
        return Figure(name, f"{found:.3f}")
    return Figure(name, f"{found:.3f}", f">= {bound:g}", found < bound)


def _seconds(value: float | None) -> str:
    return "never" if value is None else f"{value:.1f} s"


_DISTURBANCES: dict[str, Callable[[World], None] | None] = {
    "": None,
    " with a straggler": straggle,
}
_SECTIONS: dict[str, Callable[[], Iterator[Figure]]] = {
    "goodput": goodput_figures,
    "recovery": recovery_figures,
    "flood": flood_figures,
    "slopes": slope_figures,
}


def main(sections: list[str]) -> int:
    """Print the figures of some or all sections; return 1 when a bound is missed."""
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
