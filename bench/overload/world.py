"""A small virtual-time model: clients, guards and backend servers of one site.

The guards' decisions are the project's own; all else is as simple as the question
allows. Backend servers run ``slots`` calls at once and queue the rest in order of
arrival, which is what a thread pool does.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from heapq import heappop
from heapq import heappush
from random import Random
from typing import final

from _masticspoke.decisions.effects import Effect
from _masticspoke.decisions.effects import Run
from _masticspoke.decisions.shares import shares_of
from _masticspoke.model import Call
from _masticspoke.model import LoadReport
from bench.overload.policies import MakePolicy
from bench.overload.policies import Policy
from bench.overload.workloads import catalogue_of
from bench.overload.workloads import hold_s
from bench.overload.workloads import HOP_S
from bench.overload.workloads import Kind
from bench.overload.workloads import Workload

TICK_S = 0.05
_SMOOTHING = 0.1


@final
@dataclass(frozen=True, slots=True)
class Spent:
    """Slot time of one run: what it takes at rest, and what it took."""

    service: str
    nominal_s: float
    held_s: float


@final
@dataclass(slots=True, eq=False)
class Attempt:
    """One call on its way: sent, queued, running, ended."""

    call: Call
    kind: Kind
    done: Callable[[bool], None]
    spent: list[Spent]
    site: Site | None = None
    ticket: int = 0
    running: bool = False
    open: bool = True
    started: float = 0.0
    tried: int = 0


@final
@dataclass(slots=True, eq=False)
class Site:
    """A backend server and the guard beside it.

    :param slots: calls that it really runs at once.
    :param slowdown: factor on the time that its own work takes.
    """

    service: str
    slots: int
    policy: Policy
    slowdown: float = 1.0
    latency_s: float = 0.0
    busy: int = 0
    most_busy: int = 0
    inner_queue: deque[Attempt] = field(default_factory=deque)
    attempts: dict[int, Attempt] = field(default_factory=dict)
    report: LoadReport = field(default_factory=LoadReport)


@final
@dataclass(slots=True)
class World:
    """All that the model owns."""

    workload: Workload
    random: Random
    sites: dict[str, list[Site]]
    floored: frozenset[int]
    now: float = 0.0
    tickets: int = 0
    events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    sequence: int = 0
    kinds: dict[str, Kind] = field(default_factory=dict)
    nominal: dict[str, float] = field(default_factory=dict)
    sent: int = 0


def make_world(workload: Workload, seed: int, policy: MakePolicy) -> World:
    """Return a site with idle backend servers.

    :param policy: returns the guard of a backend server, given its announced slots.
    """
    random = Random(seed)
    shares = shares_of(catalogue_of(workload))
    sites = {
        service.name: [
            Site(service.name, service.slots, policy(service.slots, random, shares))
            for _ in range(service.servers)
        ]
        for service in workload.services
    }
    floored = frozenset(r for r, f in enumerate(workload.floors) if f > 0)
    world = World(workload, random, sites, floored)
    world.kinds = {k.name: k for k in workload.kinds}
    world.nominal = {k.name: hold_s(workload, k) for k in workload.kinds}
    for servers in sites.values():
        for site in servers:
            _tick(world, site)
    return world


def at(world: World, delay_s: float, action: Callable[[], None]) -> None:
    """Do something after a delay."""
    world.sequence += 1
    heappush(world.events, (world.now + delay_s, world.sequence, action))


def run_until(world: World, end: float) -> None:
    """Let virtual time pass."""
    events = world.events
    while events and events[0][0] <= end:
        world.now, _, action = heappop(events)
        action()
    world.now = end


def send(
    world: World,
    kind: Kind,
    call: Call,
    spent: list[Spent],
    done: Callable[[bool], None],
) -> None:
    """Send a call; ``done`` hears once whether a whole answer came in time."""
    attempt = Attempt(call, kind, done, spent)
    at(world, call.deadline - world.now, lambda: _cancel(world, attempt))
    _dispatch(world, attempt)


def _dispatch(world: World, attempt: Attempt) -> None:
    world.sent += 1
    site = _choose(world, world.sites[attempt.kind.service], attempt.site)
    if _doomed(world, site, attempt.call):
        _end(attempt, ok=False)
        return
    attempt.site = site
    at(world, HOP_S, lambda: _arrive(world, site, attempt))


def _choose(world: World, sites: list[Site], tried: Site | None) -> Site:
    one = _another(world, sites, tried)
    other = _another(world, sites, tried)
    return one if _busyness(one) <= _busyness(other) else other


def _another(world: World, sites: list[Site], tried: Site | None) -> Site:
    index = int(world.random.random() * len(sites))
    if sites[index] is tried:
        index = (index + 1) % len(sites)
    return sites[index]


def _busyness(site: Site) -> float:
    """Return the time that a new call may expect, as routing sees it."""
    return site.latency_s * (1 + site.report.in_flight / max(1, site.report.limit))


def _doomed(world: World, site: Site, call: Call) -> bool:
    return (
        call.rank > site.report.admitted_rank
        and call.rank not in world.floored
        and not call.shed_last
    )


def _arrive(world: World, site: Site, attempt: Attempt) -> None:
    if not attempt.open:
        return
    world.tickets += 1
    attempt.ticket = world.tickets
    site.attempts[attempt.ticket] = attempt
    effects = site.policy.arrive(attempt.ticket, attempt.call, world.now)
    _apply(world, site, effects)


def _apply(world: World, site: Site, effects: tuple[Effect, ...]) -> None:
    for effect in effects:
        if isinstance(effect, Run):
            _start(world, site, site.attempts[effect.ticket])
        else:
            _refused(world, site.attempts.pop(effect.ticket))
    site.report = site.policy.report(world.now)


def _refused(world: World, attempt: Attempt) -> None:
    if not attempt.open:
        return
    attempt.tried += 1
    if attempt.tried > attempt.call.allowance:
        at(world, HOP_S, lambda: _end(attempt, ok=False))
        return
    at(world, HOP_S, lambda: _dispatch(world, attempt) if attempt.open else None)


def _start(world: World, site: Site, attempt: Attempt) -> None:
    attempt.running = True
    attempt.started = world.now
    if site.busy >= site.slots:
        site.inner_queue.append(attempt)
        return
    _work(world, site, attempt)


def _work(world: World, site: Site, attempt: Attempt) -> None:
    site.busy += 1
    site.most_busy = max(site.most_busy, site.busy)
    spread = 0.5 + world.random.random()
    work_s = attempt.kind.work_s * site.slowdown * spread
    at(world, work_s, lambda: _worked(world, site, attempt))


def _worked(world: World, site: Site, attempt: Attempt) -> None:
    if not attempt.running:
        return
    child = attempt.kind.child
    if child is None or world.now > attempt.call.deadline:
        _finish(world, site, attempt, ok=True)
        return
    kind = world.kinds[child]
    call = Call(
        action=attempt.call.action,
        kind=child,
        service=kind.service,
        rank=attempt.call.rank,
        deadline=attempt.call.deadline,
        idempotent=True,
        shed_last=attempt.call.shed_last,
        depth=attempt.call.depth + 1,
        allowance=attempt.call.allowance,
    )
    send(
        world,
        kind,
        call,
        attempt.spent,
        lambda ok: _finish(world, site, attempt, ok=ok),
    )


def _finish(world: World, site: Site, attempt: Attempt, *, ok: bool) -> None:
    if not attempt.running:
        return
    nominal = world.nominal[attempt.kind.name]
    held_s = world.now - attempt.started
    attempt.spent.append(Spent(attempt.kind.service, nominal, held_s))
    _free(world, site, attempt)
    if attempt.open:
        at(world, HOP_S, lambda: _end(attempt, ok=ok))


def _free(world: World, site: Site, attempt: Attempt) -> None:
    attempt.running = False
    site.attempts.pop(attempt.ticket, None)
    site.busy -= 1
    while site.inner_queue and site.busy < site.slots:
        following = site.inner_queue.popleft()
        if following.running:
            _work(world, site, following)
    held_s = world.now - attempt.started
    site.latency_s += _SMOOTHING * (held_s - site.latency_s)
    effects = site.policy.finish(attempt.ticket, held_s, world.now)
    _apply(world, site, effects)


def _end(attempt: Attempt, *, ok: bool) -> None:
    if attempt.open:
        attempt.open = False
        attempt.done(ok)


def _cancel(world: World, attempt: Attempt) -> None:
    if not attempt.open:
        return
    _end(attempt, ok=False)
    site = attempt.site
    if site is None or attempt.ticket not in site.attempts:
        return
    if not attempt.running:
        site.attempts.pop(attempt.ticket)
        site.policy.withdraw(attempt.ticket, world.now)
        return
    if not site.policy.cancels:
        return
    if attempt in site.inner_queue:
        site.inner_queue.remove(attempt)
        site.busy += 1
    _free(world, site, attempt)


def _tick(world: World, site: Site) -> None:
    _apply(world, site, site.policy.expire(world.now))
    at(world, TICK_S, lambda: _tick(world, site))
