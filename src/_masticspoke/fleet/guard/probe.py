"""Check after a node's start if the local backend server is still the recorded one.

Its next heartbeat may be more than a second away, and its state in the log or at peers
may be out of date. A request to its health path shows whether the recorded instance
still accepts requests. If it is leaving, or another instance answers, the gate keeps
refusing requests until the next heartbeat.

While the log can't be read, a heartbeat is checked in the same way: it may be late, and
the server may have left before this process started.
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
from _masticspoke.fleet.guard.messages import GuardState
from _masticspoke.fleet.knowledge.messages import AskLocalBackend
from _masticspoke.fleet.knowledge.messages import LocalBackendConfirmed
from _masticspoke.fleet.knowledge.messages import LocalCandidate
from _masticspoke.fleet.knowledge.registry import RegistryMessage
from _masticspoke.http_pool import ExpiredError
from _masticspoke.http_pool import HttpPool
from _masticspoke.supervise.ask import ask
from _masticspoke.supervise.latest import Latest
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply

# The log and the configuration are normally read within the first tries.
_FIRST_TRIES = 12
_FIRST_INTERVAL_S = 0.05
_LATER_INTERVAL_S = 0.25
_HEALTH_CHECK_TIMEOUT_S = 0.5


@final
@dataclass(frozen=True, slots=True)
class ProbePort:
    """What the probe needs.

    :param connections: pool that serves one request per connection.
    :param guard_state: what the gate publishes; it names the server once the gate knows
        it.
    """

    registry: Mailbox[RegistryMessage]
    configuration: Latest[Configuration | None]
    connections: HttpPool
    dialect: Dialect
    guard_state: Latest[GuardState]


def probe(port: ProbePort) -> ChildBody:
    """Return the body of the task that checks the server until the gate knows it.

    Each state of the server leads to at most one health check.
    """

    async def run(life: Lifecycle) -> None:
        life.mark_started()
        checked: BackendServer | None = None
        tries = 0
        while port.guard_state.value.server is None:
            first = tries < _FIRST_TRIES
            await asyncio.sleep(_FIRST_INTERVAL_S if first else _LATER_INTERVAL_S)
            tries += 1
            candidate = await _ask_local_backend(port)
            configuration = port.configuration.value
            if candidate is None or configuration is None:
                continue
            server = candidate.server
            path = configuration.health_paths.get(server.service)
            # Without a health check, only its heartbeats can show that it stays.
            if server == checked or (path is None and not candidate.announced):
                continue
            checked = server
            if server.phase is Phase.READY and (
                path is None or await _is_same_instance(port, server, path)
            ):
                port.registry.tell(LocalBackendConfirmed(server))
        await life.stopping()

    return run


async def _ask_local_backend(port: ProbePort) -> LocalCandidate | None:
    reply: Reply[LocalCandidate | None] = Reply()
    return await ask(port.registry, AskLocalBackend(reply), reply)


async def _is_same_instance(port: ProbePort, server: BackendServer, path: str) -> bool:
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
