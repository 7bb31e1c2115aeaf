"""Exchange configuration and backend servers with random peers.

It carries the news past a log service that is down or turns this node away; with a
log that answers it costs one short exchange every few seconds.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from random import Random
from typing import final

import aiohttp

from _masticspoke.border.sync import decode_sync
from _masticspoke.border.sync import encode_sync
from _masticspoke.border.sync import MAX_SYNC_BYTES
from _masticspoke.border.sync import SYNC_PATH
from _masticspoke.border.sync import SyncNews
from _masticspoke.connections import Connections
from _masticspoke.fleet.dialect import Dialect
from _masticspoke.fleet.messages import AskRegistrySnapshot
from _masticspoke.fleet.messages import ConfigurationReceived
from _masticspoke.fleet.messages import RegistrySnapshot
from _masticspoke.fleet.messages import ServersReceived
from _masticspoke.fleet.registry import RegistryMessage
from _masticspoke.http_server import Handler
from _masticspoke.http_server import Request
from _masticspoke.http_server import Response
from _masticspoke.model import Address
from _masticspoke.supervise.ask import ask
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply

# Time between exchanges while the log answers, and while it does not, seconds.
CALM_S = 3.0
URGENT_S = 0.4
TIMEOUT_S = 1.0


@final
@dataclass(frozen=True, slots=True)
class SyncPort:
    """What exchanges need.

    :param own_host: IP address of this node.
    :param seeds: IP addresses of nodes to begin with; they may be gone.
    :param peer_port: TCP port of every node for other nodes.
    """

    registry: Mailbox[RegistryMessage]
    dialect: Dialect
    connections: Connections
    own_host: str
    seeds: tuple[str, ...]
    peer_port: int


def sync_task(port: SyncPort, random: Random) -> ChildBody:
    """Return the body of the task that begins exchanges."""

    async def run(life: Lifecycle) -> None:
        life.mark_started()
        while True:
            known = await _known(port)
            if known is None:
                await asyncio.sleep(URGENT_S)
                continue
            peers = _peers(port, known)
            if peers:
                await _exchange(port, random.choice(peers), known)
            urgent = known.version == 0 or not known.log_available
            pause_s = URGENT_S if urgent else CALM_S
            await asyncio.sleep(pause_s * random.uniform(0.5, 1.0))

    return run


def _peers(port: SyncPort, known: RegistrySnapshot) -> list[str]:
    hosts = {server.address.host for server in known.servers} | set(port.seeds)
    return sorted(hosts - {port.own_host})


async def _known(port: SyncPort) -> RegistrySnapshot | None:
    reply: Reply[RegistrySnapshot] = Reply()
    return await ask(port.registry, AskRegistrySnapshot(reply), reply)


async def _exchange(port: SyncPort, host: str, known: RegistrySnapshot) -> None:
    news = SyncNews(known.version, known.digest, b"", known.recent)
    url = f"http://{Address(host, port.peer_port)}{SYNC_PATH}"
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    try:
        async with port.connections.session.post(
            url, data=encode_sync(news), timeout=timeout
        ) as response:
            told = decode_sync(await response.read())
    except (TimeoutError, aiohttp.ClientError, ConnectionError):
        # A peer that is away is no news: the next exchange goes to another one.
        return
    if told is not None:
        _learn(port, told, f"peer {host}")


def _learn(port: SyncPort, told: SyncNews, source: str) -> None:
    if told.servers:
        port.registry.tell(ServersReceived(told.servers, source))
    if told.raw:
        configuration = port.dialect.decode_configuration(told.raw)
        if configuration is not None:
            port.registry.tell(ConfigurationReceived(configuration, told.raw, source))


def sync_handler(port: SyncPort) -> Handler:
    """Return the handler of exchanges that a peer begins."""

    async def handle(request: Request) -> Response:
        told = decode_sync(await request.body(MAX_SYNC_BYTES))
        if told is None:
            return Response(400, body=b"malformed exchange\n")
        known = await _known(port)
        if known is None:
            return Response(503)
        _learn(port, told, f"peer {request.remote}")
        news = SyncNews(
            known.version,
            known.digest,
            known.raw if known.version > told.version else b"",
            known.servers if known.digest != told.digest else (),
        )
        return Response(200, body=encode_sync(news))

    return handle
