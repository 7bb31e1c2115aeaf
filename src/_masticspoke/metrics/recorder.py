"""The recorder: owns the counters and the latency histograms."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import final

from _masticspoke.events import counted_events
from _masticspoke.messages.control import CatalogueChanged
from _masticspoke.messages.control import LogHealth
from _masticspoke.metrics.families import Metric
from _masticspoke.metrics.families import Sample
from _masticspoke.metrics.families import Summary
from _masticspoke.metrics.measurements import Port
from _masticspoke.metrics.measurements import RequestEnded
from _masticspoke.metrics.measurements import RequestMeasurements
from _masticspoke.metrics.series import add_bounded
from _masticspoke.metrics.series import Counters
from _masticspoke.metrics.series import OTHER
from _masticspoke.metrics.series import summary_of
from _masticspoke.metrics.window import LatencyWindow
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply
from _masticspoke.supervise.server import Handlers
from _masticspoke.supervise.server import serve
from _masticspoke.supervise.supervisor import Clock

MAX_SERIES = 4_096
MAX_CLASSES = 32
_UNKNOWN_LABEL = "unknown"
_WINDOW_S = 60.0


@final
@dataclass(frozen=True, slots=True)
class EventLogged:
    """Any task to recorder: a numbered event was logged."""

    number: int


@final
@dataclass(frozen=True, slots=True)
class AskMetrics:
    """Peer listener to recorder: return all metrics."""

    reply: Reply[tuple[Sample | Summary, ...]]


RecorderMessage = RequestEnded | EventLogged | LogHealth | CatalogueChanged | AskMetrics
Mailboxes = Mapping[str, Mailbox[Any]]


@final
@dataclass(slots=True)
class _RecorderState:
    mailboxes: Mailboxes
    counters: Counters = field(default_factory=Counter)
    latency: dict[tuple[Port, str], LatencyWindow] = field(default_factory=dict)
    added_latency: dict[Port, LatencyWindow] = field(default_factory=dict)
    class_names: dict[int, str] = field(default_factory=dict)
    catalogue_version: int = 0


def recorder(
    inbox: Mailbox[RecorderMessage], mailboxes: Mailboxes, clock: Clock
) -> ChildBody:
    """Return the body of the recorder's task; each start counts from zero.

    The mailboxes count refused messages themselves, also while the task restarts.

    :param mailboxes: the mailboxes whose depth and number of refused messages are
        exposed, by name.
    """

    async def run(life: Lifecycle) -> None:
        state = _RecorderState(mailboxes)
        with counted_events(lambda number: _send_event_logged(inbox, number)):
            await serve(inbox, state, _HANDLERS, clock, life)

    return run


def _send_event_logged(inbox: Mailbox[RecorderMessage], number: int) -> None:
    inbox.tell(EventLogged(number))


def _request_ended(state: _RecorderState, message: RequestEnded, now: float) -> None:
    measurements = message.measurements
    port = message.port.value
    class_name = _class_name(state, measurements.rank)
    _count(state, Metric.REQUESTS, port, class_name, message.outcome.value)
    if measurements.attempts:
        _count(state, Metric.ATTEMPTS, port, class_name, amount=measurements.attempts)
    if measurements.resumptions:
        _count(state, Metric.RESUMPTIONS, class_name, amount=measurements.resumptions)
    kind = measurements.kind or _UNKNOWN_LABEL
    if message.reason is not None:
        _count(state, Metric.REFUSALS, port, class_name, kind, message.reason.value)
    for reason in measurements.retry_reasons:
        _count(state, Metric.RETRIES, class_name, kind, reason.value)
    _record_latency(state, message, measurements, class_name, now)


def _record_latency(
    state: _RecorderState,
    message: RequestEnded,
    measurements: RequestMeasurements,
    class_name: str,
    now: float,
) -> None:
    added_latency_s = measurements.added_latency_s
    if added_latency_s is None:
        return
    key = (message.port, class_name)
    window = state.latency.get(key)
    if window is None:
        window = state.latency[key] = LatencyWindow(_WINDOW_S, now)
    window.record(message.latency_s, now)
    added_window = state.added_latency.get(message.port)
    if added_window is None:
        added_window = state.added_latency[message.port] = LatencyWindow(_WINDOW_S, now)
    added_window.record(added_latency_s, now)


def _class_name(state: _RecorderState, rank: int | None) -> str:
    if rank is None:
        return _UNKNOWN_LABEL
    return state.class_names.get(rank, OTHER)


def _count(
    state: _RecorderState, metric: Metric, *labels: str, amount: int = 1
) -> None:
    add_bounded(state.counters, MAX_SERIES, metric, labels, amount)


def _event_logged(state: _RecorderState, message: EventLogged, now: float) -> None:
    _count(state, Metric.EVENTS, str(message.number))


def _log_health(state: _RecorderState, message: LogHealth, now: float) -> None:
    if message.fault:
        _count(state, Metric.LOG_FAULTS, message.source)


def _catalogue_changed(
    state: _RecorderState, message: CatalogueChanged, now: float
) -> None:
    state.catalogue_version = message.catalogue.version
    for spec in message.catalogue.classes:
        if spec.rank in state.class_names or len(state.class_names) < MAX_CLASSES:
            state.class_names[spec.rank] = spec.name


def _ask_metrics(state: _RecorderState, message: AskMetrics, now: float) -> None:
    message.reply.answer(tuple(_metrics(state, now)))


def _metrics(state: _RecorderState, now: float) -> Iterator[Sample | Summary]:
    for (metric, labels), value in sorted(
        state.counters.items(), key=lambda item: (item[0][0].name, item[0][1])
    ):
        yield Sample(metric, labels, value)
    for (port, class_name), window in state.latency.items():
        yield summary_of(Metric.LATENCY, (port.value, class_name), window, now)
    for port, window in state.added_latency.items():
        yield summary_of(Metric.ADDED_LATENCY, (port.value,), window, now)
    for name, mailbox in state.mailboxes.items():
        yield Sample(Metric.MAILBOX_FULL, (name,), mailbox.refused)
        yield Sample(Metric.MAILBOX_DEPTH, (name,), mailbox.depth)
    yield Sample(Metric.CATALOGUE_VERSION, (), state.catalogue_version)


_HANDLERS: Handlers[_RecorderState] = {
    RequestEnded: _request_ended,
    EventLogged: _event_logged,
    LogHealth: _log_health,
    CatalogueChanged: _catalogue_changed,
    AskMetrics: _ask_metrics,
}
