"""One attempt of a call: at the own backend server, or through another node."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace
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
from _masticspoke.connections import NOT_CONNECTED
from _masticspoke.dispatch.port import Conduct
from _masticspoke.dispatch.port import DispatchPort
from _masticspoke.exchange import deadline_refusal
from _masticspoke.guard.run import run_call
from _masticspoke.messages.dispatch import AttemptEnded
from _masticspoke.messages.dispatch import Target
from _masticspoke.messages.guard import NotAdmitted
from _masticspoke.model import LoadReport
from _masticspoke.model import Ran
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal
from _masticspoke.relay import Cut

# A guard's own refusal at the deadline tells more than a timeout here (issue 4).
REFUSAL_GRACE_S = 0.02


@final
@dataclass(frozen=True, slots=True)
class Failed:
    """An attempt that brought no answer.

    :param report: the guard's load, if it answered.
    :param waited_s: time from sending to the refusal.
    """

    refusal: Refusal
    report: LoadReport | None = None
    waited_s: float = 0.0

    @property
    def returned(self) -> int:
        """Retries that came back with the refusal."""
        return self.report.allowance_left if self.report else 0


Result = web.StreamResponse | Cut | Failed
Deliver = Callable[[aiohttp.ClientResponse], Awaitable[web.StreamResponse | Cut]]


@final
@dataclass(slots=True)
class _Answered:
    """What the head of an answer brought."""

    at: float | None = None
    report: LoadReport | None = None


async def attempt(
    port: DispatchPort, held: Conduct, target: Target, deliver: Deliver
) -> Result:
    """Return the relayed answer of one attempt, or why there is none.

    :param deliver: passes the answer on.
    """
    if target.wait_s > 0:
        await asyncio.sleep(target.wait_s)
    held.unused = target.attempt.progress.reserved_retries
    started = port.clock()
    answered = _Answered()
    result: Result | None = None
    try:
        result = await _in_time(port, held, target, deliver, answered)
    finally:
        if not _needs_another(result):
            ended_at = answered.at or port.clock()
            ended = AttemptEnded(
                target, answered.report, answered.at, ended_at - started
            )
            port.router.tell(ended)
    if isinstance(result, Failed):
        return replace(result, waited_s=port.clock() - started)
    return result


def _needs_another(result: Result | None) -> bool:
    if isinstance(result, Cut):
        return not result.by_caller
    return isinstance(result, Failed)


async def _in_time(
    port: DispatchPort,
    held: Conduct,
    target: Target,
    deliver: Deliver,
    answered: _Answered,
) -> Result:
    grace_s = 0.0 if target.own else REFUSAL_GRACE_S
    try:
        async with asyncio.timeout(target.call.deadline - port.clock() + grace_s):
            if target.own:
                return await _run_here(port, held, target, deliver, answered)
            return await _send_to_node(port, held, target, deliver, answered)
    except TimeoutError:
        if held.relayed.response is not None:
            return Cut(held.relayed.response, by_caller=True)
        return Failed(deadline_refusal(held.sent))


async def _run_here(
    port: DispatchPort,
    held: Conduct,
    target: Target,
    deliver: Deliver,
    answered: _Answered,
) -> Result:
    async def deliver_run(
        upstream: aiohttp.ClientResponse, report: LoadReport
    ) -> web.StreamResponse | Cut:
        _note_answer(port, held, answered, report)
        return await deliver(upstream)

    result = await run_call(port.guard, target.call, held.sent, deliver_run)
    if isinstance(result, NotAdmitted):
        return Failed(result.refusal, result.report)
    return result


async def _send_to_node(
    port: DispatchPort,
    held: Conduct,
    target: Target,
    deliver: Deliver,
    answered: _Answered,
) -> Result:
    headers = CIMultiDict(held.sent.headers)
    headers[CALL_HEADER] = encode_call(target.call, port.clock())
    account = held.sent.account
    account.attempt(target.call)
    account.wait_began(port.clock())
    try:
        async with port.connections.session.request(
            held.sent.method,
            held.sent.url(target.member.node),
            headers=headers,
            data=held.sent.body or None,
            allow_redirects=False,
        ) as upstream:
            account.wait_ended(port.clock())
            report = decode_report(upstream.headers.get(REPORT_HEADER))
            if REFUSED_HEADER in upstream.headers:
                return await _refused(upstream, report)
            _note_answer(port, held, answered, report)
            return await deliver(upstream)
    except NOT_CONNECTED as error:
        return _failed(Reason.NODE_UNREACHABLE, Ran.NO, error)
    except (aiohttp.ClientError, ConnectionError) as error:
        reason = Reason.MALFORMED if held.sent.source.failed else Reason.NODE_FAILED
        return _failed(reason, Ran.UNKNOWN, error)
    finally:
        account.wait_ended(port.clock())


def _note_answer(
    port: DispatchPort, held: Conduct, answered: _Answered, report: LoadReport | None
) -> None:
    answered.at = port.clock()
    answered.report = report
    held.unused += report.allowance_left if report else 0


async def _refused(
    upstream: aiohttp.ClientResponse, report: LoadReport | None
) -> Failed:
    refusal = decode_problem(await upstream.read())
    unreadable = Refusal(Reason.NODE_FAILED, Ran.UNKNOWN, detail="unreadable refusal")
    return Failed(refusal or unreadable, report)


def _failed(reason: Reason, ran: Ran, error: Exception) -> Failed:
    return Failed(Refusal(reason, ran, detail=repr(error)))
