"""The registry: owns the configuration and the states of all backend servers."""

from __future__ import annotations

from _masticspoke.events import Event
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
from _masticspoke.fleet.knowledge.messages import LogHealth
from _masticspoke.fleet.knowledge.messages import LogNotRead
from _masticspoke.fleet.knowledge.messages import LogRestored
from _masticspoke.fleet.knowledge.messages import PeersAsked
from _masticspoke.fleet.knowledge.messages import ServersReceived
from _masticspoke.fleet.knowledge.registry_crashes import backend_crashed
from _masticspoke.fleet.knowledge.registry_crashes import crash_reports_received
from _masticspoke.fleet.knowledge.registry_crashes import run_abandoned
from _masticspoke.fleet.knowledge.registry_crashes import suspect_succeeded
from _masticspoke.fleet.knowledge.registry_freshness import check_freshness
from _masticspoke.fleet.knowledge.registry_freshness import freshness_timer_s
from _masticspoke.fleet.knowledge.registry_freshness import use_early_confirmation
from _masticspoke.fleet.knowledge.registry_freshness import version_confirmed
from _masticspoke.fleet.knowledge.registry_merging import merge_servers
from _masticspoke.fleet.knowledge.registry_merging import send_servers
from _masticspoke.fleet.knowledge.registry_news import answer_held
from _masticspoke.fleet.knowledge.registry_news import ask_news
from _masticspoke.fleet.knowledge.registry_news import ask_registry_snapshot
from _masticspoke.fleet.knowledge.registry_restore import hold_unconfirmed
from _masticspoke.fleet.knowledge.registry_restore import log_restored
from _masticspoke.fleet.knowledge.registry_restore import may_use_first
from _masticspoke.fleet.knowledge.registry_servers import ask_local_backend
from _masticspoke.fleet.knowledge.registry_servers import deregistered
from _masticspoke.fleet.knowledge.registry_servers import heartbeat_received
from _masticspoke.fleet.knowledge.registry_servers import local_backend_confirmed
from _masticspoke.fleet.knowledge.registry_servers import servers_received
from _masticspoke.fleet.knowledge.registry_servers import set_states_heard
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
        send_servers(state, ())
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
    merge_servers(state, registry_conflicts.take_named(state), "configuration", now)


def _peers_asked(state: RegistryTask, message: PeersAsked, now: float) -> None:
    """Use what was held back until peers had been asked once."""
    stream = state.port.configuration_stream
    if stream in state.registry.answered_at:
        _use_unconfirmed(state, stream, now)
    if state.registry.log_states_read:
        set_states_heard(state, now)


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
        set_states_heard(state, now)  # the relay has sent its states before


_HANDLERS: Handlers[RegistryTask] = {
    Heartbeat: heartbeat_received,
    Deregistered: deregistered,
    ServersReceived: servers_received,
    ConfigurationReceived: _configuration_received,
    VersionConfirmed: version_confirmed,
    LogHealth: _log_health,
    LogNotRead: _log_not_read,
    AskNews: ask_news,
    AskRegistrySnapshot: ask_registry_snapshot,
    AskLocalBackend: ask_local_backend,
    LocalBackendConfirmed: local_backend_confirmed,
    BackendCrashed: backend_crashed,
    RunAbandoned: run_abandoned,
    SuspectSucceeded: suspect_succeeded,
    CrashReportsReceived: crash_reports_received,
    LogRestored: log_restored,
    PeersAsked: _peers_asked,
}
