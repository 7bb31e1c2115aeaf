"""Fetch the rest of a broken answer from other backend servers."""

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
from _masticspoke.dispatch.attempt import attempt
from _masticspoke.dispatch.attempt import Failed
from _masticspoke.dispatch.attempt import Result
from _masticspoke.dispatch.port import Conduct
from _masticspoke.dispatch.port import DispatchPort
from _masticspoke.messages.dispatch import Target
from _masticspoke.model import Ran
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal
from _masticspoke.relay import Cut
from _masticspoke.relay import relay_body

NextTarget = Callable[[Target, Failed, bool], Awaitable[Target | Refusal]]
_BROKEN = Failed(Refusal(Reason.NODE_FAILED, Ran.UNKNOWN, detail="answer broke off"))


async def finish(
    port: DispatchPort, held: Conduct, target: Target, cut: Cut, ask: NextTarget
) -> web.StreamResponse:
    """Return the answer, with its rest from elsewhere, or broken off.

    :param ask: asks the router for the target after a failed attempt, unless the
        request can't be sent again.
    """
    response = cut.response
    whole = held.sent
    failed = _BROKEN
    result: Result = cut
    while not (isinstance(result, Cut) and result.by_caller):
        step = await ask(target, failed, _is_resumable(held, target))
        if isinstance(step, Refusal):
            break
        target = step
        held.sent = replace(whole, headers=_rest_headers(held, whole.headers))
        held.sent.account.resumptions += 1
        result = await attempt(port, held, target, _appending(held, response))
        if isinstance(result, web.StreamResponse):
            return result
        failed = result if isinstance(result, Failed) else _BROKEN
    held.relayed.abort()
    return response


def _is_resumable(held: Conduct, target: Target) -> bool:
    head = held.relayed.head
    if head is None:
        return False
    asked_range = "Range" in held.request.headers
    method = held.request.method
    return is_resumable(target.call, method, head, asked_range=asked_range)


def _rest_headers(held: Conduct, headers: Mapping[str, str]) -> CIMultiDict[str]:
    assert held.relayed.head is not None
    rest: CIMultiDict[str] = CIMultiDict(headers)
    rest["Range"] = f"bytes={held.relayed.sent}-"
    rest["If-Range"] = held.relayed.head.etag
    return rest


def _appending(
    held: Conduct, response: web.StreamResponse
) -> Callable[[aiohttp.ClientResponse], Awaitable[web.StreamResponse | Cut]]:
    async def append(
        upstream: aiohttp.ClientResponse,
    ) -> web.StreamResponse | Cut:
        relayed = held.relayed
        part = answer_head(upstream.status, upstream.headers)
        if relayed.head is None or not is_continuation(
            relayed.head, relayed.sent, part
        ):
            # Another version of the answer: its bytes must not be mixed in.
            return Cut(response, by_caller=False)
        return await relay_body(relayed, response, upstream)

    return append
