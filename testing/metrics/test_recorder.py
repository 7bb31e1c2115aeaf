from __future__ import annotations

import asyncio
from collections.abc import Sequence

from _masticspoke.events import Event
from _masticspoke.events import log_event
from _masticspoke.messages.control import CatalogueChanged
from _masticspoke.messages.control import LogHealth
from _masticspoke.metrics.families import Metric
from _masticspoke.metrics.families import Sample
from _masticspoke.metrics.families import Summary
from _masticspoke.metrics.measurements import Outcome
from _masticspoke.metrics.measurements import Port
from _masticspoke.metrics.measurements import RequestEnded
from _masticspoke.metrics.measurements import RequestMeasurements
from _masticspoke.metrics.recorder import AskMetrics
from _masticspoke.metrics.recorder import MAX_SERIES
from _masticspoke.metrics.recorder import recorder
from _masticspoke.metrics.recorder import RecorderMessage
from _masticspoke.model import Call
from _masticspoke.model import Catalogue
from _masticspoke.model import ClassSpec
from _masticspoke.refusals import Reason
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply

CATALOGUE = CatalogueChanged(Catalogue(4, (ClassSpec("line", 1),)))
CALL = Call("a", "inspection-read", "inspect-desk", 1, 10.0, idempotent=True)


def retried_request() -> RequestEnded:
    measurements = RequestMeasurements(1.0)
    measurements.record_attempt(CALL)
    measurements.record_upstream_start(1.25)
    measurements.record_upstream_end(1.75)
    measurements.record_attempt(CALL)
    measurements.retry_reasons.append(Reason.QUEUE_FULL)
    measurements.record_upstream_start(2.0)
    measurements.record_upstream_end(3.0)
    measurements.record_upstream_end(9.0)
    return RequestEnded(Port.CLIENTS, measurements, Outcome.ANSWERED, None, 2.5)


def refused_request(reason: Reason, kind: str = "") -> RequestEnded:
    measurements = RequestMeasurements(1.0, kind)
    return RequestEnded(Port.CLIENTS, measurements, Outcome.REFUSED, reason, 0.1)


async def values_after(messages: Sequence[RecorderMessage]) -> dict[object, float]:
    """Return the values and sums after ``messages`` and one logged event.

    The keys are the metric and its labels.
    """
    inbox: Mailbox[RecorderMessage] = Mailbox(10_000)
    task = asyncio.create_task(
        recorder(inbox, {"recorder": inbox}, lambda: 1.0)(Lifecycle())
    )
    for message in messages:
        inbox.tell(message)
    ask_metrics = AskMetrics(Reply())
    await asyncio.sleep(0)
    log_event(Event.NODE_STARTED, node="x")
    inbox.tell(ask_metrics)
    metrics = await ask_metrics.reply.value()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    values = {(s.metric, *s.labels): s.value for s in metrics if isinstance(s, Sample)}
    sums = {(s.metric, *s.labels): s.sum for s in metrics if isinstance(s, Summary)}
    return {**values, **sums}


def test_attempts_and_retry_reasons_of_a_request_are_counted() -> None:
    values = asyncio.run(values_after([CATALOGUE, retried_request()]))

    assert values[Metric.REQUESTS, "clients", "line", "answered"] == 1
    assert values[Metric.ATTEMPTS, "clients", "line"] == 2
    assert values[Metric.RETRIES, "line", "inspection-read", "queue-full"] == 1
    assert values[Metric.LATENCY, "clients", "line"] == 2.5
    # The answer's head came 2 s after the arrival; 1.5 s of that passed upstream.
    assert values[Metric.ADDED_LATENCY, "clients"] == 0.5
    assert values[(Metric.CATALOGUE_VERSION,)] == 4


def test_each_refusal_reason_has_its_own_counter() -> None:
    values = asyncio.run(values_after([refused_request(reason) for reason in Reason]))

    for reason in Reason:
        labels = ("clients", "unknown", "unknown", reason.value)
        assert values[(Metric.REFUSALS, *labels)] == 1


def test_events_and_log_faults_are_counted() -> None:
    values = asyncio.run(
        values_after([LogHealth("writer", "lost"), LogHealth("writer")])
    )

    assert values[Metric.LOG_FAULTS, "writer"] == 1
    assert values[Metric.EVENTS, "1001"] == 1


def test_series_are_bounded_and_every_request_is_counted() -> None:
    count = MAX_SERIES + 500
    messages = [refused_request(Reason.BUSY, kind=f"kind-{i}") for i in range(count)]

    values = asyncio.run(values_after(messages))

    refusals = {k: v for k, v in values.items() if k[0] is Metric.REFUSALS}  # type: ignore[index]
    assert sum(refusals.values()) == count
    assert len(values) < MAX_SERIES + 20


def test_full_mailbox_counts_refused_messages() -> None:
    inbox: Mailbox[int] = Mailbox(1)
    for i in range(4):
        inbox.tell(i)

    assert inbox.refused == 3
