"""A request that crashes the backend servers that run it."""

from __future__ import annotations

import asyncio
from pathlib import Path

from testing.fleet.crashing import CRASH_PATH
from testing.fleet.crashing import CrashingServers
from testing.fleet.platform_fleet import PlatformFleet
from testing.fleet.platform_fleet import run_scenario
from testing.fleet.platform_fleet import wait_until
from testing.fleet.test_path import BOOK
from testing.fleet.test_path import READ

# The platform allows this many crashes before a request counts as one that crashes
# servers, and this many of its retries after that.
CRASHES = 3
RETRIES = 3
# Only retries later than this after the crash count, seconds.
SETTLE_S = 3.0


# BUDGET: a request that crashes servers was passed on for as long as clients sent it.
def test_request_that_crashes_servers_reaches_none_after_the_third(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        fleet.publish(READ, BOOK)
        entries = [await fleet.add("board") for _ in range(2)]
        desks = [await fleet.add("desk", run_s=0.05) for _ in range(3)]
        await fleet.wait_until_synchronised()
        servers = CrashingServers(fleet)
        with servers.watch(*desks):
            for number in range(14):
                await fleet.ask(entries[number % 2], CRASH_PATH)
                await asyncio.sleep(0.4)
            since = servers.crashed_at[CRASHES - 1] + SETTLE_S
            late = {run for run, at in servers.runs if at > since}
            assert len(late) <= RETRIES

            status, _, answer = await fleet.ask(entries[0], CRASH_PATH)
            assert status == 503
            assert answer.headers["Masticspoke-Reason"] == "quarantined"
            assert float(answer.headers["Retry-After"]) > 60
            assert (await fleet.ask(entries[0], "/read/1"))[0] == 200
            assert (await fleet.ask(entries[1], "/book/1", "POST", body=b"x"))[0] == 200

    run_scenario(tmp_path, scenario)


# BUDGET: many machines send the request at once, before any of them knows of a crash.
def test_crashes_at_the_same_moment_all_count(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        fleet.publish(READ)
        desks = [await fleet.add("desk", run_s=0.05) for _ in range(4)]
        await fleet.wait_until_synchronised()
        servers = CrashingServers(fleet)
        with servers.watch(*desks):
            await asyncio.gather(*(fleet.ask(desk, CRASH_PATH) for desk in desks))
            await asyncio.sleep(0.5)
            crashes = len(servers.crashed_at)
            for desk in desks:
                assert (await fleet.ask(desk, CRASH_PATH))[0] == 503
            assert len(servers.crashed_at) == crashes

    run_scenario(tmp_path, scenario)


async def quarantine(fleet: PlatformFleet) -> None:
    """Start nodes, and let a request crash servers until all nodes refuse it."""
    fleet.publish(READ)
    desks = [await fleet.add("desk", run_s=0.05) for _ in range(3)]
    await fleet.wait_until_synchronised()
    servers = CrashingServers(fleet)
    with servers.watch(*desks):
        for _ in range(2):
            await fleet.ask(desks[0], CRASH_PATH)
            await asyncio.sleep(0.3)
        await wait_until(
            lambda: all(n.parts.suspects.value.quarantined for n in fleet.nodes)
        )
        await asyncio.sleep(0.3)


# BUDGET: a node that starts anew must not pass the request on again.
def test_fresh_node_learns_from_the_log_what_to_refuse(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        await quarantine(fleet)
        fresh = await fleet.add("desk")
        await fleet.wait_until_synchronised()
        assert (await fleet.ask(fresh, CRASH_PATH))[0] == 503
        assert fresh.backend.arrivals == []

    run_scenario(tmp_path, scenario)


def test_fresh_node_learns_from_peers_what_to_refuse_while_the_log_is_down(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        await quarantine(fleet)
        fleet.log.faults.down = True
        fresh = await fleet.add("desk")
        await wait_until(lambda: bool(fresh.parts.suspects.value.quarantined))
        await wait_until(lambda: fresh.parts.configuration.value is not None)
        assert (await fleet.ask(fresh, CRASH_PATH))[0] == 503

    run_scenario(tmp_path, scenario)


def test_lost_answers_make_no_suspect(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        fleet.publish(READ)
        desks = [await fleet.add("desk") for _ in range(2)]
        await fleet.wait_until_synchronised()
        for desk in desks:
            desk.backend.faults = ["reset", "truncated"] * 10
        for _ in range(8):
            await fleet.ask(desks[0], "/read/1")
        for node in fleet.nodes:
            assert not node.parts.suspects.value.suspected

    run_scenario(tmp_path, scenario)


def test_request_that_succeeds_elsewhere_is_not_refused_for_crashes_beside_it(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        fleet.publish(READ)
        desks = [await fleet.add("desk", run_s=0.1) for _ in range(4)]
        await fleet.wait_until_synchronised()
        servers = CrashingServers(fleet)
        with servers.watch(*desks):
            popular = [asyncio.create_task(ask_often(fleet)) for _ in range(12)]
            for _ in range(4):
                await fleet.ask(desks[0], CRASH_PATH)
                await asyncio.sleep(0.4)
            statuses = [await task for task in popular]
        assert len(servers.crashed_at) >= CRASHES
        # The runs of a request may break off at two servers, which is all its attempts.
        assert [of_client[-1] for of_client in statuses] == [200] * 12
        assert all(503 not in of_client for of_client in statuses)

    async def ask_often(fleet: PlatformFleet) -> list[int]:
        entry = fleet.nodes[0]
        return [(await fleet.ask(entry, "/read/popular"))[0] for _ in range(12)]

    run_scenario(tmp_path, scenario)
