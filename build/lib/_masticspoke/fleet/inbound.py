"""Requests of other nodes for the own backend server, and what nodes ask each other."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping

import aiohttp
from aiohttp import web
from multidict import CIMultiDict

from _masticspoke.border.forwarding import forwarded
from _masticspoke.border.hop import decode_job
from _masticspoke.border.hop import encode_guard
from _masticspoke.border.hop import GUARD_HEADER
from _masticspoke.border.hop import GuardAnswer
from _masticspoke.border.hop import JOB_HEADER
from _masticspoke.entry.listener import Handler
from _masticspoke.fleet.guarding import Answer
from _masticspoke.fleet.guarding import Broke
from _masticspoke.fleet.guarding import Declined
from _masticspoke.fleet.guarding import GuardPort
from _masticspoke.fleet.guarding import NO_HEADERS
from _masticspoke.fleet.guarding import Passed
from _masticspoke.fleet.guarding import run_job
from _masticspoke.fleet.guarding import Sent
from _masticspoke.fleet.sending import Outlet

OwnPaths = Mapping[str, Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]]
_OWN_PREFIX = "/.masticspoke/"


def inbound_handler(port: GuardPort, own_paths: OwnPaths) -> Handler:
    """Return the handler of requests of other nodes.

    :param own_paths: what nodes ask each other, by path.
    """

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        if JOB_HEADER in request.headers:
            return await _guard(port, request)
        own = own_paths.get(request.path)
        if own is None:
            return web.Response(status=404, text="no such request between nodes\n")
        return await own(request)

    return handle


async def _guard(port: GuardPort, request: web.BaseRequest) -> web.StreamResponse:
    job = decode_job(request.headers.get(JOB_HEADER), port.clock())
    if job is None:
        return web.Response(status=400, text=f"{JOB_HEADER} is malformed\n")
    sent = Sent(
        request.method,
        request.raw_path,
        forwarded(request.headers, NO_HEADERS),
        await request.read(),
    )
    outlet = Outlet(request)

    async def stream(
        upstream: aiohttp.ClientResponse, headers: CIMultiDict[str]
    ) -> web.StreamResponse:
        headers[GUARD_HEADER] = encode_guard(_said(port))
        return await outlet.pass_on(upstream, headers)

    result = await run_job(port, job, sent, stream)
    if isinstance(result, Passed):
        return result.response
    if isinstance(result, Answer):
        result.headers[GUARD_HEADER] = encode_guard(_said(port))
        return web.Response(
            status=result.status, headers=result.headers, body=result.body
        )
    headers = {GUARD_HEADER: encode_guard(_said(port, result))}
    text = result.detail if isinstance(result, Broke) else ""
    return web.Response(status=503, headers=headers, text=text)


def _said(port: GuardPort, result: Declined | Broke | None = None) -> GuardAnswer:
    declined = result if isinstance(result, Declined) else None
    return GuardAnswer(
        not_run=None if declined is None else declined.reason,
        broke=isinstance(result, Broke),
        arrived=declined is None or declined.arrived,
        retry_s=0.0 if declined is None else declined.retry_s,
        load=port.load,
    )
