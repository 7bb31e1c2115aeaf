"""Serve a call with an idempotency key: find its key's home, which runs it once."""

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
from _masticspoke.dispatch.port import Conduct
from _masticspoke.dispatch.port import DispatchPort
from _masticspoke.dispatch.serving import run_attempts
from _masticspoke.exchange import Outgoing
from _masticspoke.guard.run import fingerprint
from _masticspoke.messages.dispatch import AttemptEnded
from _masticspoke.messages.dispatch import Resume
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
from _masticspoke.relay import Cut
from _masticspoke.relay import relay
from _masticspoke.relay import Relayed
from _masticspoke.supervise.ask import ask_or
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply

MAX_HOPS = 3
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 1.0
# The key protects a call that is asked for again, so these end no request.
_ASK_AGAIN = frozenset(
    {Reason.NODE_UNREACHABLE, Reason.NODE_FAILED, Reason.HOME_UNAVAILABLE}
)
_LATE = Refusal(Reason.DEADLINE_PASSED, Ran.UNKNOWN)
_FULL = Refusal(Reason.BUSY, Ran.UNKNOWN)
_LOST = Refusal(Reason.OUTCOME_UNKNOWN, Ran.UNKNOWN)
_TOO_LONG = Refusal(
    Reason.MALFORMED,
    detail="a request with a key needs a body of known length, within the node's "
    "body_buffer_bytes",
)
_FindTarget = Callable[[], Awaitable[Target | Refusal]]


@final
@dataclass(frozen=True, slots=True)
class HomePort:
    """What a request's task needs in order to reach homes.

    :param running: runs that go on when their caller goes away.
    """

    home: Mailbox[HomeMessage]
    dispatch: DispatchPort
    running: set[asyncio.Task[Answer]] = field(default_factory=set)


async def serve_keyed(port: HomePort, held: Conduct, first: Target) -> Answer:
    """Return the answer to a call with a key that entered at this node."""
    dispatch = port.dispatch
    if not held.sent.resendable:
        _release(dispatch, first)
        return _TOO_LONG
    try:
        async with asyncio.timeout(first.call.deadline - dispatch.clock()):
            return await _ask_until_decided(port, held, first)
    except TimeoutError:
        return _LATE


async def serve_forwarded(
    port: HomePort, request: web.BaseRequest, call: Call, sent: Outgoing
) -> Answer | Redirect:
    """Return the answer to a call that another node sent to its key's home."""

    async def find() -> Target | Refusal:
        question = Resume(call, Reply())
        busy = Refusal(Reason.BUSY)
        return await ask_or(port.dispatch.router, question, question.reply, busy)

    if not sent.resendable:
        return _TOO_LONG
    try:
        async with asyncio.timeout(call.deadline - port.dispatch.clock()):
            held = Conduct(request, None, Relayed(request), sent)
            return await _ask_home(port, held, call, find)
    except TimeoutError:
        return _LATE


async def _ask_until_decided(port: HomePort, held: Conduct, first: Target) -> Answer:
    async def find() -> Target | Refusal:
        return first

    result: Answer | Redirect = await _ask_home(port, held, first.call, find)
    if not isinstance(result, Redirect):
        return result
    _release(port.dispatch, first)
    pause_s = FIRST_PAUSE_S
    while True:
        result = await _follow(port.dispatch, held, first.call, result)
        if not isinstance(result, Redirect) and not _may_ask_again(result):
            return result
        await asyncio.sleep(pause_s)
        pause_s = min(2 * pause_s, MAX_PAUSE_S)
        result = await _resume(port, held, first.call)


async def _follow(
    port: DispatchPort, held: Conduct, call: Call, result: Answer | Redirect
) -> Answer | Redirect:
    """Ask the node that is named, and the one that it names, for a few hops."""
    hops = 0
    while isinstance(result, Redirect) and hops < MAX_HOPS:
        hops += 1
        result = await _forward(port, held, call, result.node)
    return result


def _may_ask_again(result: Answer) -> bool:
    return isinstance(result, Refusal) and result.reason in _ASK_AGAIN


async def _resume(port: HomePort, held: Conduct, call: Call) -> Answer | Redirect:
    return await serve_forwarded(port, held.request, call, held.sent)


async def _ask_home(
    port: HomePort, held: Conduct, call: Call, find: _FindTarget
) -> Answer | Redirect:
    """Ask this node's home; run the call here if the home grants it."""
    reply: Reply[KeyResult] = Reply()
    digest = key_digest(call.service, call.key or "")
    question = AskKey(call.service, digest, fingerprint(held.sent), reply)
    try:
        result = await ask_or(port.home, question, reply, _FULL)
    except asyncio.CancelledError:
        port.home.tell(KeyAbandoned(reply))
        raise
    if isinstance(result, StoredAnswer):
        return _replayed(result)
    if not isinstance(result, Granted):
        return result
    # The run goes on when its caller goes away: a re-send then gets the answer.
    task = asyncio.create_task(_run(port, held, find, reply))
    port.running.add(task)
    task.add_done_callback(port.running.discard)
    return await asyncio.shield(task)


async def _run(
    port: HomePort, held: Conduct, find: _FindTarget, reply: Reply[KeyResult]
) -> Answer:
    outcome: Answered | Refusal = _LOST
    try:
        target = await find()
        if isinstance(target, Refusal):
            outcome = target
            return target
        answer = await run_attempts(port.dispatch, held, target)
        outcome = _outcome(answer)
        return answer
    finally:
        port.home.tell(KeyEnded(reply, outcome))


def _outcome(answer: Answer) -> Answered | Refusal:
    if isinstance(answer, Refusal):
        return answer
    if not isinstance(answer, web.Response) or not isinstance(answer.body, bytes):
        return _LOST
    headers = tuple((name, value) for name, value in answer.headers.items())
    return Answered(StoredAnswer(answer.status, headers, answer.body))


def _replayed(stored: StoredAnswer) -> web.Response:
    headers = CIMultiDict(stored.headers)
    headers[REPLAYED_HEADER] = "true"
    return web.Response(status=stored.status, headers=headers, body=stored.body)


async def _forward(
    port: DispatchPort, held: Conduct, call: Call, node: Address
) -> Answer | Redirect:
    headers = CIMultiDict(held.sent.headers)
    headers[CALL_HEADER] = encode_call(call, port.clock())
    headers[HOME_HEADER] = "1"
    held.sent.account.attempt(call)
    try:
        async with port.connections.session.request(
            held.sent.method,
            held.sent.url(node),
            headers=headers,
            data=held.sent.body or None,
            allow_redirects=False,
        ) as upstream:
            return await _forwarded(held, upstream)
    except aiohttp.ClientConnectorError as error:
        return Refusal(Reason.NODE_UNREACHABLE, Ran.UNKNOWN, detail=repr(error))
    except (aiohttp.ClientError, ConnectionError) as error:
        return Refusal(Reason.NODE_FAILED, Ran.UNKNOWN, detail=repr(error))


async def _forwarded(
    held: Conduct, upstream: aiohttp.ClientResponse
) -> Answer | Redirect:
    node = upstream.headers.get(ELSEWHERE_HEADER)
    if node is not None:
        return Redirect(parse_address(node))
    if REFUSED_HEADER in upstream.headers:
        refusal = decode_problem(await upstream.read())
        return refusal or Refusal(Reason.NODE_FAILED, Ran.UNKNOWN)
    answer = await relay(held.relayed, upstream, {})
    if not isinstance(answer, Cut):
        return answer
    held.relayed.abort()
    return answer.response


def _release(port: DispatchPort, target: Target) -> None:
    """Tell the router that nothing was sent to a target of its choice."""
    port.router.tell(AttemptEnded(target, None, None, 0.0))
