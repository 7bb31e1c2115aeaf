"""A node that is silent for a while, with a request that it has accepted."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from aiohttp import web
from testing.decisions.fleet.samples import server
from testing.fleet.platform_fleet import PlatformFleet
from testing.fleet.platform_fleet import run_scenario
from testing.fleet.test_path import BOOK
from testing.fleet.test_path import READ

from _masticspoke.border.hop import encode_guard
from _masticspoke.border.hop import GUARD_HEADER
from _masticspoke.border.hop import GuardAnswer
from _masticspoke.border.hop import JOB_HEADER
from _masticspoke.decisions.fleet.model import GuardLoad
from _masticspoke.fleet.knowledge.messages import ServersReceived
from _masticspoke.model import Address

SILENT_S = 1.2
SILENT = server(address=Address("127.0.2.201", 80), slots=1000)


@pytest.mark.parametrize(("path", "method"), [("/book/1", "POST"), ("/read/1", "GET")])
def test_running_work_of_a_silent_node_is_awaited_and_not_started_again(
    tmp_path: Path, path: str, method: str
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        jobs: list[str] = []

        async def answer_late(request: web.BaseRequest) -> web.Response:
            if JOB_HEADER not in request.headers:
                return web.Response(status=404)
            jobs.append(request.headers["X-Attempt-Id"])
            await asyncio.sleep(SILENT_S)
            guard = GuardAnswer(None, False, True, 0.0, GuardLoad(limit=1000))
            return web.Response(
                body=b"late", headers={GUARD_HEADER: encode_guard(guard)}
            )

        fleet.publish(READ, BOOK)
        entry, desk = await fleet.add("board"), await fleet.add("desk", run_s=0.2)
        await fleet.wait_until_synchronised()
        runner = web.ServerRunner(web.Server(answer_late))
        await runner.setup()
        port = entry.parts.settings.nodes.port
        await web.TCPSite(runner, SILENT.address.host, port).start()
        entry.parts.registry.tell(ServersReceived((SILENT,), "test"))
        for _ in range(20):
            status, body, _ = await fleet.ask(entry, path, method)
            assert status == 200
            if jobs:
                break
        assert (len(jobs), body) == (1, b"late")
        assert jobs[0] not in [arrival.request_id for arrival in desk.backend.arrivals]
        await runner.cleanup()

    run_scenario(tmp_path, scenario)
