"""One attempt of a call: at the own backend server, or through another node."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import replace
from typing import final
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web
from multidict import CIMultiDict

from _masticspoke.border.headers import CALL_HEADER
from _masticspoke.border.headers import decode_report
from _masticspoke.border.headers import encode_call
from _masticspoke.border.headers import REFUSED_HEADER
from _masticspoke.border.headers import REPORT_HEADER
from _masticspoke.border.problem import decode_problem
from _masticspoke.exchange import relay
from _masticspoke.guard.run import run_call
from _masticspoke.messages import AttemptEnded
from _masticspoke.messages import NotAdmitted
from _masticspoke.messages import Target
from _masticspoke.model import LoadReport
from _masticspoke.model import Ran
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal

if TYPE_CHECKING:
    from _masticspoke.dispatch.conduct import Conduct
    from _masticspoke.dispatch.conduct import DispatchPort

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


@final
@dataclass(slots=True)
class _Answered:
    """What the head of an answer brought."""

    at: float | None = None
    report: LoadReport | None = None


async def attempt(
    port: DispatchPort, held: Conduct, target: Target
) -> web.StreamResponse | Failed:
    """Return the relayed answer of one attempt, or why there is none."""
    if target.wait_s > 0:
        await asyncio.sleep(target.wait_s)
    started = port.clock()
    answered = _Answered()
    failed: Failed | None = None
    try:
        result = await _in_time(port, held, target, answered)
        if isinstance(result, Failed):
            failed = result
            return replace(result, waited_s=port.clock() - started)
        return result
    finally:
        if failed is None:
            ended_at = answered.at or port.clock()
            ended = AttemptEnded(
                target, answered.report, answered.at, ended_at - started
            )
            port.router.tell(ended)


async def _in_time(
    port: DispatchPort, held: Conduct, target: Target, answered: _Answered
) -> web.StreamResponse | Failed:
    grace_s = 0.0 if target.own else REFUSAL_GRACE_S
    try:
        async with asyncio.timeout(target.call.deadline - port.clock() + grace_s):
            if target.own:
                return await _run_here(port, held, target, answered)
            return await _send_to_node(port, held, target, answered)
    except TimeoutError:
        return Failed(Refusal(Reason.DEADLINE_PASSED, Ran.UNKNOWN))


async def _run_here(
    port: DispatchPort, held: Conduct, target: Target, answered: _Answered
) -> web.StreamResponse | Failed:
    async def deliver(
        upstream: aiohttp.ClientResponse, report: LoadReport
    ) -> web.StreamResponse:
        _note_answer(port, held, answered, report)
        return await relay(held.request, upstream, {})

    result = await run_call(port.guard, target.call, held.sent, deliver)
    if isinstance(result, NotAdmitted):
        return Failed(result.refusal, result.report)
    return result


async def _send_to_node(
    port: DispatchPort, held: Conduct, target: Target, answered: _Answered
) -> web.StreamResponse | Failed:
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
            return await relay(held.request, upstream, {})
    except aiohttp.ClientConnectorError as error:
        return _failed(Reason.NODE_UNREACHABLE, Ran.NO, error)
    except (aiohttp.ClientError, ConnectionError) as error:
        return _failed(Reason.NODE_FAILED, Ran.UNKNOWN, error)
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
