"""After a restart, find out whether the own backend server is still the known one.

Its next heartbeat may be more than a second away. What the log knows of it may be out
of date, so it is asked itself: an instance that is leaving or another one gets no work.
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
from _masticspoke.fleet.messages import AskOwnBackend
from _masticspoke.fleet.messages import OwnBackendConfirmed
from _masticspoke.fleet.registry import RegistryMessage
from _masticspoke.http_pool import ExpiredError
from _masticspoke.http_pool import HttpPool
from _masticspoke.supervise.ask import ask
from _masticspoke.supervise.latest import Latest
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply

# The log and the configuration are read within the first moments; after this many
# looks the next heartbeat is as near.
_LOOKS = 12
_LOOK_EVERY_S = 0.05
_TIMEOUT_S = 0.5


@final
@dataclass(frozen=True, slots=True)
class ProbePort:
    """What the probe needs."""

    registry: Mailbox[RegistryMessage]
    configuration: Latest[Configuration | None]
    connections: HttpPool
    dialect: Dialect


def probe(port: ProbePort) -> ChildBody:
    """Return the body of the task that asks once, when a node starts."""

    async def run(life: Lifecycle) -> None:
        life.mark_started()
        for _ in range(_LOOKS):
            await asyncio.sleep(_LOOK_EVERY_S)
            own = await _known_own(port)
            configuration = port.configuration.value
            if own is None or configuration is None:
                continue
            if own.phase is Phase.READY and await _confirmed(port, own, configuration):
                port.registry.tell(OwnBackendConfirmed(own))
            break
        await life.stopping()

    return run


async def _known_own(port: ProbePort) -> BackendServer | None:
    reply: Reply[BackendServer | None] = Reply()
    return await ask(port.registry, AskOwnBackend(reply), reply)


async def _confirmed(
    port: ProbePort, own: BackendServer, configuration: Configuration
) -> bool:
    path = configuration.health_paths.get(own.service)
    if path is None:
        return False
    host = {"Host": str(own.address)}
    asking = port.connections.request(own.address, "GET", path, host, b"", _TIMEOUT_S)
    try:
        async with asking as answer:
            return port.dialect.read_health(answer.status, answer.headers) == (
                own.instance
            )
    except (ExpiredError, aiohttp.ClientError, ConnectionError):
        return False  # its next heartbeat will tell
