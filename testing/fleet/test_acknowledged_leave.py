"""A leave that was acknowledged binds, whatever happens to the node."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from testing.fleet.crashing import crash
from testing.fleet.crashing import start_successor
from testing.fleet.platform_fleet import Node
from testing.fleet.platform_fleet import PlatformFleet
from testing.fleet.platform_fleet import run_scenario
from testing.fleet.platform_fleet import wait_until
from testing.fleet.test_path import BOOK
from testing.fleet.test_path import READ

from _masticspoke.border.backend_state import decode_state
from _masticspoke.decisions.fleet.model import Phase
from _masticspoke.platform.names import SERVERS_STREAM

HELD_S = 0.3


async def add_desk_and_entry(fleet: PlatformFleet) -> tuple[Node, Node]:
    fleet.publish(READ, BOOK, checked=("desk", "board"))
    desk, entry = await fleet.add("desk"), await fleet.add("board")
    await fleet.wait_until_synchronised()
    assert (await fleet.ask(entry, "/book/1", "POST"))[0] == 200
    desk.backend.arrivals.clear()
    return desk, entry


async def leave(fleet: PlatformFleet, node: Node, how: str) -> int:
    """Let a backend server leave; return the status of the answer."""
    if how == "deregister":
        return await node.backend.deregister(fleet.session, node.control_plane)
    return await node.backend.announce(fleet.session, node.control_plane, "draining")


def phase_in_log(fleet: PlatformFleet, node: Node) -> Phase:
    newest = fleet.log.stream(SERVERS_STREAM).newest
    _, value = newest[str(node.parts.settings.backend)]
    state = decode_state(value)
    assert state is not None
    return state.phase


async def send_job(fleet: PlatformFleet, node: Node) -> None:
    """Send a request to a guard, as a node that has not heard of the leave does."""
    job = '["r9","book","desk","board",1,1,0,0,500,900]'
    url = f"http://{node.parts.settings.nodes}/book/9"
    async with fleet.session.post(url, headers={"Masticspoke-Job": job}):
        pass


# DRAIN: the process that had acknowledged a leave was killed, and nobody knew of it.
@pytest.mark.parametrize("how", ["deregister", "draining"])
def test_late_heartbeat_brings_no_server_back_after_a_restart(
    tmp_path: Path, how: str
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        desk, entry = await add_desk_and_entry(fleet)
        late = desk.backend.heartbeat()
        fleet.log.faults.delay_ms = 20
        assert await leave(fleet, desk, how) == 200
        assert phase_in_log(fleet, desk) is not Phase.READY
        await fleet.restart(desk)
        await desk.backend.send(fleet.session, desk.control_plane, late)
        for number in range(10):
            await asyncio.sleep(0.1)
            await fleet.ask(entry, f"/book/{number}", "POST")
        assert desk.backend.arrivals == []

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("how", ["deregister", "draining"])
def test_leave_is_acknowledged_once_it_is_in_the_log(tmp_path: Path, how: str) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        desk, entry = await add_desk_and_entry(fleet)
        fleet.log.faults.down = True
        assert await leave(fleet, desk, how) == 503
        assert (await fleet.ask(entry, "/book/2", "POST"))[0] == 503
        assert await leave(fleet, desk, how) == 503
        fleet.log.faults.down = False
        assert await leave(fleet, desk, how) == 200
        assert phase_in_log(fleet, desk) is not Phase.READY
        assert desk.backend.arrivals == []

    run_scenario(tmp_path, scenario)


def test_leave_whose_append_was_lost_is_appended_again(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        desk, _ = await add_desk_and_entry(fleet)
        fleet.log.faults.lose_append_answers = 1
        assert await leave(fleet, desk, "deregister") == 200
        assert await leave(fleet, desk, "deregister") == 200

    run_scenario(tmp_path, scenario)


# DRAIN: the late heartbeat comes before the fresh process has read the log.
def test_fresh_node_opens_for_no_heartbeat_before_it_has_read_the_log(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        desk, _ = await add_desk_and_entry(fleet)
        late = desk.backend.heartbeat()
        assert await leave(fleet, desk, "deregister") == 200
        fleet.log.faults.delay_ms = int(HELD_S * 1000)
        await fleet.restart(desk)
        await desk.backend.send(fleet.session, desk.control_plane, late)
        for _ in range(10):
            await asyncio.sleep(HELD_S / 5)
            await send_job(fleet, desk)
        assert desk.backend.arrivals == []

    run_scenario(tmp_path, scenario)


def test_server_that_stays_is_used_again_at_once_after_a_restart(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        desk, entry = await add_desk_and_entry(fleet)
        await fleet.restart(desk)
        await desk.backend.announce(fleet.session, desk.control_plane)
        await wait_until(lambda: desk.parts.guard_state.value.server is not None, 1.0)
        await asyncio.sleep(0.4)
        assert (await fleet.ask(entry, "/book/2", "POST"))[0] == 200

    run_scenario(tmp_path, scenario)


# DRAIN: the fresh process can't read the log, so it asks the server itself.
@pytest.mark.parametrize("healthy", [True, False])
def test_fresh_node_without_the_log_asks_the_server_if_it_stays(
    tmp_path: Path, healthy: bool
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        desk, entry = await add_desk_and_entry(fleet)
        late = desk.backend.heartbeat()
        if not healthy:
            assert await leave(fleet, desk, "deregister") == 200
        desk.backend.healthy = healthy
        fleet.log.faults.down = True
        await fleet.restart(desk)
        await desk.backend.send(fleet.session, desk.control_plane, late)
        for number in range(20):
            await asyncio.sleep(0.1)
            await fleet.ask(entry, f"/book/{number}", "POST")
            await send_job(fleet, desk)
        assert bool(desk.backend.arrivals) is healthy
        assert desk.backend.health_checks <= 2

    run_scenario(tmp_path, scenario)


# DRAIN: a leave that a fresh process doesn't know the server of was acknowledged and
# forgotten.
def test_leave_that_comes_before_the_log_is_read_is_kept(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        desk, entry = await add_desk_and_entry(fleet)
        late = desk.backend.heartbeat()
        fleet.log.faults.delay_ms = int(HELD_S * 1000)
        await fleet.restart(desk)
        assert await leave(fleet, desk, "deregister") == 200
        fleet.log.faults.delay_ms = 0
        await fleet.restart(desk)
        await desk.backend.send(fleet.session, desk.control_plane, late)
        for number in range(10):
            await asyncio.sleep(0.1)
            await fleet.ask(entry, f"/book/{number}", "POST")
        assert desk.backend.arrivals == []

    run_scenario(tmp_path, scenario)


# DRAIN: the process was killed before the server's first state was in the log.
def test_leave_of_a_server_that_the_log_does_not_know_is_kept(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        desk, _ = await add_desk_and_entry(fleet)
        late = desk.backend.heartbeat()
        fleet.log.streams.pop(SERVERS_STREAM)
        await asyncio.gather(*(fleet.restart(node) for node in (desk, fleet.nodes[1])))
        await wait_until(lambda: desk.parts.registry_state.states_heard)
        assert await leave(fleet, desk, "deregister") == 200
        await fleet.restart(desk)
        await desk.backend.send(fleet.session, desk.control_plane, late)
        for _ in range(10):
            await asyncio.sleep(0.1)
            await send_job(fleet, desk)
        assert desk.backend.arrivals == []

    run_scenario(tmp_path, scenario)


# DRAIN: the heartbeat of an instance that has ended comes before the log is read.
def test_late_heartbeat_of_an_earlier_instance_opens_no_gate(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        desk, _ = await add_desk_and_entry(fleet)
        late = desk.backend.heartbeat()
        earlier = desk.backend.instance
        await crash(desk)
        await start_successor(fleet, desk)
        await wait_until(lambda: desk.parts.writer_state.unsaved == {})
        fleet.log.faults.delay_ms = int(HELD_S * 1000)
        await fleet.restart(desk)
        url = f"http://{desk.control_plane}/Instances.Heartbeat/{earlier}"
        async with fleet.session.post(url, json=late) as answer:
            assert answer.status == 200
        await wait_until(lambda: desk.parts.guard_state.value.server is not None)
        server = desk.parts.guard_state.value.server
        assert server is not None
        assert server.instance == desk.backend.instance

    run_scenario(tmp_path, scenario)
