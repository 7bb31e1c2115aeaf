"""Quotas at a few real nodes in one event loop."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from pathlib import Path

import pytest
from aiohttp import web
from testing.fleet.platform_fleet import Node
from testing.fleet.platform_fleet import PlatformFleet
from testing.fleet.platform_fleet import run_scenario
from testing.fleet.platform_fleet import wait_until
from testing.fleet.test_path import READ

from _masticspoke.border.quota import encode_response
from _masticspoke.border.quota import QUOTA_PATH
from _masticspoke.decisions.fleet.model import Organisation
from _masticspoke.decisions.fleet.quota_keeper import Grant
from _masticspoke.decisions.fleet.quota_keeper import QuotaResponse
from _masticspoke.decisions.fleet.quota_ranking import group_of
from _masticspoke.decisions.fleet.quota_ranking import rank_keepers
from _masticspoke.fleet.quota.messages import Token
from _masticspoke.fleet.quota.taking import QuotaPort
from _masticspoke.fleet.quota.taking import return_token
from _masticspoke.fleet.quota.taking import take_token
from _masticspoke.platform.log import keyed_record

ORGANISATION = Organisation("o0", None, 40, 10)
KEY = "key-of-o0"


def publish(fleet: PlatformFleet, organisation: Organisation = ORGANISATION) -> None:
    """Publish a configuration with one organisation."""
    fleet.publish(READ)
    stream = fleet.log.stream("keyed.op")
    value = {
        "version": fleet.version + 5,
        "routes": {
            "columns": ["name", "host", "path_prefix", "service", "max_attempts"],
            "rows": [["read", "shop.example", "/read/", "desk", 4]],
        },
        "tenants": {
            "columns": ["name", "api_keys", "rate_per_s", "burst"],
            "rows": [
                [
                    organisation.name,
                    [KEY],
                    organisation.rate_per_s,
                    organisation.burst,
                ]
            ],
        },
    }
    fleet.version += 5
    fleet.log.add(stream, [keyed_record("config", json.dumps(value).encode())])


async def fleet_of(fleet: PlatformFleet, count: int) -> list[Node]:
    publish(fleet)
    for number in range(count):
        await fleet.add("desk", zone=f"z{number % 2}")
    await fleet.wait_until_synchronised()
    return fleet.nodes


def keeper_in(nodes: list[Node]) -> Node:
    members = nodes[0].parts.registry_state.members.by_address.values()
    host = rank_keepers(group_of(ORGANISATION.name), members)[0]
    return next(n for n in nodes if n.parts.settings.nodes.host == host)


async def take_for(nodes: list[Node], duration_s: float, rate: float) -> Counter[str]:
    """Take tokens at each node in turn."""
    loop = asyncio.get_running_loop()
    end = loop.time() + duration_s
    outcomes: Counter[str] = Counter()

    async def take(node: Node) -> None:
        taken = await take_token(QuotaPort(node.parts.quota), ORGANISATION)
        assert taken is not None
        outcomes["granted" if isinstance(taken, Token) else "refused"] += 1

    async with asyncio.TaskGroup() as requests:
        number = 0
        while loop.time() < end:
            requests.create_task(take(nodes[number % len(nodes)]))
            number += 1
            await asyncio.sleep(1 / rate)
    return outcomes


def test_nodes_grant_the_limit_together(tmp_path: Path) -> None:
    """Guards against a limit that each node grants for itself."""

    async def scenario(fleet: PlatformFleet) -> None:
        nodes = await fleet_of(fleet, 4)
        await take_for(nodes, 1.5, 200)
        outcomes = await take_for(nodes, 2.5, 200)
        assert 0.85 * 100 <= outcomes["granted"] <= 1.15 * 100 + 20

    run_scenario(tmp_path, scenario)


def test_an_organisation_is_served_after_its_keeper_was_killed(tmp_path: Path) -> None:
    """Guards against requests that wait for a keeper which is gone."""

    async def scenario(fleet: PlatformFleet) -> None:
        nodes = await fleet_of(fleet, 5)
        keeper = keeper_in(nodes)
        others = [node for node in nodes if node is not keeper]
        await take_for(others, 1.5, 30)
        keeper.task.cancel()
        await asyncio.gather(keeper.task, return_exceptions=True)
        await take_for(others, 1.5, 30)
        outcomes = await take_for(others, 3.0, 20)

        assert outcomes["refused"] <= 0.05 * sum(outcomes.values())
        outcomes = await take_for(others, 3.0, 200)
        assert outcomes["granted"] <= (3 * 40 + 10) * 1.1 + 20

    run_scenario(tmp_path, scenario)


def test_a_token_that_was_not_used_is_taken_again(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        (node,) = await fleet_of(fleet, 1)
        port = QuotaPort(node.parts.quota)

        async def take() -> Token:
            taken = await take_token(port, ORGANISATION)
            assert isinstance(taken, Token)
            return taken

        await asyncio.sleep(0.5)
        token = await take()
        return_token(port, token)
        assert (await take()).expires_at == token.expires_at

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("status", [404, 200])
def test_a_keeper_of_the_previous_build_is_passed_over(
    tmp_path: Path, status: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against waiting for a node that doesn't know the path."""

    async def scenario(fleet: PlatformFleet) -> None:
        nodes = await fleet_of(fleet, 3)
        keeper = keeper_in(nodes)
        settings = keeper.parts.settings
        keeper.task.cancel()
        await asyncio.gather(keeper.task, return_exceptions=True)
        asked: list[str] = []

        async def answer(request: web.BaseRequest) -> web.Response:
            asked.append(request.path)
            body = b"[]" if status == 200 else b""
            return web.Response(status=status, body=body)

        runner = web.ServerRunner(web.Server(answer))
        await runner.setup()
        await web.TCPSite(runner, settings.nodes.host, settings.nodes.port).start()
        others = [node for node in nodes if node is not keeper]
        await wait_until(lambda: QUOTA_PATH in asked)
        await asyncio.sleep(1.2)
        outcomes = await take_for(others, 1.5, 10)
        await runner.cleanup()
        assert outcomes["refused"] <= 1

    run_scenario(tmp_path, scenario)


def test_organisations_without_a_limit_cause_no_queries(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        publish(fleet, Organisation("o0"))
        for _ in range(2):
            await fleet.add("desk")
        await fleet.wait_until_synchronised()
        await asyncio.sleep(1.0)
        for node in fleet.nodes:
            assert not node.parts.quota_task.counts

    run_scenario(tmp_path, scenario)


def test_the_keeper_answers_malformed_queries_with_400(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        (node,) = await fleet_of(fleet, 1)
        url = f"http://{node.parts.settings.nodes}{QUOTA_PATH}"
        response = encode_response(QuotaResponse(1, {"a": Grant(1)}))
        for body in (b"", b"[1]", response):
            async with fleet.session.post(url, data=body) as answer:
                assert answer.status == 400

    run_scenario(tmp_path, scenario)
