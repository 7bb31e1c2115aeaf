"""What the registry does with heartbeats, leaves and states of backend servers."""

from __future__ import annotations

from _masticspoke.decisions.fleet import leaving
from _masticspoke.decisions.fleet import members
from _masticspoke.decisions.fleet.log_era import may_rely_on_log
from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import Phase
from _masticspoke.fleet.guard.messages import LocalBackendState
from _masticspoke.fleet.knowledge import registry_conflicts
from _masticspoke.fleet.knowledge.messages import AskLocalBackend
from _masticspoke.fleet.knowledge.messages import Deregistered
from _masticspoke.fleet.knowledge.messages import Heartbeat
from _masticspoke.fleet.knowledge.messages import LocalBackendConfirmed
from _masticspoke.fleet.knowledge.messages import LocalCandidate
from _masticspoke.fleet.knowledge.messages import ServersReceived
from _masticspoke.fleet.knowledge.messages import Unsaved
from _masticspoke.fleet.knowledge.registry_merging import inform_gate
from _masticspoke.fleet.knowledge.registry_merging import local_server_of
from _masticspoke.fleet.knowledge.registry_merging import merge_servers
from _masticspoke.fleet.knowledge.registry_restore import LOG_SOURCE
from _masticspoke.fleet.knowledge.registry_state import RegistryTask
from _masticspoke.supervise.mailbox import Reply

# Heartbeats up to this number show that a backend server has just started.
_MAX_FIRST_SEQUENCE = 2


def heartbeat_received(state: RegistryTask, message: Heartbeat, now: float) -> None:
    """Merge a heartbeat, and tell the gate and the log what has changed."""
    heartbeat = registry_conflicts.with_restated_start(state, message.server)
    reason = registry_conflicts.refusal_reason(state, heartbeat, now)
    if reason is not None:
        registry_conflicts.refuse(state, heartbeat, "heartbeat", reason)
        message.reply.answer(heartbeat.phase is Phase.READY)
        return
    changed = merge_servers(state, (heartbeat,), "heartbeat", now)
    local_server = state.registry.members.by_address[state.backend_address]
    if not members.is_current(heartbeat, local_server):
        restated = registry_conflicts.after_ignored_heartbeat(
            state, message.server, local_server, now
        )
        if restated is not None:
            heartbeat = local_server = restated
            changed += merge_servers(state, (restated,), "heartbeat", now)
    if members.is_current(heartbeat, local_server):
        own = registry_conflicts.incarnation_of(message.server)
        registry_conflicts.heard(state, own, now)
        state.registry.heartbeat = heartbeat
        has_just_started = heartbeat.sequence <= _MAX_FIRST_SEQUENCE
        inform_gate(state, local_server, has_just_started)
    for server in changed:
        state.port.unsaved.tell(Unsaved(server))
    if message.server.phase is Phase.READY:
        message.reply.answer(True)
    elif registry_conflicts.is_leave_unknown(
        local_server, heartbeat.instance, heartbeat.phase
    ):
        message.reply.answer(False)
    else:
        _answer_when_saved(state, message.reply)


def _answer_when_saved(state: RegistryTask, reply: Reply[bool]) -> None:
    """Answer once the log has what the registry knows of the local backend server.

    The answer is an acknowledgement, which must outlive this process.
    """
    state.port.unsaved.tell(Unsaved(None, reply))


def deregistered(state: RegistryTask, message: Deregistered, now: float) -> None:
    """Merge a leave of the local backend server, and acknowledge it once saved."""
    local_server = local_server_of(state)
    if local_server is None and not state.registry.states_heard:
        state.registry.early_deregistrations.append(message)
        return
    if registry_conflicts.is_false_leave(state, message.leave, now):
        message.reply.answer(False)
        return
    leave = registry_conflicts.leave_with_restated_start(state, message.leave)
    left = leaving.state_after(leave, local_server, state.backend_address)
    for server in merge_servers(state, (left,), "deregistration", now):
        state.port.unsaved.tell(Unsaved(server))
        inform_gate(state, server)
    if leaving.is_binding(leave, local_server_of(state)):
        _answer_when_saved(state, message.reply)
    else:
        message.reply.answer(False)


def set_states_heard(state: RegistryTask, now: float) -> None:
    """Use what was held back until the log had been read once."""
    if state.registry.states_heard:
        return
    state.registry.states_heard = True
    early = state.registry.early_deregistrations
    state.registry.early_deregistrations = []
    for message in early:
        deregistered(state, message, now)
    local_server = local_server_of(state)
    if local_server is not None and _has_announced_itself(state, local_server):
        has_just_started = local_server.sequence <= _MAX_FIRST_SEQUENCE
        inform_gate(state, local_server, has_just_started)


def _has_announced_itself(state: RegistryTask, server: BackendServer) -> bool:
    heartbeat = state.registry.heartbeat
    return heartbeat is not None and (heartbeat.instance, heartbeat.born_ms) == (
        server.instance,
        server.born_ms,
    )


def ask_local_backend(
    state: RegistryTask, message: AskLocalBackend, now: float
) -> None:
    """Answer with the local backend server's state if it is unconfirmed."""
    local_server = local_server_of(state)
    if local_server is None or state.registry.gate_informed:
        message.reply.answer(None)
        return
    announced = _has_announced_itself(state, local_server) and (
        state.port.servers_stream in state.registry.faults
    )
    message.reply.answer(LocalCandidate(local_server, announced))


def local_backend_confirmed(
    state: RegistryTask, message: LocalBackendConfirmed, now: float
) -> None:
    """Tell the gate a state that the health check has confirmed."""
    if local_server_of(state) == message.server and not state.registry.gate_informed:
        state.registry.gate_informed = True
        state.port.gate.tell(LocalBackendState(message.server))


def servers_received(state: RegistryTask, message: ServersReceived, now: float) -> None:
    """Merge states from the log or from another node."""
    accepted: list[BackendServer] = []
    for server in message.servers:
        if server.address == state.backend_address:
            accepted += _local_states(state, server, message.source, now)
        else:
            accepted.append(server)
    for server in merge_servers(state, tuple(accepted), message.source, now):
        if server.address == state.backend_address and server.phase is not Phase.READY:
            inform_gate(state, server)
    if message.source == LOG_SOURCE:
        state.registry.log_states_read = True
        if may_rely_on_log(state.port.eras.state):
            set_states_heard(state, now)


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
    inform_gate(state, restated)
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
