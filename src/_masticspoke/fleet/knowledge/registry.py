"""The registry: owns the configuration and the states of all backend servers."""

from __future__ import annotations

from _masticspoke.decisions.fleet import leaving
from _masticspoke.decisions.fleet import members
from _masticspoke.decisions.fleet.log_era import may_rely_on_log
from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import Phase
from _masticspoke.events import Event
from _masticspoke.fleet.dispatch.messages import ServersChanged
from _masticspoke.fleet.guard.messages import LocalBackendState
from _masticspoke.fleet.knowledge import registry_conflicts
from _masticspoke.fleet.knowledge.crash_messages import BackendCrashed
from _masticspoke.fleet.knowledge.crash_messages import CrashReportsReceived
from _masticspoke.fleet.knowledge.crash_messages import RunAbandoned
from _masticspoke.fleet.knowledge.crash_messages import SuspectSucceeded
from _masticspoke.fleet.knowledge.messages import AskLocalBackend
from _masticspoke.fleet.knowledge.messages import AskRegistrySnapshot
from _masticspoke.fleet.knowledge.messages import ConfigurationReceived
from _masticspoke.fleet.knowledge.messages import Deregistered
from _masticspoke.fleet.knowledge.messages import Heartbeat
from _masticspoke.fleet.knowledge.messages import LocalBackendConfirmed
from _masticspoke.fleet.knowledge.messages import LocalCandidate
from _masticspoke.fleet.knowledge.messages import LogHealth
from _masticspoke.fleet.knowledge.messages import LogNotRead
from _masticspoke.fleet.knowledge.messages import LogRestored
from _masticspoke.fleet.knowledge.messages import PeersAsked
from _masticspoke.fleet.knowledge.messages import ServersReceived
from _masticspoke.fleet.knowledge.messages import Unsaved
from _masticspoke.fleet.knowledge.registry_crashes import backend_crashed
from _masticspoke.fleet.knowledge.registry_crashes import crash_reports_received
from _masticspoke.fleet.knowledge.registry_crashes import run_abandoned
from _masticspoke.fleet.knowledge.registry_crashes import suspect_succeeded
from _masticspoke.fleet.knowledge.registry_freshness import check_freshness
from _masticspoke.fleet.knowledge.registry_freshness import freshness_timer_s
from _masticspoke.fleet.knowledge.registry_freshness import use_early_confirmation
from _masticspoke.fleet.knowledge.registry_freshness import version_confirmed
from _masticspoke.fleet.knowledge.registry_news import answer_held
from _masticspoke.fleet.knowledge.registry_news import ask_news
from _masticspoke.fleet.knowledge.registry_news import ask_registry_snapshot
from _masticspoke.fleet.knowledge.registry_restore import hold_unconfirmed
from _masticspoke.fleet.knowledge.registry_restore import log_restored
from _masticspoke.fleet.knowledge.registry_restore import LOG_SOURCE
from _masticspoke.fleet.knowledge.registry_restore import may_use_first
from _masticspoke.fleet.knowledge.registry_state import answer_ages_ms
from _masticspoke.fleet.knowledge.registry_state import RegistryPort
from _masticspoke.fleet.knowledge.registry_state import RegistryState
from _masticspoke.fleet.knowledge.registry_state import RegistryTask
from _masticspoke.fleet.knowledge.relay_messages import AskNews
from _masticspoke.fleet.knowledge.relay_messages import VersionConfirmed
from _masticspoke.fleet.reporting.event_record import EventRecord
from _masticspoke.model import Address
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply
from _masticspoke.supervise.server import Handlers
from _masticspoke.supervise.server import serve_at_once
from _masticspoke.supervise.supervisor import Clock

RegistryMessage = (
    Heartbeat
    | Deregistered
    | ServersReceived
    | ConfigurationReceived
    | VersionConfirmed
    | LogHealth
    | LogNotRead
    | AskRegistrySnapshot
    | AskNews
    | AskLocalBackend
    | LocalBackendConfirmed
    | BackendCrashed
    | RunAbandoned
    | SuspectSucceeded
    | CrashReportsReceived
    | LogRestored
    | PeersAsked
)
# Heartbeats up to this number show that a backend server has just started.
_MAX_FIRST_SEQUENCE = 2


def registry(
    inbox: Mailbox[RegistryMessage],
    registry_state: RegistryState,
    port: RegistryPort,
    backend_address: Address,
    clock: Clock,
) -> ChildBody:
    """Return the body of the registry's task.

    :param backend_address: address of the local backend server.
    """

    async def run(life: Lifecycle) -> None:
        state = RegistryTask(registry_state, port, backend_address)
        _send_servers(state, ())
        await serve_at_once(
            inbox,
            state,
            _HANDLERS,
            clock,
            life,
            wait_s=freshness_timer_s,
            on_timer=check_freshness,
        )

    return run


def _heartbeat(state: RegistryTask, message: Heartbeat, now: float) -> None:
    heartbeat = registry_conflicts.with_restated_start(state, message.server)
    reason = registry_conflicts.refusal_reason(state, heartbeat, now)
    if reason is not None:
        registry_conflicts.refuse(state, heartbeat, "heartbeat", reason)
        message.reply.answer(heartbeat.phase is Phase.READY)
        return
    changed = _merge_servers(state, (heartbeat,), "heartbeat", now)
    local_server = state.registry.members.by_address[state.backend_address]
    if not members.is_current(heartbeat, local_server):
        restated = registry_conflicts.after_ignored_heartbeat(
            state, message.server, local_server, now
        )
        if restated is not None:
            heartbeat = local_server = restated
            changed += _merge_servers(state, (restated,), "heartbeat", now)
    if members.is_current(heartbeat, local_server):
        own = registry_conflicts.incarnation_of(message.server)
        registry_conflicts.heard(state, own, now)
        state.registry.heartbeat = heartbeat
        has_just_started = heartbeat.sequence <= _MAX_FIRST_SEQUENCE
        _inform_gate(state, local_server, has_just_started)
    for server in changed:
        state.port.unsaved.tell(Unsaved(server))
    if message.server.phase is Phase.READY:
        message.reply.answer(True)
    else:
        _answer_when_saved(state, message.reply)


def _local_server(state: RegistryTask) -> BackendServer | None:
    return state.registry.members.by_address.get(state.backend_address)


def _inform_gate(
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


def _answer_when_saved(state: RegistryTask, reply: Reply[bool]) -> None:
    """Answer once the log has what the registry knows of the local backend server.

    The answer is an acknowledgement, which must outlive this process.
    """
    state.port.unsaved.tell(Unsaved(None, reply))


def _deregistered(state: RegistryTask, message: Deregistered, now: float) -> None:
    local_server = _local_server(state)
    if local_server is None and not state.registry.states_heard:
        state.registry.early_deregistrations.append(message)
        return
    if registry_conflicts.is_false_leave(state, message.leave, now):
        message.reply.answer(False)
        return
    leave = registry_conflicts.leave_with_restated_start(state, message.leave)
    left = leaving.state_after(leave, local_server, state.backend_address)
    for server in _merge_servers(state, (left,), "deregistration", now):
        state.port.unsaved.tell(Unsaved(server))
        _inform_gate(state, server)
    if leaving.is_binding(leave, _local_server(state)):
        _answer_when_saved(state, message.reply)
    else:
        message.reply.answer(False)


def _set_states_heard(state: RegistryTask, now: float) -> None:
    """Use what was held back until the log had been read once."""
    if state.registry.states_heard:
        return
    state.registry.states_heard = True
    early = state.registry.early_deregistrations
    state.registry.early_deregistrations = []
    for message in early:
        _deregistered(state, message, now)
    local_server = _local_server(state)
    if local_server is not None and _has_announced_itself(state, local_server):
        has_just_started = local_server.sequence <= _MAX_FIRST_SEQUENCE
        _inform_gate(state, local_server, has_just_started)


def _has_announced_itself(state: RegistryTask, server: BackendServer) -> bool:
    heartbeat = state.registry.heartbeat
    return heartbeat is not None and (heartbeat.instance, heartbeat.born_ms) == (
        server.instance,
        server.born_ms,
    )


def _ask_local_backend(
    state: RegistryTask, message: AskLocalBackend, now: float
) -> None:
    local_server = _local_server(state)
    if local_server is None or state.registry.gate_informed:
        message.reply.answer(None)
        return
    announced = _has_announced_itself(state, local_server) and (
        state.port.servers_stream in state.registry.faults
    )
    message.reply.answer(LocalCandidate(local_server, announced))


def _local_backend_confirmed(
    state: RegistryTask, message: LocalBackendConfirmed, now: float
) -> None:
    if _local_server(state) == message.server and not state.registry.gate_informed:
        state.registry.gate_informed = True
        state.port.gate.tell(LocalBackendState(message.server))


def _servers_received(
    state: RegistryTask, message: ServersReceived, now: float
) -> None:
    accepted: list[BackendServer] = []
    for server in message.servers:
        if server.address == state.backend_address:
            accepted += _local_states(state, server, message.source, now)
        else:
            accepted.append(server)
    for server in _merge_servers(state, tuple(accepted), message.source, now):
        if server.address == state.backend_address and server.phase is not Phase.READY:
            _inform_gate(state, server)
    if message.source == LOG_SOURCE:
        state.registry.log_states_read = True
        if may_rely_on_log(state.port.eras.state):
            _set_states_heard(state, now)


def _local_states(
    state: RegistryTask, stated: BackendServer, source: str, now: float
) -> tuple[BackendServer, ...]:
    """Return the states to be merged if another writer states the local server's."""
    if _is_accepted(state, stated) and registry_conflicts.may_merge(state, stated):
        return (stated,)
    restated = registry_conflicts.contradict(state, stated, source, now)
    if restated is None:
        return ()
    state.registry.heartbeat = restated
    state.port.unsaved.tell(Unsaved(restated))
    _inform_gate(state, restated)
    return (restated,)


def _is_accepted(state: RegistryTask, server: BackendServer) -> bool:
    """Return whether a state of the local backend server may be merged.

    The local backend server's heartbeats are newer than its state from other sources,
    but a node that restarted may learn only from others that it is leaving, or that the
    heartbeat was one of an earlier instance.
    """
    if state.registry.heartbeat is None or not state.registry.states_heard:
        return True
    local_server = state.registry.members.by_address[state.backend_address]
    return (server.instance, server.born_ms) == (
        local_server.instance,
        local_server.born_ms,
    ) and server.phase > local_server.phase


def _merge_servers(
    state: RegistryTask, servers: tuple[BackendServer, ...], source: str, now: float
) -> tuple[BackendServer, ...]:
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
        _send_servers(state, tuple(changed))
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


def _send_servers(state: RegistryTask, changed: tuple[BackendServer, ...]) -> None:
    servers = tuple(state.registry.members.by_address.values())
    message = ServersChanged(servers, changed)
    state.port.placer.tell(message)
    state.port.quota.tell(message)
    state.port.quota_keeper.tell(message)


def _configuration_received(
    state: RegistryTask, message: ConfigurationReceived, now: float
) -> None:
    previous = state.port.configuration.value
    if previous is not None and previous.version >= message.configuration.version:
        return
    if previous is None:
        message = hold_unconfirmed(state.registry, message)
        if not may_use_first(state, message.source):
            return
        state.registry.unconfirmed = None
        state.registry.configured_at = now
    state.registry.raw = message.raw
    state.port.configuration.tell(message.configuration)
    _use_named_states(state, now)
    use_early_confirmation(state, now)
    answer_held(state, now)
    state.port.trail.tell(
        EventRecord(
            Event.CONFIGURATION_IN_FORCE,
            {
                "version": message.configuration.version,
                "before": 0 if previous is None else previous.version,
                "routes": len(message.configuration.routes),
                "source": message.source,
                "log_answer_age_ms": answer_ages_ms(state.registry, now),
            },
        )
    )


def _use_named_states(state: RegistryTask, now: float) -> None:
    """Merge the states that were held back, if the configuration names them now."""
    _merge_servers(state, registry_conflicts.take_named(state), "configuration", now)


def _peers_asked(state: RegistryTask, message: PeersAsked, now: float) -> None:
    """Use what was held back until peers had been asked once."""
    stream = state.port.configuration_stream
    if stream in state.registry.answered_at:
        _use_unconfirmed(state, stream, now)
    if state.registry.log_states_read:
        _set_states_heard(state, now)


def _log_health(state: RegistryTask, message: LogHealth, now: float) -> None:
    previous_fault = state.registry.faults.get(message.source)
    ages_ms = answer_ages_ms(state.registry, now)
    if message.fault is None:
        state.registry.faults.pop(message.source, None)
        state.port.log_answers.turn(not state.registry.faults)
        state.registry.answered_at[message.source] = now
    else:
        state.registry.faults[message.source] = message.fault
        state.port.log_answers.turn(False)
        answer_held(state, now)
        _use_unconfirmed(state, message.source, now)
    if (previous_fault is None) is not (message.fault is None):
        event = Event.LOG_AVAILABLE if message.fault is None else Event.LOG_UNAVAILABLE
        fields = {
            "source": message.source,
            "fault": message.fault or "",
            "log_answer_age_ms": ages_ms.get(message.source),
        }
        state.port.trail.tell(EventRecord(event, fields))


def _use_unconfirmed(state: RegistryTask, source: str, now: float) -> None:
    held = state.registry.unconfirmed
    if held is not None and source == state.port.configuration_stream:
        state.registry.unconfirmed = None
        _configuration_received(state, held, now)


def _log_not_read(state: RegistryTask, message: LogNotRead, now: float) -> None:
    state.registry.faults.pop(message.source, None)
    state.port.log_answers.turn(not state.registry.faults)
    state.registry.answered_at.pop(message.source, None)
    if message.source == state.port.servers_stream:
        _set_states_heard(state, now)  # the relay has sent its states before


_HANDLERS: Handlers[RegistryTask] = {
    Heartbeat: _heartbeat,
    Deregistered: _deregistered,
    ServersReceived: _servers_received,
    ConfigurationReceived: _configuration_received,
    VersionConfirmed: version_confirmed,
    LogHealth: _log_health,
    LogNotRead: _log_not_read,
    AskNews: ask_news,
    AskRegistrySnapshot: ask_registry_snapshot,
    AskLocalBackend: _ask_local_backend,
    LocalBackendConfirmed: _local_backend_confirmed,
    BackendCrashed: backend_crashed,
    RunAbandoned: run_abandoned,
    SuspectSucceeded: suspect_succeeded,
    CrashReportsReceived: crash_reports_received,
    LogRestored: log_restored,
    PeersAsked: _peers_asked,
}
