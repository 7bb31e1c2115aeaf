from __future__ import annotations

import asyncio
from pathlib import Path

from aiohttp import web
from testing.decisions.fleet.samples import server
from testing.fleet.platform_fleet import PlatformFleet
from testing.fleet.platform_fleet import run_scenario
from testing.fleet.platform_fleet import wait_until
from testing.fleet.test_path import READ

from _masticspoke.border.sync import decode_sync
from _masticspoke.border.sync import encode_sync
from _masticspoke.border.sync import SyncMessage
from _masticspoke.fleet.knowledge.messages import ServersReceived
from _masticspoke.model import Address

# Bounds of the platform, seconds: a disturbed node counts again after the first, and a
# version is in force after the second.
SETTLE_S = 3.0
PROPAGATION_S = 2.0
PEER = server(address=Address("127.0.2.200", 80))


def test_version_after_log_connections_went_silent_is_not_late(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        fleet.publish(READ)
        await fleet.add("desk")
        await fleet.wait_until_synchronised()
        await asyncio.sleep(0.5)
        fleet.log.silence_connections()
        await asyncio.sleep(SETTLE_S)
        fleet.publish(READ)
        configuration = fleet.nodes[0].parts.configuration

        def in_force() -> bool:
            assert configuration.value is not None
            return configuration.value.version == fleet.version

        await wait_until(in_force, PROPAGATION_S)

    run_scenario(tmp_path, scenario)


def test_peer_with_an_older_version_is_sent_the_newer_one(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        fleet.publish(READ)
        node = await fleet.add("desk")
        await fleet.wait_until_synchronised()
        fleet.log.faults.down = True
        received: list[SyncMessage] = []

        async def answer_as_older_peer(request: web.BaseRequest) -> web.Response:
            message = decode_sync(await request.read())
            assert message is not None
            received.append(message)
            return web.Response(body=encode_sync(SyncMessage(0, 0, b"", ())))

        runner = web.ServerRunner(web.Server(answer_as_older_peer))
        await runner.setup()
        nodes = node.parts.settings.nodes
        await web.TCPSite(runner, PEER.address.host, nodes.port).start()
        node.parts.registry.tell(ServersReceived((PEER,), "test"))
        await wait_until(lambda: any(message.raw for message in received))
        await runner.cleanup()

    run_scenario(tmp_path, scenario)
