from __future__ import annotations

import asyncio
from dataclasses import replace
from pathlib import Path

import pytest
from testing.fleet.platform_fleet import Node
from testing.fleet.platform_fleet import PlatformFleet
from testing.fleet.platform_fleet import run_scenario
from testing.fleet.platform_fleet import wait_until
from testing.fleet.test_path import add_two_desks
from testing.fleet.test_path import READ

from _masticspoke.decisions.fleet.model import Phase
from _masticspoke.decisions.fleet.pacing import MAX_UNCONFIRMED_RUNS
from _masticspoke.fleet.knowledge.messages import ServersReceived

# The platform's rule: in a window, 1.5 times the limit, and 5 requests.
WINDOW_S = 4.0
LEAVING = {"Server-Leaving": "1"}


async def flood(
    fleet: PlatformFleet, nodes: list[Node], duration_s: float, path: str = "/read/1"
) -> list[int]:
    """Send requests through all nodes; return the statuses of the answers."""
    loop = asyncio.get_running_loop()
    end = loop.time() + duration_s
    tasks = []
    while loop.time() < end:
        tasks += [asyncio.create_task(fleet.ask(node, path)) for node in nodes]
        await asyncio.sleep(0.02)
    return [answer[0] for answer in await asyncio.gather(*tasks)]


def busiest_window(times: list[float]) -> int:
    return max((sum(t <= u < t + WINDOW_S for u in times) for t in times), default=0)


def arrivals_after(node: Node, count: int) -> list[float]:
    return node.backend.started_at[count:]


@pytest.mark.parametrize("limit", ["6.5", "0", "30"])
def test_flood_through_several_nodes_stays_within_a_named_limit(
    tmp_path: Path, limit: str
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        fleet.publish(READ)
        entry = await fleet.add("board")
        desk = await fleet.add("desk", slots=50)
        await fleet.wait_until_synchronised()
        desk.backend.notice = {"Server-Limit": limit}
        assert (await fleet.ask(entry, "/read/1"))[0] == 200
        statuses = await flood(fleet, [entry, desk], 5.0)

        allowed = 1.5 * float(limit) * WINDOW_S + 5
        assert busiest_window(desk.backend.started_at) <= allowed
        assert set(statuses) <= {200, 503}
        assert statuses.count(200) >= float(limit) * 4.0

    run_scenario(tmp_path, scenario)


def test_restarted_guard_starts_few_requests_before_the_first_answer(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        fleet.publish(READ)
        desk = await fleet.add("desk", slots=50, run_s=0.5, sequence=40)
        await fleet.wait_until_synchronised()
        desk.backend.notice = {"Server-Limit": "2"}
        await flood(fleet, [desk], 1.5)

        assert len(desk.backend.started_at) <= 1.5 * 2 * WINDOW_S + 5

    run_scenario(tmp_path, scenario)


def test_server_that_has_just_started_is_not_held_back(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        fleet.publish(READ)
        desk = await fleet.add("desk", slots=50, run_s=5.0)
        await fleet.wait_until_synchronised()
        flooding = asyncio.create_task(flood(fleet, [desk], 1.0))
        await wait_until(lambda: desk.backend.running > MAX_UNCONFIRMED_RUNS)
        await flooding

    run_scenario(tmp_path, scenario)


def test_limit_ends_with_the_answers_that_no_longer_name_it(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        fleet.publish(READ)
        desk = await fleet.add("desk", slots=50)
        await fleet.wait_until_synchronised()
        desk.backend.notice = {"Server-Limit": "5"}
        await fleet.ask(desk, "/read/1")
        await flood(fleet, [desk], 1.0)
        desk.backend.notice = {}
        await wait_until(lambda: desk.parts.guard_state.value.rate_limit is not None)
        await flood(fleet, [desk], 3.0)
        statuses = await flood(fleet, [desk], 1.0)

        assert set(statuses) == {200}

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("value", ["-3", "nan", "", "1e3", "many", "5, x"])
def test_unreadable_limit_leaves_the_one_in_force(tmp_path: Path, value: str) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        fleet.publish(READ)
        desk = await fleet.add("desk")
        await fleet.wait_until_synchronised()
        desk.backend.notice = {"Server-Limit": "50"}
        assert (await fleet.ask(desk, "/read/1"))[0] == 200
        desk.backend.notice = {"Server-Limit": value}
        assert (await fleet.ask(desk, "/read/2"))[0] == 200
        assert desk.parts.guard_state.value.rate_limit == 50.0

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_server_whose_answer_says_that_it_leaves_gets_no_further_request(
    tmp_path: Path, method: str
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        entry, first, second = await add_two_desks(fleet, run_s=0.1)
        first.backend.notice = LEAVING
        path = "/book/1" if method == "POST" else "/read/1"
        while not first.backend.arrivals:
            assert (await fleet.ask(entry, path, method))[0] == 200
        statuses = [(await fleet.ask(entry, path, method))[0] for _ in range(20)]

        assert statuses == [200] * 20
        assert len(first.backend.arrivals) == 1
        assert second.backend.arrivals

    run_scenario(tmp_path, scenario)


def test_front_remembers_a_leaving_server_whose_guard_has_forgotten_it(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        entry, first, _ = await add_two_desks(fleet, run_s=0.1)
        first.backend.notice = LEAVING
        while not first.backend.arrivals:
            assert (await fleet.ask(entry, "/read/1"))[0] == 200
        address = first.parts.settings.backend
        first.parts.registry_state.members.by_address.clear()
        first.parts.gate_state.queue.refusal_reason = None
        states = entry.parts.registry_state.members.by_address

        assert states[address].phase is Phase.LEAVING
        for _ in range(10):
            assert (await fleet.ask(entry, "/read/1"))[0] == 200
        assert len(first.backend.arrivals) == 1

    run_scenario(tmp_path, scenario)


def test_restarted_guard_hears_from_a_peer_that_its_server_is_leaving(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        fleet.publish(READ)
        desk = await fleet.add("desk")
        await fleet.wait_until_synchronised()
        server = desk.parts.guard_state.value.server
        assert server is not None
        leaving = replace(server, phase=Phase.LEAVING)
        desk.parts.registry.tell(ServersReceived((leaving,), "peer"))
        assert await desk.backend.announce(fleet.session, desk.control_plane) == 200

        assert (await fleet.ask(desk, "/read/1"))[0] == 503
        assert not desk.backend.arrivals

    run_scenario(tmp_path, scenario)


def test_new_start_of_a_server_that_left_under_the_same_id_is_used(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        fleet.publish(READ)
        desk = await fleet.add("desk")
        await fleet.wait_until_synchronised()
        desk.backend.notice = LEAVING
        assert (await fleet.ask(desk, "/read/1"))[0] == 200
        assert (await fleet.ask(desk, "/read/1"))[0] == 503
        desk.backend.notice = {}
        desk.backend.born += 5_000
        assert await desk.backend.announce(fleet.session, desk.control_plane) == 200

        assert (await fleet.ask(desk, "/read/1"))[0] == 200

    run_scenario(tmp_path, scenario)


def test_sender_learns_the_slowdown_that_a_backend_server_names(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        fleet.publish(READ)
        entry = await fleet.add("board")
        desk = await fleet.add("desk", slots=50)
        await fleet.wait_until_synchronised()
        stats = entry.parts.placer_state.placing.stats
        for percent, slowdown in (("250", 2.5), ("100", 1.0)):
            desk.backend.notice = {"X-Backend-Load": f"1,0,50,{percent}"}
            for _ in range(3):
                assert (await fleet.ask(entry, "/read/1"))[0] == 200
            assert stats[desk.parts.settings.backend].load.slowdown == slowdown

    run_scenario(tmp_path, scenario)


def test_limit_is_learned_only_from_the_first_fourth_figure_on(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        fleet.publish(READ)
        desk = await fleet.add("desk", slots=50)
        await fleet.wait_until_synchronised()
        desk.backend.notice = {"X-Backend-Load": "1,0,50"}
        for _ in range(3):
            assert (await fleet.ask(desk, "/read/1"))[0] == 200
        assert desk.parts.guard_state.value.learned_limit is None
        assert not desk.parts.placer_state.placing.weighs_speed
        desk.backend.notice = {"X-Backend-Load": "1,0,50,100"}
        for _ in range(3):
            assert (await fleet.ask(desk, "/read/1"))[0] == 200

        learned = desk.parts.guard_state.value.learned_limit
        assert learned is not None
        assert learned.value == 28
        assert desk.parts.placer_state.placing.weighs_speed
        assert desk.parts.gate_state.queue.limit in range(23, 29)

    run_scenario(tmp_path, scenario)
