"""Counters and latencies of a fleet's node, computed from the events of its tasks."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from math import isfinite
from typing import final

from _masticspoke.decisions.fleet.freshness import Confirmation
from _masticspoke.decisions.fleet.learned_limit import Move
from _masticspoke.decisions.fleet.model import Configuration
from _masticspoke.events import Event
from _masticspoke.fleet.guard.messages import GuardState
from _masticspoke.fleet.quota.messages import QuotaCounts
from _masticspoke.fleet.reporting.event_record import EventRecord
from _masticspoke.metrics.families import Metric
from _masticspoke.metrics.families import Sample
from _masticspoke.metrics.families import Summary
from _masticspoke.metrics.series import add_bounded
from _masticspoke.metrics.series import Counters
from _masticspoke.metrics.series import summary_of
from _masticspoke.metrics.window import LatencyWindow
from _masticspoke.supervise.mailbox import Reply

_LATENCY_WINDOW_S = 60.0
# Limit on the series of all counters; any further labels are counted as ``other``.
_MAX_SERIES = 2_048
# Reading an enumeration member's value is a Python call for each event.
_NUMBER_BY_EVENT = {event: str(event.value.number) for event in Event}


@final
@dataclass(slots=True)
class Counts:
    """Counters and latencies since the start of the trail's task.

    :param latency: latencies by origin and outcome of the requests.
    """

    counters: Counters = field(default_factory=Counter)
    latency: dict[tuple[str, str], LatencyWindow] = field(default_factory=dict)


def count_event(counts: Counts, record: EventRecord, now: float) -> None:
    """Count an event, whether or not its log line is written."""
    _increment(counts, Metric.EVENTS, _NUMBER_BY_EVENT[record.event])
    count_details = _COUNTER_BY_EVENT.get(record.event)
    if count_details is not None:
        count_details(counts, record, now)


def count_dropped(counts: Counts, importance: str, lines: int) -> None:
    """Count log lines that were not written.

    :param importance: value of the label; the importance, or the reason of the drop.
    """
    counts.counters[Metric.FLEET_LINES_DROPPED, (importance,)] += lines


def _count_request(counts: Counts, record: EventRecord, now: float) -> None:
    fields = record.fields
    origin = "nested" if fields["nested"] else "client"
    outcome = str(fields["outcome"])
    reason = str(fields.get("reason", ""))
    route = str(fields["route"])
    _increment(counts, Metric.FLEET_REQUESTS, origin, route, outcome, reason)
    sends = fields["sends"]
    assert isinstance(sends, list)
    for send in sends:
        _increment(counts, Metric.FLEET_SENDS, origin, str(send).rpartition(":")[2])
    window = counts.latency.get((origin, outcome))
    if window is None:
        window = LatencyWindow(_LATENCY_WINDOW_S, now)
        counts.latency[origin, outcome] = window
    took_ms = fields["took_ms"]
    assert isinstance(took_ms, int)
    window.record(took_ms / 1000, now)


def _count_declined(counts: Counts, record: EventRecord, now: float) -> None:
    route, reason = str(record.fields["route"]), str(record.fields["reason"])
    _increment(counts, Metric.FLEET_DECLINED, route, reason)
    flow = str(record.fields["flow"])
    _increment(counts, Metric.FLEET_DECLINED_FLOWS, flow, reason)


def _count_wasted(counts: Counts, record: EventRecord, now: float) -> None:
    _increment(counts, Metric.FLEET_WASTED, str(record.fields["route"]))


def _count_foreign_bytes(counts: Counts, record: EventRecord, now: float) -> None:
    fields = record.fields
    labels = str(fields["pool"]), str(fields["place"]), str(fields["origin"])
    _increment(counts, Metric.FLEET_FOREIGN_BYTES, *labels)


def _count_refused_state(counts: Counts, record: EventRecord, now: float) -> None:
    source = str(record.fields["source"]).partition(" ")[0]
    reason = str(record.fields["reason"])
    _increment(counts, Metric.FLEET_STATES_REFUSED, source, reason)


_COUNTER_BY_EVENT: dict[Event, Callable[[Counts, EventRecord, float], None]] = {
    Event.REQUEST_ENDED: _count_request,
    Event.REQUEST_FAILED: _count_request,
    Event.RUN_NOT_STARTED: _count_declined,
    Event.RUN_WASTED: _count_wasted,
    Event.FOREIGN_BYTES: _count_foreign_bytes,
    Event.STATE_REFUSED: _count_refused_state,
}


def _increment(counts: Counts, metric: Metric, *labels: str) -> None:
    add_bounded(counts.counters, _MAX_SERIES, metric, labels)


def samples(
    counts: Counts,
    guard_state: GuardState,
    configuration: Configuration | None,
    confirmation: Confirmation,
    now: float,
) -> Iterator[Sample | Summary]:
    """Yield the metrics that this node exposes."""
    for (metric, labels), count in counts.counters.items():
        yield Sample(metric, labels, count)
    for labels, window in counts.latency.items():
        yield summary_of(Metric.FLEET_LATENCY, labels, window, now)
    load = guard_state.load
    gauges: tuple[tuple[str, float], ...] = (
        ("running", load.running),
        ("waiting", load.queued),
        ("limit", load.limit),
        ("run_s", load.run_s),
        ("pressure_s", load.pressure_s),
        ("rate_limit", guard_state.rate_limit or 0.0),
    )
    learned = guard_state.learned_limit
    if learned is not None:
        gauges += (
            ("learned", learned.value),
            ("elasticity", learned.elasticity),
            ("slowdown", load.slowdown),
        )
        for move in Move:
            is_last = float(move is learned.last_move)
            yield Sample(Metric.FLEET_LIMIT_MOVE, (move.value,), is_last)
    for quantity, value in gauges:
        yield Sample(Metric.FLEET_GUARD, (quantity,), value)
    for route, limit in guard_state.route_limits:
        yield Sample(Metric.FLEET_ROUTE_LIMIT, (route,), limit)
    version = 0 if configuration is None else configuration.version
    yield Sample(Metric.CONFIGURATION_VERSION, (), version)
    if isfinite(confirmation.at):
        yield Sample(Metric.CONFIGURATION_CONFIRMED_AGE, (), now - confirmation.at)


def quota_samples(
    counts: QuotaCounts, shares: Mapping[int, float]
) -> Iterator[Sample | Summary]:
    """Yield the metrics of quotas.

    :param shares: share that this node grants as a keeper, by group.
    """
    for result, count in counts.results.items():
        yield Sample(Metric.FLEET_QUOTA, (result,), count)
    for organisation, count in counts.refused.items():
        yield Sample(Metric.FLEET_QUOTA_REFUSED, (organisation,), count)
    for group, share in shares.items():
        yield Sample(Metric.FLEET_QUOTA_SHARE, (str(group),), share)


@final
@dataclass(frozen=True, slots=True)
class AskCounts:
    """Metrics listener to trail: return all counters and latencies."""

    reply: Reply[Counts]


TrailMessage = EventRecord | AskCounts
