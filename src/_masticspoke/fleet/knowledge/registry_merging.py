"""Merge states of backend servers, and send what has changed to other tasks."""

from __future__ import annotations

from _masticspoke.decisions.fleet import members
from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import Phase
from _masticspoke.events import Event
from _masticspoke.fleet.dispatch.messages import ServersChanged
from _masticspoke.fleet.guard.messages import LocalBackendState
from _masticspoke.fleet.knowledge import registry_conflicts
from _masticspoke.fleet.knowledge.registry_state import RegistryTask
from _masticspoke.fleet.reporting.event_record import EventRecord


def merge_servers(
    state: RegistryTask, servers: tuple[BackendServer, ...], source: str, now: float
) -> tuple[BackendServer, ...]:
    """Merge newer states; return those that must be sent to other nodes."""
    changed: list[BackendServer] = []
    for server in servers:
        if registry_conflicts.may_merge(state, server):
            registry_conflicts.forget_unnamed(state, server)
            changed += members.merge(state.registry.members, (server,))
        else:
            registry_conflicts.hold_back(state, server, source)
    for server in changed:
        state.registry.changed_at[server.address] = now
        state.registry.change += 1
        state.registry.changes[server.address] = state.registry.change
        state.port.trail.tell(
            EventRecord(Event.SERVER_CHANGED, _server_fields(server, source))
        )
    if changed:
        send_servers(state, tuple(changed))
    return tuple(changed)


def _server_fields(server: BackendServer, source: str) -> dict[str, object]:
    return {
        "server": str(server.address),
        "service": server.service,
        "instance": server.instance,
        "born_ms": server.born_ms,
        "phase": server.phase.name,
        "slots": server.slots,
        "source": source,
    }


def send_servers(state: RegistryTask, changed: tuple[BackendServer, ...]) -> None:
    """Send all states to the tasks that choose servers and share quotas."""
    servers = tuple(state.registry.members.by_address.values())
    message = ServersChanged(servers, changed)
    state.port.placer.tell(message)
    state.port.quota.tell(message)
    state.port.quota_keeper.tell(message)


def local_server_of(state: RegistryTask) -> BackendServer | None:
    """Return the known state of the local backend server."""
    return state.registry.members.by_address.get(state.backend_address)


def inform_gate(
    state: RegistryTask, server: BackendServer, has_just_started: bool = False
) -> None:
    """Tell the gate the local backend server's state, unless it may be out of date.

    A heartbeat may be late, and a process that has just started may not know yet that
    the server has left since.
    """
    registry_state = state.registry
    if server.phase is Phase.READY and not (
        registry_state.states_heard or registry_state.gate_informed
    ):
        return
    registry_state.gate_informed = True
    state.port.gate.tell(LocalBackendState(server, has_just_started))
