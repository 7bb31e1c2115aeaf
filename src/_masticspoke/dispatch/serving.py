"""Serve a request: make attempts until one is answered or the request is refused."""

from __future__ import annotations

import aiohttp
from aiohttp import web

from _masticspoke.decisions.handling import handling
from _masticspoke.decisions.retry import cover_all_attempts
from _masticspoke.dispatch.attempt import run_attempt
from _masticspoke.dispatch.attempt import UnansweredAttempt
from _masticspoke.dispatch.port import Answer
from _masticspoke.dispatch.port import DispatchPort
from _masticspoke.dispatch.port import RequestState
from _masticspoke.dispatch.resume import resume_answer
from _masticspoke.exchange import measurements_of
from _masticspoke.exchange import Outgoing
from _masticspoke.exchange import receive
from _masticspoke.messages.dispatch import AttemptEnded
from _masticspoke.messages.dispatch import AttemptFailed
from _masticspoke.messages.dispatch import BeginCall
from _masticspoke.messages.dispatch import CallEnded
from _masticspoke.messages.dispatch import Target
from _masticspoke.messages.runs import Borrow
from _masticspoke.messages.runs import GiveBack
from _masticspoke.model import Loan
from _masticspoke.model import RequestShape
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal
from _masticspoke.relay import relay
from _masticspoke.relay import Relayed
from _masticspoke.relay import TruncatedAnswer
from _masticspoke.supervise.ask import ask_or
from _masticspoke.supervise.mailbox import Reply


async def serve_request(
    port: DispatchPort,
    request: web.BaseRequest,
    shape: RequestShape,
    loan: Loan | None,
) -> Answer:
    """Return the relayed answer to a request, or the refusal that ends it.

    :param loan: retries lent by the parent call; ``None`` for a root call. Those that
        are not used are given back.
    """
    first = await _ask_router(
        port, BeginCall(shape, loan, Reply()), Refusal(Reason.BUSY)
    )
    if isinstance(first, Refusal):
        measurements_of(request).record_refusal(first)
        if loan is not None:
            port.guard.runs.tell(GiveBack(loan, loan.amount, refused=True))
        return first
    answer: Answer | None = None
    state = RequestState(
        request,
        loan,
        Relayed(request),
        Outgoing.empty(),
        first.attempt.progress.reserved_retries,
    )
    try:
        answer = await _receive_and_serve(port, state, first)
        return answer
    finally:
        _return_retries(port, state, first, refused=isinstance(answer, Refusal))


async def _receive_and_serve(
    port: DispatchPort, state: RequestState, first: Target
) -> Answer:
    wait_s = first.call.deadline - port.clock()
    received: Outgoing | Refusal | None = None
    try:
        received = await receive(state.request, port.buffer_bytes, wait_s)
    finally:
        if not isinstance(received, Outgoing):
            # Nothing was sent to the first target.
            port.router.tell(AttemptEnded(first, None, None, 0.0))
    if isinstance(received, Refusal):
        state.unused_retries += first.call.allowance
        return received
    state.outgoing = received
    return await port.serve[handling(first.call)](port, state, first)


async def run_attempts(
    port: DispatchPort, state: RequestState, first: Target
) -> Answer:
    """Make attempts until one is answered or the router permits no more.

    An answer that is interrupted is resumed at another backend server if possible.

    :param first: target that the router chose for the first attempt.
    """
    decision: Target | Refusal = first

    async def deliver(
        upstream: aiohttp.ClientResponse,
    ) -> web.StreamResponse | TruncatedAnswer:
        return await relay(state.relayed, upstream, {})

    async def find_next_target(
        target: Target, failed: UnansweredAttempt, resendable: bool
    ) -> Target | Refusal:
        return await _next_target(port, state, target, failed, resendable)

    while isinstance(decision, Target):
        result = await run_attempt(port, state, decision, deliver)
        if isinstance(result, web.StreamResponse):
            return result
        if isinstance(result, TruncatedAnswer):
            return await resume_answer(port, state, decision, result, find_next_target)
        decision = await find_next_target(decision, result, state.outgoing.resendable)
    return decision


async def _next_target(
    port: DispatchPort,
    state: RequestState,
    target: Target,
    failed: UnansweredAttempt,
    resendable: bool,
) -> Target | Refusal:
    # ``state.unused_retries`` already includes retries that arrived with the head of an
    # answer that was interrupted later.
    state.unused_retries = max(
        state.unused_retries,
        target.attempt.progress.reserved_retries + failed.returned_retries,
    )
    if state.unused_retries == 0 and state.loan is not None:
        state.unused_retries = await _borrow(port, state.loan)
    message = AttemptFailed(
        target=target,
        refusal=failed.refusal,
        report=failed.report,
        returned=state.unused_retries - target.attempt.progress.reserved_retries,
        waited_s=failed.waited_s,
        resendable=resendable,
        reply=Reply(),
    )
    final_refusal = cover_all_attempts(failed.refusal, target.attempt.progress)
    decision = await _ask_router(port, message, final_refusal)
    if isinstance(decision, Target):
        state.outgoing.measurements.retry_reasons.append(failed.refusal.reason)
    return decision


async def _ask_router(
    port: DispatchPort, message: BeginCall | AttemptFailed, default: Refusal
) -> Target | Refusal:
    return await ask_or(port.router, message, message.reply, default)


async def _borrow(port: DispatchPort, loan: Loan) -> int:
    message = Borrow(loan, Reply())
    return await ask_or(port.guard.runs, message, message.reply, 0)


def _return_retries(
    port: DispatchPort, state: RequestState, first: Target, *, refused: bool
) -> None:
    if state.loan is not None:
        port.guard.runs.tell(GiveBack(state.loan, state.unused_retries, refused))
    elif first.call.key is not None:
        port.router.tell(CallEnded(first.call, state.unused_retries, refused))
