"""A few nodes whose log is restored from an older copy."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest
from testing.fleet.platform_fleet import Node
from testing.fleet.platform_fleet import PlatformFleet
from testing.fleet.platform_fleet import run_scenario
from testing.fleet.platform_fleet import wait_until
from testing.fleet.test_path import READ

from _masticspoke.border.backend_state import decode_state
from _masticspoke.border.crash_report import report_key
from _masticspoke.decisions.fleet.model import Phase
from _masticspoke.decisions.fleet.suspects import Incarnation
from _masticspoke.fleet.knowledge.crash_messages import BackendCrashed
from _masticspoke.platform.log import keyed_record

STREAM = "keyed.masticspoke-servers"


def keys(fleet: PlatformFleet) -> set[str]:
    return set(fleet.log.stream(STREAM).newest)


def own_keys(node: Node) -> set[str]:
    address = node.parts.settings.backend
    return {str(address), report_key(address)}


def crash(node: Node) -> None:
    incarnation = Incarnation(node.parts.settings.backend, "i-1", 1)
    node.parts.registry.tell(BackendCrashed(incarnation, 13, time.time()))


async def start(fleet: PlatformFleet, nodes: int = 3) -> None:
    fleet.publish(READ)
    for _ in range(nodes):
        await fleet.add("desk")
    await fleet.wait_until_synchronised()


def expected(fleet: PlatformFleet) -> set[str]:
    return set().union(*(own_keys(node) for node in fleet.nodes))


# The log lost states, leaves and crash reports that it had acknowledged, for good.
def test_what_the_nodes_had_in_the_log_is_written_again(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        copy = fleet.log.copy()
        await start(fleet)
        for node in fleet.nodes:
            crash(node)
        await wait_until(lambda: keys(fleet) == expected(fleet))
        for _ in range(2):
            appends = fleet.log.appends_total
            fleet.log.restore(copy)
            await wait_until(lambda: keys(fleet) == expected(fleet))
            assert fleet.log.appends_total - appends <= 2 * len(fleet.nodes)
        versions = [n.parts.configuration.value for n in fleet.nodes]
        assert all(v is not None and v.version == fleet.version for v in versions)

    run_scenario(tmp_path, scenario)


# Followers stayed at an offset beyond the end, and later skipped records.
@pytest.mark.parametrize("era", [None, "", "odd", "-1", "9" * 30])
def test_later_records_reach_all_nodes(tmp_path: Path, era: str | None) -> None:
    """Also if the log tells no era: its end, or a 410, shows the restore."""

    async def scenario(fleet: PlatformFleet) -> None:
        fleet.log.faults.odd_era = era
        copy = fleet.log.copy()
        await start(fleet)
        for number in range(30):
            record = keyed_record(f"odd {number}", b"")
            fleet.log.add(fleet.log.stream("keyed.op"), [record])
        await asyncio.sleep(0.1)
        fleet.log.restore(copy)
        fleet.publish(READ)

        def in_force() -> bool:
            values = [node.parts.configuration.value for node in fleet.nodes]
            return all(v is not None and v.version == fleet.version for v in values)

        await wait_until(in_force, 2.5)

    run_scenario(tmp_path, scenario)


# A server that had been told that its leave is recorded was called again.
def test_acknowledged_leave_stays_binding(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        await start(fleet)
        leaving = fleet.nodes[0]
        copy = fleet.log.copy()
        status = await leaving.backend.announce(
            fleet.session, leaving.control_plane, "draining"
        )
        assert status == 200
        fleet.log.restore(copy)
        fresh = await fleet.add("desk")
        address = leaving.parts.settings.backend

        def known_as_leaving(node: Node) -> bool:
            known = node.parts.registry_state.members.by_address.get(address)
            return known is not None and known.phase is Phase.LEAVING

        await wait_until(lambda: all(map(known_as_leaving, fleet.nodes)))
        assert known_as_leaving(fresh)
        newest = fleet.log.stream(STREAM).newest

        def is_recorded() -> bool:
            state = decode_state(newest[str(address)][1])
            return state is not None and state.phase is Phase.LEAVING

        await wait_until(is_recorded)

    run_scenario(tmp_path, scenario)


def test_node_that_was_cut_off_writes_again_once_it_reaches_the_log(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        copy = fleet.log.copy()
        await start(fleet)
        cut = fleet.nodes[0]
        fleet.log.faults.unanswered = [cut.parts.settings.nodes.host]
        await asyncio.sleep(0.1)
        fleet.log.restore(copy)
        fleet.log.restore(copy)
        # Peers tell it the era, as it asks them often while it can't read the log.
        await wait_until(lambda: cut.parts.eras.newest == 3)
        fleet.log.faults.unanswered = []
        addresses = {str(node.parts.settings.backend) for node in fleet.nodes}
        await wait_until(lambda: keys(fleet) == addresses, 10.0)

    run_scenario(tmp_path, scenario)


# A node that started just after a restore served with the version of the copy, and ran
# requests at a server whose leave had been acknowledged.
def test_fresh_process_asks_peers_before_it_relies_on_the_log(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        await start(fleet)
        leaving = fleet.nodes[-1]
        copy = fleet.log.copy()
        fleet.publish(READ)
        await fleet.wait_until_synchronised()
        status = await leaving.backend.announce(
            fleet.session, leaving.control_plane, "draining"
        )
        assert status == 200
        address = leaving.parts.settings.backend
        await wait_until(
            lambda: all(
                node.parts.registry_state.members.by_address[address].phase
                is Phase.LEAVING
                for node in fleet.nodes
            )
        )
        # The nodes that go on can't write again yet.
        fleet.log.faults.turned_away = [
            node.parts.settings.nodes.host for node in fleet.nodes[:-1]
        ]
        await asyncio.sleep(0.1)
        fleet.log.restore(copy)
        await fleet.restart(leaving)
        versions: set[int] = set()
        accepting: set[bool] = set()

        def in_force() -> bool:
            configuration = leaving.parts.configuration.value
            if configuration is not None:
                versions.add(configuration.version)
            local_server = leaving.parts.guard_state.value.server
            if local_server is not None:
                accepting.add(local_server.phase is Phase.READY)
            return bool(versions)

        await wait_until(in_force)
        await asyncio.sleep(0.5)
        in_force()
        assert versions == {fleet.version}
        assert True not in accepting

    run_scenario(tmp_path, scenario)
