"""Mailboxes, state and connections that the branches of a fleet's node share."""

from __future__ import annotations

import time
from dataclasses import dataclass
from itertools import count
from random import Random
from typing import final

from _masticspoke.connections import Connections
from _masticspoke.decisions.fleet import learned_limit
from _masticspoke.decisions.fleet.body_memory import body_limit_bytes
from _masticspoke.decisions.fleet.body_memory import BodyMemory
from _masticspoke.decisions.fleet.freshness import Confirmation
from _masticspoke.decisions.fleet.lineage import Parents
from _masticspoke.decisions.fleet.model import Configuration
from _masticspoke.decisions.fleet.relays import RelayState
from _masticspoke.decisions.fleet.relays import waits_within
from _masticspoke.decisions.fleet.suspects import SuspectView
from _masticspoke.fleet.dialect import Dialect
from _masticspoke.fleet.dispatch.placer import new_placer_state
from _masticspoke.fleet.dispatch.placer import PlacerMessage
from _masticspoke.fleet.dispatch.placer import PlacerState
from _masticspoke.fleet.guard.gate import GateMessage
from _masticspoke.fleet.guard.gate import GateState
from _masticspoke.fleet.guard.limit_learning import LimitLearning
from _masticspoke.fleet.guard.messages import GuardState
from _masticspoke.fleet.guard.run_recorder import RunRecorderMessage
from _masticspoke.fleet.guard.run_recorder import RunRecorderState
from _masticspoke.fleet.knowledge.era_watch import EraWatch
from _masticspoke.fleet.knowledge.followers import CONNECT_TIMEOUT_S
from _masticspoke.fleet.knowledge.messages import Unsaved
from _masticspoke.fleet.knowledge.registry import RegistryMessage
from _masticspoke.fleet.knowledge.registry_state import RegistryState
from _masticspoke.fleet.knowledge.relaying import RelayMessage
from _masticspoke.fleet.knowledge.states_writer import WriterState
from _masticspoke.fleet.quota.keeper import KeeperTask
from _masticspoke.fleet.quota.messages import KeeperMessage
from _masticspoke.fleet.quota.messages import QuotaMessage
from _masticspoke.fleet.quota.messages import SendQuery
from _masticspoke.fleet.quota.state import new_quota_task
from _masticspoke.fleet.quota.state import QuotaTask
from _masticspoke.fleet.reporting.counts import TrailMessage
from _masticspoke.fleet.reporting.foreign_bytes import foreign_bytes_reporter
from _masticspoke.fleet.reporting.foreign_bytes import Pool
from _masticspoke.fleet.settings import FleetSettings
from _masticspoke.http_pool import HttpPool
from _masticspoke.supervise.clocks import boot_clock
from _masticspoke.supervise.latest import Latest
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.planned_stop import PlannedStop
from _masticspoke.supervise.switch import Switch

# Messages that may wait for a task; more means that the node is far behind.
_MAILBOX_CAPACITY = 8_192


@final
@dataclass(frozen=True, slots=True)
class FleetParts:
    """Mailboxes, state and connections that outlive the restart of a task.

    :param configuration: the configuration in force; ``None`` until one is received.
    :param confirmation: when that configuration was known to be the newest.
    :param service: service of the backend server on this VM.
    :param tickets: source of unique tickets for the gate.
    :param parents: requests that run at the local backend server.
    :param unsaved: states of the local backend server, and this node's crash reports,
        that are to be appended to the log.
    :param suspects: requests that were running at crashes.
    :param quota_queries: queries to keepers of quotas that are to be sent.
    :param reads_log: on while this node reads the log itself.
    :param eras: what is known of restores of the log.
    :param log_answers: on while no access to the log has an error.
    :param configuration_wait_s: how long its reads of the configuration wait, seconds.
    :param bodies: memory for the bodies of requests.
    :param peer_connections: connections to other nodes for exchanges of states.
    :param node_connections: connections to the guards of other nodes.
    :param backend_connections: connections to the local backend server.
    :param single_use_backend_connections: connections to it for one request each.
    """

    settings: FleetSettings
    dialect: Dialect
    stop: PlannedStop
    registry_state: RegistryState
    configuration: Latest[Configuration | None]
    confirmation: Latest[Confirmation]
    service: Latest[str]
    guard_state: Latest[GuardState]
    tickets: count[int]
    parents: Parents
    registry: Mailbox[RegistryMessage]
    placer: Mailbox[PlacerMessage]
    placer_state: PlacerState
    gate: Mailbox[GateMessage]
    gate_state: GateState
    run_recorder: Mailbox[RunRecorderMessage]
    run_recorder_state: RunRecorderState
    unsaved: Mailbox[Unsaved]
    writer_state: WriterState
    suspects: Latest[SuspectView]
    quota: Mailbox[QuotaMessage]
    quota_task: QuotaTask
    quota_queries: Mailbox[SendQuery]
    quota_keeper: Mailbox[KeeperMessage]
    quota_keeper_task: KeeperTask
    trail: Mailbox[TrailMessage]
    relay_chooser: Mailbox[RelayMessage]
    relay_state: RelayState
    reads_log: Switch
    eras: EraWatch
    log_answers: Switch
    configuration_wait_s: Latest[float]
    bodies: BodyMemory
    peer_connections: Connections
    node_connections: HttpPool
    backend_connections: HttpPool
    single_use_backend_connections: HttpPool


def new_fleet_parts(settings: FleetSettings, dialect: Dialect) -> FleetParts:
    """Return the shared parts of a new node."""
    guard_state: Latest[GuardState] = Latest(GuardState())
    gate: Mailbox[GateMessage] = Mailbox(_MAILBOX_CAPACITY)
    trail: Mailbox[TrailMessage] = Mailbox(_MAILBOX_CAPACITY)
    waits = waits_within(settings.revocation_s)
    configuration: Latest[Configuration | None] = Latest(None)
    quota_queries: Mailbox[SendQuery] = Mailbox(_MAILBOX_CAPACITY)
    host = settings.nodes.host
    learning = LimitLearning(settings.learned_limit, configuration)

    def learns(slowdown_named: bool) -> bool:
        """Return whether the deployment calls for learned limits."""
        slowdown = 1.0 if slowdown_named else guard_state.value.slowdown
        return learned_limit.learns(
            settings.learned_limit, slowdown, configuration.value
        )

    return FleetParts(
        settings=settings,
        dialect=dialect,
        stop=PlannedStop(settings.stop_timeout_s),
        registry_state=RegistryState(),
        configuration=configuration,
        confirmation=Latest(Confirmation()),
        service=Latest(settings.service),
        guard_state=guard_state,
        tickets=count(),
        parents=Parents(),
        registry=Mailbox(_MAILBOX_CAPACITY),
        placer=Mailbox(_MAILBOX_CAPACITY),
        placer_state=new_placer_state(
            settings.zone,
            settings.budget,
            Random(),
            gate,
            trail,
            learns,
            time.time() - boot_clock(),
        ),
        gate=gate,
        gate_state=GateState(guard_state, trail, learning=learning),
        run_recorder=Mailbox(_MAILBOX_CAPACITY),
        run_recorder_state=RunRecorderState(),
        unsaved=Mailbox(_MAILBOX_CAPACITY),
        writer_state=WriterState(),
        suspects=Latest(SuspectView()),
        quota=Mailbox(_MAILBOX_CAPACITY),
        quota_task=new_quota_task(host, configuration, quota_queries, trail),
        quota_queries=quota_queries,
        quota_keeper=Mailbox(_MAILBOX_CAPACITY),
        quota_keeper_task=KeeperTask(configuration),
        trail=trail,
        relay_chooser=Mailbox(_MAILBOX_CAPACITY),
        relay_state=RelayState(host, settings.zone, waits=waits),
        reads_log=Switch(),
        configuration_wait_s=Latest(waits.read_s),
        bodies=BodyMemory(
            None
            if settings.memory_limit_bytes is None
            else body_limit_bytes(settings.memory_limit_bytes)
        ),
        eras=EraWatch(boot_clock),
        log_answers=Switch(),
        peer_connections=Connections(),
        node_connections=HttpPool(
            CONNECT_TIMEOUT_S,
            on_foreign_bytes=foreign_bytes_reporter(trail, Pool.NODE),
        ),
        backend_connections=HttpPool(
            CONNECT_TIMEOUT_S,
            True,
            dialect.echo_header,
            foreign_bytes_reporter(trail, Pool.BACKEND),
        ),
        single_use_backend_connections=HttpPool(
            CONNECT_TIMEOUT_S,
            False,
            dialect.echo_header,
            foreign_bytes_reporter(trail, Pool.SINGLE_USE_BACKEND),
        ),
    )
