"""Keys of organisations at a node, and what of them reaches the backend servers."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest
from testing.fleet.platform_fleet import Node
from testing.fleet.platform_fleet import PlatformFleet
from testing.fleet.platform_fleet import run_scenario
from testing.fleet.platform_fleet import wait_until
from testing.fleet.test_path import arrivals
from testing.fleet.test_path import BOOK
from testing.fleet.test_path import READ

from _masticspoke.supervise.clocks import boot_clock

KEYS = {"north": ["k-north"], "s\u00fcd 1": ["k-south", "k-other"]}
OWN_KEY = {"X-Api-Key": "k-north"}


async def add_desk(fleet: PlatformFleet, entry_service: str) -> tuple[Node, Node]:
    """Return the entry node and the node of the only server of ``desk``."""
    fleet.publish(READ, BOOK, keys=KEYS, ranks={"north": 4}, public=("book",))
    entry = await fleet.add(entry_service, run_s=0.3)
    desk = entry if entry_service == "desk" else await fleet.add("desk", run_s=0.3)
    await fleet.wait_until_synchronised()
    return entry, desk


async def status_of(
    fleet: PlatformFleet, node: Node, path: str = "/read/1", **headers: str
) -> tuple[int, str]:
    status, _, answer = await fleet.ask(node, path, **headers)
    return status, answer.headers.get("Masticspoke-Reason", "")


@pytest.mark.parametrize("entry_service", ["desk", "board"])
def test_key_ends_at_the_entry_and_the_server_learns_the_organisation(
    tmp_path: Path, entry_service: str
) -> None:
    """The server is on the entry node's VM, or behind another node."""

    async def scenario(fleet: PlatformFleet) -> None:
        entry, desk = await add_desk(fleet, entry_service)
        for path, headers, name in [
            ("/read/1", OWN_KEY, "north"),
            ("/read/2", {"x-api-key": "k-other", "x-tenant": "north"}, "s\u00fcd 1"),
            ("/book/3", {"X-Api-Key": "k-unknown", "X-Tenant": "north"}, None),
            ("/book/4", {"X-Tenant": "north"}, None),
            ("/book/5", OWN_KEY, "north"),
        ]:
            assert await status_of(fleet, entry, path, **headers) == (200, "")
            got = desk.backend.arrivals[-1].headers
            assert got.get("x-tenant") == name
            assert "x-api-key" not in got
            assert not any("k-" in value for value in got.values())

    run_scenario(tmp_path, scenario)


def test_unknown_key_gets_401_and_does_not_run(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        entry, desk = await add_desk(fleet, "board")
        unauthorised = (401, "unauthorised")
        assert await status_of(fleet, entry) == unauthorised
        assert await status_of(fleet, entry, **{"X-Api-Key": "k"}) == unauthorised
        assert await status_of(fleet, entry, **{"X-Tenant": "north"}) == unauthorised
        assert await status_of(fleet, entry, "/none/1", **OWN_KEY) == (404, "no-route")
        assert await status_of(fleet, entry, "/none/1") == (404, "no-route")
        assert arrivals(entry, desk) == []

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("entry_service", ["desk", "board"])
def test_nested_request_needs_no_key_and_names_no_organisation(
    tmp_path: Path, entry_service: str
) -> None:
    """It runs for the organisation of its parent, which only the nodes use."""

    async def scenario(fleet: PlatformFleet) -> None:
        entry, desk = await add_desk(fleet, entry_service)
        parent = {**OWN_KEY, "X-Attempt-Id": "p1"}
        running = asyncio.create_task(fleet.ask(entry, "/read/1", **parent))
        await wait_until(lambda: arrivals(desk) == ["p1"])
        child = {"X-Attempt-Id": "p1.c1", "X-Tenant": "north"}
        nested = asyncio.create_task(fleet.ask(desk, "/read/2", **child))
        await wait_until(lambda: arrivals(desk) == ["p1", "p1.c1"])
        assert "x-tenant" not in desk.backend.arrivals[-1].headers
        assert desk.parts.parents.organisations == {"p1": "north", "p1.c1": "north"}
        ranks = {
            j.request_id: j.rank
            for j, _ in desk.parts.gate_state.queue.running.values()
        }
        assert ranks == {"p1": 4, "p1.c1": 4}
        assert (await running)[0] == (await nested)[0] == 200
        assert not desk.parts.parents.organisations

    run_scenario(tmp_path, scenario)


def test_nested_request_whose_parent_is_unknown_is_refused_as_not_run(
    tmp_path: Path,
) -> None:
    """A restarted node doesn't know the runs of its server, so 401 may be wrong."""

    async def scenario(fleet: PlatformFleet) -> None:
        entry, _ = await add_desk(fleet, "desk")
        parent = {**OWN_KEY, "X-Attempt-Id": "p1"}
        running = asyncio.create_task(fleet.ask(entry, "/read/1", **parent))
        await wait_until(lambda: arrivals(entry) == ["p1"])
        await fleet.restart(entry)
        await wait_until(lambda: entry.parts.configuration.value is not None)
        orphan = await status_of(fleet, entry, **{"X-Attempt-Id": "p1.c1"})
        assert orphan == (503, "unknown-parent")
        assert arrivals(entry) == ["p1"]
        await asyncio.gather(running, return_exceptions=True)

    run_scenario(tmp_path, scenario)


async def statuses_until(
    fleet: PlatformFleet, node: Node, wanted: tuple[int, str], timeout_s: float
) -> None:
    async with asyncio.timeout(timeout_s):
        while await status_of(fleet, node, **OWN_KEY) != wanted:
            await asyncio.sleep(0.02)


def test_node_that_is_cut_off_refuses_keys_in_time_and_comes_back(
    tmp_path: Path,
) -> None:
    """It can't know that the key has been removed meanwhile."""

    async def scenario(fleet: PlatformFleet) -> None:
        fleet.revocation_s = 2.0
        entry, desk = await add_desk(fleet, "desk")
        host = entry.parts.settings.nodes.host
        assert await status_of(fleet, entry, **OWN_KEY) == (200, "")
        fleet.log.faults.unanswered = [host]
        fleet.publish(READ, BOOK, keys={}, public=("book",))
        await statuses_until(fleet, entry, (503, "stale-keys"), fleet.revocation_s)
        before = len(arrivals(desk))
        status, _, answer = await fleet.ask(entry, "/read/1", **OWN_KEY)
        assert (status, answer.headers["Retry-After"]) == (503, "0.50")
        assert await status_of(fleet, entry) == (401, "unauthorised")
        assert len(arrivals(desk)) == before
        assert await status_of(fleet, entry, "/book/1") == (200, "")
        assert entry.parts.registry_state.stale_since is not None

        fleet.publish(READ, BOOK, keys=KEYS, public=("book",))
        fleet.log.faults.unanswered = []
        fleet.log.silence_connections()
        await statuses_until(fleet, entry, (200, ""), 5.0)
        await wait_until(lambda: entry.parts.registry_state.stale_since is None)

    run_scenario(tmp_path, scenario)


def test_age_of_the_configuration_is_exposed(tmp_path: Path) -> None:
    """Operators can act before a node refuses keys."""

    async def scenario(fleet: PlatformFleet) -> None:
        fleet.revocation_s = 5.0
        entry, _ = await add_desk(fleet, "desk")
        url = f"http://{entry.parts.settings.metrics}/metrics"
        async with fleet.session.get(url) as answer:
            lines = (await answer.text()).splitlines()
        name = "masticspoke_configuration_confirmed_age_seconds "
        (value,) = [line[len(name) :] for line in lines if line.startswith(name)]
        assert 0.0 <= float(value) < 4.5

    run_scenario(tmp_path, scenario)


def test_removed_key_is_refused_at_a_node_in_touch(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        fleet.revocation_s = 2.0
        entry, _ = await add_desk(fleet, "board")
        assert await status_of(fleet, entry, **OWN_KEY) == (200, "")
        fleet.publish(READ, keys={"north": ["k-new"]})
        await statuses_until(fleet, entry, (401, "unauthorised"), fleet.revocation_s)
        assert await status_of(fleet, entry, **{"X-Api-Key": "k-new"}) == (200, "")

    run_scenario(tmp_path, scenario)


def test_keys_are_accepted_without_the_log_where_revocation_has_no_bound(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        entry, _ = await add_desk(fleet, "desk")
        fleet.log.faults.down = True
        await asyncio.sleep(2.5)
        assert await status_of(fleet, entry, **OWN_KEY) == (200, "")

    run_scenario(tmp_path, scenario)


def test_node_that_was_suspended_refuses_keys_until_it_has_read_the_log(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its timers haven't run, and requests wait in its sockets."""
    clock_gettime = time.clock_gettime
    suspended_s = 0.0

    def gettime(clock: int) -> float:
        jump_s = suspended_s if clock == time.CLOCK_BOOTTIME else 0.0
        return clock_gettime(clock) + jump_s

    async def scenario(fleet: PlatformFleet) -> None:
        nonlocal suspended_s
        monkeypatch.setattr(time, "clock_gettime", gettime)
        fleet.revocation_s = 5.0
        entry, desk = await add_desk(fleet, "desk")
        assert await status_of(fleet, entry, **OWN_KEY) == (200, "")
        fleet.log.faults.down = True
        before = len(arrivals(desk))
        suspended_s = 10.0
        assert await status_of(fleet, entry, **OWN_KEY) == (503, "stale-keys")
        assert len(arrivals(desk)) == before
        fleet.log.faults.down = False
        await statuses_until(fleet, entry, (200, ""), 5.0)

    run_scenario(tmp_path, scenario)


def test_slow_answer_of_the_log_confirms_the_time_before_it(tmp_path: Path) -> None:
    """A version that was acknowledged while the answer was under way isn't in it."""
    delay_s = 0.2  # before the log waits for a record, and again after that

    async def scenario(fleet: PlatformFleet) -> None:
        fleet.revocation_s = 5.0
        entry, _ = await add_desk(fleet, "desk")
        fleet.log.faults.delay_ms = int(delay_s * 1000)
        await asyncio.sleep(2.0)
        confirmation = entry.parts.confirmation
        ages_s: list[float] = []
        while len(ages_s) < 3:
            before = confirmation.value.at
            await wait_until(lambda before=before: confirmation.value.at != before)
            ages_s.append(boot_clock() - confirmation.value.at)
        assert min(ages_s) > 2 * delay_s

    run_scenario(tmp_path, scenario)
