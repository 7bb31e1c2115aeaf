"""Log records on wasted runs, and on whose share of a server a request counts for."""

from __future__ import annotations

from _masticspoke.decisions.fleet.log_rate_limit import Importance
from _masticspoke.decisions.fleet.model import Job
from _masticspoke.events import Event
from _masticspoke.fleet.guard.messages import GuardState
from _masticspoke.fleet.reporting.event_record import EventRecord


def wasted_record(state: GuardState, job: Job) -> EventRecord:
    """Return the record of a run that failed because a nested request had no room."""
    limit = dict(state.route_limits).get(job.route)
    fields = {
        "id": job.request_id,
        "route": job.route,
        "limit": None if limit is None else round(limit, 1),
        "pressure_ms": int(state.load.pressure_s * 1000),
    }
    return EventRecord(Event.RUN_WASTED, fields, Importance.FAILURE)


def flow_kind(job: Job) -> str:
    """Return by what requests like this one are told apart where they wait."""
    if job.nested:
        return "nested"
    return "organisation" if job.organisation else "caller"
