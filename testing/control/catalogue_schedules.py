"""Random schedules of operators, nodes and the log, over the real decisions.

``python -m testing.control.catalogue_schedules SECONDS`` runs fresh seeds. Events are
atomic; the log may be down, keep few records, and lose the answers to appends.
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
RETAINED = 6
STEPS = 60
NODES = 3


@dataclass(frozen=True)
class Rules:
    """The decisions under test; a planted fault replaces one of them."""

    reduce: Callable[[CatalogueState, Change, int], CatalogueState] = reduce_change
    start: Callable[[CatalogueReplay, int], CatalogueReplay] = start_at
    adopt: Callable[[CatalogueState, CatalogueState], CatalogueState] = newer_state
    change_outcome: Callable[[History, Change, int], ChangeOutcome] = change_outcome
    ready_at_once: bool = False


@dataclass
class Node:
    replay: CatalogueReplay = field(default_factory=new_catalogue_replay)
    known: CatalogueState = field(default_factory=CatalogueState)
    ready: bool = False
    acted_on: int = 0


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
    up: bool = True
    nodes: list[Node] = field(default_factory=lambda: [Node() for _ in range(NODES)])
    pending: list[Pending] = field(default_factory=list)
    told: list[tuple[str, ChangeOutcome]] = field(default_factory=list)
    ids: dict[int, str] = field(default_factory=dict)
    changes: int = 0
    faults: list[str] = field(default_factory=list)


def reference(world: World) -> CatalogueState:
    state = CatalogueState()
    for offset, value in enumerate(world.log):
        if isinstance(value, Change):
            state = reduce_change(state, value, offset)
    return state


def read_node(world: World, node: Node) -> None:
    if not world.up:
        return
    replay = world.rules.start(node.replay, world.oldest)
    end = min(len(world.log), replay.read_through + 1 + world.random.randint(0, 4))
    for offset in range(replay.read_through + 1, end):
        replay = advance(replay, world.log[offset], offset, world.rules.reduce)
    node.replay = replay
    if replay.complete:
        node.known = newer_state(node.known, replay.state)
    if replay.read_through + 1 == len(world.log):
        node.ready = True
    act(world, node)


def gossip(world: World, node: Node) -> None:
    if world.up or node.ready:
        other = world.random.choice(world.nodes)
        node.known = world.rules.adopt(node.known, other.known)
    else:
        start_from_peers(world, node)
    act(world, node)


def start_from_peers(world: World, node: Node) -> None:
    """Without the log a node starts on the highest version that any peer knows.

    It may be lower than what its predecessor at this address acted on, if that one
    alone had read a newer version: the promise covers one process.
    """
    for other in world.nodes:
        node.known = world.rules.adopt(node.known, other.known)
    node.ready = True
    node.acted_on = min(node.acted_on, node.known.catalogue.version)


def act(world: World, node: Node) -> None:
    version = node.known.catalogue.version
    if version == 0 or not (node.ready or world.rules.ready_at_once):
        return
    if version < node.acted_on:
        world.faults.append(f"acted on {version} after {node.acted_on}")
    node.acted_on = version
    first = world.ids.setdefault(version, node.known.change_id)
    if first != node.known.change_id:
        world.faults.append(f"two changes made version {version}")


def restart(world: World, node: Node) -> None:
    fresh = Node(acted_on=node.acted_on)
    world.nodes = [fresh if other is node else other for other in world.nodes]


def snapshot(world: World, node: Node) -> None:
    if world.up and node.replay.complete and node.replay.read_through >= 0:
        append(world, Snapshot(node.replay.read_through, node.replay.state))


def append(world: World, value: Value) -> None:
    world.log.append(value)


def trim(world: World, node: Node) -> None:
    """Drop old records, but never all that covers them: snapshots come in time."""
    oldest = max(world.oldest, len(world.log) - RETAINED)
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
    if not world.up:
        return
    history = read_history(world)
    version = history.state.catalogue.version
    world.changes += 1
    seen = max(0, version - world.random.choice([0, 0, 0, 1]))
    change = Change(f"id-{world.changes}", seen, Catalogue())
    world.pending.append(Pending(change, history.replay.read_through))


def append_pending(world: World, node: Node) -> None:
    """An append, or its repetition after a lost answer."""
    if world.up and world.pending:
        append(world, world.random.choice(world.pending).change)


def settle_pending(world: World, node: Node) -> None:
    if not (world.up and world.pending):
        return
    found = world.random.choice(world.pending)
    outcome = world.rules.change_outcome(
        read_history(world), found.change, found.read_through
    )
    if outcome is not ChangeOutcome.UNDECIDED:
        world.pending.remove(found)
        world.told.append((found.change.change_id, outcome))


def turn(world: World, node: Node) -> None:
    world.up = not world.up


EVENTS: list[Callable[[World, Node], None]] = [
    *[read_node] * 4,
    *[gossip] * 3,
    *[append_pending] * 3,
    *[settle_pending] * 2,
    *[snapshot] * 2,
    propose,
    propose,
    restart,
    trim,
    turn,
]


def run_schedule(seed: int, rules: Rules) -> list[str]:
    """Return the promises that one schedule broke."""
    world = World(Random(seed), rules)
    for _ in range(STEPS):
        world.random.choice(EVENTS)(world, world.random.choice(world.nodes))
    quiesce(world)
    return world.faults


def quiesce(world: World) -> None:
    """Let everybody read to the end; then compare with the whole log."""
    world.up = True
    for node in world.nodes:
        while node.replay.read_through + 1 < len(world.log):
            read_node(world, node)
    for node in world.nodes:
        for other in world.nodes:
            node.known = world.rules.adopt(node.known, other.known)
        act(world, node)
    right = reference(world)
    world.faults += [
        f"node ends with {node.known.change_id}, the log with {right.change_id}"
        for node in world.nodes
        if node.known.catalogue.version != right.catalogue.version
        or node.known.change_id != right.change_id
    ]
    world.faults += wrong_answers(world)


def wrong_answers(world: World) -> list[str]:
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
        for change_id, outcome in world.told
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
    """Takes a change that is not there yet for one that failed."""
    found = change_outcome(history, change, read_through)
    return ChangeOutcome.REJECTED if found is ChangeOutcome.UNDECIDED else found


PLANTED: dict[str, Rules] = {
    "last writer wins": Rules(reduce=last_writer_wins),
    "gap unnoticed": Rules(start=gap_unnoticed),
    "any catalogue of a peer": Rules(adopt=adopt_any),
    "failed when absent": Rules(change_outcome=failed_when_absent),
    "ready at once": Rules(ready_at_once=True),
}


def main() -> None:
    ends = time.monotonic() + float(sys.argv[1])
    seed = first = time.time_ns()
    while time.monotonic() < ends:
        faults = run_schedule(seed, Rules())
        if faults:
            raise SystemExit(f"seed {seed}: {faults}")
        seed += 1
    print(f"catalogue: {seed - first} schedules from seed {first}, no promise broken")  # noqa: T201


if __name__ == "__main__":
    main()
