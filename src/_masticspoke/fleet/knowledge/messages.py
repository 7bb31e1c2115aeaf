"""Messages to and from the registry, which knows configuration and servers.

The first line of each docstring names the sender, the receiver and the content.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from _masticspoke.decisions.fleet.leaving import Leave
from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import Configuration
from _masticspoke.decisions.fleet.suspects import CrashReport
from _masticspoke.supervise.mailbox import Reply


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

    :param reply: answered with ``True`` once the leave is in the log, and with
        ``False`` if it can't be told from that of another incarnation.
    """

    leave: Leave
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
        been late, and the log can't be read now.
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
