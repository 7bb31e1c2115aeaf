"""What the registry does because the log may have been restored from an older copy."""

from __future__ import annotations

from _masticspoke.decisions.fleet.log_era import may_rely_on_log
from _masticspoke.fleet.knowledge.messages import ConfigurationReceived
from _masticspoke.fleet.knowledge.messages import LogRestored
from _masticspoke.fleet.knowledge.messages import Unsaved
from _masticspoke.fleet.knowledge.registry_state import RegistryState
from _masticspoke.fleet.knowledge.registry_state import RegistryTask

# Source of what comes from the log itself, in messages and log lines.
LOG_SOURCE = "log"


def log_restored(state: RegistryTask, message: LogRestored, now: float) -> None:
    """Write again what this node had in the log; the log may have lost it."""
    local_server = state.registry.members.by_address.get(state.backend_address)
    if local_server is not None:
        state.port.unsaved.tell(Unsaved(local_server))
    report = state.registry.suspects.reports.get(state.backend_address)
    if report is not None:
        state.port.unsaved.tell(Unsaved(report))


def may_use_first(state: RegistryTask, source: str) -> bool:
    """Return whether a first configuration may come into force.

    A peer may have missed a later version, which the log would show. A log that was
    restored may lack a later version, which peers would show.
    """
    stream = state.port.configuration_stream
    if stream in state.registry.faults:
        return True
    heard = source == LOG_SOURCE or stream in state.registry.answered_at
    return heard and may_rely_on_log(state.port.eras.state)


def hold_unconfirmed(
    registry_state: RegistryState, message: ConfigurationReceived
) -> ConfigurationReceived:
    """Hold the message if it is the newest, and return the one that is held."""
    held = registry_state.unconfirmed
    if held is None or held.configuration.version < message.configuration.version:
        registry_state.unconfirmed = held = message
    return held
