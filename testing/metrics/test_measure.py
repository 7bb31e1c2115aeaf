from __future__ import annotations

import asyncio

import pytest
from aiohttp import web
from aiohttp.test_utils import make_mocked_request

from _masticspoke.entry.listener import Handler
from _masticspoke.exchange import MEASUREMENTS
from _masticspoke.exchange import refusal_response
from _masticspoke.metrics.measure import measured
from _masticspoke.metrics.measurements import Outcome
from _masticspoke.metrics.measurements import Port
from _masticspoke.metrics.measurements import RequestEnded
from _masticspoke.metrics.recorder import RecorderMessage
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal
from _masticspoke.supervise.mailbox import Mailbox


async def ok(request: web.BaseRequest) -> web.StreamResponse:
    assert request[MEASUREMENTS].arrived == 5.0
    return web.Response()


async def refuse(request: web.BaseRequest) -> web.StreamResponse:
    return refusal_response(Refusal(Reason.DISPLACED))


async def cut(request: web.BaseRequest) -> web.StreamResponse:
    request.transport.is_closing.return_value = True  # type: ignore[union-attr]
    return web.Response()


async def cancel(request: web.BaseRequest) -> web.StreamResponse:
    raise asyncio.CancelledError


async def fail(request: web.BaseRequest) -> web.StreamResponse:
    raise KeyError


@pytest.mark.parametrize(
    ("handler", "outcome", "reason", "error"),
    [
        (ok, Outcome.ANSWERED, None, None),
        (refuse, Outcome.REFUSED, Reason.DISPLACED, None),
        (cut, Outcome.CUT, None, None),
        (cancel, Outcome.CANCELLED, None, asyncio.CancelledError),
        (fail, Outcome.FAILED, None, KeyError),
    ],
)
def test_each_outcome_is_reported_once(
    handler: Handler, outcome: Outcome, reason: Reason | None, error: type | None
) -> None:
    inbox: Mailbox[RecorderMessage] = Mailbox(10)

    async def run() -> list[RecorderMessage]:
        request = make_mocked_request("GET", "/x")
        request.transport.is_closing.return_value = False  # type: ignore[union-attr]
        call = measured(handler, Port.PEERS, inbox, lambda: 5.0)(request)
        if error is None:
            await call
        else:
            with pytest.raises(error):
                await call
        return await inbox.receive()

    (message,) = asyncio.run(run())

    assert isinstance(message, RequestEnded)
    assert (message.port, message.outcome, message.reason) == (
        Port.PEERS,
        outcome,
        reason,
    )


def test_control_requests_are_not_counted() -> None:
    inbox: Mailbox[RecorderMessage] = Mailbox(10)
    request = make_mocked_request("GET", "/.masticspoke/status")

    async def control(request: web.BaseRequest) -> web.StreamResponse:
        return web.Response()

    asyncio.run(measured(control, Port.PEERS, inbox, lambda: 5.0)(request))

    assert inbox.depth == 0
