"""One attempt of a call, at the local backend server or through another node."""

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
from _masticspoke.dispatch.port import DispatchPort
from _masticspoke.dispatch.port import RequestState
from _masticspoke.exchange import deadline_refusal
from _masticspoke.guard.run import run_call
from _masticspoke.messages.dispatch import AttemptEnded
from _masticspoke.messages.dispatch import Target
from _masticspoke.messages.guard import NotAdmitted
from _masticspoke.model import LoadReport
from _masticspoke.model import Ran
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal
from _masticspoke.relay import TruncatedAnswer

# Extra time after the deadline for the refusal of the other node's guard to arrive; it
# says more than a timeout at this node.
_GUARD_GRACE_S = 0.02


@final
@dataclass(frozen=True, slots=True)
class UnansweredAttempt:
    """An attempt that ended without an answer.

    :param report: the guard's load report, if the guard answered.
    :param waited_s: seconds from sending to the refusal.
    """

    refusal: Refusal
    report: LoadReport | None = None
    waited_s: float = 0.0

    @property
    def returned_retries(self) -> int:
        """Unused retries that the guard returned with the refusal."""
        return self.report.allowance_left if self.report else 0


AttemptResult = web.StreamResponse | TruncatedAnswer | UnansweredAttempt
Deliver = Callable[
    [aiohttp.ClientResponse], Awaitable[web.StreamResponse | TruncatedAnswer]
]


@final
@dataclass(slots=True)
class _AnswerStart:
    """Arrival of an answer's head, and the load report that came with it.

    :param at: when the head arrived; ``None`` before that.
    """

    at: float | None = None
    report: LoadReport | None = None


async def run_attempt(
    port: DispatchPort, state: RequestState, target: Target, deliver: Deliver
) -> AttemptResult:
    """Return the relayed answer of one attempt, or how the attempt failed.

    This function sends the router :class:`AttemptEnded`, unless the attempt failed or
    the task is cancelled during the wait before the attempt. After a failed attempt,
    the caller of this function asks the router for the next target.

    :param deliver: forwards the answer to the client or calling service.
    """
    if target.wait_s > 0:
        await asyncio.sleep(target.wait_s)
    state.unused_retries = target.attempt.progress.reserved_retries
    started_at = port.clock()
    answer_start = _AnswerStart()
    result: AttemptResult | None = None
    try:
        result = await _run_until_deadline(port, state, target, deliver, answer_start)
    finally:
        if not _is_failure(result):
            ended_at = answer_start.at or port.clock()
            ended = AttemptEnded(
                target, answer_start.report, answer_start.at, ended_at - started_at
            )
            port.router.tell(ended)
    if isinstance(result, UnansweredAttempt):
        return replace(result, waited_s=port.clock() - started_at)
    return result


def _is_failure(result: AttemptResult | None) -> bool:
    """Return whether the attempt failed; the router then gets no ``AttemptEnded``."""
    if isinstance(result, TruncatedAnswer):
        return not result.by_caller
    return isinstance(result, UnansweredAttempt)


async def _run_until_deadline(
    port: DispatchPort,
    state: RequestState,
    target: Target,
    deliver: Deliver,
    answer_start: _AnswerStart,
) -> AttemptResult:
    grace_s = 0.0 if target.is_local_backend else _GUARD_GRACE_S
    try:
        async with asyncio.timeout(target.call.deadline - port.clock() + grace_s):
            if target.is_local_backend:
                return await _run_at_local_backend(
                    port, state, target, deliver, answer_start
                )
            return await _send_through_node(port, state, target, deliver, answer_start)
    except TimeoutError:
        if state.relayed.response is not None:
            return TruncatedAnswer(state.relayed.response, by_caller=True)
        return UnansweredAttempt(deadline_refusal(state.outgoing))


async def _run_at_local_backend(
    port: DispatchPort,
    state: RequestState,
    target: Target,
    deliver: Deliver,
    answer_start: _AnswerStart,
) -> AttemptResult:
    async def deliver_run(
        upstream: aiohttp.ClientResponse, report: LoadReport
    ) -> web.StreamResponse | TruncatedAnswer:
        _record_answer_start(port, state, answer_start, report)
        return await deliver(upstream)

    result = await run_call(port.guard, target.call, state.outgoing, deliver_run)
    if isinstance(result, NotAdmitted):
        return UnansweredAttempt(result.refusal, result.report)
    return result


async def _send_through_node(
    port: DispatchPort,
    state: RequestState,
    target: Target,
    deliver: Deliver,
    answer_start: _AnswerStart,
) -> AttemptResult:
    headers = CIMultiDict(state.outgoing.headers)
    headers[CALL_HEADER] = encode_call(target.call, port.clock())
    measurements = state.outgoing.measurements
    measurements.record_attempt(target.call)
    measurements.record_upstream_start(port.clock())
    try:
        async with port.connections.session.request(
            state.outgoing.method,
            state.outgoing.url(target.member.node),
            headers=headers,
            data=state.outgoing.body or None,
            allow_redirects=False,
        ) as upstream:
            measurements.record_upstream_end(port.clock())
            report = decode_report(upstream.headers.get(REPORT_HEADER))
            if REFUSED_HEADER in upstream.headers:
                return await _read_refusal(upstream, report)
            _record_answer_start(port, state, answer_start, report)
            return await deliver(upstream)
    except NOT_CONNECTED as error:
        return _unanswered(Reason.NODE_UNREACHABLE, Ran.NO, error)
    except (aiohttp.ClientError, ConnectionError) as error:
        reason = (
            Reason.MALFORMED if state.outgoing.source.failed else Reason.NODE_FAILED
        )
        return _unanswered(reason, Ran.UNKNOWN, error)
    finally:
        measurements.record_upstream_end(port.clock())


def _record_answer_start(
    port: DispatchPort,
    state: RequestState,
    answer_start: _AnswerStart,
    report: LoadReport | None,
) -> None:
    answer_start.at = port.clock()
    answer_start.report = report
    state.unused_retries += report.allowance_left if report else 0


async def _read_refusal(
    upstream: aiohttp.ClientResponse, report: LoadReport | None
) -> UnansweredAttempt:
    refusal = decode_problem(await upstream.read())
    malformed = Refusal(Reason.NODE_FAILED, Ran.UNKNOWN, detail="unreadable refusal")
    return UnansweredAttempt(refusal or malformed, report)


def _unanswered(reason: Reason, ran: Ran, error: Exception) -> UnansweredAttempt:
    return UnansweredAttempt(Refusal(reason, ran, detail=repr(error)))
