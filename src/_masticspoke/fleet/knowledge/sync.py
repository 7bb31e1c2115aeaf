"""Gossip: exchange the configuration and states of backend servers with random peers.

A node learns of changes this way when the log service is down or refuses its requests.
While the log answers, a node starts one short exchange every few seconds. A peer that
turns out to have an older configuration is sent the newer one.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from dataclasses import replace
from random import Random
from typing import final

import aiohttp

from _masticspoke.border.sync import decode_sync
from _masticspoke.border.sync import encode_sync
from _masticspoke.border.sync import MAX_SYNC_BYTES
from _masticspoke.border.sync import SYNC_PATH
from _masticspoke.border.sync import SyncMessage
from _masticspoke.connections import Connections
from _masticspoke.decisions.fleet.exchanges import choose_peers
from _masticspoke.decisions.fleet.exchanges import must_push
from _masticspoke.decisions.fleet.exchanges import pause_s
from _masticspoke.decisions.fleet.log_era import MAX_SPREAD_S
from _masticspoke.fleet.dialect import Dialect
from _masticspoke.fleet.knowledge.crash_messages import CrashReportsReceived
from _masticspoke.fleet.knowledge.era_watch import EraWatch
from _masticspoke.fleet.knowledge.messages import AskRegistrySnapshot
from _masticspoke.fleet.knowledge.messages import ConfigurationReceived
from _masticspoke.fleet.knowledge.messages import PeersAsked
from _masticspoke.fleet.knowledge.messages import RegistrySnapshot
from _masticspoke.fleet.knowledge.messages import ServersReceived
from _masticspoke.fleet.knowledge.registry import RegistryMessage
from _masticspoke.http_server import Handler
from _masticspoke.http_server import Request
from _masticspoke.http_server import Response
from _masticspoke.model import Address
from _masticspoke.supervise.ask import ask
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply
from _masticspoke.supervise.switch import Switch

EXCHANGE_TIMEOUT_S = 1.0
# Pause before the registry is asked again, after it did not answer.
_REGISTRY_PAUSE_S = 0.4


@final
@dataclass(frozen=True, slots=True)
class SyncPort:
    """What the sync task and the handler of exchanges need.

    :param own_host: IP address of this node.
    :param seeds: IP addresses of peers to start with; they may be gone.
    :param peer_port: TCP port where each node accepts requests of other nodes.
    """

    registry: Mailbox[RegistryMessage]
    dialect: Dialect
    connections: Connections
    own_host: str
    seeds: tuple[str, ...]
    peer_port: int
    eras: EraWatch
    log_answers: Switch


def sync_task(port: SyncPort, random: Random) -> ChildBody:
    """Return the body of the task that starts exchanges."""

    async def run(life: Lifecycle) -> None:
        life.mark_started()
        while True:
            changes = port.eras.changes
            snapshot = await _ask_snapshot(port)
            if snapshot is None:
                await asyncio.sleep(_REGISTRY_PAUSE_S)
                continue
            urgent = (
                snapshot.version == 0
                or not snapshot.log_available
                or not port.eras.has_asked_peers
            )
            hosts = choose_peers(
                snapshot.servers, port.seeds, port.own_host, urgent, random
            )
            async with asyncio.TaskGroup() as exchanges:
                for host in hosts:
                    exchanges.create_task(_exchange(port, host, snapshot))
            port.eras.peers_asked(changes)
            port.registry.tell(PeersAsked())  # the next round repeats it
            await _pause(port, urgent, len(snapshot.servers), random)

    return run


async def _pause(port: SyncPort, urgent: bool, nodes: int, random: Random) -> None:
    """Wait until the next exchanges.

    They come early when the log ceases to answer or is restored, but not from all nodes
    at once.
    """
    wait_s = pause_s(urgent, nodes, random)
    try:
        async with port.eras.interrupting(port.eras.changes):
            if urgent:
                await asyncio.sleep(wait_s)
            elif await _log_ceases_within(port, wait_s):
                await asyncio.sleep(pause_s(True, nodes, random))
    except TimeoutError:
        await asyncio.sleep(random.uniform(0.0, MAX_SPREAD_S))


async def _log_ceases_within(port: SyncPort, wait_s: float) -> bool:
    try:
        async with asyncio.timeout(wait_s):
            await port.log_answers.wait_off()
    except TimeoutError:
        return False
    return True


async def _ask_snapshot(port: SyncPort) -> RegistrySnapshot | None:
    reply: Reply[RegistrySnapshot] = Reply()
    return await ask(port.registry, AskRegistrySnapshot(reply), reply)


async def _exchange(port: SyncPort, host: str, snapshot: RegistrySnapshot) -> None:
    message = SyncMessage(
        snapshot.version,
        snapshot.digest,
        b"",
        snapshot.recent,
        snapshot.recent_crash_reports,
        port.eras.newest,
    )
    received = await _post(port, host, message)
    if received is None:
        return
    _send_to_registry(port, received, f"peer {host}")
    if must_push(snapshot.version, received.version):
        await _post(port, host, replace(message, raw=snapshot.raw))


async def _post(port: SyncPort, host: str, message: SyncMessage) -> SyncMessage | None:
    """Return a peer's answer; ``None`` if it can't be reached or its answer be read."""
    url = f"http://{Address(host, port.peer_port)}{SYNC_PATH}"
    timeout = aiohttp.ClientTimeout(total=EXCHANGE_TIMEOUT_S)
    try:
        async with port.connections.session.post(
            url, data=encode_sync(message), timeout=timeout
        ) as response:
            return decode_sync(await response.read())
    except (TimeoutError, aiohttp.ClientError, ConnectionError):
        # The peer is unreachable; the next exchange picks a peer at random again.
        return None


def _send_to_registry(port: SyncPort, received: SyncMessage, source: str) -> None:
    port.eras.told(received.era)
    if received.servers:
        port.registry.tell(ServersReceived(received.servers, source))
    if received.crash_reports:
        port.registry.tell(CrashReportsReceived(received.crash_reports, time.time()))
    if received.raw:
        configuration = port.dialect.decode_configuration(received.raw)
        if configuration is not None:
            port.registry.tell(
                ConfigurationReceived(configuration, received.raw, source)
            )


def sync_handler(port: SyncPort) -> Handler:
    """Return the handler of exchanges that peers start."""

    async def handle(request: Request) -> Response:
        received = decode_sync(await request.body(MAX_SYNC_BYTES))
        if received is None:
            return Response(400, body=b"malformed exchange\n")
        snapshot = await _ask_snapshot(port)
        if snapshot is None:
            return Response(503)
        _send_to_registry(port, received, f"peer {request.remote}")
        differs = snapshot.digest != received.digest
        message = SyncMessage(
            snapshot.version,
            snapshot.digest,
            snapshot.raw if snapshot.version > received.version else b"",
            snapshot.servers if differs else (),
            snapshot.crash_reports if differs else snapshot.recent_crash_reports,
            port.eras.newest,
        )
        return Response(200, body=encode_sync(message))

    return handle
