from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from _masticspoke.decisions.restart import Intensity
from _masticspoke.errors import TooManyRestartsError
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.supervisor import ChildSpec
from _masticspoke.supervise.supervisor import supervisor


def child(name: str, steps: list[str], stop_s: float = 0.0) -> ChildBody:
    async def run(life: Lifecycle) -> None:
        steps.append(f"start {name}")
        life.mark_started()
        try:
            await life.stopping()
            await asyncio.sleep(stop_s)
            steps.append(f"finish {name}")
        except asyncio.CancelledError:
            steps.append(f"cancel {name}")
            raise

    return run


def crashing_child(crash_count: int, steps: list[str]) -> ChildBody:
    crashes_left = [crash_count]

    async def run(life: Lifecycle) -> None:
        life.mark_started()
        if crashes_left[0] > 0:
            crashes_left[0] -= 1
            raise RuntimeError("injected failure")
        steps.append("survived")
        await life.stopping()

    return run


async def run_until(
    body: ChildBody, condition: Callable[[], bool], life: Lifecycle
) -> None:
    task = asyncio.create_task(body(life))
    for _ in range(1000):
        if condition() or task.done():
            break
        await asyncio.sleep(0)
    life.request_stop()
    await task


def test_children_start_in_order_and_stop_in_reverse() -> None:
    steps: list[str] = []
    specs = [ChildSpec(n, child(n, steps), stop_timeout_s=5) for n in "abc"]
    body = supervisor("root", specs, clock=lambda: 0.0)
    asyncio.run(run_until(body, lambda: len(steps) == 3, Lifecycle()))
    assert steps == [
        "start a",
        "start b",
        "start c",
        "finish c",
        "finish b",
        "finish a",
    ]


def test_a_child_that_exceeds_its_stop_timeout_is_cancelled() -> None:
    steps: list[str] = []
    specs = [ChildSpec("slow", child("slow", steps, 60), stop_timeout_s=0.01)]
    body = supervisor("root", specs, clock=lambda: 0.0)
    asyncio.run(run_until(body, lambda: bool(steps), Lifecycle()))
    assert steps == ["start slow", "cancel slow"]


def test_a_crashed_child_is_restarted_and_its_siblings_are_left_alone() -> None:
    steps: list[str] = []
    specs = [
        ChildSpec("steady", child("steady", steps), stop_timeout_s=5),
        ChildSpec("shaky", crashing_child(3, steps), stop_timeout_s=5),
    ]
    body = supervisor("root", specs, lambda: 0.0, Intensity(5, 10.0))
    asyncio.run(run_until(body, lambda: "survived" in steps, Lifecycle()))
    assert steps == ["start steady", "survived", "finish steady"]


def test_too_many_crashes_propagate_up_the_tree_and_stop_it() -> None:
    steps: list[str] = []
    inner = supervisor(
        "inner",
        [ChildSpec("shaky", crashing_child(1000, steps))],
        lambda: 0.0,
        Intensity(2, 10.0),
    )
    outer = supervisor(
        "outer",
        [ChildSpec("steady", child("steady", steps), 5), ChildSpec("inner", inner)],
        lambda: 0.0,
        Intensity(1, 10.0),
    )
    with pytest.raises(TooManyRestartsError, match="inner of outer"):
        asyncio.run(run_until(outer, lambda: False, Lifecycle()))
    assert steps == ["start steady", "finish steady"]


def test_a_crash_before_the_child_has_started_counts_as_a_crash() -> None:
    async def broken(life: Lifecycle) -> None:
        raise OSError("address in use")

    body = supervisor(
        "root", [ChildSpec("broken", broken)], lambda: 0.0, Intensity(3, 10.0)
    )
    with pytest.raises(TooManyRestartsError):
        asyncio.run(run_until(body, lambda: False, Lifecycle()))
