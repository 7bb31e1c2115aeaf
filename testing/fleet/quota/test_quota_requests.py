"""Requests of limited organisations, from their clients to the backend servers."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path

from testing.fleet.platform_fleet import Node
from testing.fleet.platform_fleet import PlatformFleet
from testing.fleet.platform_fleet import run_scenario
from testing.fleet.platform_fleet import wait_until
from testing.fleet.quota.test_quota_nodes import fleet_of
from testing.fleet.quota.test_quota_nodes import KEY
from testing.fleet.quota.test_quota_nodes import ORGANISATION
from testing.fleet.quota.test_quota_nodes import publish

from _masticspoke.decisions.fleet.model import Organisation

OWN_KEY = {"X-Api-Key": KEY}
# After this time all nodes are members of their keepers, also those that were their own
# before they knew of each other.
JOINED_S = 1.6


def results(node: Node) -> Counter[str]:
    return node.parts.quota_task.counts


def test_requests_beyond_the_limit_get_429_with_a_time(tmp_path: Path) -> None:
    """Guards against requests that run beyond the limit, and blind retries."""

    async def scenario(fleet: PlatformFleet) -> None:
        nodes = await fleet_of(fleet, 3)
        for node in nodes:
            node.backend.slots = 1000
        await asyncio.sleep(JOINED_S)
        answers: Counter[int] = Counter()
        retries: list[float] = []

        async def ask(node: Node) -> None:
            status, _, answer = await fleet.ask(node, "/read/1", **OWN_KEY)
            answers[status] += 1
            if status == 429:
                assert answer.headers["Masticspoke-Reason"] == "quota"
                retries.append(float(answer.headers["Retry-After"]))

        loop = asyncio.get_running_loop()
        start = loop.time()
        async with asyncio.TaskGroup() as requests:
            for number in range(300):
                requests.create_task(ask(nodes[number % 3]))
                await asyncio.sleep(0.005)
        elapsed_s = loop.time() - start
        allowed = ORGANISATION.rate_per_s * elapsed_s + ORGANISATION.burst
        ran = sum(len(node.backend.arrivals) for node in nodes)
        assert ran <= allowed * 1.1 + 20
        assert ran >= 0.6 * ORGANISATION.rate_per_s * elapsed_s
        assert answers[429] == len(retries) > 100
        assert all(0 < retry_s < 10 for retry_s in retries)

    run_scenario(tmp_path, scenario)


def test_a_request_that_no_guard_ran_returns_its_token(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        (node,) = await fleet_of(fleet, 1)
        await asyncio.sleep(JOINED_S)
        node.backend.faults = ["shed"] * 8
        status, _, answer = await fleet.ask(node, "/read/1", **OWN_KEY)
        assert (status, answer.headers["Masticspoke-Reason"]) == (503, "shed")
        assert results(node)["granted"] == results(node)["returned"] == 1

    run_scenario(tmp_path, scenario)


def test_retries_of_a_request_need_no_further_token(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        first, second = await fleet_of(fleet, 2)
        await asyncio.sleep(JOINED_S)
        first.backend.faults = second.backend.faults = ["shed"]
        status, _, _ = await fleet.ask(first, "/read/1", **OWN_KEY)
        assert status == 200
        assert results(first)["granted"] == 1

    run_scenario(tmp_path, scenario)


def test_nested_calls_take_no_token(tmp_path: Path) -> None:
    """Guards against runs that end at their nested calls for want of tokens."""

    async def scenario(fleet: PlatformFleet) -> None:
        publish(fleet, Organisation("o0", None, 1, 1))
        node = await fleet.add("desk", run_s=0.5, slots=50)
        await fleet.wait_until_synchronised()
        await asyncio.sleep(JOINED_S)
        parent = {**OWN_KEY, "X-Attempt-Id": "p1"}
        running = asyncio.create_task(fleet.ask(node, "/read/1", **parent))
        await wait_until(lambda: len(node.backend.arrivals) == 1)
        children = [
            fleet.ask(node, "/read/2", **{"X-Attempt-Id": f"p1.c{n}"})
            for n in range(10)
        ]
        statuses = {status for status, _, _ in await asyncio.gather(*children)}
        assert statuses == {200}
        assert (await running)[0] == 200
        assert results(node)["granted"] == 1

    run_scenario(tmp_path, scenario)


def test_metrics_tell_who_is_refused_and_what_a_keeper_grants(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        (node,) = await fleet_of(fleet, 1)
        await asyncio.sleep(JOINED_S)
        requests = [fleet.ask(node, "/read/1", **OWN_KEY) for _ in range(80)]
        await asyncio.gather(*requests)
        url = f"http://{node.parts.settings.metrics}/metrics"
        async with fleet.session.get(url) as answer:
            text = await answer.text()
        assert 'masticspoke_fleet_quota_refused_total{organisation="o0"}' in text
        assert 'masticspoke_fleet_quota_share{group="' in text

    run_scenario(tmp_path, scenario)


def test_organisations_with_a_counter_of_their_own_are_bounded(tmp_path: Path) -> None:
    """Guards against a series of metrics for each organisation."""

    async def scenario(fleet: PlatformFleet) -> None:
        (node,) = await fleet_of(fleet, 1)
        task = node.parts.quota_task
        task.refused.update({f"o-{n}": 1 for n in range(64)})
        await asyncio.sleep(JOINED_S)
        requests = [fleet.ask(node, "/read/1", **OWN_KEY) for _ in range(80)]
        await asyncio.gather(*requests)
        assert len(task.refused) == 65
        assert task.refused["other"] > 0

    run_scenario(tmp_path, scenario)
