"""Serve the peer address: calls for this node's guard and control requests."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping

import aiohttp
from aiohttp import web

from _masticspoke.border.headers import CALL_HEADER
from _masticspoke.border.headers import decode_call
from _masticspoke.border.headers import ELSEWHERE_HEADER
from _masticspoke.border.headers import encode_report
from _masticspoke.border.headers import HOME_HEADER
from _masticspoke.border.headers import is_origin_form
from _masticspoke.border.headers import REPORT_HEADER
from _masticspoke.border.paths import CONTROL_PREFIX
from _masticspoke.decisions.once.model import Redirect
from _masticspoke.dispatch.keyed import HomePort
from _masticspoke.dispatch.keyed import serve_forwarded
from _masticspoke.dispatch.port import Answer
from _masticspoke.entry.listener import Handler
from _masticspoke.exchange import Outgoing
from _masticspoke.exchange import receive
from _masticspoke.exchange import refusal_response
from _masticspoke.guard.run import GuardPort
from _masticspoke.guard.run import run_call
from _masticspoke.messages.guard import NotAdmitted
from _masticspoke.model import Call
from _masticspoke.model import LoadReport
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal
from _masticspoke.relay import relay
from _masticspoke.relay import Relayed
from _masticspoke.relay import TruncatedAnswer

ControlHandlers = Mapping[
    tuple[str, str], Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
]

_MISDIRECTED = 421


def peer_handler(
    port: GuardPort, home: HomePort, buffer_bytes: int, control: ControlHandlers
) -> Handler:
    """Return the handler of the peer address.

    :param home: serves calls with a key for which this node is the home.
    :param control: handlers of control requests, by method and path.
    """

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        if request.path.startswith(CONTROL_PREFIX):
            return await route_control(request, control)
        call = _decode_call(request, port.clock())
        if isinstance(call, Refusal):
            return refusal_response(call)
        outgoing = await receive(request, buffer_bytes, call.deadline - port.clock())
        if isinstance(outgoing, Refusal):
            return refusal_response(outgoing)
        if HOME_HEADER in request.headers:
            return _home_response(await serve_forwarded(home, request, call, outgoing))
        return await _run_response(port, request, call, outgoing)

    return handle


def _home_response(answer: Answer | Redirect) -> web.StreamResponse:
    if isinstance(answer, Redirect):
        headers = {ELSEWHERE_HEADER: str(answer.node)}
        return web.Response(status=_MISDIRECTED, headers=headers)
    return refusal_response(answer) if isinstance(answer, Refusal) else answer


def _decode_call(request: web.BaseRequest, now: float) -> Call | Refusal:
    if not is_origin_form(request.raw_path):
        return Refusal(Reason.MALFORMED, detail="the request target must be a path")
    return decode_call(request.headers.get(CALL_HEADER), now)


async def _run_response(
    port: GuardPort, request: web.BaseRequest, call: Call, outgoing: Outgoing
) -> web.StreamResponse:
    relayed = Relayed(request)

    async def deliver(
        upstream: aiohttp.ClientResponse, report: LoadReport
    ) -> web.StreamResponse | TruncatedAnswer:
        headers = {REPORT_HEADER: encode_report(report)}
        return await relay(relayed, upstream, headers)

    answer = await run_call(port, call, outgoing, deliver)
    if isinstance(answer, web.StreamResponse):
        return answer
    if relayed.response is not None:
        relayed.abort()
        return relayed.response
    assert isinstance(answer, NotAdmitted)
    return refusal_response(answer.refusal, answer.report)


async def route_control(
    request: web.BaseRequest, control: ControlHandlers
) -> web.StreamResponse:
    """Answer a control request, with status 404 if its path or method is unknown."""
    handler = control.get((request.method, request.path))
    if handler is None:
        return web.Response(status=404, text="no such control request\n")
    return await handler(request)
