"""State of the registry, and where it sends or publishes changes."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from math import inf
from random import getrandbits
from typing import final

from _masticspoke.decisions.fleet.freshness import Confirmation
from _masticspoke.decisions.fleet.members import Members
from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import Configuration
from _masticspoke.decisions.fleet.rivals import Rival
from _masticspoke.decisions.fleet.suspects import Incarnation
from _masticspoke.decisions.fleet.suspects import Suspects
from _masticspoke.decisions.fleet.suspects import SuspectView
from _masticspoke.fleet.dispatch.placer import PlacerMessage
from _masticspoke.fleet.guard.gate import GateMessage
from _masticspoke.fleet.knowledge.crash_messages import RunAbandoned
from _masticspoke.fleet.knowledge.era_watch import EraWatch
from _masticspoke.fleet.knowledge.messages import ConfigurationReceived
from _masticspoke.fleet.knowledge.messages import Deregistered
from _masticspoke.fleet.knowledge.messages import Unsaved
from _masticspoke.fleet.knowledge.relay_messages import AskNews
from _masticspoke.fleet.knowledge.relay_messages import VersionConfirmed
from _masticspoke.fleet.quota.messages import KeeperMessage
from _masticspoke.fleet.quota.messages import QuotaMessage
from _masticspoke.fleet.reporting.counts import TrailMessage
from _masticspoke.model import Address
from _masticspoke.supervise.latest import Latest
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.switch import Switch

# Bits of the identity of a process.
_IDENTITY_BITS = 48


@final
@dataclass(slots=True)
class RegistryState:
    """State that outlives a crash of the task.

    Neither a server's state nor the configuration version goes back at a restart.

    :param raw: configuration in force, as the operator published it.
    :param faults: current errors of access to the log, by :attr:`LogHealth.source`.
    :param answered_at: time of the log's last answer, by :attr:`LogHealth.source`.
    :param changed_at: time of the last change of each server.
    :param heartbeat: state in the last heartbeat of the local backend server that was
        not older than what was known; ``None`` before it. It may have been late.
    :param states_heard: whether the states in the log have been read once, here or by
        the relay that this node follows.
    :param early_deregistrations: received before that, of a server not known yet.
    :param gate_informed: whether the gate knows the local backend server.
    :param identity: identity of this process, for nodes that follow it.
    :param change: number of the last change of a server or crash report.
    :param changes: number of the last change of each server.
    :param log_states_read: whether the states in the log have been read here.
    :param unconfirmed: newest configuration, until the log has answered or has turned
        this node away for the first time, and peers have been asked.
    :param early_confirmation: latest confirmation of a version while none is in force.
    :param held: questions of nodes that follow this one, to be answered with the next
        configuration.
    :param suspects: crash reports of all guards, and what they show.
    :param report_changes: number of the last change of each guard's crash report.
    :param report_changed_at: time of that change.
    :param abandoned: runs that were cancelled a moment ago.
    :param configured_at: time at which the first configuration was received.
    :param stale_since: time at which it was logged that keys are refused; ``None``
        while they are accepted.
    :param held_states: states of servers whose services no configuration names.
    :param own_incarnation: incarnation of the local backend server as it names itself;
        ``None`` before its first heartbeat that is in force.
    :param own_heartbeats: number of its heartbeats that were in force.
    :param heard_at: time of the latest of them.
    :param rival: another incarnation that sends heartbeats there.
    :param restated: start that this node states for an incarnation, in place of the one
        that the server names, to replace a false state.
    :param repaired_at: time at which a false entry in the log was replaced.
    """

    members: Members = field(default_factory=Members)
    raw: bytes = b""
    faults: dict[str, str] = field(default_factory=dict)
    answered_at: dict[str, float] = field(default_factory=dict)
    changed_at: dict[Address, float] = field(default_factory=dict)
    heartbeat: BackendServer | None = None
    states_heard: bool = False
    log_states_read: bool = False
    early_deregistrations: list[Deregistered] = field(default_factory=list)
    gate_informed: bool = False
    identity: int = field(default_factory=lambda: getrandbits(_IDENTITY_BITS))
    change: int = 0
    changes: dict[Address, int] = field(default_factory=dict)
    unconfirmed: ConfigurationReceived | None = None
    early_confirmation: VersionConfirmed | None = None
    held: list[AskNews] = field(default_factory=list)
    suspects: Suspects = field(default_factory=Suspects)
    report_changes: dict[Address, int] = field(default_factory=dict)
    report_changed_at: dict[Address, float] = field(default_factory=dict)
    abandoned: deque[RunAbandoned] = field(default_factory=deque)
    configured_at: float = 0.0
    stale_since: float | None = None
    held_states: dict[Address, BackendServer] = field(default_factory=dict)
    own_incarnation: Incarnation | None = None
    own_heartbeats: int = 0
    heard_at: float = -inf
    rival: Rival | None = None
    restated: dict[Incarnation, int] = field(default_factory=dict)
    repaired_at: float = -inf


@final
@dataclass(frozen=True, slots=True)
class RegistryPort:
    """Where the registry sends or publishes changes.

    :param configuration: the configuration in force; ``None`` until one is received.
    :param unsaved: states of the local backend server, and this node's crash reports,
        that are to be appended to the log.
    :param suspects: requests that were running at crashes.
    :param configuration_stream: stream of the log that holds the configuration.
    :param servers_stream: stream of the log that holds the states of backend servers.
    :param eras: what is known of restores of the log.
    :param log_answers: on while no access to the log has an error.
    :param confirmation: when the configuration in force was known to be the newest.
    :param revocation_s: bound on the revocation of a key; ``None`` if there is none.
    :param local_service: service of the local backend server, as the settings name it.
    """

    configuration: Latest[Configuration | None]
    gate: Mailbox[GateMessage]
    placer: Mailbox[PlacerMessage]
    quota: Mailbox[QuotaMessage]
    quota_keeper: Mailbox[KeeperMessage]
    unsaved: Mailbox[Unsaved]
    suspects: Latest[SuspectView]
    trail: Mailbox[TrailMessage]
    configuration_stream: str
    servers_stream: str
    eras: EraWatch
    log_answers: Switch
    confirmation: Latest[Confirmation] = field(
        default_factory=lambda: Latest(Confirmation())
    )
    revocation_s: float | None = None
    local_service: Latest[str] = field(default_factory=lambda: Latest(""))


@final
@dataclass(slots=True)
class RegistryTask:
    """State and ports of the registry's task.

    :param backend_address: address of the local backend server.
    """

    registry: RegistryState
    port: RegistryPort
    backend_address: Address


def version_in_force(state: RegistryTask) -> int:
    """Return the version of the configuration in force; 0 if there is none."""
    configuration = state.port.configuration.value
    return 0 if configuration is None else configuration.version


def answer_ages_ms(registry_state: RegistryState, now: float) -> dict[str, int]:
    """Return the time since the log's last answer, milliseconds, by source."""
    return {
        source: int((now - answered_at) * 1000)
        for source, answered_at in registry_state.answered_at.items()
    }
