from __future__ import annotations

from _masticspoke.decisions.fleet.body_memory import body_limit_bytes
from _masticspoke.decisions.fleet.body_memory import BodyMemory
from _masticspoke.decisions.fleet.body_memory import hold
from _masticspoke.decisions.fleet.body_memory import release

MIB = 2**20


# MEMORY: uploads beyond the memory of a node ended its process.
def test_bodies_never_hold_more_than_the_limit() -> None:
    memory = BodyMemory(10_000)
    accepted = sum(hold(memory, 360) for _ in range(100))
    assert accepted == 27
    assert memory.held_bytes <= 10_000
    release(memory, 360)
    assert hold(memory, 360)


def test_body_longer_than_the_limit_is_taken_when_it_is_alone() -> None:
    memory = BodyMemory(10_000)
    assert hold(memory, 20_000)
    assert not hold(memory, 1)
    release(memory, 20_000)
    assert hold(memory, 1)


def test_node_without_a_memory_limit_refuses_no_body() -> None:
    memory = BodyMemory()
    assert all(hold(memory, 2**30) for _ in range(1_000))


def test_copies_of_the_bodies_fit_into_the_limit_of_the_process() -> None:
    assert body_limit_bytes(256 * MIB) == 48 * MIB
    assert body_limit_bytes(64 * MIB) == 4 * MIB
