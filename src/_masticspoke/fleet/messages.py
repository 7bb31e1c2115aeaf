"""Messages between the tasks of a fleet's node."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from dataclasses import field
from typing import final

from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import Configuration
from _masticspoke.decisions.fleet.model import GuardLoad
from _masticspoke.decisions.fleet.model import Job
from _masticspoke.decisions.fleet.model import NotRun
from _masticspoke.decisions.fleet.model import Phase
from _masticspoke.decisions.fleet.model import Route
from _masticspoke.decisions.fleet.queueing import Verdict
from _masticspoke.model import Address
from _masticspoke.supervise.mailbox import Reply


@final
@dataclass(frozen=True, slots=True)
class PlaceRequest:
    """Request to placer: where does this go next?

    :param service: chosen for an earlier send; ``None`` for the first.
    :param tried: servers that it was sent to.
    :param repeat: whether it may have reached a backend server before.
    :param parent_is_repeat: whether the run that made it is itself a repeat.
    """

    route: Route
    service: str | None
    tried: Collection[Address]
    repeat: bool
    parent_is_repeat: bool
    reply: Reply[Placement | NoPlacement]


@final
@dataclass(frozen=True, slots=True)
class Placement:
    """Placer's answer: send it to this server."""

    server: BackendServer


@final
@dataclass(frozen=True, slots=True)
class NoPlacement:
    """Placer's answer: there is no server to send it to.

    :param reason: for logs and counters.
    """

    service: str
    reason: str


@final
@dataclass(frozen=True, slots=True)
class SendEnded:
    """Request to placer: how a send ended.

    :param failed: ``None`` when the end says nothing about the server.
    :param not_run: why the server did not take it, if so.
    :param nested: whether the own backend server made the request.
    """

    address: Address
    failed: bool | None
    load: GuardLoad | None
    not_run: NotRun | None
    service: str
    nested: bool


@final
@dataclass(frozen=True, slots=True)
class ServersChanged:
    """Registry to placer: all backend servers, and those that are new or changed."""

    servers: tuple[BackendServer, ...]
    changed: tuple[BackendServer, ...]


@final
@dataclass(frozen=True, slots=True)
class Admit:
    """Request to gate: may this run at the own backend server?

    :param ticket: unique at this node.
    """

    ticket: int
    job: Job
    reply: Reply[Verdict]


@final
@dataclass(frozen=True, slots=True)
class RunEnded:
    """Request to gate: a run has ended.

    :param ran: whether the time that it took counts.
    """

    ticket: int
    ran: bool


@final
@dataclass(frozen=True, slots=True)
class CallerLeft:
    """Request to gate: the caller of a request that waits has left."""

    ticket: int


@final
@dataclass(frozen=True, slots=True)
class OwnBackendState:
    """Registry to gate: the newest state of the own backend server."""

    server: BackendServer


@final
@dataclass(frozen=True, slots=True)
class BackendUnreachable:
    """Request to gate: the own backend server takes no connection."""

    instance: str


@final
@dataclass(frozen=True, slots=True)
class DownstreamPressure:
    """Placer to gate: wait of nested work at the services called from here."""

    pressure_s: float


@final
@dataclass(frozen=True, slots=True)
class StopAdmitting:
    """Departure to gate: the node stops and takes no new work."""


@final
@dataclass(frozen=True, slots=True)
class AskActiveCount:
    """Departure to gate: how many requests run or wait?"""

    reply: Reply[int]


@final
@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Control-plane listener to registry: the own backend server's state.

    :param reply: answered when the state is in force at this node's gate.
    """

    server: BackendServer
    reply: Reply[bool]


@final
@dataclass(frozen=True, slots=True)
class Deregistered:
    """Control-plane listener to registry: a backend server is about to end."""

    instance: str
    born_ms: int | None
    phase: Phase
    reply: Reply[bool]


@final
@dataclass(frozen=True, slots=True)
class AskOwnBackend:
    """Probe to registry: the own backend server as others know it.

    :param reply: ``None`` when nobody does, or when it has sent a heartbeat.
    """

    reply: Reply[BackendServer | None]


@final
@dataclass(frozen=True, slots=True)
class OwnBackendConfirmed:
    """Probe to registry: the own backend server is still this one."""

    server: BackendServer


@final
@dataclass(frozen=True, slots=True)
class ServersReceived:
    """Log follower or peer to registry: states of backend servers."""

    servers: tuple[BackendServer, ...]
    source: str


@final
@dataclass(frozen=True, slots=True)
class ConfigurationReceived:
    """Log follower or peer to registry: a configuration.

    :param raw: as the operator published it, to pass on to peers.
    """

    configuration: Configuration
    raw: bytes
    source: str


@final
@dataclass(frozen=True, slots=True)
class LogHealth:
    """Log follower to registry: whether the log answers.

    :param fault: what was seen; ``None`` when it answers.
    """

    source: str
    fault: str | None


@final
@dataclass(frozen=True, slots=True)
class RegistrySnapshot:
    """Registry's answer: what this node knows, for a peer.

    :param recent: servers that changed a short while ago.
    """

    version: int
    raw: bytes
    digest: int
    servers: tuple[BackendServer, ...]
    recent: tuple[BackendServer, ...]
    log_available: bool


@final
@dataclass(frozen=True, slots=True)
class AskRegistrySnapshot:
    """Sync task or inbound listener to registry."""

    reply: Reply[RegistrySnapshot]


@final
@dataclass(frozen=True, slots=True)
class GuardState:
    """What the gate publishes: the own backend server, and the load here."""

    server: BackendServer | None = None
    load: GuardLoad = field(default_factory=GuardLoad)
