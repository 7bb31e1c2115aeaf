"""Fetch the rest of an interrupted answer from other backend servers."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import replace

import aiohttp
from aiohttp import web
from multidict import CIMultiDict

from _masticspoke.border.headers import answer_head
from _masticspoke.decisions.resumption import is_continuation
from _masticspoke.decisions.resumption import is_resumable
from _masticspoke.dispatch.attempt import AttemptResult
from _masticspoke.dispatch.attempt import run_attempt
from _masticspoke.dispatch.attempt import UnansweredAttempt
from _masticspoke.dispatch.port import DispatchPort
from _masticspoke.dispatch.port import RequestState
from _masticspoke.messages.dispatch import Target
from _masticspoke.model import Ran
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal
from _masticspoke.relay import relay_body
from _masticspoke.relay import TruncatedAnswer

FindNextTarget = Callable[
    [Target, UnansweredAttempt, bool], Awaitable[Target | Refusal]
]
_INTERRUPTED = UnansweredAttempt(
    Refusal(Reason.NODE_FAILED, Ran.UNKNOWN, detail="answer was interrupted")
)


async def resume_answer(
    port: DispatchPort,
    state: RequestState,
    target: Target,
    truncated: TruncatedAnswer,
    find_next_target: FindNextTarget,
) -> web.StreamResponse:
    """Return the answer, with its rest from other backend servers if possible.

    If the rest can't be fetched, the caller's connection is aborted.

    :param find_next_target: asks the router for the target after a failed attempt; the
        router gives none if the request can't be resent.
    """
    response = truncated.response
    original = state.outgoing
    failed = _INTERRUPTED
    result: AttemptResult = truncated
    while not (isinstance(result, TruncatedAnswer) and result.by_caller):
        decision = await find_next_target(target, failed, _is_resumable(state, target))
        if isinstance(decision, Refusal):
            break
        target = decision
        state.outgoing = replace(
            original, headers=_rest_headers(state, original.headers)
        )
        state.outgoing.measurements.resumptions += 1
        result = await run_attempt(port, state, target, _append_rest(state, response))
        if isinstance(result, web.StreamResponse):
            return result
        failed = result if isinstance(result, UnansweredAttempt) else _INTERRUPTED
    state.relayed.abort()
    return response


def _is_resumable(state: RequestState, target: Target) -> bool:
    head = state.relayed.head
    if head is None:
        return False
    asked_range = "Range" in state.request.headers
    method = state.request.method
    return is_resumable(target.call, method, head, asked_range=asked_range)


def _rest_headers(state: RequestState, headers: Mapping[str, str]) -> CIMultiDict[str]:
    assert state.relayed.head is not None
    rest: CIMultiDict[str] = CIMultiDict(headers)
    rest["Range"] = f"bytes={state.relayed.sent}-"
    rest["If-Range"] = state.relayed.head.etag
    return rest


def _append_rest(
    state: RequestState, response: web.StreamResponse
) -> Callable[
    [aiohttp.ClientResponse], Awaitable[web.StreamResponse | TruncatedAnswer]
]:
    async def append(
        upstream: aiohttp.ClientResponse,
    ) -> web.StreamResponse | TruncatedAnswer:
        relayed = state.relayed
        part = answer_head(upstream.status, upstream.headers)
        if relayed.head is None or not is_continuation(
            relayed.head, relayed.sent, part
        ):
            # The part may belong to another version of the answer: don't append it.
            return TruncatedAnswer(response, by_caller=False)
        return await relay_body(relayed, response, upstream)

    return append
