"""A heartbeat that comes late brings no backend server back that has left."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable
from collections.abc import Callable
from pathlib import Path

import pytest
from testing.fleet.crashing import crash
from testing.fleet.platform_fleet import Node
from testing.fleet.platform_fleet import PlatformFleet
from testing.fleet.platform_fleet import run_scenario
from testing.fleet.platform_fleet import wait_until
from testing.fleet.test_acknowledged_leave import add_desk_and_entry
from testing.fleet.test_acknowledged_leave import leave
from testing.fleet.test_acknowledged_leave import phase_in_log
from testing.fleet.test_acknowledged_leave import send_job
from testing.fleet.test_path import BOOK
from testing.fleet.test_path import READ
from testing.standins.platform_backend import Arrival
from testing.standins.platform_backend import PlatformBackend

from _masticspoke.decisions.fleet.model import Phase
from _masticspoke.platform.names import SERVERS_STREAM

LogCopy = dict[str, tuple[int, list[bytes]]]
Aftermath = Callable[[PlatformFleet, Node, LogCopy], Awaitable[None]]


async def replace_unannounced(fleet: PlatformFleet, node: Node, instance: str) -> None:
    """End a node's backend server, and start another one that says nothing yet."""
    old = node.backend
    await crash(node)
    node.backend = PlatformBackend(
        old.host, old.port, old.service, instance, born=old.born + 1_000
    )
    await node.backend.start()


async def nothing(fleet: PlatformFleet, node: Node, earlier: LogCopy) -> None:
    """Let the late heartbeat be the next event."""


async def restart_node(fleet: PlatformFleet, node: Node, earlier: LogCopy) -> None:
    await fleet.restart(node)


async def restart_all(fleet: PlatformFleet, node: Node, earlier: LogCopy) -> None:
    await asyncio.gather(*(fleet.restart(n) for n in fleet.nodes))


async def restore_log(fleet: PlatformFleet, node: Node, earlier: LogCopy) -> None:
    fleet.log.restore(earlier)


async def restore_log_and_restart(
    fleet: PlatformFleet, node: Node, earlier: LogCopy
) -> None:
    fleet.log.restore(earlier)
    await fleet.restart(node)


async def arrivals_after(
    fleet: PlatformFleet, desk: Node, entry: Node, late: dict[str, object]
) -> list[Arrival]:
    """Return the requests that run once a late heartbeat has arrived."""
    assert await desk.backend.send(fleet.session, desk.control_plane, late) == 200
    for number in range(8):
        await asyncio.sleep(0.1)
        await fleet.ask(entry, f"/book/{number}", "POST")
        await send_job(fleet, desk)
    return desk.backend.arrivals


def known_phases(fleet: PlatformFleet, node: Node) -> set[Phase]:
    address = node.parts.settings.backend
    return {
        n.parts.registry_state.members.by_address[address].phase for n in fleet.nodes
    }


# DRAIN: the leave of a server whose first heartbeat was late was acknowledged and
# recorded nowhere, and the late heartbeat brought the server back.
@pytest.mark.parametrize(
    ("predecessor", "how", "aftermath"),
    [
        ("left", "deregister", nothing),
        ("crashed", "deregister", nothing),
        ("same-id", "deregister", nothing),
        ("left", "draining", nothing),
        ("same-id", "draining", nothing),
        ("left", "deregister", restart_node),
        ("same-id", "deregister", restart_node),
        ("left", "deregister", restart_all),
        ("left", "deregister", restore_log),
        ("left", "deregister", restore_log_and_restart),
    ],
)
def test_server_that_left_before_its_first_heartbeat_stays_out(
    tmp_path: Path, predecessor: str, how: str, aftermath: Aftermath
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        desk, entry = await add_desk_and_entry(fleet)
        if predecessor == "left":
            assert await leave(fleet, desk, "draining") == 200
            assert await leave(fleet, desk, "deregister") == 200
        instance = desk.backend.instance
        name = instance if predecessor == "same-id" else f"{instance}_2"
        await replace_unannounced(fleet, desk, name)
        late = desk.backend.heartbeat()
        earlier = fleet.log.copy()
        assert await leave(fleet, desk, how) == 200
        assert phase_in_log(fleet, desk) is not Phase.READY
        await aftermath(fleet, desk, earlier)
        assert await arrivals_after(fleet, desk, entry, late) == []
        assert Phase.READY not in known_phases(fleet, desk)

    run_scenario(tmp_path, scenario)


# DRAIN: an append that had got no answer was executed after the acknowledged leave, and
# nodes that started later read from the log that the server was ready.
def test_late_append_undoes_no_leave_in_the_log(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        desk, entry = await add_desk_and_entry(fleet)
        await replace_unannounced(fleet, desk, f"{desk.backend.instance}_2")
        late = desk.backend.heartbeat()
        fleet.log.faults.late_appends, fleet.log.faults.late_ms = 1, 600
        assert await desk.backend.send(fleet.session, desk.control_plane, late) == 200
        await wait_until(lambda: fleet.log.appends_total >= 4)
        assert await leave(fleet, desk, "deregister") == 200
        await asyncio.sleep(0.7)
        assert phase_in_log(fleet, desk) is Phase.GONE
        await restart_all(fleet, desk, {})
        assert await arrivals_after(fleet, desk, entry, late) == []

    run_scenario(tmp_path, scenario)


# A node whose clock had been set back would have appended nothing any more.
def test_node_whose_clock_was_set_back_appends_after_some_refusals(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        desk, _ = await add_desk_and_entry(fleet)
        later_ms = int(time.time() * 1000) + 3_600_000
        producers = fleet.log.stream(SERVERS_STREAM).producers
        producers[str(desk.parts.settings.backend)] = (later_ms, 0)
        await leave(fleet, desk, "deregister")
        await wait_until(lambda: phase_in_log(fleet, desk) is Phase.GONE, 15.0)

    run_scenario(tmp_path, scenario)


# The leave of an earlier start, arriving late, took out the server that runs now.
@pytest.mark.parametrize("same_id", [True, False])
def test_late_leave_of_an_earlier_start_takes_no_server_out(
    tmp_path: Path, same_id: bool
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        desk, entry = await add_desk_and_entry(fleet)
        old = desk.backend
        name = old.instance if same_id else f"{old.instance}_2"
        await replace_unannounced(fleet, desk, name)
        assert await desk.backend.announce(fleet.session, desk.control_plane) == 200
        assert await old.deregister(fleet.session, desk.control_plane) == 200
        await asyncio.sleep(0.1)
        assert (await fleet.ask(entry, "/book/2", "POST"))[0] == 200
        assert known_phases(fleet, desk) == {Phase.READY}

    run_scenario(tmp_path, scenario)


# DRAIN: a leave that can't be told from that of another incarnation was acknowledged.
def test_leave_of_an_unknown_server_without_its_start_is_not_acknowledged(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        desk, entry = await add_desk_and_entry(fleet)
        url = f"http://{desk.control_plane}/Instances.Deregister/i-unknown"
        async with fleet.session.post(url, json={"sequence": 2}) as answer:
            assert answer.status == 503
        assert (await fleet.ask(entry, "/book/2", "POST"))[0] == 200

    run_scenario(tmp_path, scenario)


# Such a node would refuse all requests until the log came back.
def test_fresh_node_without_log_and_health_check_opens_for_a_heartbeat(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        fleet.publish(READ, BOOK)
        desk, _ = await fleet.add("desk"), await fleet.add("board")
        await fleet.wait_until_synchronised()
        fleet.log.faults.down = True
        await fleet.restart(desk)
        await desk.backend.announce(fleet.session, desk.control_plane)
        for _ in range(20):
            await asyncio.sleep(0.1)
            await send_job(fleet, desk)
        assert desk.backend.arrivals

    run_scenario(tmp_path, scenario)
