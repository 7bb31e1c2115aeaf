"""The branches of the supervisor tree of a fleet's node."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from itertools import chain
from random import Random

from _masticspoke.border.exposition import encode_metrics
from _masticspoke.border.exposition import EXPOSITION_TYPE
from _masticspoke.border.follow import FOLLOW_PATH
from _masticspoke.border.hop import RUN_QUERY_PATH
from _masticspoke.border.quota import QUOTA_PATH
from _masticspoke.border.sync import SYNC_PATH
from _masticspoke.connections import connection_owner
from _masticspoke.connections import MAX_LINE_BYTES
from _masticspoke.decisions.fleet.model import Limits
from _masticspoke.decisions.fleet.model import limits_of
from _masticspoke.decisions.fleet.relays import states_pause_s
from _masticspoke.fleet.dispatch.front import FrontPort
from _masticspoke.fleet.dispatch.placer import placer
from _masticspoke.fleet.dispatch.sending import SendPort
from _masticspoke.fleet.entry.inbound import inbound_handler
from _masticspoke.fleet.entry.inbound import InboundPort
from _masticspoke.fleet.entry.inbound import MAX_BODY_BYTES
from _masticspoke.fleet.entry.inbound import outcome_handler
from _masticspoke.fleet.entry.listening import http_listener
from _masticspoke.fleet.guard.crash_watch import CrashWatch
from _masticspoke.fleet.guard.gate import gate
from _masticspoke.fleet.guard.guarding import GuardPort
from _masticspoke.fleet.guard.probe import probe
from _masticspoke.fleet.guard.probe import ProbePort
from _masticspoke.fleet.guard.run_recorder import run_recorder
from _masticspoke.fleet.knowledge.followers import CONNECT_TIMEOUT_S
from _masticspoke.fleet.knowledge.followers import Following
from _masticspoke.fleet.knowledge.followers import keyed_follower
from _masticspoke.fleet.knowledge.log_values import ConfigurationReads
from _masticspoke.fleet.knowledge.log_values import LogValuesPort
from _masticspoke.fleet.knowledge.log_values import on_configuration
from _masticspoke.fleet.knowledge.log_values import on_states
from _masticspoke.fleet.knowledge.registry import registry
from _masticspoke.fleet.knowledge.registry_state import RegistryPort
from _masticspoke.fleet.knowledge.relaying import follow_handler
from _masticspoke.fleet.knowledge.relaying import relay_chooser
from _masticspoke.fleet.knowledge.relaying import relay_follower
from _masticspoke.fleet.knowledge.relaying import RelayPort
from _masticspoke.fleet.knowledge.restore_watch import restore_watch
from _masticspoke.fleet.knowledge.states_writer import states_writer
from _masticspoke.fleet.knowledge.sync import sync_handler
from _masticspoke.fleet.knowledge.sync import sync_task
from _masticspoke.fleet.knowledge.sync import SyncPort
from _masticspoke.fleet.parts import FleetParts
from _masticspoke.fleet.quota.keeper import quota_handler
from _masticspoke.fleet.quota.taking import QuotaPort
from _masticspoke.fleet.quota.wiring import quota_children
from _masticspoke.fleet.quota.wiring import read_quota_samples
from _masticspoke.fleet.reporting.counts import AskCounts
from _masticspoke.fleet.reporting.counts import Counts
from _masticspoke.fleet.reporting.counts import samples
from _masticspoke.fleet.reporting.trail import nonblocking_writer
from _masticspoke.fleet.reporting.trail import trail
from _masticspoke.http_pool import pool_owner
from _masticspoke.http_server import Concurrent
from _masticspoke.http_server import Handler
from _masticspoke.http_server import HttpServer
from _masticspoke.http_server import Request
from _masticspoke.http_server import Response
from _masticspoke.model import Address
from _masticspoke.supervise.ask import ask
from _masticspoke.supervise.clocks import boot_clock
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.mailbox import Reply
from _masticspoke.supervise.supervisor import ChildSpec
from _masticspoke.supervise.supervisor import supervisor

# A follower whose log answers nothing more notices it within this time and the margin
# of a poll. States of backend servers also come from peers.
_STATES_READ_WAIT_S = 5.0
_CLOSE_TIMEOUT_S = 1.0
# Time between two checks for connections that are idle or slow beyond the limits.
_CLIENTS_SWEEP_INTERVAL_S = 1.0
_INTERNAL_SWEEP_INTERVAL_S = 5.0
# Wait for requests on connections that were accepted just before a socket closed.
_LAST_REQUESTS_WAIT_S = 0.15

# Limits of requests to all listeners except the one for clients.
_INTERNAL_LIMITS = Limits(header_bytes=MAX_LINE_BYTES, body_bytes=MAX_BODY_BYTES)


def reporting_branch(parts: FleetParts) -> ChildBody:
    """Return the supervisor of the trail."""
    write = nonblocking_writer(sys.stdout.fileno())
    body = trail(parts.trail, parts.settings.name, boot_clock, time.time, write)
    return supervisor("reporting", (ChildSpec("trail", body),), boot_clock)


def knowledge_branch(parts: FleetParts) -> ChildBody:
    """Return the supervisor of the registry and of the tasks that update it."""
    settings = parts.settings
    registry_port = RegistryPort(
        parts.configuration,
        parts.gate,
        parts.placer,
        parts.quota,
        parts.quota_keeper,
        parts.unsaved,
        parts.suspects,
        parts.trail,
        parts.dialect.configuration_stream,
        parts.dialect.servers_stream,
        parts.eras,
        parts.log_answers,
        parts.confirmation,
        settings.revocation_s,
        parts.service,
    )
    registry_body = registry(
        parts.registry,
        parts.registry_state,
        registry_port,
        settings.backend,
        boot_clock,
    )
    log_values = LogValuesPort(parts.registry, parts.trail, parts.dialect)
    configuration_follower = keyed_follower(
        parts.registry,
        settings.log,
        Following(
            parts.dialect.configuration_stream,
            read_wait_s=lambda: parts.configuration_wait_s.value,
            batch_pause_s=lambda: 0.0,
            active=parts.reads_log,
            clock=boot_clock,
        ),
        on_configuration(log_values, ConfigurationReads()),
        parts.eras,
    )
    states_follower = keyed_follower(
        parts.registry,
        settings.log,
        Following(
            parts.dialect.servers_stream,
            read_wait_s=lambda: _STATES_READ_WAIT_S,
            batch_pause_s=lambda: states_pause_s(parts.relay_state, boot_clock()),
            active=parts.reads_log,
            clock=boot_clock,
        ),
        on_states(log_values),
        parts.eras,
    )
    writer = states_writer(
        parts.unsaved,
        parts.writer_state,
        parts.registry,
        settings.log,
        parts.dialect.servers_stream,
        parts.eras,
        str(settings.backend),
    )
    chooser = relay_chooser(
        parts.relay_chooser,
        parts.relay_state,
        parts.reads_log,
        parts.configuration_wait_s,
        parts.trail,
        boot_clock,
    )
    children = (
        ChildSpec("registry", registry_body),
        ChildSpec("configuration_follower", configuration_follower),
        ChildSpec("states_follower", states_follower),
        ChildSpec("states_writer", writer),
        ChildSpec("relay_chooser", chooser),
        ChildSpec("relay_follower", relay_follower(relay_port(parts), Random())),
        ChildSpec(
            "restore_watch",
            restore_watch(parts.eras, parts.registry, parts.trail, Random()),
        ),
        ChildSpec("sync", sync_task(sync_port(parts), Random())),
    )
    return supervisor("knowledge", children, boot_clock)


def sync_port(parts: FleetParts) -> SyncPort:
    """Return the port of the sync task and of the handler of exchanges."""
    settings = parts.settings
    return SyncPort(
        parts.registry,
        parts.dialect,
        parts.peer_connections,
        settings.nodes.host,
        settings.seeds,
        settings.nodes.port,
        parts.eras,
        parts.log_answers,
    )


def relay_port(parts: FleetParts) -> RelayPort:
    """Return the port of the relay follower and of the handler of its requests."""
    return RelayPort(
        parts.relay_chooser,
        parts.registry,
        parts.node_connections,
        parts.dialect,
        parts.settings.nodes.port,
        parts.stop,
        parts.relay_state.waits,
        boot_clock,
        parts.eras,
    )


def dispatch_branch(parts: FleetParts) -> ChildBody:
    """Return the supervisor of placer, quotas and connections to other nodes."""
    placer_body = placer(parts.placer, parts.placer_state, boot_clock)
    peers_owner = connection_owner(parts.peer_connections, CONNECT_TIMEOUT_S)
    children = (
        ChildSpec("peer_connections", peers_owner, _CLOSE_TIMEOUT_S),
        ChildSpec("connections", pool_owner(parts.node_connections), _CLOSE_TIMEOUT_S),
        ChildSpec("placer", placer_body),
        *quota_children(parts),
    )
    return supervisor("dispatch", children, boot_clock)


def guard_branch(parts: FleetParts) -> ChildBody:
    """Return the supervisor of gate, probe, run recorder and backend connections."""
    probe_port = ProbePort(
        parts.registry,
        parts.configuration,
        parts.single_use_backend_connections,
        parts.dialect,
        parts.guard_state,
    )
    gate_body = gate(parts.gate, parts.gate_state, boot_clock)
    children = (
        ChildSpec(
            "connections", pool_owner(parts.backend_connections), _CLOSE_TIMEOUT_S
        ),
        ChildSpec("gate", gate_body),
        ChildSpec("probe", probe(probe_port)),
        ChildSpec(
            "fates",
            run_recorder(parts.run_recorder, parts.run_recorder_state, boot_clock),
        ),
    )
    return supervisor("guard", children, boot_clock)


def guard_port(parts: FleetParts) -> GuardPort:
    """Return the port for runs at the local backend server."""
    return GuardPort(
        parts.gate,
        parts.registry,
        parts.guard_state,
        parts.backend_connections,
        parts.single_use_backend_connections,
        parts.dialect,
        parts.trail,
        boot_clock,
        parts.tickets,
        parts.parents,
        CrashWatch(
            parts.registry,
            parts.suspects,
            parts.single_use_backend_connections,
            time.time,
        ),
    )


def front_port(parts: FleetParts) -> FrontPort:
    """Return the port for requests of clients and of the local backend server."""
    settings = parts.settings
    send = SendPort(
        parts.placer,
        parts.node_connections,
        guard_port(parts),
        settings.backend,
        settings.nodes.port,
    )
    return FrontPort(
        parts.configuration,
        send,
        parts.service,
        parts.stop,
        parts.confirmation,
        settings.revocation_s,
        QuotaPort(parts.quota),
    )


def metrics_handler(parts: FleetParts) -> Handler:
    """Return the handler of the metrics address."""

    async def handle(request: Request) -> Response:
        reply: Reply[Counts] = Reply()
        counts = await ask(parts.trail, AskCounts(reply), reply)
        if counts is None:
            return Response(503, body=b"the trail does not answer\n")
        metrics = samples(
            counts,
            parts.guard_state.value,
            parts.configuration.value,
            parts.confirmation.value,
            boot_clock(),
        )
        headers = {"Content-Type": EXPOSITION_TYPE}
        body = encode_metrics(chain(metrics, await read_quota_samples(parts)))
        return Response(200, headers, body)

    return handle


def entry_branch(
    parts: FleetParts,
    ingress: Handler,
    control_plane: Handler,
    readiness: Handler,
    concurrent: Concurrent,
) -> ChildBody:
    """Return the supervisor of the listening sockets.

    Children stop in reverse order: the socket for clients closes before the one where
    other nodes reach the guard.

    :param concurrent: returns whether a request of a client may run beside others of
        its connection.
    """
    settings = parts.settings
    port = InboundPort(guard_port(parts), parts.run_recorder)
    inbound = inbound_handler(
        port,
        {
            SYNC_PATH: sync_handler(sync_port(parts)),
            FOLLOW_PATH: follow_handler(relay_port(parts)),
            QUOTA_PATH: quota_handler(parts.quota_keeper),
            RUN_QUERY_PATH: outcome_handler(port),
        },
    )

    def limits() -> Limits:
        return limits_of(parts.configuration.value)

    def listener(
        name: str,
        address: Address,
        handler: Handler,
        last_requests_wait_s: float,
        limits: Callable[[], Limits] = lambda: _INTERNAL_LIMITS,
        sweep_interval_s: float = _INTERNAL_SWEEP_INTERVAL_S,
        concurrent: Concurrent | None = None,
    ) -> ChildSpec:
        server = HttpServer(
            handler, limits, lambda: parts.stop.under_way, concurrent, parts.bodies
        )
        body = http_listener(
            address,
            server,
            parts.stop,
            boot_clock,
            last_requests_wait_s,
            sweep_interval_s,
        )
        return ChildSpec(name, body, settings.stop_timeout_s)

    children = (
        listener("metrics", settings.metrics, metrics_handler(parts), 0.0),
        listener("control_plane", settings.control_plane, control_plane, 0.0),
        listener("readiness", settings.readiness, readiness, 0.0),
        listener("nodes", settings.nodes, inbound, _LAST_REQUESTS_WAIT_S),
        listener(
            "clients",
            settings.clients,
            ingress,
            _LAST_REQUESTS_WAIT_S,
            limits,
            _CLIENTS_SWEEP_INTERVAL_S,
            concurrent,
        ),
    )
    return supervisor("entry", children, boot_clock)
