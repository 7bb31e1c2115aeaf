"""A fleet's quota tasks and keepers in virtual time, without a network.

Each node has the tasks' real state and handlers, and a clock with its own offset.
Messages between nodes take a few milliseconds and may be cut off; a paused node reads
what arrived meanwhile when it goes on.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from heapq import heappop
from heapq import heappush
from itertools import count
from random import Random
from typing import Any
from typing import cast

from testing.decisions.fleet.samples import server

from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import Configuration
from _masticspoke.decisions.fleet.model import Organisation
from _masticspoke.decisions.fleet.model import QuotaBounds
from _masticspoke.decisions.fleet.quota_keeper import advance
from _masticspoke.fleet.dispatch.messages import ServersChanged
from _masticspoke.fleet.quota import keeper as keeper_module
from _masticspoke.fleet.quota import tokens as tokens_module
from _masticspoke.fleet.quota.keeper import KeeperTask
from _masticspoke.fleet.quota.messages import KeeperAsked
from _masticspoke.fleet.quota.messages import NoToken
from _masticspoke.fleet.quota.messages import QueryEnded
from _masticspoke.fleet.quota.messages import SendQuery
from _masticspoke.fleet.quota.messages import TakeToken
from _masticspoke.fleet.quota.messages import Token
from _masticspoke.fleet.quota.queries import RESPONSE_TIMEOUT_S
from _masticspoke.fleet.quota.state import new_quota_task
from _masticspoke.model import Address
from _masticspoke.supervise.latest import Latest
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply

BOUNDS = QuotaBounds()
TICK_S = 0.2


@dataclass
class Call:
    """Stands in for a reply, and calls a function with the answer."""

    on_answer: Callable[[Any], None]
    abandoned: bool = False

    def answer(self, value: object) -> None:
        self.on_answer(value)


def call(on_answer: Callable[[Any], None]) -> Reply[Any]:
    return cast("Reply[Any]", Call(on_answer))


class VirtualNode:
    """One node; ``generation`` rises with each restart of its process."""

    def __init__(self, world: World, server: BackendServer, offset_s: float) -> None:
        self.world = world
        self.server = server
        self.host = server.address.host
        self.offset_s = offset_s
        self.alive = True
        self.paused_until = 0.0
        self.generation = 0
        self.configuration: Latest[Configuration | None] = Latest(None)
        self.start()

    def start(self) -> None:
        self.generation += 1
        self.sender: Mailbox[SendQuery] = Mailbox(1000)
        self.trail: Mailbox[Any] = Mailbox(10)
        self.task = new_quota_task(
            self.host, self.configuration, self.sender, self.trail
        )
        self.keeper = KeeperTask(self.configuration)
        self.timer_at = float("inf")
        self.tick(self.generation)

    def tick(self, generation: int) -> None:
        """Let the keeper's timer run while the process does."""
        if self.generation != generation:
            return
        if self.world.now >= self.paused_until:
            advance(self.keeper.keeper, self.clock())
        self.world.at(self.world.now + TICK_S, lambda: self.tick(generation))

    def clock(self) -> float:
        return self.world.now + self.offset_s

    def handle(self, message: object) -> None:
        tokens_module.HANDLERS[type(message)](self.task, message, self.clock())
        self.after_step()

    def ask_keeper(self, message: object) -> None:
        keeper_module.HANDLERS[type(message)](self.keeper, message, self.clock())

    def after_step(self) -> None:
        tokens_module.step_if_due(self.task, self.clock())
        for message in self.sender.receive_nowait():
            self.world.send(self, message)
        due_at = max(self.world.now, self.task.due_at - self.offset_s)
        if due_at < self.timer_at:
            self.timer_at = due_at
            self.world.at(due_at, lambda g=self.generation: self.on_timer(g))

    def on_timer(self, generation: int) -> None:
        if self.generation != generation or not self.alive:
            return
        if self.world.now < self.paused_until:
            self.world.at(self.paused_until, lambda: self.on_timer(generation))
            return
        if self.world.now < self.timer_at - 1e-9:
            return
        self.timer_at = float("inf")
        tokens_module.set_due(self.task, self.clock())
        self.after_step()


@dataclass
class World:
    """The fleet, its virtual time, and what came of each request."""

    random: Random
    now: float = 100.0
    nodes: dict[str, VirtualNode] = field(default_factory=dict)
    cuts: list[tuple[frozenset[str], float, float]] = field(default_factory=list)
    taken: dict[str, list[float]] = field(default_factory=dict)
    outcomes: Counter[str] = field(default_factory=Counter)
    refusals: list[tuple[float, float]] = field(default_factory=list)
    queries: int = 0
    retries: int = 0
    _events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    _order: count[int] = field(default_factory=count)

    def at(self, time: float, action: Callable[[], None]) -> None:
        heappush(self._events, (time, next(self._order), action))

    def run_until(self, time: float) -> None:
        while self._events and self._events[0][0] <= time:
            self.now, _, action = heappop(self._events)
            action()
        self.now = time

    def add_nodes(self, count: int, zones: int = 2) -> None:
        for number in range(count):
            added = server(
                number,
                f"z{number % zones}",
                address=Address(f"10.0.{number // 250}.{number % 250 + 1}", 80),
            )
            offset_s = self.random.uniform(0, 100_000)
            self.nodes[added.address.host] = VirtualNode(self, added, offset_s)
        for node in self.nodes.values():
            self.inform(node)

    def inform(self, node: VirtualNode) -> None:
        servers = tuple(other.server for other in self.nodes.values())
        changed = ServersChanged(servers, servers)
        node.ask_keeper(changed)
        node.handle(changed)

    def configure(
        self, version: int, organisations: list[Organisation], spread_s: float = 0.0
    ) -> None:
        by_key = {f"k-{o.name}": o for o in organisations}
        configuration = Configuration(version, {}, organisations=by_key)
        for node in self.nodes.values():
            delay_s = self.random.uniform(0, spread_s)
            self.at(
                self.now + delay_s,
                lambda node=node: node.configuration.tell(configuration),
            )

    def is_cut(self, one: str, other: str) -> bool:
        return any(
            start <= self.now < end and (one in side) != (other in side)
            for side, start, end in self.cuts
        )

    def kill(self, host: str) -> None:
        self.nodes[host].alive = False
        self.nodes[host].generation += 1

    def restart(self, host: str) -> None:
        node = self.nodes[host]
        node.alive = True
        node.start()
        self.inform(node)

    def pause(self, host: str, duration_s: float) -> None:
        self.nodes[host].paused_until = self.now + duration_s

    def when_running(self, node: VirtualNode, action: Callable[[], None]) -> None:
        """Run an action now, or when the node goes on; never if its process ended."""
        generation = node.generation

        def run() -> None:
            if not node.alive or node.generation != generation:
                return
            if self.now < node.paused_until:
                self.at(node.paused_until, run)
                return
            action()

        run()

    def send(self, node: VirtualNode, message: SendQuery) -> None:
        self.queries += 1
        keeper = self.nodes[message.keeper]
        generation = node.generation
        ended = [False]

        def end(result: QueryEnded) -> None:
            if not ended[0] and node.generation == generation:
                ended[0] = True
                self.when_running(node, lambda: node.handle(result))

        def respond(response: object) -> None:
            lost = self.is_cut(node.host, keeper.host)
            result = QueryEnded(keeper.host, cast("Any", response))
            if not lost:
                self.at(self.now + self.latency_s(node, keeper), lambda: end(result))

        def arrive() -> None:
            if self.is_cut(node.host, keeper.host):
                return
            if not keeper.alive:
                end(QueryEnded(keeper.host, None, refused=True))
                return
            asked = KeeperAsked(message.query, call(respond))
            self.when_running(keeper, lambda: keeper.ask_keeper(asked))

        self.at(self.now + self.latency_s(node, keeper), arrive)
        silent = QueryEnded(keeper.host, None)
        self.at(self.now + RESPONSE_TIMEOUT_S, lambda: end(silent))

    def latency_s(self, node: VirtualNode, other: VirtualNode) -> float:
        if node is other:
            return 0.0
        same = node.server.zone == other.server.zone
        return self.random.uniform(0.5, 1.5) * (0.0003 if same else 0.0025)

    def request(self, host: str, organisation: Organisation, retries: int = 0) -> None:
        """Let a client send a request to a node, and again after Retry-After."""
        node = self.nodes[host]

        def on_answer(answer: Token | NoToken) -> None:
            if isinstance(answer, Token):
                self.taken.setdefault(organisation.name, []).append(self.now)
                self.outcomes["granted"] += 1
                return
            self.outcomes["refused" if answer.limit_reached else "unknown"] += 1
            self.refusals.append((self.now, answer.retry_s))
            if retries > 0:
                self.retries += 1
                self.at(
                    self.now + answer.retry_s,
                    lambda: self.request(host, organisation, retries - 1),
                )

        message = TakeToken(organisation, call(on_answer))
        self.when_running(node, lambda: node.handle(message))

    def demand(
        self,
        organisation: Organisation,
        hosts: list[str],
        rate_per_s: float,
        start: float,
        end: float,
        retries: int = 0,
    ) -> None:
        """Let clients send requests at random times to random nodes."""
        time = start
        while True:
            time += self.random.expovariate(rate_per_s)
            if time >= end:
                return
            host = self.random.choice(hosts)
            self.at(time, lambda h=host: self.request(h, organisation, retries))


def excess(times: list[float], organisation: Organisation, start: float = 0.0) -> float:
    """Return by how much the fullest window is beyond the bound; negative if none is.

    :param start: windows that begin earlier don't count.
    """
    allowed = organisation.rate_per_s * BOUNDS.window_s + organisation.burst
    allowed = allowed * (1 + BOUNDS.overshoot) + BOUNDS.tolerance
    fullest, first = 0, 0
    ordered = [time for time in sorted(times) if time >= start]
    for last, time in enumerate(ordered):
        while ordered[first] < time - BOUNDS.window_s:
            first += 1
        fullest = max(fullest, last - first + 1)
    return fullest - allowed


def shares(world: World, group: int) -> Mapping[str, float]:
    """Return the share of each keeper of a group."""
    return {
        host: node.keeper.keeper.groups[group].share
        for host, node in world.nodes.items()
        if group in node.keeper.keeper.groups
    }
