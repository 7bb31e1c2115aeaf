"""Servers of uneven speed in two zones, under each way to choose one."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from heapq import heappop
from heapq import heappush
from random import Random
from typing import final

from _masticspoke.decisions.fleet import placing
from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import GuardLoad
from _masticspoke.decisions.fleet.placing import PlacementState
from _masticspoke.model import Address
from bench.uneven.server import SimulatedServer
from bench.uneven.server import Slowdown
from bench.uneven.server import spells
from bench.uneven.server import steady
from bench.uneven.server import step_at
from bench.uneven.single import LONG_S
from bench.uneven.single import p99
from bench.uneven.single import SHORT_S
from bench.uneven.single import SPREAD

SERVERS = 10
SENDERS = 6
SLOTS = 16
ZONES = ("z1", "z2")
HOP_S = {True: 0.0005, False: 0.0045}
END_S = 8.0
WARM_UP_S = 3.0
OBJECTIVE_S = 1.0
WORK_S = {"short": SHORT_S, "long": LONG_S}
MAX_WAIT_S = 0.35 * OBJECTIVE_S
_TICK_S = 0.02


@final
@dataclass(frozen=True, slots=True)
class Scenario:
    """Load and servers of one comparison.

    :param load: part of the capacity that is asked.
    :param zone_share: share of the senders' load that begins in the first zone.
    """

    name: str
    load: float
    slowdown: Callable[[Random, int], Slowdown] = lambda random, number: steady
    long_share: Callable[[float], float] = lambda now: 0.3
    zone_share: float = 0.5
    speeds: tuple[float, float] = (0.5, 1.5)


@final
@dataclass(slots=True)
class Result:
    """Requests, and the times of all that were served.

    :param good: usual work of the requests within the objective, in seconds. A count
        would favour ways that refuse the long ones.
    :param sent: requests by server and second.
    """

    asked: int = 0
    good: float = 0.0
    times_s: list[float] = field(default_factory=list)
    sent: dict[tuple[int, int], int] = field(default_factory=dict)


@final
@dataclass(slots=True)
class _Request:
    began: float
    sender: int
    route: str
    work_s: float
    server: int = -1
    sent_at: float = 0.0
    tries: int = 0


@final
@dataclass(slots=True)
class _Guarded:
    server: SimulatedServer
    state: BackendServer
    limit: int
    requests: int = 0
    run_s: float = 0.1
    waiting: deque[int] = field(default_factory=deque)
    started: dict[int, float] = field(default_factory=dict)

    def load(self, now: float) -> GuardLoad:
        """Return what the guard reports."""
        return GuardLoad(
            len(self.server.runs),
            len(self.waiting),
            self.limit,
            self.run_s,
            slowdown=self.server.slowdown(now),
        )


@final
@dataclass(slots=True)
class World:
    """Servers and senders; ways to choose a server read it."""

    guarded: list[_Guarded]
    senders: list[PlacementState]
    requests: dict[int, _Request]
    random: Random


# Takes the world, a request and the servers that it has tried; returns a server.
Way = Callable[[World, _Request, Sequence[Address], float], int | None]


def _by_rule(weighs_speed: bool) -> Way:
    def way(
        world: World, request: _Request, tried: Sequence[Address], now: float
    ) -> int | None:
        state = world.senders[request.sender]
        state.weighs_speed = weighs_speed
        servers = [g.state for g in world.guarded]
        chosen = placing.choose(state, servers, tried, now, world.random, request.route)
        return None if chosen is None else servers.index(chosen)

    return way


def _untried(world: World, tried: Sequence[Address]) -> list[int]:
    return [n for n, g in enumerate(world.guarded) if g.state.address not in tried]


def _least_outstanding(
    world: World, request: _Request, tried: Sequence[Address], now: float
) -> int | None:
    stats = world.senders[request.sender].stats

    def cost(number: int) -> float:
        known = stats.get(world.guarded[number].state.address)
        return (0 if known is None else known.outstanding) + world.random.random()

    return min(_untried(world, tried), key=cost, default=None)


def _oracle(
    world: World, request: _Request, tried: Sequence[Address], now: float
) -> int | None:
    zone = world.senders[request.sender].zone

    def cost(number: int) -> float:
        guarded = world.guarded[number]
        server = guarded.server
        ahead = max(0, guarded.requests + 1 - guarded.limit)
        factor = server.slowdown(now) / server.speed
        mean_s = guarded.run_s * server.slowdown(now)
        hop_s = 2 * HOP_S[guarded.state.zone == zone]
        return request.work_s * factor + ahead / guarded.limit * mean_s + hop_s

    return min(_untried(world, tried), key=cost, default=None)


WAYS: dict[str, Way] = {
    "today's rule": _by_rule(False),
    "least outstanding": _least_outstanding,
    "expected time (in use)": _by_rule(True),
}
ORACLE: Way = _oracle


def _make_world(scenario: Scenario, seed: int) -> World:
    random = Random(seed)
    guarded = []
    for number in range(SERVERS):
        low, high = scenario.speeds
        speed = low + (high - low) * number / (SERVERS - 1)
        state = BackendServer(
            Address(f"10.0.0.{number}", 1),
            "desk",
            f"i-{number}",
            1,
            1,
            ZONES[number % 2],
            SLOTS,
        )
        slowdown = scenario.slowdown(Random(seed * 100 + number), number)
        server = SimulatedServer(SLOTS, speed, slowdown=slowdown)
        guarded.append(_Guarded(server, state, int(SLOTS * 0.95)))
    senders = [PlacementState(ZONES[n % 2]) for n in range(SENDERS)]
    return World(guarded, senders, {}, random)


@final
@dataclass(slots=True)
class _Play:
    """One run: the world, and what happens next in it.

    :param events: time, order, what happens, and the ticket of the request.
    """

    scenario: Scenario
    way: Way
    world: World
    arrivals: Random
    result: Result = field(default_factory=Result)
    events: list[tuple[float, int, str, int]] = field(default_factory=list)
    tickets: int = 0
    now: float = 0.0

    def send(self, ticket: int, tried: Sequence[Address]) -> None:
        """Send a request to a server that it has not tried; give up after two."""
        request = self.world.requests[ticket]
        number = self.way(self.world, request, tried, self.now)
        if number is None or request.tries >= 2:
            del self.world.requests[ticket]
            return
        request.server, request.sent_at = number, self.now
        request.tries += 1
        guarded = self.world.guarded[number]
        guarded.requests += 1
        sender = self.world.senders[request.sender]
        placing.record_sent(sender, guarded.state.address)
        key = (number, int(self.now))
        self.result.sent[key] = self.result.sent.get(key, 0) + 1
        self.after_hop(ticket, "at")

    def after_hop(self, ticket: int, kind: str) -> None:
        """Let something happen when a message has crossed the network."""
        request = self.world.requests[ticket]
        zone = self.world.guarded[request.server].state.zone
        is_near = zone == self.world.senders[request.sender].zone
        heappush(self.events, (self.now + HOP_S[is_near], ticket, kind, ticket))

    def fill(self, guarded: _Guarded) -> None:
        """Start waiting requests in free slots."""
        while guarded.waiting and len(guarded.server.runs) < guarded.limit:
            ticket = guarded.waiting.popleft()
            guarded.started[ticket] = self.now
            work_s = self.world.requests[ticket].work_s
            guarded.server.start(ticket, work_s, self.now)

    def arrive(self, ticket: int) -> None:
        """Queue or refuse a request at its server's guard."""
        guarded = self.world.guarded[self.world.requests[ticket].server]
        wait_s = len(guarded.waiting) * guarded.run_s / guarded.limit
        if len(guarded.server.runs) >= guarded.limit and wait_s > MAX_WAIT_S:
            self.after_hop(ticket, "refused")
            return
        guarded.waiting.append(ticket)
        self.fill(guarded)

    def end(self, ticket: int, ran: bool) -> None:
        """Let the sender receive an answer or a refusal."""
        request = self.world.requests[ticket]
        guarded = self.world.guarded[request.server]
        guarded.requests -= 1
        address = guarded.state.address
        placing.record_end(
            self.world.senders[request.sender],
            address,
            False if ran else None,
            guarded.load(self.now),
            self.now,
            request.route,
            self.now - request.sent_at if ran else None,
        )
        if not ran:
            self.send(ticket, [address])
            return
        del self.world.requests[ticket]
        if request.began > WARM_UP_S:
            self.result.times_s.append(self.now - request.began)
            if self.now - request.began <= OBJECTIVE_S:
                self.result.good += WORK_S[request.route]

    def finish_runs(self) -> None:
        """Answer the requests whose runs have ended."""
        for guarded in self.world.guarded:
            if guarded.server.next_end() > self.now:
                continue
            for ticket in list(guarded.server.ended(self.now)):
                run_s = self.now - guarded.started.pop(ticket)
                guarded.run_s += 0.05 * (run_s - guarded.run_s)
                self.after_hop(ticket, "answered")
            self.fill(guarded)

    def begin(self) -> float:
        """Send a new request; return the mean work of requests at present."""
        share = self.scenario.long_share(self.now)
        is_long = self.arrivals.random() < share
        route = "long" if is_long else "short"
        work_s = WORK_S[route] * self.arrivals.lognormvariate(0, SPREAD)
        zone = 0 if self.arrivals.random() < self.scenario.zone_share else 1
        sender = 2 * self.arrivals.randrange(SENDERS // 2) + zone
        self.tickets += 1
        self.world.requests[self.tickets] = _Request(self.now, sender, route, work_s)
        self.result.asked += self.now > WARM_UP_S
        self.send(self.tickets, ())
        return (share * LONG_S + (1 - share) * SHORT_S) * 1.083


def play(scenario: Scenario, way: Way, seed: int) -> Result:
    """Let senders serve a Poisson load by a way to choose servers."""
    run = _Play(scenario, way, _make_world(scenario, seed), Random(seed + 1))
    guarded = run.world.guarded
    capacity = sum(g.server.speed * g.limit for g in guarded)
    next_arrival = next_tick = 0.0
    while run.now < END_S:
        first = run.events[0][0] if run.events else END_S
        first_end = min(g.server.next_end() for g in guarded)
        run.now = min(first, next_arrival, next_tick, first_end)
        run.finish_runs()
        while run.events and run.events[0][0] <= run.now:
            _, _, kind, ticket = heappop(run.events)
            if kind == "at":
                run.arrive(ticket)
            else:
                run.end(ticket, kind == "answered")
        if run.now >= next_tick:
            # Speeds change at these times only.
            next_tick = run.now + _TICK_S
            for each in guarded:
                each.server.advance(run.now)
        if run.now >= next_arrival:
            rate = scenario.load * capacity / run.begin()
            next_arrival = run.now + run.arrivals.expovariate(rate)
    return run.result


def _spells(random: Random, number: int) -> Slowdown:
    return spells(random, END_S)


def _step(random: Random, number: int) -> Slowdown:
    return step_at(5.0, 2.5) if number % 4 == 3 else steady


LOADS = (0.5, 0.9, 1.2, 2.0)
SCENARIOS = [
    *(Scenario(f"spells, load {f}", f, _spells) for f in (0.5, 0.75, 0.9, 1.2)),
    *(Scenario(f"step of a quarter, load {f}", f, _step) for f in (0.5, 0.75)),
    *(
        Scenario(f"mix shifts, load {f}", f, long_share=lambda t: 0.1 if t < 5 else 0.8)
        for f in (0.5, 0.9)
    ),
    *(Scenario(f"0.8 in one zone, load {f}", f, zone_share=0.8) for f in (0.5, 0.75)),
    *(Scenario(f"speeds 0.5 to 1.5, load {f}", f) for f in LOADS),
    *(Scenario(f"even speeds, load {f}", f, speeds=(1.0, 1.0)) for f in LOADS),
]


def main() -> None:
    """Print goodput and 99th percentile of each way, over the oracle's."""
    print(f"{'scenario':30}" + "".join(f"{name:>24}" for name in WAYS))
    for scenario in SCENARIOS:
        oracle = play(scenario, ORACLE, 1)
        cells = []
        for way in WAYS.values():
            result = play(scenario, way, 1)
            good = result.good / max(1, oracle.good)
            tail = p99(result.times_s) / p99(oracle.times_s)
            cells.append(f"{good:.3f} p99 {tail:.2f}")
        print(f"{scenario.name:30}" + "".join(f"{c:>24}" for c in cells), flush=True)


if __name__ == "__main__":
    main()
