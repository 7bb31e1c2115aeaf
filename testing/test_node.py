from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
from aiohttp import web
from testing.live.fleet import free_port
from testing.standins.log_service import application
from testing.standins.log_service import LogService

from _masticspoke.border.records import CATALOGUE_STREAM
from _masticspoke.border.records import encode_record
from _masticspoke.border.settings import Settings
from _masticspoke.decisions.catalogue import Change
from _masticspoke.model import Catalogue
from _masticspoke.model import ClassSpec
from _masticspoke.model import Entry
from _masticspoke.node import node_tree
from _masticspoke.supervise.lifecycle import Lifecycle

ENTRY = Entry("read", "us", "line", 0, "desk", "GET", "/read", 2000, True)
CHANGE = Change("0" * 16, 0, Catalogue(0, (ClassSpec("line", 0),), (ENTRY,)))


@asynccontextmanager
async def run_server(app: web.Application | web.Server) -> AsyncIterator[int]:
    runner: web.BaseRunner = (
        web.AppRunner(app, shutdown_timeout=0.1)
        if isinstance(app, web.Application)
        else web.ServerRunner(app)
    )
    await runner.setup()
    port = free_port()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    try:
        yield port
    finally:
        await runner.cleanup()


def settings(log_port: int) -> Settings:
    ports = [f"127.0.0.1:{free_port()}" for _ in range(3)]
    return Settings.model_validate(
        {
            "node": {
                "name": "n",
                "zone": "z",
                "client_address": ports[0],
                "peer_address": ports[1],
                "backend_address": ports[2],
                "stop_timeout_s": 1,
            },
            "log": {"address": f"127.0.0.1:{log_port}"},
        }
    )


async def get_status(session: aiohttp.ClientSession, url: str) -> int:
    async with session.get(url) as response:
        await response.read()
        return response.status


async def wait_until_served(session: aiohttp.ClientSession, url: str) -> None:
    async with asyncio.timeout(15):
        while await get_status(session, url) != 200:
            await asyncio.sleep(0.05)


def test_restarted_tasks_receive_the_current_state_again() -> None:
    """Without the current state, a restarted router or gate would refuse requests.

    The keeper keeps its state when its task restarts. Cancelling a task stands for its
    crash.
    """

    async def backend(request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(text="ok")

    async def scenario() -> None:
        log = LogService()
        log.stream(CATALOGUE_STREAM).append_bytes(encode_record(CHANGE))
        async with (
            run_server(application(log)) as log_port,
            run_server(web.Server(backend)) as backend_port,
            aiohttp.ClientSession() as session,
        ):
            node_settings = settings(log_port)
            life = Lifecycle()
            tree = asyncio.ensure_future(node_tree(node_settings)(life))
            await life.started()
            body = {
                "service": "desk",
                "address": f"127.0.0.1:{backend_port}",
                "slots": 5,
                "connections": 10,
                "ttl_ms": 60_000,
            }
            announcement_url = (
                f"http://{node_settings.node.backend_address}/.masticspoke/backend"
            )
            async with session.put(announcement_url, json=body) as response:
                assert response.status == 204
            url = f"http://{node_settings.node.client_address}/read"
            await wait_until_served(session, url)
            for name in ("dispatch/router", "guard/gate", "control/keeper"):
                task = next(t for t in asyncio.all_tasks() if t.get_name() == name)
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)
                await wait_until_served(session, url)
            life.request_stop()
            await tree

    asyncio.run(scenario())
