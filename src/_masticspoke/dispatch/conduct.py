"""Conduct one request: attempt after attempt, until an answer or a refusal."""

from __future__ import annotations

import aiohttp
from aiohttp import web

from _masticspoke.decisions.handling import handling
from _masticspoke.decisions.retry import cover_all_attempts
from _masticspoke.dispatch.attempt import attempt
from _masticspoke.dispatch.attempt import Failed
from _masticspoke.dispatch.port import Answer
from _masticspoke.dispatch.port import Conduct
from _masticspoke.dispatch.port import DispatchPort
from _masticspoke.dispatch.resume import finish
from _masticspoke.exchange import account_of
from _masticspoke.exchange import Outgoing
from _masticspoke.exchange import receive
from _masticspoke.messages.dispatch import AttemptEnded
from _masticspoke.messages.dispatch import AttemptFailed
from _masticspoke.messages.dispatch import Begin
from _masticspoke.messages.dispatch import CallEnded
from _masticspoke.messages.dispatch import Target
from _masticspoke.messages.runs import Borrow
from _masticspoke.messages.runs import GiveBack
from _masticspoke.model import Loan
from _masticspoke.model import RequestShape
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal
from _masticspoke.relay import Cut
from _masticspoke.relay import relay
from _masticspoke.relay import Relayed
from _masticspoke.supervise.ask import ask_or
from _masticspoke.supervise.mailbox import Reply


async def conduct(
    port: DispatchPort,
    request: web.BaseRequest,
    shape: RequestShape,
    loan: Loan | None,
) -> Answer:
    """Return the answer to a request, already relayed, or why there is none."""
    first = await _ask(port, Begin(shape, loan, Reply()), Refusal(Reason.BUSY))
    if isinstance(first, Refusal):
        account_of(request).refused(first)
        if loan is not None:
            port.guard.runs.tell(GiveBack(loan, loan.amount, refused=True))
        return first
    answer: Answer | None = None
    held = Conduct(
        request,
        loan,
        Relayed(request),
        Outgoing.empty(),
        first.attempt.progress.reserved_retries,
    )
    try:
        answer = await _serve(port, held, first)
        return answer
    finally:
        _give_back(port, held, first, refused=isinstance(answer, Refusal))


async def _serve(port: DispatchPort, held: Conduct, first: Target) -> Answer:
    wait_s = first.call.deadline - port.clock()
    received: Outgoing | Refusal | None = None
    try:
        received = await receive(held.request, port.buffer_bytes, wait_s)
    finally:
        if not isinstance(received, Outgoing):
            port.router.tell(AttemptEnded(first, None, None, 0.0))
    if isinstance(received, Refusal):
        held.unused += first.call.allowance
        return received
    held.sent = received
    return await port.serve[handling(first.call)](port, held, first)


async def attempts(port: DispatchPort, held: Conduct, first: Target) -> Answer:
    """Send the request until it is answered or the router ends it."""
    step: Target | Refusal = first

    async def deliver(upstream: aiohttp.ClientResponse) -> web.StreamResponse | Cut:
        return await relay(held.relayed, upstream, {})

    async def ask(target: Target, failed: Failed, resendable: bool) -> Target | Refusal:
        return await _after_failure(port, held, target, failed, resendable)

    while isinstance(step, Target):
        result = await attempt(port, held, step, deliver)
        if isinstance(result, web.StreamResponse):
            return result
        if isinstance(result, Cut):
            return await finish(port, held, step, result, ask)
        step = await ask(step, result, held.sent.resendable)
    return step


async def _after_failure(
    port: DispatchPort,
    held: Conduct,
    target: Target,
    failed: Failed,
    resendable: bool,
) -> Target | Refusal:
    held.unused = max(
        held.unused, target.attempt.progress.reserved_retries + failed.returned
    )
    if held.unused == 0 and held.loan is not None:
        held.unused = await _borrow(port, held.loan)
    question = AttemptFailed(
        target=target,
        refusal=failed.refusal,
        report=failed.report,
        returned=held.unused - target.attempt.progress.reserved_retries,
        waited_s=failed.waited_s,
        resendable=resendable,
        reply=Reply(),
    )
    ended = cover_all_attempts(failed.refusal, target.attempt.progress)
    step = await _ask(port, question, ended)
    if isinstance(step, Target):
        held.sent.account.retried.append(failed.refusal.reason)
    return step


async def _ask(
    port: DispatchPort, question: Begin | AttemptFailed, otherwise: Refusal
) -> Target | Refusal:
    return await ask_or(port.router, question, question.reply, otherwise)


async def _borrow(port: DispatchPort, loan: Loan) -> int:
    question = Borrow(loan, Reply())
    return await ask_or(port.guard.runs, question, question.reply, 0)


def _give_back(
    port: DispatchPort, held: Conduct, first: Target, *, refused: bool
) -> None:
    if held.loan is not None:
        port.guard.runs.tell(GiveBack(held.loan, held.unused, refused))
    elif first.call.key is not None:
        port.router.tell(CallEnded(first.call, held.unused, refused))
