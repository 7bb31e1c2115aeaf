"""Serve calls with an idempotency key: the home of a key runs it at most once.

Each node has a home, the task that decides whether a request with a key may run there.
It redirects requests that belong to the home of another node.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import final

import aiohttp
from aiohttp import web
from multidict import CIMultiDict

from _masticspoke.border.addresses import parse_address
from _masticspoke.border.headers import CALL_HEADER
from _masticspoke.border.headers import ELSEWHERE_HEADER
from _masticspoke.border.headers import encode_call
from _masticspoke.border.headers import HOME_HEADER
from _masticspoke.border.headers import REFUSED_HEADER
from _masticspoke.border.headers import REPLAYED_HEADER
from _masticspoke.border.problem import decode_problem
from _masticspoke.control.home import HomeMessage
from _masticspoke.decisions.once.model import Answered
from _masticspoke.decisions.once.model import Redirect
from _masticspoke.decisions.once.model import StoredAnswer
from _masticspoke.decisions.once.placement import key_digest
from _masticspoke.dispatch.port import Answer
from _masticspoke.dispatch.port import DispatchPort
from _masticspoke.dispatch.port import RequestState
from _masticspoke.dispatch.serving import run_attempts
from _masticspoke.exchange import Outgoing
from _masticspoke.guard.run import request_fingerprint
from _masticspoke.messages.dispatch import AttemptEnded
from _masticspoke.messages.dispatch import RouteCall
from _masticspoke.messages.dispatch import Target
from _masticspoke.messages.once import AskKey
from _masticspoke.messages.once import Granted
from _masticspoke.messages.once import KeyAbandoned
from _masticspoke.messages.once import KeyEnded
from _masticspoke.messages.once import KeyResult
from _masticspoke.model import Address
from _masticspoke.model import Call
from _masticspoke.model import Ran
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal
from _masticspoke.relay import relay
from _masticspoke.relay import Relayed
from _masticspoke.relay import TruncatedAnswer
from _masticspoke.supervise.ask import ask_or
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply

_MAX_REDIRECTS = 3
_FIRST_RETRY_PAUSE_S = 0.1
_MAX_RETRY_PAUSE_S = 1.0
# The home runs a key at most once, so a request may be repeated after these refusals.
_RETRYABLE_REASONS = frozenset(
    {Reason.NODE_UNREACHABLE, Reason.NODE_FAILED, Reason.HOME_UNAVAILABLE}
)
_DEADLINE_PASSED = Refusal(Reason.DEADLINE_PASSED, Ran.UNKNOWN)
_HOME_BUSY = Refusal(Reason.BUSY, Ran.UNKNOWN)
_OUTCOME_UNKNOWN = Refusal(Reason.OUTCOME_UNKNOWN, Ran.UNKNOWN)
_BODY_NOT_BUFFERED = Refusal(
    Reason.MALFORMED,
    detail="a request with a key needs a body of known length, within the node's "
    "body_buffer_bytes",
)
_FindTarget = Callable[[], Awaitable[Target | Refusal]]


@final
@dataclass(frozen=True, slots=True)
class HomePort:
    """Access to this node's home and, through ``dispatch``, to those of other nodes.

    :param running: runs in progress; they continue when their caller disconnects.
    """

    home: Mailbox[HomeMessage]
    dispatch: DispatchPort
    running: set[asyncio.Task[Answer]] = field(default_factory=set)


async def serve_keyed(port: HomePort, state: RequestState, first: Target) -> Answer:
    """Return the answer to a call with a key that enters the system at this node.

    :param first: target that the router chose for the first attempt.
    """
    dispatch = port.dispatch
    if not state.outgoing.resendable:
        _release_target(dispatch, first)
        return _BODY_NOT_BUFFERED
    try:
        async with asyncio.timeout(first.call.deadline - dispatch.clock()):
            return await _ask_homes_until_decided(port, state, first)
    except TimeoutError:
        return _DEADLINE_PASSED


async def serve_forwarded(
    port: HomePort, request: web.BaseRequest, call: Call, outgoing: Outgoing
) -> Answer | Redirect:
    """Return the answer to a call that another node forwarded to this node's home.

    :return: the answer, or a redirect if the call belongs to the home of another node.
    """

    async def find_target() -> Target | Refusal:
        message = RouteCall(call, Reply())
        busy = Refusal(Reason.BUSY)
        return await ask_or(port.dispatch.router, message, message.reply, busy)

    if not outgoing.resendable:
        return _BODY_NOT_BUFFERED
    try:
        async with asyncio.timeout(call.deadline - port.dispatch.clock()):
            state = RequestState(request, None, Relayed(request), outgoing)
            return await _ask_local_home(port, state, call, find_target)
    except TimeoutError:
        return _DEADLINE_PASSED


async def _ask_homes_until_decided(
    port: HomePort, state: RequestState, first: Target
) -> Answer:
    async def find_target() -> Target | Refusal:
        return first

    result: Answer | Redirect = await _ask_local_home(
        port, state, first.call, find_target
    )
    if not isinstance(result, Redirect):
        return result
    _release_target(port.dispatch, first)
    pause_s = _FIRST_RETRY_PAUSE_S
    while True:
        result = await _follow_redirects(port.dispatch, state, first.call, result)
        if not isinstance(result, Redirect) and not _is_retryable(result):
            return result
        await asyncio.sleep(pause_s)
        pause_s = min(2 * pause_s, _MAX_RETRY_PAUSE_S)
        result = await _retry_at_local_home(port, state, first.call)


async def _follow_redirects(
    port: DispatchPort, state: RequestState, call: Call, result: Answer | Redirect
) -> Answer | Redirect:
    """Forward the call along at most ``_MAX_REDIRECTS`` redirects.

    :return: the answer, or the last redirect if the limit was reached first.
    """
    redirects = 0
    while isinstance(result, Redirect) and redirects < _MAX_REDIRECTS:
        redirects += 1
        result = await _forward(port, state, call, result.node)
    return result


def _is_retryable(result: Answer) -> bool:
    return isinstance(result, Refusal) and result.reason in _RETRYABLE_REASONS


async def _retry_at_local_home(
    port: HomePort, state: RequestState, call: Call
) -> Answer | Redirect:
    """Ask the home of this node again; the router chooses a new target for the run."""
    return await serve_forwarded(port, state.request, call, state.outgoing)


async def _ask_local_home(
    port: HomePort, state: RequestState, call: Call, find_target: _FindTarget
) -> Answer | Redirect:
    """Ask the home of this node, and run the call here if the home grants the run."""
    reply: Reply[KeyResult] = Reply()
    digest = key_digest(call.service, call.key or "")
    message = AskKey(call.service, digest, request_fingerprint(state.outgoing), reply)
    try:
        result = await ask_or(port.home, message, reply, _HOME_BUSY)
    except asyncio.CancelledError:
        port.home.tell(KeyAbandoned(reply))
        raise
    if isinstance(result, StoredAnswer):
        return _replayed_response(result)
    if not isinstance(result, Granted):
        return result
    # The run continues when its caller disconnects, so that a resent request gets the
    # answer of the run.
    task = asyncio.create_task(_run_and_report(port, state, find_target, reply))
    port.running.add(task)
    task.add_done_callback(port.running.discard)
    return await asyncio.shield(task)


async def _run_and_report(
    port: HomePort,
    state: RequestState,
    find_target: _FindTarget,
    reply: Reply[KeyResult],
) -> Answer:
    outcome: Answered | Refusal = _OUTCOME_UNKNOWN
    try:
        target = await find_target()
        if isinstance(target, Refusal):
            outcome = target
            return target
        answer = await run_attempts(port.dispatch, state, target)
        outcome = _run_outcome(answer)
        return answer
    finally:
        port.home.tell(KeyEnded(reply, outcome))


def _run_outcome(answer: Answer) -> Answered | Refusal:
    if isinstance(answer, Refusal):
        return answer
    if not isinstance(answer, web.Response) or not isinstance(answer.body, bytes):
        return _OUTCOME_UNKNOWN
    headers = tuple((name, value) for name, value in answer.headers.items())
    return Answered(StoredAnswer(answer.status, headers, answer.body))


def _replayed_response(stored: StoredAnswer) -> web.Response:
    headers = CIMultiDict(stored.headers)
    headers[REPLAYED_HEADER] = "true"
    return web.Response(status=stored.status, headers=headers, body=stored.body)


async def _forward(
    port: DispatchPort, state: RequestState, call: Call, node: Address
) -> Answer | Redirect:
    headers = CIMultiDict(state.outgoing.headers)
    headers[CALL_HEADER] = encode_call(call, port.clock())
    headers[HOME_HEADER] = "1"
    state.outgoing.measurements.record_attempt(call)
    try:
        async with port.connections.session.request(
            state.outgoing.method,
            state.outgoing.url(node),
            headers=headers,
            data=state.outgoing.body or None,
            allow_redirects=False,
        ) as upstream:
            return await _read_response(state, upstream)
    except aiohttp.ClientConnectorError as error:
        return Refusal(Reason.NODE_UNREACHABLE, Ran.UNKNOWN, detail=repr(error))
    except (aiohttp.ClientError, ConnectionError) as error:
        return Refusal(Reason.NODE_FAILED, Ran.UNKNOWN, detail=repr(error))


async def _read_response(
    state: RequestState, upstream: aiohttp.ClientResponse
) -> Answer | Redirect:
    node = upstream.headers.get(ELSEWHERE_HEADER)
    if node is not None:
        return Redirect(parse_address(node))
    if REFUSED_HEADER in upstream.headers:
        refusal = decode_problem(await upstream.read())
        return refusal or Refusal(Reason.NODE_FAILED, Ran.UNKNOWN)
    answer = await relay(state.relayed, upstream, {})
    if not isinstance(answer, TruncatedAnswer):
        return answer
    state.relayed.abort()
    return answer.response


def _release_target(port: DispatchPort, target: Target) -> None:
    """Report to the router that no request was sent to the target that it chose."""
    port.router.tell(AttemptEnded(target, None, None, 0.0))
