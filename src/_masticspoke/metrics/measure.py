"""Measure each request of a port and report it to the recorder in one message."""

from __future__ import annotations

import asyncio

from aiohttp import web

from _masticspoke.border.exposition import encode_metrics
from _masticspoke.border.exposition import EXPOSITION_TYPE
from _masticspoke.border.headers import REFUSED_HEADER
from _masticspoke.border.paths import CONTROL_PREFIX
from _masticspoke.entry.listener import Handler
from _masticspoke.entry.requests import OnMalformed
from _masticspoke.exchange import MEASUREMENTS
from _masticspoke.exchange import refusal_response
from _masticspoke.metrics.measurements import Outcome
from _masticspoke.metrics.measurements import Port
from _masticspoke.metrics.measurements import RequestEnded
from _masticspoke.metrics.measurements import RequestMeasurements
from _masticspoke.metrics.recorder import AskMetrics
from _masticspoke.metrics.recorder import RecorderMessage
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal
from _masticspoke.supervise.ask import ask_or
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply
from _masticspoke.supervise.supervisor import Clock


def measured(
    handler: Handler, port: Port, recorder: Mailbox[RecorderMessage], clock: Clock
) -> Handler:
    """Return ``handler`` wrapped so that each request is reported to the recorder.

    Control requests are not reported. When the recorder's mailbox is full, the request
    is served but not counted.
    """

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        if request.path.startswith(CONTROL_PREFIX):
            return await handler(request)
        measurements = RequestMeasurements(clock())
        request[MEASUREMENTS] = measurements
        outcome, reason = Outcome.FAILED, None
        try:
            response = await handler(request)
            outcome, reason = _outcome(request, response)
            return response
        except asyncio.CancelledError:
            outcome = Outcome.CANCELLED
            raise
        finally:
            latency_s = clock() - measurements.arrived
            recorder.tell(RequestEnded(port, measurements, outcome, reason, latency_s))

    return handle


def malformed_counter(
    port: Port, recorder: Mailbox[RecorderMessage], clock: Clock
) -> OnMalformed:
    """Return a callback that counts a request that is not HTTP as refused."""

    def count() -> None:
        measurements = RequestMeasurements(clock())
        reason = Reason.MALFORMED
        recorder.tell(RequestEnded(port, measurements, Outcome.REFUSED, reason, 0.0))

    return count


def _outcome(
    request: web.BaseRequest, response: web.StreamResponse
) -> tuple[Outcome, Reason | None]:
    refused = response.headers.get(REFUSED_HEADER)
    if refused is not None:
        return Outcome.REFUSED, Reason(refused)
    if request.transport is None or request.transport.is_closing():
        return Outcome.CUT, None
    return Outcome.ANSWERED, None


def metrics_handler(recorder: Mailbox[RecorderMessage]) -> Handler:
    """Return the handler of ``GET /.masticspoke/metrics``."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        message = AskMetrics(Reply())
        metrics = await ask_or(recorder, message, message.reply, None)
        if metrics is None:
            return refusal_response(Refusal(Reason.BUSY))
        body = encode_metrics(metrics)
        return web.Response(body=body, headers={"Content-Type": EXPOSITION_TYPE})

    return handle
