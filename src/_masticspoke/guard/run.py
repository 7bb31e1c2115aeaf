"""Run one call at the own backend server, once the gate admits it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace
from hashlib import blake2b
from typing import final

import aiohttp
from aiohttp import web
from multidict import CIMultiDict

from _masticspoke.border.headers import DEADLINE_HEADER
from _masticspoke.border.headers import encode_traceparent
from _masticspoke.border.headers import shed_by_backend
from _masticspoke.border.headers import TRACE_HEADER
from _masticspoke.border.headers import with_via
from _masticspoke.exchange import Connections
from _masticspoke.exchange import NOT_CONNECTED
from _masticspoke.exchange import Outgoing
from _masticspoke.guard.gate import GateMessage
from _masticspoke.guard.runs import RunsMessage
from _masticspoke.guard.suspects import SuspectsMessage
from _masticspoke.messages import Admit
from _masticspoke.messages import Admitted
from _masticspoke.messages import AskTurn
from _masticspoke.messages import EndTurn
from _masticspoke.messages import Finished
from _masticspoke.messages import NotAdmitted
from _masticspoke.messages import RequestBroken
from _masticspoke.messages import RequestEnded
from _masticspoke.messages import RequestSent
from _masticspoke.messages import RunEnd
from _masticspoke.messages import RunEnded
from _masticspoke.messages import RunStarted
from _masticspoke.messages import Settle
from _masticspoke.messages import Withdrawn
from _masticspoke.model import Address
from _masticspoke.model import Call
from _masticspoke.model import LoadReport
from _masticspoke.model import Ran
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal
from _masticspoke.relay import Cut
from _masticspoke.supervise.latest import Latest
from _masticspoke.supervise.mailbox import Delivery
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply
from _masticspoke.supervise.supervisor import Clock

Answer = web.StreamResponse | Cut
DeliverRun = Callable[[aiohttp.ClientResponse, LoadReport], Awaitable[Answer]]

_PROBE_TIMEOUT_S = 0.2


@final
@dataclass(frozen=True, slots=True)
class GuardPort:
    """What a request's task needs in order to run a call at the guard.

    :param watched: fingerprints of requests that have to ask for their turn.
    :param own: peer address of this node.
    """

    gate: Mailbox[GateMessage]
    runs: Mailbox[RunsMessage]
    suspects: Mailbox[SuspectsMessage]
    watched: Latest[frozenset[int]]
    connections: Connections
    clock: Clock
    own: Address


async def run_call(
    port: GuardPort, call: Call, request: Outgoing, deliver: DeliverRun
) -> Answer | NotAdmitted:
    """Ask the gate, run the call, and pass its answer to ``deliver``.

    What comes back without an answer says how much of the allowance is left.
    """
    request.account.attempt(call)
    number = fingerprint(request)
    if call.crashes == 0 and number not in port.watched.value:
        return await _admit_and_run(port, call, number, request, deliver)
    turn: Reply[Refusal | None] = Reply()
    try:
        refusal = await _turn(port, call, number, turn)
        if refusal is not None:
            return _unused(NotAdmitted(refusal, LoadReport()), call)
        return await _admit_and_run(port, call, number, request, deliver)
    finally:
        port.suspects.tell(EndTurn(turn))


async def _turn(
    port: GuardPort, call: Call, number: int, turn: Reply[Refusal | None]
) -> Refusal | None:
    if port.suspects.tell(AskTurn(number, call.crashes, turn)) is Delivery.FULL:
        return Refusal(Reason.BUSY)
    try:
        async with asyncio.timeout(call.deadline - port.clock()):
            return await turn.value()
    except TimeoutError:
        return Refusal(Reason.DEADLINE_PASSED, detail="waited for its turn")


async def _admit_and_run(
    port: GuardPort, call: Call, number: int, request: Outgoing, deliver: DeliverRun
) -> Answer | NotAdmitted:
    reply: Reply[Admitted | NotAdmitted] = Reply()
    question = Admit(call, number, reply)
    if port.gate.tell(question) is Delivery.FULL:
        return _unused(NotAdmitted(Refusal(Reason.BUSY), LoadReport()), call)
    try:
        answer = await reply.value()
    except asyncio.CancelledError:
        port.gate.tell(Withdrawn(reply))
        raise
    if isinstance(answer, NotAdmitted):
        return _unused(answer, call)
    port.suspects.tell(RequestSent(answer.trace, number))
    return await _run(port, call, answer, request, deliver)


def fingerprint(request: Outgoing) -> int:
    """Return a number that is the same for the same method, path and body.

    Of a body that is not held in memory, only the length counts.
    """
    text = f"{request.method} {request.target} ".encode()
    body = request.body
    rest = body if isinstance(body, bytes) else request.length.encode()
    return int.from_bytes(blake2b(text + rest, digest_size=8).digest())


def _unused(answer: NotAdmitted, call: Call) -> NotAdmitted:
    return replace(answer, report=replace(answer.report, allowance_left=call.allowance))


async def _run(
    port: GuardPort,
    call: Call,
    admitted: Admitted,
    request: Outgoing,
    deliver: DeliverRun,
) -> Answer | NotAdmitted:
    started = port.clock()
    request.account.wait_began(started)
    end = RunEnd.LEFT
    head_s: float | None = None

    async def answered(upstream: aiohttp.ClientResponse, report: LoadReport) -> Answer:
        nonlocal head_s
        head_s = port.clock() - started
        return await deliver(upstream, report)

    port.runs.tell(RunStarted(admitted.trace, call))
    try:
        async with asyncio.timeout(call.deadline - started):
            answer = await _exchange(port, call, admitted, request, answered)
            end = _end_of(answer)
            return answer
    except TimeoutError:
        refusal = Refusal(Reason.DEADLINE_PASSED, Ran.UNKNOWN)
        return await _settled(port, call, admitted, refusal)
    finally:
        port.runs.tell(RunEnded(admitted.trace))
        ended = port.clock()
        request.account.wait_ended(ended)
        port.suspects.tell(RequestEnded(admitted.trace, end))
        crashed = end is RunEnd.NOT_RUN
        port.gate.tell(Finished(admitted.ticket, ended - started, crashed, head_s))


async def _exchange(
    port: GuardPort,
    call: Call,
    admitted: Admitted,
    request: Outgoing,
    deliver: DeliverRun,
) -> Answer | NotAdmitted:
    try:
        async with port.connections.session.request(
            request.method,
            request.url(admitted.backend),
            headers=_headers(port, call, admitted, request),
            data=request.body or None,
            allow_redirects=False,
        ) as upstream:
            request.account.wait_ended(port.clock())
            if shed_by_backend(upstream.status, upstream.headers):
                refusal = Refusal(Reason.BACKEND_SHED)
                return await _settled(port, call, admitted, refusal)
            report = await _settled_report(port, call, admitted)
            answer = await deliver(upstream, report)
        if isinstance(answer, Cut) and not answer.by_caller:
            await _report_broken(port, admitted)
        return answer
    except NOT_CONNECTED as error:
        refusal = Refusal(Reason.BACKEND_UNREACHABLE, Ran.NO, detail=str(error))
    except (aiohttp.ClientError, ConnectionError) as error:
        refusal = await _after_break(port, admitted, request, error)
    return await _settled(port, call, admitted, refusal)


def _end_of(answer: Answer | NotAdmitted) -> RunEnd:
    if isinstance(answer, Cut):
        return RunEnd.LEFT if answer.by_caller else RunEnd.NOT_RUN
    return RunEnd.NOT_RUN if isinstance(answer, NotAdmitted) else RunEnd.ANSWERED


async def _after_break(
    port: GuardPort, admitted: Admitted, request: Outgoing, error: Exception
) -> Refusal:
    if request.source.failed:
        return Refusal(Reason.MALFORMED, Ran.UNKNOWN, detail="request body broke off")
    await _report_broken(port, admitted)
    return Refusal(Reason.BACKEND_FAILED, Ran.UNKNOWN, detail=repr(error))


async def _report_broken(port: GuardPort, admitted: Admitted) -> None:
    """Have the other guards told, before the caller can send it again."""
    down = not await _accepts_connections(admitted.backend)
    question = RequestBroken(admitted.trace, down, Reply())
    if port.suspects.tell(question) is Delivery.ACCEPTED:
        await question.reply.value()


async def _accepts_connections(backend: Address) -> bool:
    try:
        async with asyncio.timeout(_PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(backend.host, backend.port)
    except (OSError, TimeoutError):
        return False
    writer.close()
    return True


def _headers(
    port: GuardPort, call: Call, admitted: Admitted, request: Outgoing
) -> CIMultiDict[str]:
    headers = CIMultiDict(request.headers)
    with_via(headers, port.own)
    headers[TRACE_HEADER] = encode_traceparent(admitted.trace)
    remaining_ms = int((call.deadline - port.clock()) * 1000)
    headers[DEADLINE_HEADER] = str(max(1, remaining_ms))
    return headers


async def _settled(
    port: GuardPort, call: Call, admitted: Admitted, refusal: Refusal
) -> NotAdmitted:
    return NotAdmitted(refusal, await _settled_report(port, call, admitted))


async def _settled_report(
    port: GuardPort, call: Call, admitted: Admitted
) -> LoadReport:
    if call.allowance == 0:
        return admitted.report
    question = Settle(admitted.trace, Reply())
    if port.runs.tell(question) is Delivery.FULL:
        return admitted.report
    left = await question.reply.value()
    return replace(admitted.report, allowance_left=left)
