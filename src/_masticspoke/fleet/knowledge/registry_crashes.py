"""The registry's handlers of crashes and of reports of them."""

from __future__ import annotations

from _masticspoke.decisions.fleet import suspects
from _masticspoke.decisions.fleet.suspects import CrashReport
from _masticspoke.events import Event
from _masticspoke.fleet.knowledge.crash_messages import BackendCrashed
from _masticspoke.fleet.knowledge.crash_messages import CrashReportsReceived
from _masticspoke.fleet.knowledge.crash_messages import RunAbandoned
from _masticspoke.fleet.knowledge.crash_messages import SuspectSucceeded
from _masticspoke.fleet.knowledge.messages import Unsaved
from _masticspoke.fleet.knowledge.registry_state import RegistryTask
from _masticspoke.fleet.reporting.event_record import EventRecord

# An abandoned run may go on, so a crash within this time makes it a suspect, seconds.
_ABANDONED_SUSPECT_S = 1.0
_MAX_ABANDONED = 1_024


def backend_crashed(state: RegistryTask, message: BackendCrashed, now: float) -> None:
    """Record a request that was running at a crash, and the runs abandoned just before.

    Each request that was running sends this message; the first one logs the crash.
    """
    incarnation = message.incarnation
    known = state.registry.suspects
    if incarnation not in known.expires:
        fields = {
            "server": str(incarnation.address),
            "instance": incarnation.instance,
            "born_ms": incarnation.born_ms,
        }
        state.port.trail.tell(EventRecord(Event.BACKEND_CRASHED, fields))
    abandoned = {
        run.fingerprint
        for run in state.registry.abandoned
        if run.incarnation == incarnation
        and abs(message.at_s - run.at_s) < _ABANDONED_SUSPECT_S
    }
    report = suspects.record_crash(
        known, incarnation, {message.fingerprint, *abandoned}, message.at_s
    )
    _publish(state, report, now)
    if report is not None:
        state.port.unsaved.tell(Unsaved(report))


def run_abandoned(state: RegistryTask, message: RunAbandoned, now: float) -> None:
    """Remember a run that may still go on."""
    abandoned = state.registry.abandoned
    abandoned.append(message)
    while len(abandoned) > _MAX_ABANDONED or (
        abs(message.at_s - abandoned[0].at_s) >= _ABANDONED_SUSPECT_S
    ):
        abandoned.popleft()


def suspect_succeeded(
    state: RegistryTask, message: SuspectSucceeded, now: float
) -> None:
    """Clear a suspect, here and where it could be quarantined next."""
    report = suspects.record_success(
        state.registry.suspects,
        state.backend_address,
        message.fingerprint,
        message.at_s,
    )
    _publish(state, report, now)
    if report is not None:
        state.port.unsaved.tell(Unsaved(report))


def crash_reports_received(
    state: RegistryTask, message: CrashReportsReceived, now: float
) -> None:
    """Merge reports of other guards, or this node's own of before its restart."""
    for update in message.reports:
        report = suspects.merge(state.registry.suspects, update, message.at_s)
        if report is not None:
            _publish(state, report, now)


def _publish(state: RegistryTask, report: CrashReport | None, now: float) -> None:
    """Publish the suspects, log new quarantines, and note which report has changed."""
    registry_state = state.registry
    before = state.port.suspects.value.quarantined
    view = suspects.view(registry_state.suspects)
    state.port.suspects.tell(view)
    for fingerprint in view.quarantined.keys() - before.keys():
        servers = registry_state.suspects.crashes[fingerprint]
        fields = {
            "request": f"{fingerprint:016x}",
            "crashed": sorted(f"{s.address} {s.instance}" for s in servers),
        }
        state.port.trail.tell(EventRecord(Event.REQUEST_QUARANTINED, fields))
    for fingerprint in before.keys() - view.quarantined.keys():
        fields = {"request": f"{fingerprint:016x}"}
        state.port.trail.tell(EventRecord(Event.QUARANTINE_ENDED, fields))
    if report is not None:
        registry_state.change += 1
        registry_state.report_changes[report.address] = registry_state.change
        registry_state.report_changed_at[report.address] = now
