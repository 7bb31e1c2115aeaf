"""The registry's record of when its configuration was last known to be the newest."""

from __future__ import annotations

from math import isinf

from _masticspoke.decisions.fleet.freshness import accepted_s
from _masticspoke.decisions.fleet.freshness import confirm
from _masticspoke.decisions.fleet.freshness import is_fresh
from _masticspoke.decisions.fleet.log_era import may_confirm
from _masticspoke.events import Event
from _masticspoke.fleet.knowledge.registry_state import RegistryTask
from _masticspoke.fleet.knowledge.registry_state import version_in_force
from _masticspoke.fleet.knowledge.relay_messages import VersionConfirmed
from _masticspoke.fleet.reporting.event_record import EventRecord

# Time from the first configuration until a node without any confirmation logs that it
# refuses keys. The log's answer confirms it just after it brings it, seconds.
_FIRST_CONFIRMATION_S = 1.0


def version_confirmed(
    state: RegistryTask, message: VersionConfirmed, now: float
) -> None:
    """Raise the time at which the configuration in force was known to be the newest."""
    latest = state.port.confirmation
    version = version_in_force(state)
    if state.port.configuration.value is None:
        # A first configuration may be held until peers were asked.
        state.registry.early_confirmation = message
        return
    eras = state.port.eras
    shown = message.version
    if message.shown_by_log and eras.changes > 0:
        # The log may have lost the version in force.
        confirms = may_confirm(eras.state, eras.newest, shown, version)
        shown = version if confirms else shown
    latest.tell(confirm(latest.value, version, shown, message.at))
    check_freshness(state, now)


def use_early_confirmation(state: RegistryTask, now: float) -> None:
    """Confirm the first configuration by the read that showed it."""
    message = state.registry.early_confirmation
    state.registry.early_confirmation = None
    if message is not None:
        version_confirmed(state, message, now)


def confirmed_age_s(state: RegistryTask, now: float) -> float | None:
    """Return the age of the confirmation, seconds; ``None`` before the first."""
    confirmed_at = state.port.confirmation.value.at
    return None if isinf(confirmed_at) else now - confirmed_at


def check_freshness(state: RegistryTask, now: float) -> None:
    """Log that keys are refused from now on, or accepted again."""
    wait_s = _until_stale_s(state, now)
    if wait_s is None:
        return
    registry_state = state.registry
    fresh = is_fresh(
        state.port.confirmation.value,
        version_in_force(state),
        state.port.revocation_s,
        now,
    )
    fields: dict[str, object] = {"version": version_in_force(state)}
    if fresh and registry_state.stale_since is not None:
        fields["stale_ms"] = int((now - registry_state.stale_since) * 1000)
        registry_state.stale_since = None
        state.port.trail.tell(EventRecord(Event.KEYS_ACCEPTED, fields))
    elif not fresh and registry_state.stale_since is None and wait_s <= 0:
        age_s = confirmed_age_s(state, now)
        fields["confirmed_age_ms"] = None if age_s is None else int(age_s * 1000)
        fields["log_faults"] = dict(registry_state.faults)
        registry_state.stale_since = now
        state.port.trail.tell(EventRecord(Event.KEYS_REFUSED, fields))


def freshness_timer_s(state: RegistryTask, now: float) -> float | None:
    """Return the time until keys are refused; ``None`` to wait for a message."""
    if state.registry.stale_since is not None:
        return None
    return _until_stale_s(state, now)


def _until_stale_s(state: RegistryTask, now: float) -> float | None:
    """Return when keys are refused without a newer confirmation, at most 0 if now.

    :return: ``None`` if keys aren't used or their revocation has no bound.
    """
    revocation_s = state.port.revocation_s
    configuration = state.port.configuration.value
    if revocation_s is None or configuration is None:
        return None
    if configuration.organisations is None:
        return None
    age_s = confirmed_age_s(state, now)
    if age_s is None:
        return state.registry.configured_at + _FIRST_CONFIRMATION_S - now
    return accepted_s(revocation_s) - age_s
