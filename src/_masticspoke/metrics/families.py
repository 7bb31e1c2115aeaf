"""The metrics of a node; ``docs/OPERATIONS.md`` has the remedy for each."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import final


@final
class MetricType(Enum):
    """Types of the Prometheus text format."""

    COUNTER = "counter"
    GAUGE = "gauge"
    SUMMARY = "summary"


@final
@dataclass(frozen=True, slots=True)
class MetricSpec:
    """Name, type and meaning of a metric.

    :param labels: names of its labels; a summary also has ``quantile``.
    """

    name: str
    type: MetricType
    help: str
    labels: tuple[str, ...] = ()


@final
class Metric(Enum):
    """All metrics that a node exposes."""

    # Enum.__hash__ is a Python function, called at each dictionary look-up. Members
    # are singletons, so the identity hash is equivalent and faster.
    __hash__ = object.__hash__

    REQUESTS = MetricSpec(
        "masticspoke_requests_total",
        MetricType.COUNTER,
        "Requests that ended at this node.",
        ("port", "class", "outcome"),
    )
    REFUSALS = MetricSpec(
        "masticspoke_refusals_total",
        MetricType.COUNTER,
        "Requests that this node refused.",
        ("port", "class", "kind", "reason"),
    )
    RETRIES = MetricSpec(
        "masticspoke_retries_total",
        MetricType.COUNTER,
        "Failed attempts that were followed by another one.",
        ("class", "kind", "reason"),
    )
    ATTEMPTS = MetricSpec(
        "masticspoke_attempts_total",
        MetricType.COUNTER,
        "Attempts at a backend server or at another node.",
        ("port", "class"),
    )
    RESUMPTIONS = MetricSpec(
        "masticspoke_resumptions_total",
        MetricType.COUNTER,
        "Answers whose rest was fetched from another backend server.",
        ("class",),
    )
    LATENCY = MetricSpec(
        "masticspoke_latency_seconds",
        MetricType.SUMMARY,
        "Time from a request's arrival until its whole answer was passed on.",
        ("port", "class"),
    )
    ADDED_LATENCY = MetricSpec(
        "masticspoke_added_latency_seconds",
        MetricType.SUMMARY,
        "Time up to the answer's head that the next process did not take.",
        ("port",),
    )
    EVENTS = MetricSpec(
        "masticspoke_events_total",
        MetricType.COUNTER,
        "Log events, by number.",
        ("event",),
    )
    LOG_FAULTS = MetricSpec(
        "masticspoke_log_faults_total",
        MetricType.COUNTER,
        "Requests to the log service that got no good answer.",
        ("task",),
    )
    MAILBOX_FULL = MetricSpec(
        "masticspoke_mailbox_full_total",
        MetricType.COUNTER,
        "Messages refused because a task's mailbox was full.",
        ("mailbox",),
    )
    MAILBOX_DEPTH = MetricSpec(
        "masticspoke_mailbox_depth",
        MetricType.GAUGE,
        "Messages that wait in a task's mailbox.",
        ("mailbox",),
    )
    FLEET_REQUESTS = MetricSpec(
        "masticspoke_fleet_requests_total",
        MetricType.COUNTER,
        "Requests that began on this VM, by how they ended.",
        ("origin", "route", "outcome", "reason"),
    )
    FLEET_SENDS = MetricSpec(
        "masticspoke_fleet_sends_total",
        MetricType.COUNTER,
        "Sends to guards, by what came of each; beyond the first are repeats.",
        ("origin", "result"),
    )
    FLEET_DECLINED = MetricSpec(
        "masticspoke_fleet_declined_total",
        MetricType.COUNTER,
        "Requests that this node's guard did not run.",
        ("route", "reason"),
    )
    FLEET_DECLINED_FLOWS = MetricSpec(
        "masticspoke_fleet_declined_flows_total",
        MetricType.COUNTER,
        "Requests that this node's guard did not run, by whose share they count for.",
        ("flow", "reason"),
    )
    FLEET_WASTED = MetricSpec(
        "masticspoke_fleet_wasted_runs_total",
        MetricType.COUNTER,
        "Runs at this node that failed because a nested request had no room.",
        ("route",),
    )
    FLEET_FOREIGN_BYTES = MetricSpec(
        "masticspoke_fleet_foreign_bytes_total",
        MetricType.COUNTER,
        "Times that a server sent bytes which no request accounts for.",
        ("pool", "place", "origin"),
    )
    FLEET_STATES_REFUSED = MetricSpec(
        "masticspoke_fleet_states_refused_total",
        MetricType.COUNTER,
        "States of backend servers that were not merged.",
        ("source", "reason"),
    )
    FLEET_ROUTE_LIMIT = MetricSpec(
        "masticspoke_fleet_route_limit",
        MetricType.GAUGE,
        "Largest number of concurrent runs of a route whose runs failed so.",
        ("route",),
    )
    FLEET_LATENCY = MetricSpec(
        "masticspoke_fleet_latency_seconds",
        MetricType.SUMMARY,
        "Time from a request's arrival until its answer was ready to be passed on.",
        ("origin", "outcome"),
    )
    FLEET_GUARD = MetricSpec(
        "masticspoke_fleet_guard",
        MetricType.GAUGE,
        "State of the guard: running, waiting, limit, run time, pressure, rate limit.",
        ("what",),
    )
    FLEET_QUOTA = MetricSpec(
        "masticspoke_fleet_quota_total",
        MetricType.COUNTER,
        "Requests of limited organisations and queries to keepers, by result.",
        ("result",),
    )
    FLEET_QUOTA_REFUSED = MetricSpec(
        "masticspoke_fleet_quota_refused_total",
        MetricType.COUNTER,
        "Requests beyond the limit of their organisation.",
        ("organisation",),
    )
    FLEET_QUOTA_SHARE = MetricSpec(
        "masticspoke_fleet_quota_share",
        MetricType.GAUGE,
        "Part of the limits of a group of organisations that this keeper grants.",
        ("group",),
    )
    FLEET_LIMIT_MOVE = MetricSpec(
        "masticspoke_fleet_limit_move",
        MetricType.GAUGE,
        "Why the learned limit moved last: 1 for that reason.",
        ("why",),
    )
    FLEET_LINES_DROPPED = MetricSpec(
        "masticspoke_fleet_lines_dropped_total",
        MetricType.COUNTER,
        "Log lines that were not written, by importance.",
        ("importance",),
    )
    CONFIGURATION_VERSION = MetricSpec(
        "masticspoke_configuration_version",
        MetricType.GAUGE,
        "Version of the configuration in force at this node.",
    )
    CONFIGURATION_CONFIRMED_AGE = MetricSpec(
        "masticspoke_configuration_confirmed_age_seconds",
        MetricType.GAUGE,
        "Time since the configuration in force was known to be the newest.",
    )
    CATALOGUE_VERSION = MetricSpec(
        "masticspoke_catalogue_version",
        MetricType.GAUGE,
        "Catalogue version in force at this node.",
    )


@final
@dataclass(frozen=True, slots=True)
class Sample:
    """One value of a metric.

    :param labels: values in the order of the metric's label names.
    """

    metric: Metric
    labels: tuple[str, ...]
    value: float


@final
@dataclass(frozen=True, slots=True)
class Summary:
    """Quantiles, sum and count of a summary.

    :param quantiles: pairs of quantile and value; empty without recent values.
    """

    metric: Metric
    labels: tuple[str, ...]
    quantiles: tuple[tuple[float, float], ...]
    sum: float
    count: int
