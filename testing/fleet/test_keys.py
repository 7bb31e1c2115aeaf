"""Keys of organisations at a node, and what of them reaches the backend servers."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from testing.fleet.platform_fleet import Node
from testing.fleet.platform_fleet import PlatformFleet
from testing.fleet.platform_fleet import run_scenario
from testing.fleet.platform_fleet import wait_until
from testing.fleet.test_path import arrivals
from testing.fleet.test_path import BOOK
from testing.fleet.test_path import READ

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
