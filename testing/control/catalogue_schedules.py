"""Check the catalogue decisions against random schedules of operators, nodes and log.

``python -m testing.control.catalogue_schedules SECONDS`` runs new seeds. Events are
atomic. The log may be unavailable, retain few records, and lose answers to appends.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from random import Random

from _masticspoke.decisions.catalogue import CatalogueState
from _masticspoke.decisions.catalogue import Change
from _masticspoke.decisions.catalogue import newer_state
from _masticspoke.decisions.catalogue import reduce_change
from _masticspoke.decisions.history import change_outcome
from _masticspoke.decisions.history import ChangeOutcome
from _masticspoke.decisions.history import extend_history
from _masticspoke.decisions.history import History
from _masticspoke.decisions.replay import advance
from _masticspoke.decisions.replay import Replay
from _masticspoke.decisions.replay import Snapshot
from _masticspoke.decisions.replay import start_at
from _masticspoke.decisions.streams import CatalogueReplay
from _masticspoke.decisions.streams import new_catalogue_replay
from _masticspoke.model import Catalogue

Value = Change | Snapshot[CatalogueState]
RETAINED_RECORDS = 6
STEPS_PER_SCHEDULE = 60
NODE_COUNT = 3


@dataclass(frozen=True)
class Rules:
    """The decisions under test; each injected fault replaces one of them."""

    reduce: Callable[[CatalogueState, Change, int], CatalogueState] = reduce_change
    start: Callable[[CatalogueReplay, int], CatalogueReplay] = start_at
    adopt: Callable[[CatalogueState, CatalogueState], CatalogueState] = newer_state
    change_outcome: Callable[[History, Change, int], ChangeOutcome] = change_outcome
    ready_at_once: bool = False


@dataclass
class Node:
    replay: CatalogueReplay = field(default_factory=new_catalogue_replay)
    catalogue: CatalogueState = field(default_factory=CatalogueState)
    ready: bool = False
    acted_on_version: int = 0


@dataclass
class Pending:
    change: Change
    read_through: int


@dataclass
class World:
    random: Random
    rules: Rules
    log: list[Value] = field(default_factory=list)
    oldest: int = 0
    log_up: bool = True
    nodes: list[Node] = field(
        default_factory=lambda: [Node() for _ in range(NODE_COUNT)]
    )
    pending: list[Pending] = field(default_factory=list)
    reported: list[tuple[str, ChangeOutcome]] = field(default_factory=list)
    change_id_by_version: dict[int, str] = field(default_factory=dict)
    change_count: int = 0
    violations: list[str] = field(default_factory=list)


def expected_state(world: World) -> CatalogueState:
    state = CatalogueState()
    for offset, value in enumerate(world.log):
        if isinstance(value, Change):
            state = reduce_change(state, value, offset)
    return state


def read_node(world: World, node: Node) -> None:
    if not world.log_up:
        return
    replay = world.rules.start(node.replay, world.oldest)
    end = min(len(world.log), replay.read_through + 1 + world.random.randint(0, 4))
    for offset in range(replay.read_through + 1, end):
        replay = advance(replay, world.log[offset], offset, world.rules.reduce)
    node.replay = replay
    if replay.complete:
        node.catalogue = newer_state(node.catalogue, replay.state)
    if replay.read_through + 1 == len(world.log):
        node.ready = True
    act(world, node)


def gossip(world: World, node: Node) -> None:
    if world.log_up or node.ready:
        other = world.random.choice(world.nodes)
        node.catalogue = world.rules.adopt(node.catalogue, other.catalogue)
    else:
        start_from_peers(world, node)
    act(world, node)


def start_from_peers(world: World, node: Node) -> None:
    """Start a node without the log, on the highest version of its peers.

    That version may be lower than the one that the earlier process at this address
    acted on, if no other node has read the newer one: the guarantee covers one process.
    """
    for other in world.nodes:
        node.catalogue = world.rules.adopt(node.catalogue, other.catalogue)
    node.ready = True
    node.acted_on_version = min(node.acted_on_version, node.catalogue.catalogue.version)


def act(world: World, node: Node) -> None:
    version = node.catalogue.catalogue.version
    if version == 0 or not (node.ready or world.rules.ready_at_once):
        return
    if version < node.acted_on_version:
        world.violations.append(f"acted on {version} after {node.acted_on_version}")
    node.acted_on_version = version
    first_id = world.change_id_by_version.setdefault(version, node.catalogue.change_id)
    if first_id != node.catalogue.change_id:
        world.violations.append(f"two changes made version {version}")


def restart(world: World, node: Node) -> None:
    restarted = Node(acted_on_version=node.acted_on_version)
    world.nodes = [restarted if other is node else other for other in world.nodes]


def snapshot(world: World, node: Node) -> None:
    if world.log_up and node.replay.complete and node.replay.read_through >= 0:
        append(world, Snapshot(node.replay.read_through, node.replay.state))


def append(world: World, value: Value) -> None:
    world.log.append(value)


def trim(world: World, node: Node) -> None:
    """Drop old records if a retained snapshot includes all of them.

    Nodes are assumed to append snapshots before the log drops the records in them.
    """
    oldest = max(world.oldest, len(world.log) - RETAINED_RECORDS)
    covered = [
        offset
        for offset, value in enumerate(world.log)
        if isinstance(value, Snapshot) and offset >= oldest
        if value.offset >= oldest - 1
    ]
    if covered:
        world.oldest = oldest


def read_history(world: World) -> History:
    history = extend_history(History(), world.oldest, ())
    numbered = list(enumerate(world.log))[world.oldest :]
    return extend_history(history, world.oldest, numbered)


def propose(world: World, node: Node) -> None:
    if not world.log_up:
        return
    history = read_history(world)
    version = history.state.catalogue.version
    world.change_count += 1
    made_from = max(0, version - world.random.choice([0, 0, 0, 1]))
    change = Change(f"id-{world.change_count}", made_from, Catalogue())
    world.pending.append(Pending(change, history.replay.read_through))


def append_pending(world: World, node: Node) -> None:
    """Append a pending change, or repeat its append after a lost answer."""
    if world.log_up and world.pending:
        append(world, world.random.choice(world.pending).change)


def report_outcome(world: World, node: Node) -> None:
    if not (world.log_up and world.pending):
        return
    proposed = world.random.choice(world.pending)
    outcome = world.rules.change_outcome(
        read_history(world), proposed.change, proposed.read_through
    )
    if outcome is not ChangeOutcome.UNDECIDED:
        world.pending.remove(proposed)
        world.reported.append((proposed.change.change_id, outcome))


def toggle_log(world: World, node: Node) -> None:
    world.log_up = not world.log_up


EVENTS: list[Callable[[World, Node], None]] = [
    *[read_node] * 4,
    *[gossip] * 3,
    *[append_pending] * 3,
    *[report_outcome] * 2,
    *[snapshot] * 2,
    propose,
    propose,
    restart,
    trim,
    toggle_log,
]


def run_schedule(seed: int, rules: Rules) -> list[str]:
    """Return the violations of guarantees in one schedule."""
    world = World(Random(seed), rules)
    for _ in range(STEPS_PER_SCHEDULE):
        world.random.choice(EVENTS)(world, world.random.choice(world.nodes))
    quiesce(world)
    return world.violations


def quiesce(world: World) -> None:
    """Let all nodes read to the end, then compare them with the whole log."""
    world.log_up = True
    for node in world.nodes:
        while node.replay.read_through + 1 < len(world.log):
            read_node(world, node)
    for node in world.nodes:
        for other in world.nodes:
            node.catalogue = world.rules.adopt(node.catalogue, other.catalogue)
        act(world, node)
    expected = expected_state(world)
    world.violations += [
        f"node ends with {node.catalogue.change_id}, the log with {expected.change_id}"
        for node in world.nodes
        if node.catalogue.catalogue.version != expected.catalogue.version
        or node.catalogue.change_id != expected.change_id
    ]
    world.violations += wrong_outcomes(world)


def wrong_outcomes(world: World) -> list[str]:
    state = CatalogueState()
    accepted = set()
    for offset, value in enumerate(world.log):
        before = state
        if isinstance(value, Change):
            state = reduce_change(state, value, offset)
        if state is not before:
            accepted.add(state.change_id)
    return [
        f"operator was told that {change_id} is {outcome.value}"
        for change_id, outcome in world.reported
        if (change_id in accepted) != (outcome is ChangeOutcome.ACCEPTED)
    ]


def last_writer_wins(
    state: CatalogueState, change: Change, offset: int
) -> CatalogueState:
    return reduce_change(
        state, replace(change, made_from=state.catalogue.version), offset
    )


def gap_unnoticed(replay: CatalogueReplay, offset: int) -> CatalogueReplay:
    if offset <= replay.read_through + 1:
        return replay
    return Replay(replay.state, offset - 1)


def adopt_any(own: CatalogueState, other: CatalogueState) -> CatalogueState:
    return other if other.catalogue.version > 0 else own


def failed_when_absent(
    history: History, change: Change, read_through: int
) -> ChangeOutcome:
    """Report a change that is not in the log yet as rejected."""
    outcome = change_outcome(history, change, read_through)
    return ChangeOutcome.REJECTED if outcome is ChangeOutcome.UNDECIDED else outcome


INJECTED_FAULTS: dict[str, Rules] = {
    "last writer wins": Rules(reduce=last_writer_wins),
    "gap unnoticed": Rules(start=gap_unnoticed),
    "any catalogue of a peer": Rules(adopt=adopt_any),
    "failed when absent": Rules(change_outcome=failed_when_absent),
    "ready at once": Rules(ready_at_once=True),
}


def main() -> None:
    ends_at = time.monotonic() + float(sys.argv[1])
    seed = first_seed = time.time_ns()
    while time.monotonic() < ends_at:
        violations = run_schedule(seed, Rules())
        if violations:
            raise SystemExit(f"seed {seed}: {violations}")
        seed += 1
    print(  # noqa: T201
        f"catalogue: {seed - first_seed} schedules from seed {first_seed}, no violation"
    )


if __name__ == "__main__":
    main()
