"""Tests of a server that stays in use whatever another writer states about it."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest
from testing.fleet.platform_fleet import Node
from testing.fleet.platform_fleet import PlatformFleet
from testing.fleet.platform_fleet import run_scenario
from testing.fleet.platform_fleet import wait_until
from testing.fleet.test_path import READ

from _masticspoke.decisions.fleet.rivals import MIN_SPACING_S
from _masticspoke.platform.log import keyed_record
from _masticspoke.platform.names import SERVERS_STREAM

_FUTURE_MS = 10**12


async def send_false_heartbeat(fleet: PlatformFleet, node: Node, service: str) -> None:
    backend = node.backend
    false = {**backend.heartbeat(), "service": service, "born": backend.born + 5_000}
    own, backend.instance = backend.instance, "i-other"
    await backend.send(fleet.session, node.control_plane, false)
    backend.instance = own


async def announce_often(fleet: PlatformFleet, node: Node) -> None:
    for _ in range(4):
        await asyncio.sleep(MIN_SPACING_S * 1.2)
        await node.backend.announce(fleet.session, node.control_plane)


async def is_served(fleet: PlatformFleet, node: Node) -> bool:
    return (await fleet.ask(node, "/read/1"))[0] == 200


# Starved: one heartbeat took a server out, at its own node and at all others.
@pytest.mark.parametrize("service", ["desk", "nobody"])
def test_false_heartbeat_takes_no_server_out(tmp_path: Path, service: str) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        fleet.publish(READ)
        desk, other = await fleet.add("desk"), await fleet.add("board")
        await fleet.wait_until_synchronised()
        await send_false_heartbeat(fleet, desk, service)
        await announce_often(fleet, desk)
        assert await is_served(fleet, desk)
        assert await is_served(fleet, other)

    run_scenario(tmp_path, scenario)


# Only the owner of the entry knows better; a node that starts reads nothing else.
@pytest.mark.parametrize("service", ["desk", "nobody"])
def test_false_entry_in_the_log_takes_no_server_out(
    tmp_path: Path, service: str
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        fleet.publish(READ)
        desk, other = await fleet.add("desk"), await fleet.add("board")
        await fleet.wait_until_synchronised()
        await announce_often(fleet, desk)
        address = f"{desk.backend.host}:{desk.backend.port}"
        false = [address, service, "i-other", _FUTURE_MS, 1, "z1", 10, 0, 0]
        record = keyed_record(address, json.dumps(false).encode())
        fleet.log.add(fleet.log.stream(SERVERS_STREAM), [record])
        await wait_until(lambda: _knows_better(other, desk))
        fresh = await fleet.add("board")
        await wait_until(lambda: _knows_better(fresh, desk))
        for node in (desk, other, fresh):
            assert await is_served(fleet, node)

    run_scenario(tmp_path, scenario)


def _knows_better(node: Node, of: Node) -> bool:
    """Return whether a node knows the true state, with a start behind the false one."""
    known = node.parts.registry_state.members.by_address.get(of.parts.settings.backend)
    return known is not None and (
        known.instance == of.backend.instance and known.born_ms > _FUTURE_MS
    )
