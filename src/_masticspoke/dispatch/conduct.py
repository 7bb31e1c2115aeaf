"""Conduct one request: attempt after attempt, until an answer or a refusal."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import final

import aiohttp
from aiohttp import web
from multidict import CIMultiDict

from _masticspoke.border.headers import CALL_HEADER
from _masticspoke.border.headers import decode_report
from _masticspoke.border.headers import encode_call
from _masticspoke.border.headers import REFUSED_HEADER
from _masticspoke.border.headers import REPORT_HEADER
from _masticspoke.border.problem import decode_problem
from _masticspoke.dispatch.router import RouterMessage
from _masticspoke.exchange import Connections
from _masticspoke.exchange import Outgoing
from _masticspoke.exchange import relay
from _masticspoke.guard.run import GuardPort
from _masticspoke.guard.run import run_call
from _masticspoke.messages import AttemptEnded
from _masticspoke.messages import AttemptFailed
from _masticspoke.messages import Begin
from _masticspoke.messages import NotAdmitted
from _masticspoke.messages import Target
from _masticspoke.model import Call
from _masticspoke.model import LoadReport
from _masticspoke.model import Ran
from _masticspoke.model import RequestShape
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal
from _masticspoke.supervise.mailbox import Delivery
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply

Ended = Callable[[LoadReport | None], None]


@final
@dataclass(frozen=True, slots=True)
class DispatchPort:
    """What a request's task needs in order to have a request served."""

    router: Mailbox[RouterMessage]
    connections: Connections
    guard: GuardPort


async def conduct(
    port: DispatchPort,
    request: web.BaseRequest,
    shape: RequestShape,
    parent: Call | None,
    sent: Outgoing,
) -> web.StreamResponse | Refusal:
    """Return the answer to a request, already relayed, or why there is none."""
    target = await _ask(port, Begin(shape, parent, Reply()))
    while isinstance(target, Target):
        failed = await _attempt_in_time(port, request, target, sent)
        if isinstance(failed, web.StreamResponse):
            return failed
        if not sent.resendable:
            return failed.refusal
        question = AttemptFailed(target, failed.refusal, failed.report, Reply())
        target = await _ask(port, question)
        if isinstance(target, Target):
            sent.account.retried.append(failed.refusal.reason)
    return target


async def _ask(port: DispatchPort, question: Begin | AttemptFailed) -> Target | Refusal:
    if port.router.tell(question) is Delivery.FULL:
        return Refusal(Reason.BUSY)
    return await question.reply.value()


async def _attempt_in_time(
    port: DispatchPort, request: web.BaseRequest, target: Target, sent: Outgoing
) -> web.StreamResponse | NotAdmitted:
    try:
        async with asyncio.timeout(max(0.0, target.call.deadline - time.monotonic())):
            return await _attempt(port, request, target, sent)
    except TimeoutError:
        refusal = Refusal(Reason.DEADLINE_PASSED, Ran.UNKNOWN)
        return NotAdmitted(refusal, LoadReport())


async def _attempt(
    port: DispatchPort, request: web.BaseRequest, target: Target, sent: Outgoing
) -> web.StreamResponse | NotAdmitted:
    started = time.monotonic()

    def ended(report: LoadReport | None) -> None:
        latency_s = time.monotonic() - started
        port.router.tell(AttemptEnded(target, report, latency_s))

    if target.own:
        return await _run_here(port, request, target, sent, ended)
    return await _send_to_node(port, request, target, sent, ended)


async def _run_here(
    port: DispatchPort,
    request: web.BaseRequest,
    target: Target,
    sent: Outgoing,
    ended: Ended,
) -> web.StreamResponse | NotAdmitted:
    async def deliver(
        upstream: aiohttp.ClientResponse, report: LoadReport
    ) -> web.StreamResponse:
        ended(report)
        return await relay(request, upstream, {})

    return await run_call(port.guard, target.call, sent, deliver)


async def _send_to_node(
    port: DispatchPort,
    request: web.BaseRequest,
    target: Target,
    sent: Outgoing,
    ended: Ended,
) -> web.StreamResponse | NotAdmitted:
    headers = CIMultiDict(sent.headers)
    headers[CALL_HEADER] = encode_call(target.call, time.monotonic())
    sent.account.attempt(target.call)
    sent.account.wait_began(time.monotonic())
    try:
        async with port.connections.session.request(
            sent.method,
            f"http://{target.member.node}{sent.target}",
            headers=headers,
            data=sent.body or None,
            allow_redirects=False,
        ) as upstream:
            sent.account.wait_ended(time.monotonic())
            report = decode_report(upstream.headers.get(REPORT_HEADER))
            if REFUSED_HEADER in upstream.headers:
                return await _refused(upstream, report)
            ended(report)
            return await relay(request, upstream, {})
    except aiohttp.ClientConnectorError as error:
        return _failed(Reason.NODE_UNREACHABLE, Ran.NO, error)
    except (aiohttp.ClientError, ConnectionError) as error:
        return _failed(Reason.NODE_FAILED, Ran.UNKNOWN, error)
    finally:
        sent.account.wait_ended(time.monotonic())


async def _refused(
    upstream: aiohttp.ClientResponse, report: LoadReport | None
) -> NotAdmitted:
    refusal = decode_problem(await upstream.read())
    unreadable = Refusal(Reason.NODE_FAILED, Ran.UNKNOWN, detail="unreadable refusal")
    return NotAdmitted(refusal or unreadable, report or LoadReport())


def _failed(reason: Reason, ran: Ran, error: Exception) -> NotAdmitted:
    return NotAdmitted(Refusal(reason, ran, detail=repr(error)), LoadReport())
