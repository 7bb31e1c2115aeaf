"""Discrete-event simulation of the guards and backend servers of one deployment.

The guards use the production decisions; the rest is simplified. A backend server runs
``slots`` calls at once and queues the rest in order of arrival, as a thread pool does.
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
_NEWEST_LATENCY_WEIGHT = 0.1


@final
@dataclass(frozen=True, slots=True)
class RunCost:
    """Slot time of one run: without load (``nominal_s``), and as simulated."""

    service: str
    nominal_s: float
    held_s: float


@final
@dataclass(slots=True, eq=False)
class SimulatedCall:
    """One call, from when it is sent until its caller has an outcome.

    :param on_done: called once with whether a whole answer came in time.
    :param pending: whether the caller still waits.
    :param refusals: how often guards refused the call.
    """

    call: Call
    kind: Kind
    on_done: Callable[[bool], None]
    costs: list[RunCost]
    server: Server | None = None
    ticket: int = 0
    running: bool = False
    pending: bool = True
    started_at: float = 0.0
    refusals: int = 0


@final
@dataclass(slots=True, eq=False)
class Server:
    """A backend server and its guard.

    :param slots: calls that the backend server runs at once.
    :param slowdown: factor on the time that a run works.
    :param backend_queue: calls that the guard started and that wait for a slot.
    :param calls: calls that the guard has queued or started, by ticket.
    """

    service: str
    slots: int
    policy: Policy
    slowdown: float = 1.0
    latency_s: float = 0.0
    busy_slots: int = 0
    max_busy_slots: int = 0
    backend_queue: deque[SimulatedCall] = field(default_factory=deque)
    calls: dict[int, SimulatedCall] = field(default_factory=dict)
    report: LoadReport = field(default_factory=LoadReport)


@final
@dataclass(slots=True)
class World:
    """The state of a simulation; ``events`` is a heap ordered by time.

    :param attempt_count: attempts of all calls, also those that routing refused.
    """

    workload: Workload
    random: Random
    services: dict[str, list[Server]]
    ranks_with_floor: frozenset[int]
    now: float = 0.0
    last_ticket: int = 0
    events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    sequence: int = 0
    kinds: dict[str, Kind] = field(default_factory=dict)
    nominal_s_by_kind: dict[str, float] = field(default_factory=dict)
    attempt_count: int = 0


def make_world(workload: Workload, seed: int, policy: MakePolicy) -> World:
    """Return the simulation of a workload, with idle backend servers.

    :param policy: returns the guard of a backend server, given its announced slots.
    """
    random = Random(seed)
    shares = shares_of(catalogue_of(workload))
    services = {
        service.name: [
            Server(service.name, service.slots, policy(service.slots, random, shares))
            for _ in range(service.servers)
        ]
        for service in workload.services
    }
    ranks_with_floor = frozenset(r for r, f in enumerate(workload.floors) if f > 0)
    world = World(workload, random, services, ranks_with_floor)
    world.kinds = {k.name: k for k in workload.kinds}
    world.nominal_s_by_kind = {k.name: hold_s(workload, k) for k in workload.kinds}
    for servers in services.values():
        for server in servers:
            _tick(world, server)
    return world


def schedule(world: World, delay_s: float, action: Callable[[], None]) -> None:
    """Schedule an action after a delay."""
    world.sequence += 1
    heappush(world.events, (world.now + delay_s, world.sequence, action))


def run_until(world: World, end: float) -> None:
    """Run all events up to a virtual time."""
    events = world.events
    while events and events[0][0] <= end:
        world.now, _, action = heappop(events)
        action()
    world.now = end


def send(
    world: World,
    kind: Kind,
    call: Call,
    costs: list[RunCost],
    on_done: Callable[[bool], None],
) -> None:
    """Send a call; call ``on_done`` once with whether a whole answer came in time."""
    simulated_call = SimulatedCall(call, kind, on_done, costs)
    schedule(world, call.deadline - world.now, lambda: _cancel(world, simulated_call))
    _dispatch(world, simulated_call)


def _dispatch(world: World, simulated_call: SimulatedCall) -> None:
    world.attempt_count += 1
    server = _choose_server(
        world, world.services[simulated_call.kind.service], simulated_call.server
    )
    if _would_be_refused(world, server, simulated_call.call):
        _resolve(simulated_call, ok=False)
        return
    simulated_call.server = server
    schedule(world, HOP_S, lambda: _arrive(world, server, simulated_call))


def _choose_server(
    world: World, servers: list[Server], previous: Server | None
) -> Server:
    first = _random_server(world, servers, previous)
    second = _random_server(world, servers, previous)
    return first if _expected_s(first) <= _expected_s(second) else second


def _random_server(
    world: World, servers: list[Server], previous: Server | None
) -> Server:
    index = int(world.random.random() * len(servers))
    if servers[index] is previous:
        index = (index + 1) % len(servers)
    return servers[index]


def _expected_s(server: Server) -> float:
    """Return the latency that routing expects for a new call."""
    return server.latency_s * (
        1 + server.report.in_flight / max(1, server.report.limit)
    )


def _would_be_refused(world: World, server: Server, call: Call) -> bool:
    return (
        call.rank > server.report.admitted_rank
        and call.rank not in world.ranks_with_floor
        and not call.shed_last
    )


def _arrive(world: World, server: Server, simulated_call: SimulatedCall) -> None:
    if not simulated_call.pending:
        return
    world.last_ticket += 1
    simulated_call.ticket = world.last_ticket
    server.calls[simulated_call.ticket] = simulated_call
    effects = server.policy.arrive(
        simulated_call.ticket, simulated_call.call, world.now
    )
    _apply(world, server, effects)


def _apply(world: World, server: Server, effects: tuple[Effect, ...]) -> None:
    for effect in effects:
        if isinstance(effect, Run):
            _start(world, server, server.calls[effect.ticket])
        else:
            _handle_refusal(world, server.calls.pop(effect.ticket))
    server.report = server.policy.report(world.now)


def _handle_refusal(world: World, simulated_call: SimulatedCall) -> None:
    if not simulated_call.pending:
        return
    simulated_call.refusals += 1
    if simulated_call.refusals > simulated_call.call.allowance:
        schedule(world, HOP_S, lambda: _resolve(simulated_call, ok=False))
        return
    schedule(
        world,
        HOP_S,
        lambda: _dispatch(world, simulated_call) if simulated_call.pending else None,
    )


def _start(world: World, server: Server, simulated_call: SimulatedCall) -> None:
    simulated_call.running = True
    simulated_call.started_at = world.now
    if server.busy_slots >= server.slots:
        server.backend_queue.append(simulated_call)
        return
    _start_work(world, server, simulated_call)


def _start_work(world: World, server: Server, simulated_call: SimulatedCall) -> None:
    server.busy_slots += 1
    server.max_busy_slots = max(server.max_busy_slots, server.busy_slots)
    work_factor = 0.5 + world.random.random()
    work_s = simulated_call.kind.work_s * server.slowdown * work_factor
    schedule(world, work_s, lambda: _end_own_work(world, server, simulated_call))


def _end_own_work(world: World, server: Server, simulated_call: SimulatedCall) -> None:
    if not simulated_call.running:
        return
    child = simulated_call.kind.child
    if child is None or world.now > simulated_call.call.deadline:
        _finish(world, server, simulated_call, ok=True)
        return
    kind = world.kinds[child]
    call = Call(
        action=simulated_call.call.action,
        kind=child,
        service=kind.service,
        rank=simulated_call.call.rank,
        deadline=simulated_call.call.deadline,
        idempotent=True,
        shed_last=simulated_call.call.shed_last,
        depth=simulated_call.call.depth + 1,
        allowance=simulated_call.call.allowance,
    )
    send(
        world,
        kind,
        call,
        simulated_call.costs,
        lambda ok: _finish(world, server, simulated_call, ok=ok),
    )


def _finish(
    world: World, server: Server, simulated_call: SimulatedCall, *, ok: bool
) -> None:
    if not simulated_call.running:
        return
    nominal_s = world.nominal_s_by_kind[simulated_call.kind.name]
    held_s = world.now - simulated_call.started_at
    simulated_call.costs.append(RunCost(simulated_call.kind.service, nominal_s, held_s))
    _release_slot(world, server, simulated_call)
    if simulated_call.pending:
        schedule(world, HOP_S, lambda: _resolve(simulated_call, ok=ok))


def _release_slot(world: World, server: Server, simulated_call: SimulatedCall) -> None:
    simulated_call.running = False
    server.calls.pop(simulated_call.ticket, None)
    server.busy_slots -= 1
    while server.backend_queue and server.busy_slots < server.slots:
        waiting_call = server.backend_queue.popleft()
        if waiting_call.running:
            _start_work(world, server, waiting_call)
    held_s = world.now - simulated_call.started_at
    server.latency_s += _NEWEST_LATENCY_WEIGHT * (held_s - server.latency_s)
    effects = server.policy.finish(simulated_call.ticket, held_s, world.now)
    _apply(world, server, effects)


def _resolve(simulated_call: SimulatedCall, *, ok: bool) -> None:
    if simulated_call.pending:
        simulated_call.pending = False
        simulated_call.on_done(ok)


def _cancel(world: World, simulated_call: SimulatedCall) -> None:
    if not simulated_call.pending:
        return
    _resolve(simulated_call, ok=False)
    server = simulated_call.server
    if server is None or simulated_call.ticket not in server.calls:
        return
    if not simulated_call.running:
        server.calls.pop(simulated_call.ticket)
        server.policy.withdraw(simulated_call.ticket, world.now)
        return
    if not server.policy.cancels_runs:
        return
    if simulated_call in server.backend_queue:
        server.backend_queue.remove(simulated_call)
        # It holds no slot yet, but ``_release_slot`` frees one.
        server.busy_slots += 1
    _release_slot(world, server, simulated_call)


def _tick(world: World, server: Server) -> None:
    _apply(world, server, server.policy.expire(world.now))
    schedule(world, TICK_S, lambda: _tick(world, server))
