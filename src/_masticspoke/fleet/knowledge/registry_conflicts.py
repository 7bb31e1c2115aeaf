"""What the registry does with states of backend servers that can't be true.

Another writer may state anything: a service that no configuration names, another
instance at the address of a server, or a start in the future. The node beside a server
knows it best, as the server's heartbeats arrive there. It restates the server's state
with a start behind the one that was stated, so that all nodes merge it.
"""

from __future__ import annotations

from dataclasses import replace

from _masticspoke.decisions.fleet import members
from _masticspoke.decisions.fleet import rivals
from _masticspoke.decisions.fleet.leaving import Leave
from _masticspoke.decisions.fleet.log_rate_limit import Importance
from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import Phase
from _masticspoke.decisions.fleet.suspects import Incarnation
from _masticspoke.events import Event
from _masticspoke.fleet.knowledge.messages import Unsaved
from _masticspoke.fleet.knowledge.registry_restore import LOG_SOURCE
from _masticspoke.fleet.knowledge.registry_state import RegistryState
from _masticspoke.fleet.knowledge.registry_state import RegistryTask
from _masticspoke.fleet.reporting.event_record import EventRecord

# Servers whose states are held back until a configuration names their services.
MAX_HELD = 4_096
# Heartbeats after which the local backend server counts as present, and the longest
# time since the latest one, seconds. Heartbeats may be some seconds late.
MIN_HEARTBEATS = 2
MAX_SILENCE_S = 5.0
# Shortest time between two repairs of the local backend server's entry in the log.
MIN_REPAIR_INTERVAL_S = 5.0
# Reasons of refused states, as written to logs and metrics.
UNNAMED_SERVICE = "unnamed-service"
OTHER_INSTANCE = "other-instance"
OLDER = "older"


def incarnation_of(server: BackendServer) -> Incarnation:
    """Return the incarnation that a state is of."""
    return Incarnation(server.address, server.instance, server.born_ms)


def _is_same_start(first: BackendServer, second: BackendServer) -> bool:
    return first.instance == second.instance and first.born_ms == second.born_ms


def may_merge(state: RegistryTask, server: BackendServer) -> bool:
    """Return whether the names of services allow that a state is merged.

    A server of a service that nothing names replaces none that can be used. Its service
    may be named by a version that was not read yet.
    """
    known = state.registry.members.by_address.get(server.address)
    if known is None or _is_same_start(known, server):
        return True
    return _is_named(state, server) or not _is_named(state, known)


def _is_named(state: RegistryTask, server: BackendServer) -> bool:
    """Return whether the configuration or the settings name the service of a server.

    All services count as named until a configuration is in force. No service stands in
    the states of servers of which only the leave is known.
    """
    configuration = state.port.configuration.value
    if configuration is None or not configuration.services:
        return True
    if not server.service:
        return server.phase is not Phase.READY
    is_own = server.address == state.backend_address and (
        server.service == state.port.local_service.value
    )
    return is_own or server.service in configuration.services


def forget_unnamed(state: RegistryTask, server: BackendServer) -> None:
    """Forget the state at the address of a server if only it has an unnamed service.

    Its start may be later than that of the server, which is merged next.
    """
    known = state.registry.members.by_address.get(server.address)
    if (
        known is not None
        and not _is_same_start(known, server)
        and _is_named(state, server)
        and not _is_named(state, known)
    ):
        members.remove(state.registry.members, server.address)
        hold_back(state, known, "earlier")


def refuse(
    state: RegistryTask, server: BackendServer, source: str, reason: str
) -> None:
    """Log and count a state that is not merged."""
    fields = {
        "server": str(server.address),
        "service": server.service,
        "instance": server.instance,
        "born_ms": server.born_ms,
        "sequence": server.sequence,
        "phase": server.phase.name,
        "source": source,
        "reason": reason,
    }
    record = EventRecord(Event.STATE_REFUSED, fields, Importance.FAILURE)
    state.port.trail.tell(record)


def hold_back(state: RegistryTask, server: BackendServer, source: str) -> None:
    """Keep a state whose service may be named by a version that was not read yet.

    That of the local backend server is not kept: its heartbeats tell it again.
    """
    held = state.registry.held_states
    known = held.get(server.address)
    if not members.is_newer(server, known):
        return
    if known is None or members.must_propagate(server, known):
        refuse(state, server, source, UNNAMED_SERVICE)
    is_local = server.address == state.backend_address
    if not is_local and (known is not None or len(held) < MAX_HELD):
        held[server.address] = server


def take_named(state: RegistryTask) -> tuple[BackendServer, ...]:
    """Return the held states whose services are named by now; hold them no longer."""
    held = state.registry.held_states
    named = tuple(server for server in held.values() if _is_named(state, server))
    for server in named:
        del held[server.address]
    return named


def with_restated_start(state: RegistryTask, server: BackendServer) -> BackendServer:
    """Return a state of the local backend server with the start that nodes know."""
    restated = state.registry.restated
    incarnation = incarnation_of(server)
    if incarnation not in restated:
        return server
    return replace(server, born_ms=restated[incarnation])


def leave_with_restated_start(state: RegistryTask, leave: Leave) -> Leave:
    """Return a leave of the local backend server with the start that nodes know."""
    if leave.born_ms is None:
        return leave
    incarnation = Incarnation(state.backend_address, leave.instance, leave.born_ms)
    born_ms = state.registry.restated.get(incarnation, leave.born_ms)
    return replace(leave, born_ms=born_ms)


def heard(state: RegistryTask, own: Incarnation, now: float) -> None:
    """Record a heartbeat of the incarnation that is in force.

    :param own: incarnation as the server itself names it.
    """
    registry_state = state.registry
    rival, registry_state.rival = registry_state.rival, None
    if registry_state.own_incarnation != own:
        registry_state.own_incarnation = own
        registry_state.own_heartbeats = rivals.heartbeats_of(rival, own)
        restated = registry_state.restated
        registry_state.restated = {k: v for k, v in restated.items() if k == own}
    registry_state.own_heartbeats += 1
    registry_state.heard_at = now


def refusal_reason(
    state: RegistryTask, heartbeat: BackendServer, now: float
) -> str | None:
    """Return why a heartbeat is not merged; ``None`` if it is, unless it is older."""
    if not may_merge(state, heartbeat):
        return UNNAMED_SERVICE
    return OTHER_INSTANCE if _must_be_confirmed(state, heartbeat, now) else None


def _must_be_confirmed(
    state: RegistryTask, heartbeat: BackendServer, now: float
) -> bool:
    """Return whether a heartbeat of another instance counts only with the next one.

    That is so once a false one has been found, while the server itself is present.
    """
    registry_state = state.registry
    known = registry_state.members.by_address.get(state.backend_address)
    if known is None or _is_same_start(known, heartbeat):
        return False
    if not _has_been_restated(registry_state) or not _is_present(registry_state, now):
        return False
    if not members.is_newer(heartbeat, known):
        return False
    registry_state.rival = rivals.after_heartbeat(registry_state.rival, heartbeat, now)
    return not rivals.is_confirmed(registry_state.rival)


def is_false_leave(state: RegistryTask, leave: Leave, now: float) -> bool:
    """Return whether a leave of an unknown instance is taken for a false one."""
    registry_state = state.registry
    own = registry_state.own_incarnation
    return (
        own is not None
        and leave.instance != own.instance
        and _has_been_restated(registry_state)
        and _is_present(registry_state, now)
    )


def is_leave_unknown(known: BackendServer, instance: str, phase: Phase) -> bool:
    """Return whether an instance that leaves is still in use under another start.

    Its leave then is not in force, and must not be acknowledged. A late one of an
    earlier start under its id looks the same.
    """
    return known.instance == instance and known.phase < phase


def _has_been_restated(registry_state: RegistryState) -> bool:
    return registry_state.own_incarnation in registry_state.restated


def _is_present(registry_state: RegistryState, now: float) -> bool:
    """Return whether the local backend server sends heartbeats at present."""
    return (
        registry_state.own_heartbeats >= MIN_HEARTBEATS
        and now - registry_state.heard_at <= MAX_SILENCE_S
    )


def after_ignored_heartbeat(
    state: RegistryTask, heartbeat: BackendServer, known: BackendServer, now: float
) -> BackendServer | None:
    """Return the state to be merged if the sender of an older heartbeat is there.

    A leave of the same instance is never undone: the heartbeat may be of before it.

    :param heartbeat: state as the server itself names it.
    """
    if heartbeat.instance == known.instance and heartbeat.phase < known.phase:
        return None
    rival = rivals.after_heartbeat(state.registry.rival, heartbeat, now)
    state.registry.rival = rival
    if not rivals.is_present(rival):
        refuse(state, heartbeat, "heartbeat", OLDER)
        return None
    return _restate(state, heartbeat, incarnation_of(heartbeat), known, "heartbeat")


def contradict(
    state: RegistryTask, stated: BackendServer, source: str, now: float
) -> BackendServer | None:
    """Return the state to be merged if another writer states a false one.

    :param stated: state of another incarnation at the local backend server's address.
    """
    registry_state = state.registry
    known = registry_state.members.by_address.get(state.backend_address)
    own = registry_state.own_incarnation
    if known is None or own is None or _is_same_start(stated, known):
        return None
    is_newer = members.is_newer(stated, known)
    if is_newer or source == LOG_SOURCE:
        refuse(state, stated, source, OTHER_INSTANCE)
    if known.instance != own.instance or not _is_present(registry_state, now):
        return None
    if is_newer:
        return _restate(state, known, own, stated, source)
    repaired_s = now - registry_state.repaired_at
    if source == LOG_SOURCE and repaired_s >= MIN_REPAIR_INTERVAL_S:
        registry_state.repaired_at = now
        state.port.unsaved.tell(Unsaved(known))
    return None


def _restate(
    state: RegistryTask,
    server: BackendServer,
    own: Incarnation,
    stated: BackendServer,
    source: str,
) -> BackendServer:
    """Return the state of a server, such that it replaces what another one stated."""
    born_ms = stated.born_ms + 1
    state.registry.restated[own] = born_ms
    fields = {
        "server": str(server.address),
        "instance": server.instance,
        "born_ms": own.born_ms,
        "restated_ms": born_ms,
        "stated_instance": stated.instance,
        "stated_ms": stated.born_ms,
        "source": source,
    }
    state.port.trail.tell(EventRecord(Event.STATE_RESTATED, fields))
    return replace(server, born_ms=born_ms)
