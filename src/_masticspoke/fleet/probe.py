"""Check after a node's start if the local backend server is still the recorded one.

Its next heartbeat may be more than a second away, and its state in the log or at peers
may be out of date. A request to its health path shows whether the recorded instance
still accepts requests. If it is leaving, or another instance answers, the gate keeps
refusing requests until the next heartbeat.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import final

import aiohttp

from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import Configuration
from _masticspoke.decisions.fleet.model import Phase
from _masticspoke.fleet.dialect import Dialect
from _masticspoke.fleet.messages import AskLocalBackend
from _masticspoke.fleet.messages import LocalBackendConfirmed
from _masticspoke.fleet.registry import RegistryMessage
from _masticspoke.http_pool import ExpiredError
from _masticspoke.http_pool import HttpPool
from _masticspoke.supervise.ask import ask
from _masticspoke.supervise.latest import Latest
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply

# The log and the configuration are normally read within the first tries. After the last
# one, the next heartbeat is expected about as soon as a health check would end.
_MAX_TRIES = 12
_TRY_INTERVAL_S = 0.05
_HEALTH_CHECK_TIMEOUT_S = 0.5


@final
@dataclass(frozen=True, slots=True)
class ProbePort:
    """What the probe needs.

    :param connections: pool that serves one request per connection.
    """

    registry: Mailbox[RegistryMessage]
    configuration: Latest[Configuration | None]
    connections: HttpPool
    dialect: Dialect


def probe(port: ProbePort) -> ChildBody:
    """Return the body of the task that sends at most one health check at the start."""

    async def run(life: Lifecycle) -> None:
        life.mark_started()
        for _ in range(_MAX_TRIES):
            await asyncio.sleep(_TRY_INTERVAL_S)
            server = await _ask_local_backend(port)
            configuration = port.configuration.value
            if server is None or configuration is None:
                continue
            if server.phase is Phase.READY and await _is_same_instance(
                port, server, configuration
            ):
                port.registry.tell(LocalBackendConfirmed(server))
            break
        await life.stopping()

    return run


async def _ask_local_backend(port: ProbePort) -> BackendServer | None:
    reply: Reply[BackendServer | None] = Reply()
    return await ask(port.registry, AskLocalBackend(reply), reply)


async def _is_same_instance(
    port: ProbePort, server: BackendServer, configuration: Configuration
) -> bool:
    path = configuration.health_paths.get(server.service)
    if path is None:
        return False
    headers = {"Host": str(server.address)}
    exchange = port.connections.request(
        server.address, "GET", path, headers, b"", _HEALTH_CHECK_TIMEOUT_S
    )
    try:
        async with exchange as upstream:
            return port.dialect.read_health(upstream.status, upstream.headers) == (
                server.instance
            )
    except (ExpiredError, aiohttp.ClientError, ConnectionError):
        return False  # the next heartbeat will report its state
