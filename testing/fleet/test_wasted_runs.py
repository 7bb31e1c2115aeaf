"""Runs that fail with their nested requests, from the head's node to its gate."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from testing.fleet.platform_fleet import Node
from testing.fleet.platform_fleet import PlatformFleet
from testing.fleet.platform_fleet import run_scenario
from testing.fleet.platform_fleet import wait_until
from testing.fleet.test_path import arrivals
from testing.fleet.test_path import READ

from _masticspoke.decisions.fleet.learned_limit import LearningMode
from _masticspoke.supervise.clocks import boot_clock

SEE = ["see", "shop.example", "/see/", "idempotent", 900, 800, 1, None, 2, "board"]


async def add_chain(
    fleet: PlatformFleet, run_s: float, mode: LearningMode = LearningMode.ON
) -> tuple[Node, Node]:
    """Return the nodes of the head, whose runs take a time, and of the called one."""
    fleet.publish(READ, SEE)
    fleet.learned_limit = mode
    head = await fleet.add("board", run_s=run_s)
    called = await fleet.add("desk")
    await fleet.wait_until_synchronised()
    return head, called


async def run_with_nested_call(
    fleet: PlatformFleet, head: Node, pressure_s: float, timeout_ms: int = 2000
) -> tuple[int, int]:
    """Return the status of a request, and of the nested request of its run."""
    first = len(arrivals(head))
    asking = asyncio.create_task(fleet.ask(head, "/see/1", timeout_ms=timeout_ms))
    await wait_until(lambda: len(arrivals(head)) > first)
    nested_id = f"{arrivals(head)[-1]}.1"
    status, _, _ = await fleet.ask(head, "/read/1", **{"X-Attempt-Id": nested_id})
    outcomes = head.parts.gate_state.outcomes
    outcomes.pressure_s = pressure_s
    outcomes.reported_at = boot_clock()
    return (await asking)[0], status


# Guards against a head that begins runs for which a called service has no room.
def test_runs_whose_nested_calls_were_refused_limit_their_route(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        head, called = await add_chain(fleet, run_s=0.2)
        called.backend.faults = ["shed"] * 9
        head.backend.faults = ["failing"] * 2
        for _ in range(2):
            status, nested = await run_with_nested_call(fleet, head, 0.05)
            assert status == 500
            assert nested >= 502
        await wait_until(lambda: not head.parts.gate_state.outcomes.admitted)

        route = head.parts.gate_state.outcomes.routes["see"]
        assert route.wasted_total == 2
        assert route.limit is not None
        assert not head.parts.parents.with_lost_call
        url = f"http://{head.parts.settings.metrics}/metrics"
        async with fleet.session.get(url) as answer:
            lines = (await answer.text()).splitlines()
        assert 'masticspoke_fleet_wasted_runs_total{route="see"} 2' in lines
        assert any(line.startswith("masticspoke_fleet_route_limit{") for line in lines)

    run_scenario(tmp_path, scenario)


def test_run_that_expires_after_a_nested_call_counts_as_wasted(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        head, _ = await add_chain(fleet, run_s=3.0)
        status, nested = await run_with_nested_call(fleet, head, 0.05, timeout_ms=400)
        assert (status, nested) == (504, 200)
        await wait_until(lambda: not head.parts.gate_state.outcomes.admitted)

        assert head.parts.gate_state.outcomes.routes["see"].wasted_total == 1

    run_scenario(tmp_path, scenario)


# Guards against a limit because of failures that have another cause than load.
@pytest.mark.parametrize(("fault", "pressure_s"), [("failing", 0.05), ("shed", 0.0)])
def test_run_that_fails_without_overload_sets_no_limit(
    tmp_path: Path, fault: str, pressure_s: float
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        head, called = await add_chain(fleet, run_s=0.2)
        called.backend.faults = [fault] * 9
        head.backend.faults = ["failing"] * 2
        for _ in range(2):
            status, nested = await run_with_nested_call(fleet, head, pressure_s)
            assert status == 500
            assert nested >= 500
        await wait_until(lambda: not head.parts.gate_state.outcomes.admitted)

        assert head.parts.gate_state.outcomes.routes["see"].limit is None

    run_scenario(tmp_path, scenario)


def test_route_has_no_limit_where_no_setting_calls_for_it(tmp_path: Path) -> None:
    """Deployments without organisations and slowdowns are served as before."""

    async def scenario(fleet: PlatformFleet) -> None:
        head, called = await add_chain(fleet, run_s=0.2, mode=LearningMode.AUTO)
        called.backend.faults = ["shed"] * 9
        head.backend.faults = ["failing"] * 2
        for _ in range(2):
            await run_with_nested_call(fleet, head, 0.05)

        assert not head.parts.gate_state.outcomes.routes

    run_scenario(tmp_path, scenario)
