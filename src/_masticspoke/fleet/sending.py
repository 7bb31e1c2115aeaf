"""Send one request to the guard beside a backend server, on another VM or this one."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field
from typing import final

import aiohttp
from aiohttp import web
from multidict import CIMultiDict

from _masticspoke.border.forwarding import forwarded
from _masticspoke.border.hop import decode_guard
from _masticspoke.border.hop import encode_fate
from _masticspoke.border.hop import encode_job
from _masticspoke.border.hop import FATE_PATH
from _masticspoke.border.hop import GUARD_HEADER
from _masticspoke.border.hop import GuardAnswer
from _masticspoke.border.hop import JOB_HEADER
from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import GuardLoad
from _masticspoke.decisions.fleet.model import Job
from _masticspoke.decisions.fleet.model import NotRun
from _masticspoke.fleet.guarding import Answer
from _masticspoke.fleet.guarding import Broke
from _masticspoke.fleet.guarding import Declined
from _masticspoke.fleet.guarding import GuardPort
from _masticspoke.fleet.guarding import NO_HEADERS
from _masticspoke.fleet.guarding import Passed
from _masticspoke.fleet.guarding import run_job
from _masticspoke.fleet.guarding import RunResult
from _masticspoke.fleet.guarding import Sent
from _masticspoke.fleet.guarding import WHOLE_ANSWER_BYTES
from _masticspoke.fleet.messages import SendEnded
from _masticspoke.fleet.placer import PlacerMessage
from _masticspoke.http_pool import HttpPool
from _masticspoke.http_pool import NotConnectedError
from _masticspoke.http_pool import Upstream
from _masticspoke.model import Address
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.supervisor import Clock

# Reasons that say nothing about whether the server fails.
_NEUTRAL = frozenset({NotRun.BUSY, NotRun.TOO_LATE})
_RETRY_S = 0.2
# The guard's own word at the deadline tells more than a timeout here, seconds.
_GUARD_GRACE_S = 0.02
# A first question may meet the same broken connections as the request did.
_FATE_TRIES = 2


@final
@dataclass(frozen=True, slots=True)
class SendPort:
    """What a request's task needs to reach guards.

    :param own: address of the own backend server.
    :param guard_port: TCP port of every node for requests of other nodes.
    :param boot_clock: also counts the time that a VM is suspended.
    """

    placer: Mailbox[PlacerMessage]
    nodes: HttpPool
    guard: GuardPort
    own: Address
    guard_port: int
    boot_clock: Clock


@final
@dataclass(slots=True)
class Outlet:
    """Where a long answer goes while it arrives.

    :param response: set as soon as its head may have been sent.
    """

    request: web.BaseRequest
    response: web.StreamResponse | None = None

    async def pass_on(
        self, upstream: Upstream, headers: CIMultiDict[str]
    ) -> web.StreamResponse:
        """Pass an answer on; break the connection if it does not come whole."""
        response = web.StreamResponse(status=upstream.status, headers=headers)
        response.content_length = upstream.content_length
        self.response = response
        try:
            await response.prepare(self.request)
            async for chunk in upstream.content.iter_any():
                await response.write(chunk)
            await response.write_eof()
        except BaseException:
            if self.request.transport is not None:
                self.request.transport.abort()
            raise
        return response


@final
@dataclass(slots=True)
class _Outcome:
    result: RunResult | None = None
    load: GuardLoad | None = field(default=None)


async def send(
    port: SendPort, job: Job, server: BackendServer, sent: Sent, outlet: Outlet
) -> RunResult:
    """Return how a send to ``server`` ended; the placer hears of it as well."""
    outcome = _Outcome()
    try:
        if server.backend == port.own:
            outcome.result = await run_job(port.guard, job, sent, outlet.pass_on)
            outcome.load = port.guard.load
        else:
            await _send_to_node(port, job, server, sent, outlet, outcome)
        assert outcome.result is not None
        return outcome.result
    finally:
        port.placer.tell(_ended(job, server, outcome))


async def _send_to_node(
    port: SendPort,
    job: Job,
    server: BackendServer,
    sent: Sent,
    outlet: Outlet,
    outcome: _Outcome,
) -> None:
    left_s = job.deadline - port.guard.clock()
    try:
        async with asyncio.timeout(left_s + _GUARD_GRACE_S):
            await _exchange_or_settle(port, job, server, sent, outlet, outcome)
    except TimeoutError:
        outcome.result = Broke("deadline", expired=True)


async def _exchange_or_settle(
    port: SendPort,
    job: Job,
    server: BackendServer,
    sent: Sent,
    outlet: Outlet,
    outcome: _Outcome,
) -> None:
    sent_at = port.boot_clock()
    try:
        await _exchange(port, job, server, sent, outlet, outcome)
    except NotConnectedError:
        outcome.result = Declined(NotRun.UNREACHABLE, _RETRY_S)
    except (aiohttp.ClientError, ConnectionError) as error:
        outcome.result = Broke(f"node: {error!r}")
        if not job.repeatable and outlet.response is None:
            await _settle(port, job, server, sent_at, outlet, outcome)


async def _settle(
    port: SendPort,
    job: Job,
    server: BackendServer,
    sent_at: float,
    outlet: Outlet,
    outcome: _Outcome,
) -> None:
    """Ask the guard what became of a request whose answer was lost."""
    node = _node(port, server)
    for _ in range(_FATE_TRIES):
        question = encode_fate(job.request_id, port.boot_clock() - sent_at)
        try:
            async with port.nodes.request(
                node, "POST", FATE_PATH, {"Host": str(node)}, question
            ) as upstream:
                guard = decode_guard(upstream.headers.get(GUARD_HEADER))
                if guard is not None:
                    outcome.load = guard.load
                    outcome.result = await _result(guard, upstream, outlet)
                return
        except (aiohttp.ClientError, ConnectionError):
            continue  # the result stays: it may have run


async def _exchange(
    port: SendPort,
    job: Job,
    server: BackendServer,
    sent: Sent,
    outlet: Outlet,
    outcome: _Outcome,
) -> None:
    headers = CIMultiDict(sent.headers)
    headers[JOB_HEADER] = encode_job(job, port.guard.clock())
    async with port.nodes.request(
        _node(port, server), sent.method, sent.target, headers, sent.body
    ) as upstream:
        guard = decode_guard(upstream.headers.get(GUARD_HEADER))
        if guard is None:
            outcome.result = Broke("the node did not answer as a guard")
            return
        outcome.load = guard.load
        outcome.result = await _result(guard, upstream, outlet)


def _node(port: SendPort, server: BackendServer) -> Address:
    return Address(server.backend.host, port.guard_port)


async def _result(guard: GuardAnswer, upstream: Upstream, outlet: Outlet) -> RunResult:
    if guard.not_run is not None:
        await upstream.content.read()
        return Declined(guard.not_run, guard.retry_s, guard.arrived)
    if guard.broke:
        detail = (await upstream.content.read()).decode(errors="replace")
        return Broke(detail, expired=detail == "deadline")
    headers = forwarded(upstream.headers, NO_HEADERS)
    if (upstream.content_length or 0) > WHOLE_ANSWER_BYTES:
        return Passed(await outlet.pass_on(upstream, headers))
    return Answer(upstream.status, headers, await upstream.content.read())


def _ended(job: Job, server: BackendServer, outcome: _Outcome) -> SendEnded:
    result = outcome.result
    return SendEnded(
        address=server.backend,
        failed=_failed(result),
        load=outcome.load,
        unusable=result.reason if isinstance(result, Declined) else None,
        service=job.service,
        nested=job.nested,
    )


def _failed(result: RunResult | None) -> bool | None:
    if isinstance(result, Answer):
        return result.status >= 500
    if isinstance(result, Declined):
        return None if result.reason in _NEUTRAL else True
    return True if isinstance(result, Broke) else None
