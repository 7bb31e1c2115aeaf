"""Nodes of a large zone that follow the log through one of them."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path
from zlib import crc32

import pytest
from aiohttp import web
from testing.decisions.fleet.samples import server
from testing.fleet.platform_fleet import Node
from testing.fleet.platform_fleet import PlatformFleet
from testing.fleet.platform_fleet import run_scenario
from testing.fleet.platform_fleet import wait_until
from testing.fleet.test_path import READ

from _masticspoke.border.follow import encode_follow_answer
from _masticspoke.border.follow import FOLLOW_PATH
from _masticspoke.border.follow import FollowAnswer
from _masticspoke.decisions.fleet.freshness import accepted_s
from _masticspoke.decisions.fleet.relays import MIN_ZONE_NODES
from _masticspoke.decisions.fleet.suspects import CRASHES_TO_QUARANTINE
from _masticspoke.decisions.fleet.suspects import Incarnation
from _masticspoke.fleet.knowledge.crash_messages import BackendCrashed
from _masticspoke.fleet.knowledge.messages import ServersReceived
from _masticspoke.model import Address
from _masticspoke.supervise.clocks import boot_clock

# The platform's tightest bound on a configuration, seconds.
PROPAGATION_S = 2.0
NODES = MIN_ZONE_NODES + 4


def relay_of(fleet: PlatformFleet) -> Node:
    """Return the node that all others follow."""
    hosts = {n.parts.relay_state.relay for n in fleet.nodes} - {""}
    assert len(hosts) == 1
    (host,) = hosts
    return next(n for n in fleet.nodes if n.parts.settings.nodes.host == host)


def followers(fleet: PlatformFleet) -> list[Node]:
    return [node for node in fleet.nodes if not node.parts.reads_log.is_on]


async def add_zone(fleet: PlatformFleet) -> None:
    """Start the nodes, and wait until all but one follow that one."""
    fleet.publish(READ)
    for _ in range(NODES):
        await fleet.add("desk")
    await fleet.wait_until_synchronised()
    await wait_until(lambda: len(followers(fleet)) == NODES - 1, 10.0)


async def publish_in_time(fleet: PlatformFleet, nodes: list[Node]) -> None:
    fleet.publish(READ)

    def in_force() -> bool:
        values = [node.parts.configuration.value for node in nodes]
        return all(v is not None and v.version == fleet.version for v in values)

    await wait_until(in_force, PROPAGATION_S)


def test_followers_leave_the_log_alone_and_hear_of_a_version_at_once(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        await add_zone(fleet)
        relay = relay_of(fleet)
        await asyncio.sleep(6.0)  # the last long polls have ended
        fleet.log.calls.clear()
        await asyncio.sleep(5.0)
        assert set(fleet.log.calls) == {relay.parts.settings.nodes.host}
        assert fleet.log.calls.total() <= 8
        await publish_in_time(fleet, fleet.nodes)

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("fault", ["turned_away", "unanswered"])
def test_version_is_in_time_while_the_relay_does_not_reach_the_log(
    tmp_path: Path, fault: str
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        await add_zone(fleet)
        relay = relay_of(fleet)
        setattr(fleet.log.faults, fault, [relay.parts.settings.nodes.host])
        await publish_in_time(fleet, [n for n in fleet.nodes if n is not relay])
        host = relay.parts.settings.nodes.host
        await wait_until(
            lambda: all(n.parts.relay_state.relay != host for n in fleet.nodes), 3.0
        )

    run_scenario(tmp_path, scenario)


def test_version_is_in_time_after_the_relay_has_gone(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        await add_zone(fleet)
        relay = relay_of(fleet)
        relay.task.cancel()
        await asyncio.sleep(0.1)
        others = [node for node in fleet.nodes if node is not relay]
        await publish_in_time(fleet, others)
        fleet.nodes.remove(relay)
        await wait_until(lambda: len(followers(fleet)) == NODES - 2, 10.0)
        assert relay_of(fleet) is not relay
        await publish_in_time(fleet, others)
        await relay.backend.stop()

    run_scenario(tmp_path, scenario)


def test_version_is_in_time_while_a_third_is_cut_off_from_the_log(
    tmp_path: Path,
) -> None:
    """The relay and those that would replace it are among them."""

    async def scenario(fleet: PlatformFleet) -> None:
        await add_zone(fleet)
        relay = relay_of(fleet)
        others = [node for node in fleet.nodes if node is not relay]
        cut = [relay, *others[: NODES // 3 - 1]]
        fleet.log.faults.unanswered = [n.parts.settings.nodes.host for n in cut]
        await publish_in_time(fleet, [n for n in fleet.nodes if n not in cut])
        await asyncio.sleep(2.0)
        await publish_in_time(fleet, [n for n in fleet.nodes if n not in cut])

    run_scenario(tmp_path, scenario)


def test_states_of_servers_reach_the_followers(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        await add_zone(fleet)
        await fleet.add("desk")
        await fleet.wait_until_synchronised()
        assert len(followers(fleet)) >= NODES - 2

    run_scenario(tmp_path, scenario)


# BUDGET: a node that follows a relay passed on what crashes servers.
def test_crash_reports_reach_the_followers(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        await add_zone(fleet)
        for number, node in enumerate(fleet.nodes[:CRASHES_TO_QUARANTINE]):
            incarnation = Incarnation(node.parts.settings.backend, f"i-{number}", 1)
            node.parts.registry.tell(BackendCrashed(incarnation, 13, time.time()))
        await wait_until(
            lambda: all(n.parts.suspects.value.quarantined for n in fleet.nodes), 3.0
        )

    run_scenario(tmp_path, scenario)


def test_relay_that_is_stopping_is_left_at_once(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        fleet.stop_timeout_s = 3.0
        await add_zone(fleet)
        relay = relay_of(fleet)
        relay.life.request_stop()
        host = relay.parts.settings.nodes.host
        await wait_until(
            lambda: all(n.parts.relay_state.relay != host for n in fleet.nodes), 2.0
        )
        await publish_in_time(fleet, [n for n in fleet.nodes if n is not relay])
        await relay.task

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("raw", [b"unreadable", b""])
def test_relay_that_answers_at_once_is_not_asked_in_a_loop(
    tmp_path: Path, raw: bytes
) -> None:
    """It may be of another build, whose configuration can't be read here."""

    async def scenario(fleet: PlatformFleet) -> None:
        asked = 0

        async def answer_at_once(request: web.BaseRequest) -> web.Response:
            nonlocal asked
            if request.path != FOLLOW_PATH:
                return web.Response(status=404)
            asked += 1
            answer = FollowAnswer(1, asked, raw, (), 0)
            return web.Response(body=encode_follow_answer(answer))

        fleet.publish(READ)
        node = await fleet.add("desk")
        await fleet.wait_until_synchronised()
        runner = web.ServerRunner(web.Server(answer_at_once))
        await runner.setup()
        peers = [
            server(address=Address(f"127.0.2.{210 + number}", 80), zone="z1")
            for number in range(MIN_ZONE_NODES)
        ]
        for peer in peers:
            port = node.parts.settings.nodes.port
            await web.TCPSite(runner, peer.address.host, port).start()
        # The others are then first in rank, whatever the own address is.
        node.parts.relay_state.host = max(
            (peer.address.host for peer in peers), key=lambda h: crc32(h.encode())
        )
        node.parts.registry.tell(ServersReceived(tuple(peers), "test"))
        await wait_until(lambda: asked > 0)
        before = asked
        await asyncio.sleep(1.0)
        assert asked - before <= 12
        await runner.cleanup()

    run_scenario(tmp_path, scenario)


def test_followers_of_a_relay_accept_keys_until_the_relay_is_cut_off(
    tmp_path: Path,
) -> None:
    """They read nothing of the log themselves, so the relay must confirm versions."""
    revocation_s = 4.0

    async def scenario(fleet: PlatformFleet) -> None:
        fleet.revocation_s = revocation_s
        await add_zone(fleet)
        await asyncio.sleep(revocation_s)
        assert len(followers(fleet)) == NODES - 1
        ages_s = [
            boot_clock() - n.parts.confirmation.value.at for n in followers(fleet)
        ]
        assert max(ages_s) < accepted_s(revocation_s)
        for _ in range(40):
            relay_at = relay_of(fleet).parts.confirmation.value.at
            confirmed = [n.parts.confirmation.value.at for n in followers(fleet)]
            # A follower can't know more than its relay; all have one clock here.
            assert max(confirmed) <= relay_at
            await asyncio.sleep(0.05)
        # All are cut off: what they know grows old together.
        fleet.log.faults.down = True
        await asyncio.sleep(revocation_s)
        ages_s = [boot_clock() - n.parts.confirmation.value.at for n in fleet.nodes]
        assert min(ages_s) >= accepted_s(revocation_s)
        fleet.log.faults.down = False
        await wait_until(
            lambda: all(
                boot_clock() - n.parts.confirmation.value.at < accepted_s(revocation_s)
                for n in fleet.nodes
            )
        )

    run_scenario(tmp_path, scenario)


def test_relay_of_an_earlier_build_is_left_where_keys_must_be_confirmed(
    tmp_path: Path,
) -> None:
    """It hears the log, but says nothing of its version, so keys would be refused."""
    revocation_s = 2.0

    async def scenario(fleet: PlatformFleet) -> None:
        asked = 0

        async def answer_as_before(request: web.BaseRequest) -> web.Response:
            nonlocal asked
            if request.path != FOLLOW_PATH:
                return web.Response(status=404)
            asked += 1
            document = json.loads(
                encode_follow_answer(FollowAnswer(1, asked, b"", (), 0))
            )
            del document["version"], document["confirmed_age_ms"]
            return web.json_response(document)

        fleet.revocation_s = revocation_s
        fleet.publish(READ)
        node = await fleet.add("desk")
        await fleet.wait_until_synchronised()
        runner = web.ServerRunner(web.Server(answer_as_before))
        await runner.setup()
        peers = [
            server(address=Address(f"127.0.2.{230 + number}", 80), zone="z1")
            for number in range(MIN_ZONE_NODES)
        ]
        for peer in peers:
            port = node.parts.settings.nodes.port
            await web.TCPSite(runner, peer.address.host, port).start()
        node.parts.relay_state.host = max(
            (peer.address.host for peer in peers), key=lambda h: crc32(h.encode())
        )
        node.parts.registry.tell(ServersReceived(tuple(peers), "test"))
        await wait_until(lambda: asked > 0)
        for _ in range(60):
            age_s = boot_clock() - node.parts.confirmation.value.at
            assert age_s < accepted_s(revocation_s)
            await asyncio.sleep(0.05)
        assert node.parts.reads_log.is_on
        assert asked <= 8
        await runner.cleanup()

    run_scenario(tmp_path, scenario)
