"""Messages between the tasks of a fleet's node.

The first line of each docstring names the sender, the receiver and the content.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from dataclasses import field
from typing import final

from _masticspoke.decisions.fleet.learned_limit import Move
from _masticspoke.decisions.fleet.model import BackendNotice
from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import Configuration
from _masticspoke.decisions.fleet.model import GuardLoad
from _masticspoke.decisions.fleet.model import Job
from _masticspoke.decisions.fleet.model import NotRun
from _masticspoke.decisions.fleet.model import Phase
from _masticspoke.decisions.fleet.model import Route
from _masticspoke.decisions.fleet.queueing import Verdict
from _masticspoke.decisions.fleet.run_outcomes import RunOutcome
from _masticspoke.decisions.fleet.suspects import CrashReport
from _masticspoke.model import Address
from _masticspoke.supervise.mailbox import Reply


@final
@dataclass(frozen=True, slots=True)
class PlaceRequest:
    """Request task to placer: choose a backend server for the next send.

    :param service: service chosen for the first send; ``None`` before it.
    :param tried: servers that the request has been sent to.
    :param is_retry: whether an earlier send may have reached a backend server.
    :param parent_is_retry: whether the run that made the request is a retry.
    :param stop_left_s: seconds until the end of this node's planned stop; ``None`` if
        it isn't stopping.
    """

    route: Route
    service: str | None
    tried: Collection[Address]
    is_retry: bool
    parent_is_retry: bool
    stop_left_s: float | None
    reply: Reply[Placement | NoPlacement]


@final
@dataclass(frozen=True, slots=True)
class Placement:
    """Placer's reply: send the request to this server."""

    server: BackendServer


@final
@dataclass(frozen=True, slots=True)
class NoPlacement:
    """Placer's reply: the request can be sent to no server.

    :param reason: text for logs, counters and the caller; used only if the request has
        not been sent before.
    """

    service: str
    reason: str


@final
@dataclass(frozen=True, slots=True)
class SendEnded:
    """Request task to placer: how a send ended.

    :param failed: whether the server failed; ``None`` if the outcome does not show it.
    :param load: load that the server's guard reported; ``None`` if it reported none.
    :param not_run: why the request was declined; ``None`` if it was not.
    :param nested: whether a run at the local backend server made the request.
    :param answered_after_s: seconds from the send until its answer; ``None`` without
        one.
    """

    address: Address
    failed: bool | None
    load: GuardLoad | None
    not_run: NotRun | None
    service: str
    nested: bool
    route: str
    answered_after_s: float | None


@final
@dataclass(frozen=True, slots=True)
class ServersChanged:
    """Registry to placer, quota task and keeper: all backend servers, and the changed.

    Those that are new count as changed.
    """

    servers: tuple[BackendServer, ...]
    changed: tuple[BackendServer, ...]


@final
@dataclass(frozen=True, slots=True)
class Admit:
    """Request task to gate: decide whether a job may run at the local backend server.

    :param ticket: identifies the job; unique at this node.
    """

    ticket: int
    job: Job
    reply: Reply[Verdict]


@final
@dataclass(frozen=True, slots=True)
class RunEnded:
    """Request task to gate: a run has ended.

    :param answered: whether the backend server answered, so that the run time counts.
    :param outcome: whether it succeeded, or failed with a nested request.
    :param shows_speed: whether its run time is that of the backend server alone.
    """

    ticket: int
    answered: bool
    outcome: RunOutcome = RunOutcome.OTHER
    shows_speed: bool = False


@final
@dataclass(frozen=True, slots=True)
class RequestNotRun:
    """Request task to gate: the request ended before its run began.

    Sent after each refusal, and if the caller disconnects before the task has read the
    gate's verdict. The gate removes the request if it waits, or frees its slot if it
    was admitted. Then it refuses waiting requests that have expired, starts others in
    free slots and publishes its load. A request that is declined after the task has
    read that it is admitted ends with :class:`RunEnded` instead.
    """

    ticket: int


@final
@dataclass(frozen=True, slots=True)
class LocalBackendState:
    """Registry to gate: the latest state of the local backend server.

    :param has_just_started: whether its first heartbeats have just arrived, so that it
        can't have named a limit before.
    """

    server: BackendServer
    has_just_started: bool = False


@final
@dataclass(frozen=True, slots=True)
class BackendUnreachable:
    """Request task to gate: the local backend server accepts no connection."""

    instance: str


@final
@dataclass(frozen=True, slots=True)
class BackendAnswered:
    """Request task to gate: the local backend server has answered a request.

    Sent while the gate paces requests or waits for a first answer, with each answer
    that names a limit, and when the slowdown that answers name has changed.

    :param notice: what the server says of itself; its limit is readable.
    :param sent_at: time at which the request was sent.
    """

    instance: str
    notice: BackendNotice
    sent_at: float


@final
@dataclass(frozen=True, slots=True)
class DownstreamPressure:
    """Placer to gate: expected wait of nested requests at the called services.

    :param pressure_s: highest mean pressure of a recently called service, as reported
        by its guards in :class:`GuardLoad`.
    """

    pressure_s: float


@final
@dataclass(frozen=True, slots=True)
class StopAdmitting:
    """Departure to gate: the node is stopping; refuse all new requests."""


@final
@dataclass(frozen=True, slots=True)
class AskActiveCount:
    """Departure to gate: return the number of running and waiting requests."""

    reply: Reply[int]


@final
@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Control-plane listener to registry: a heartbeat of the local backend server.

    :param reply: answered once the state is merged and sent to this node's gate, and,
        if the server is leaving, appended to the log. The gate is not sent the state of
        an instance that has been replaced.
    """

    server: BackendServer
    reply: Reply[bool]


@final
@dataclass(frozen=True, slots=True)
class Deregistered:
    """Control-plane listener or request task to registry: the local server is leaving.

    It has deregistered, or says in an answer that it is leaving.

    :param born_ms: Unix time of the instance's start; ``None`` if it is not given.
    :param phase: phase of the instance from now on, unless it is in a later one.
    :param reply: answered once the server's phase is in the log.
    """

    instance: str
    born_ms: int | None
    phase: Phase
    reply: Reply[bool]


@final
@dataclass(frozen=True, slots=True)
class AskLocalBackend:
    """Probe to registry: return the local backend server's state if it is unconfirmed.

    :param reply: gets ``None`` if there is none, or once the gate knows the server.
    """

    reply: Reply[LocalCandidate | None]


@final
@dataclass(frozen=True, slots=True)
class LocalCandidate:
    """Registry's reply: a state of the local backend server that may be out of date.

    :param announced: whether the server has sent this node a heartbeat, which may have
        been late.
    """

    server: BackendServer
    announced: bool


@final
@dataclass(frozen=True, slots=True)
class Unsaved:
    """Registry to writer: append an entry to the log.

    :param entry: ``None`` to append nothing more.
    :param saved: answered with ``True`` once all entries up to this message are in the
        log.
    """

    entry: BackendServer | CrashReport | None
    saved: Reply[bool] | None = None


@final
@dataclass(frozen=True, slots=True)
class LocalBackendConfirmed:
    """Probe to registry: a health check confirmed the local backend server's state.

    :param server: the state that the registry returned to the probe.
    """

    server: BackendServer


@final
@dataclass(frozen=True, slots=True)
class ServersReceived:
    """Log follower, sync task or inbound listener to registry: backend server states.

    :param source: origin of the states, for the log line.
    """

    servers: tuple[BackendServer, ...]
    source: str


@final
@dataclass(frozen=True, slots=True)
class ConfigurationReceived:
    """Log follower, sync task or inbound listener to registry: a configuration.

    :param raw: the bytes that the operator published, to be forwarded to peers.
    :param source: origin of the configuration, for the log line.
    """

    configuration: Configuration
    raw: bytes
    source: str


@final
@dataclass(frozen=True, slots=True)
class LogHealth:
    """Log follower or writer to registry: the outcome of a request to the log.

    :param source: stream that is read, or ``writer``.
    :param fault: the error; ``None`` if the access succeeded.
    """

    source: str
    fault: str | None


@final
@dataclass(frozen=True, slots=True)
class LogNotRead:
    """Log follower to registry: a stream isn't read while a relay is followed."""

    source: str


@final
@dataclass(frozen=True, slots=True)
class LogRestored:
    """Restore watch to registry: the log may have lost what this node wrote to it."""


@final
@dataclass(frozen=True, slots=True)
class PeersAsked:
    """Sync task to registry: a round of exchanges has ended."""


@final
@dataclass(frozen=True, slots=True)
class RegistrySnapshot:
    """Registry's reply: configuration and backend servers, for a peer.

    :param version: version of the configuration in force; 0 if there is none.
    :param raw: that configuration as the operator published it.
    :param digest: digest of the states of all servers.
    :param recent: servers that changed within the last seconds.
    :param log_available: whether no follower or writer of the log reports a fault.
    :param crash_reports: crash reports of all guards.
    :param recent_crash_reports: those that changed within the last seconds.
    """

    version: int
    raw: bytes
    digest: int
    servers: tuple[BackendServer, ...]
    recent: tuple[BackendServer, ...]
    log_available: bool
    crash_reports: tuple[CrashReport, ...] = ()
    recent_crash_reports: tuple[CrashReport, ...] = ()


@final
@dataclass(frozen=True, slots=True)
class AskRegistrySnapshot:
    """Sync task or inbound listener to registry: return a snapshot."""

    reply: Reply[RegistrySnapshot]


@final
@dataclass(frozen=True, slots=True)
class LearnedLimitState:
    """The learned limit, its last move, and how run times grow with occupancy."""

    value: float
    last_move: Move
    elasticity: float


@final
@dataclass(frozen=True, slots=True)
class GuardState:
    """The local backend server and its load, as the gate publishes them.

    :param server: ``None`` until its state is known.
    :param needs_answers: whether the gate paces requests, or waits for a first answer
        before it knows whether it has to.
    :param rate_limit: requests a second that may start; ``None`` without a limit.
    :param slowdown: latest that the backend server named; ``None`` if it named none.
    :param route_limits: limits on concurrent runs by route, if its runs failed
        with their nested requests.
    :param learned_limit: ``None`` while no limit is learned.
    """

    server: BackendServer | None = None
    load: GuardLoad = field(default_factory=GuardLoad)
    needs_answers: bool = False
    rate_limit: float | None = None
    slowdown: float | None = None
    route_limits: tuple[tuple[str, float], ...] = ()
    learned_limit: LearnedLimitState | None = None
