"""What the branches of a fleet's node share."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import count
from typing import final

from _masticspoke.connections import Connections
from _masticspoke.decisions.fleet.lineage import Parents
from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import Configuration
from _masticspoke.fleet.counts import TrailMessage
from _masticspoke.fleet.dialect import Dialect
from _masticspoke.fleet.gate import GateMessage
from _masticspoke.fleet.messages import GuardState
from _masticspoke.fleet.outcomes import OutcomesMessage
from _masticspoke.fleet.outcomes import OutcomesState
from _masticspoke.fleet.placer import PlacerMessage
from _masticspoke.fleet.registry import Knowledge
from _masticspoke.fleet.registry import RegistryMessage
from _masticspoke.fleet.settings import FleetSettings
from _masticspoke.http_pool import HttpPool
from _masticspoke.supervise.latest import Latest
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.planned_stop import PlannedStop

# Messages that may wait for a task; more means that the node is far behind.
_CAPACITY = 8_192
# A connection on the platform's network is made in a few milliseconds, seconds.
CONNECT_TIMEOUT_S = 0.4


@final
@dataclass(frozen=True, slots=True)
class FleetParts:
    """What outlives a restart of a task."""

    settings: FleetSettings
    dialect: Dialect
    stop: PlannedStop
    knowledge: Knowledge
    configuration: Latest[Configuration | None]
    service: Latest[str]
    guard_state: Latest[GuardState]
    tickets: count[int]
    parents: Parents
    registry: Mailbox[RegistryMessage]
    placer: Mailbox[PlacerMessage]
    gate: Mailbox[GateMessage]
    outcomes: Mailbox[OutcomesMessage]
    outcomes_state: OutcomesState
    unsaved: Mailbox[BackendServer]
    trail: Mailbox[TrailMessage]
    log_connections: Connections
    peer_connections: Connections
    node_connections: HttpPool
    backend_connections: HttpPool
    single_use_backend_connections: HttpPool


def new_fleet_parts(settings: FleetSettings, dialect: Dialect) -> FleetParts:
    """Return the shared parts of a node that starts."""
    return FleetParts(
        settings=settings,
        dialect=dialect,
        stop=PlannedStop(settings.stop_timeout_s),
        knowledge=Knowledge(),
        configuration=Latest(None),
        service=Latest(settings.service),
        guard_state=Latest(GuardState()),
        tickets=count(),
        parents=Parents(),
        registry=Mailbox(_CAPACITY),
        placer=Mailbox(_CAPACITY),
        gate=Mailbox(_CAPACITY),
        outcomes=Mailbox(_CAPACITY),
        outcomes_state=OutcomesState(),
        unsaved=Mailbox(_CAPACITY),
        trail=Mailbox(_CAPACITY),
        log_connections=Connections(),
        peer_connections=Connections(),
        node_connections=HttpPool(CONNECT_TIMEOUT_S),
        backend_connections=HttpPool(CONNECT_TIMEOUT_S, True, dialect.echo_header),
        single_use_backend_connections=HttpPool(
            CONNECT_TIMEOUT_S, False, dialect.echo_header
        ),
    )
