"""Check the bound on removed keys against random schedules of versions and messages.

Nodes read the log, ask each other as relays, and exchange versions as peers. Messages
may take any time or be lost, and a VM that is suspended handles nothing until it is
resumed. The key of each version is removed by the next one.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from heapq import heappop
from heapq import heappush
from itertools import count

from hypothesis import strategies as st
from testing.decisions.fleet.samples import route

from _masticspoke.decisions.fleet.authorisation import authorise
from _masticspoke.decisions.fleet.freshness import confirm
from _masticspoke.decisions.fleet.freshness import Confirmation
from _masticspoke.decisions.fleet.freshness import is_fresh
from _masticspoke.decisions.fleet.model import Configuration
from _masticspoke.decisions.fleet.model import Organisation

REVOCATION_S = 5.0
NODES = 3
ROUTE = route()


def at_sending(sent_at: float, now: float, relay_age_s: float) -> float:
    return sent_at - relay_age_s


@dataclass(frozen=True)
class Rules:
    """The decisions under test; each injected fault replaces one of them.

    :param confirmed_at: takes the times of sending and of the answer, and the age of
        the relay's confirmation, 0 for the log.
    :param peers_confirm: whether an exchange with a peer confirms its version.
    """

    confirm: Callable[[Confirmation, int, int, float], Confirmation] = confirm
    confirmed_at: Callable[[float, float, float], float] = at_sending
    is_fresh: Callable[[Confirmation, int, float | None, float], bool] = is_fresh
    peers_confirm: bool = False


@dataclass
class Node:
    version: int = 1
    confirmation: Confirmation = field(default_factory=lambda: Confirmation(1, 0.0))
    suspended_until: float = 0.0


@dataclass(frozen=True)
class Step:
    """One thing that happens, and how long its messages take.

    :param gap_s: time since the step before.
    :param lost: whether the registry doesn't get the newer version that a read shows.
    """

    kind: str
    gap_s: float
    node: int
    other: int
    there_s: float
    back_s: float
    lost: bool


@dataclass
class World:
    rules: Rules
    now: float = 0.0
    removed_at: list[float] = field(default_factory=lambda: [0.0])
    nodes: list[Node] = field(default_factory=lambda: [Node() for _ in range(NODES)])
    pending: list[tuple[float, int, Node | None, Callable[[], None]]] = field(
        default_factory=list
    )
    numbers: count[int] = field(default_factory=count)
    served: int = 0
    violations: list[str] = field(default_factory=list)

    @property
    def newest(self) -> int:
        """The version that the log acknowledged last; the first is 1."""
        return len(self.removed_at)

    def later(self, delay_s: float, node: Node | None, act: Callable[[], None]) -> None:
        """Act after a delay, at a node that isn't suspended or at the log."""
        heappush(self.pending, (self.now + delay_s, next(self.numbers), node, act))

    def run_until(self, end: float) -> None:
        while self.pending and self.pending[0][0] <= end:
            due, _, node, act = heappop(self.pending)
            self.now = due
            if node is not None and node.suspended_until > due:
                self.later(node.suspended_until - due, node, act)
            else:
                act()
        self.now = end


def publish(world: World, step: Step) -> None:
    world.removed_at.append(world.now)


def read_log(world: World, step: Step) -> None:
    node, sent_at = world.nodes[step.node], world.now

    def at_log() -> None:
        shown = world.newest
        world.later(step.back_s, node, lambda: answered(shown))

    def answered(shown: int) -> None:
        if not step.lost:
            node.version = max(node.version, shown)
        _confirm(world, node, shown, sent_at, 0.0)

    world.later(step.there_s, None, at_log)


def ask_relay(world: World, step: Step) -> None:
    node, relay, sent_at = world.nodes[step.node], world.nodes[step.other], world.now

    def at_relay() -> None:
        version, age_s = relay.version, world.now - relay.confirmation.at
        world.later(step.back_s, node, lambda: answered(version, age_s))

    def answered(version: int, age_s: float) -> None:
        if not step.lost:
            node.version = max(node.version, version)
        _confirm(world, node, version, sent_at, age_s)

    world.later(step.there_s, relay, at_relay)


def _confirm(
    world: World, node: Node, version: int, sent_at: float, age_s: float
) -> None:
    at = world.rules.confirmed_at(sent_at, world.now, age_s)
    node.confirmation = world.rules.confirm(
        node.confirmation, node.version, version, at
    )


def exchange(world: World, step: Step) -> None:
    node, peer, sent_at = world.nodes[step.node], world.nodes[step.other], world.now

    def at_peer() -> None:
        version = peer.version
        world.later(step.back_s, node, lambda: answered(version))

    def answered(version: int) -> None:
        node.version = max(node.version, version)
        if world.rules.peers_confirm:
            _confirm(world, node, version, sent_at, 0.0)

    world.later(step.there_s, peer, at_peer)


def suspend(world: World, step: Step) -> None:
    world.nodes[step.node].suspended_until = world.now + step.there_s


def request(world: World, step: Step) -> None:
    """Send a request with the key of each version, which arrives some time later."""
    node, sent_at = world.nodes[step.node], world.now

    def arrive() -> None:
        rules, version = world.rules, node.version
        organisations = {f"k{version}": Organisation("north")}
        configuration = Configuration(version, {}, organisations=organisations)
        fresh = rules.is_fresh(node.confirmation, version, REVOCATION_S, world.now)
        for key_version in range(1, world.newest + 1):
            key = f"k{key_version}"
            result = authorise(configuration, ROUTE, key, "r1", fresh=fresh)
            if not isinstance(result, Organisation):
                continue
            world.served += 1
            if key_version == world.newest:
                continue
            late_s = sent_at - world.removed_at[key_version]
            if late_s > REVOCATION_S:
                world.violations.append(f"{key} served {late_s} s after its removal")

    world.later(step.there_s, node, arrive)


KINDS: dict[str, Callable[[World, Step], None]] = {
    "publish": publish,
    "read": read_log,
    "relay": ask_relay,
    "exchange": exchange,
    "suspend": suspend,
    "request": request,
}
SENT_BY_A_NODE = frozenset({"read", "relay", "exchange"})
# Most messages are fast, so that keys are served at all.
GAPS_S = [0.0, 0.1, 0.5, 1.0, 2.0, 4.4]
DELAYS_S = [0.0, 0.0, 0.1, 0.1, 0.5, 2.0, 6.0, 20.0]
STEPS = st.builds(
    Step,
    kind=st.sampled_from([*KINDS, "read", "relay", "request", "request"]),
    gap_s=st.sampled_from(GAPS_S),
    node=st.integers(0, NODES - 1),
    other=st.integers(0, NODES - 1),
    there_s=st.sampled_from(DELAYS_S),
    back_s=st.sampled_from(DELAYS_S),
    lost=st.booleans(),
)
SCHEDULES = st.lists(STEPS, min_size=8, max_size=30)


def run_schedule(steps: list[Step], rules: Rules) -> World:
    """Run a schedule, then let everything arrive that is under way."""
    world = World(rules)
    for step in steps:
        world.run_until(world.now + step.gap_s)
        suspended = world.nodes[step.node].suspended_until > world.now
        if not (suspended and step.kind in SENT_BY_A_NODE):
            KINDS[step.kind](world, step)
    world.run_until(world.now + 1_000.0)
    return world
