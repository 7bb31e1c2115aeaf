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

from _masticspoke.border.headers import append_via
from _masticspoke.border.headers import DEADLINE_HEADER
from _masticspoke.border.headers import encode_traceparent
from _masticspoke.border.headers import shed_by_backend
from _masticspoke.border.headers import TRACE_HEADER
from _masticspoke.connections import Connections
from _masticspoke.connections import NOT_CONNECTED
from _masticspoke.exchange import deadline_refusal
from _masticspoke.exchange import Outgoing
from _masticspoke.guard.gate import GateMessage
from _masticspoke.guard.runs import RunsMessage
from _masticspoke.guard.suspects import SuspectsMessage
from _masticspoke.messages.guard import Admit
from _masticspoke.messages.guard import Admitted
from _masticspoke.messages.guard import Finished
from _masticspoke.messages.guard import NotAdmitted
from _masticspoke.messages.guard import Withdrawn
from _masticspoke.messages.runs import RunEnded
from _masticspoke.messages.runs import RunStarted
from _masticspoke.messages.runs import Settle
from _masticspoke.messages.suspects import AskTurn
from _masticspoke.messages.suspects import EndTurn
from _masticspoke.messages.suspects import RequestBroken
from _masticspoke.messages.suspects import RequestEnded
from _masticspoke.messages.suspects import RequestSent
from _masticspoke.messages.suspects import RunEnd
from _masticspoke.model import Address
from _masticspoke.model import Call
from _masticspoke.model import LoadReport
from _masticspoke.model import Ran
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal
from _masticspoke.relay import Cut
from _masticspoke.supervise.ask import ask_or
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


@final
@dataclass(slots=True)
class _Run:
    """A call that the gate admitted.

    :param head_s: time from ``started`` to the answer's head, once it is there.
    """

    call: Call
    admitted: Admitted
    request: Outgoing
    started: float
    head_s: float | None = None


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
    busy = NotAdmitted(Refusal(Reason.BUSY), LoadReport())
    try:
        answer = await ask_or(port.gate, question, reply, busy)
    except asyncio.CancelledError:
        port.gate.tell(Withdrawn(reply))
        raise
    if isinstance(answer, NotAdmitted):
        return _unused(answer, call)
    port.suspects.tell(RequestSent(answer.trace, number))
    run = _Run(call, answer, request, port.clock())
    return await _conduct(port, run, deliver)


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


async def _conduct(
    port: GuardPort, run: _Run, deliver: DeliverRun
) -> Answer | NotAdmitted:
    run.request.account.wait_began(run.started)
    end = RunEnd.LEFT
    port.runs.tell(RunStarted(run.admitted.trace, run.call))
    try:
        async with asyncio.timeout(run.call.deadline - run.started):
            answer = await _exchange(port, run, deliver)
            end = _end_of(answer)
            return answer
    except TimeoutError:
        return await _settled(port, run, deadline_refusal(run.request))
    finally:
        _tell_ended(port, run, end)


def _tell_ended(port: GuardPort, run: _Run, end: RunEnd) -> None:
    ended = port.clock()
    run.request.account.wait_ended(ended)
    trace = run.admitted.trace
    port.runs.tell(RunEnded(trace))
    port.suspects.tell(RequestEnded(trace, end))
    crashed = end is RunEnd.NOT_RUN
    latency_s = ended - run.started
    port.gate.tell(Finished(run.admitted.ticket, latency_s, crashed, run.head_s))


async def _exchange(
    port: GuardPort, run: _Run, deliver: DeliverRun
) -> Answer | NotAdmitted:
    request = run.request
    try:
        async with port.connections.session.request(
            request.method,
            request.url(run.admitted.backend),
            headers=_headers(port, run),
            data=request.body or None,
            allow_redirects=False,
        ) as upstream:
            run.head_s = port.clock() - run.started
            request.account.wait_ended(port.clock())
            if shed_by_backend(upstream.status, upstream.headers):
                refusal = Refusal(Reason.BACKEND_SHED)
                return await _settled(port, run, refusal)
            report = await _settled_report(port, run)
            answer = await deliver(upstream, report)
        if isinstance(answer, Cut) and not answer.by_caller:
            await _report_broken(port, run.admitted)
        return answer
    except NOT_CONNECTED as error:
        refusal = Refusal(Reason.BACKEND_UNREACHABLE, Ran.NO, detail=str(error))
    except (aiohttp.ClientError, ConnectionError) as error:
        refusal = await _after_break(port, run, error)
    return await _settled(port, run, refusal)


def _end_of(answer: Answer | NotAdmitted) -> RunEnd:
    if isinstance(answer, Cut):
        return RunEnd.LEFT if answer.by_caller else RunEnd.NOT_RUN
    return RunEnd.NOT_RUN if isinstance(answer, NotAdmitted) else RunEnd.ANSWERED


async def _after_break(port: GuardPort, run: _Run, error: Exception) -> Refusal:
    if run.request.source.failed:
        return Refusal(Reason.MALFORMED, Ran.UNKNOWN, detail="request body broke off")
    await _report_broken(port, run.admitted)
    return Refusal(Reason.BACKEND_FAILED, Ran.UNKNOWN, detail=repr(error))


async def _report_broken(port: GuardPort, admitted: Admitted) -> None:
    """Have the other guards told, before the caller can send it again."""
    down = not await _accepts_connections(admitted.backend)
    question = RequestBroken(admitted.trace, down, Reply())
    await ask_or(port.suspects, question, question.reply, None)


async def _accepts_connections(backend: Address) -> bool:
    try:
        async with asyncio.timeout(_PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(backend.host, backend.port)
    except (OSError, TimeoutError):
        return False
    writer.close()
    return True


def _headers(port: GuardPort, run: _Run) -> CIMultiDict[str]:
    headers = CIMultiDict(run.request.headers)
    append_via(headers, port.own)
    headers[TRACE_HEADER] = encode_traceparent(run.admitted.trace)
    remaining_ms = int((run.call.deadline - port.clock()) * 1000)
    headers[DEADLINE_HEADER] = str(max(1, remaining_ms))
    return headers


async def _settled(port: GuardPort, run: _Run, refusal: Refusal) -> NotAdmitted:
    return NotAdmitted(refusal, await _settled_report(port, run))


async def _settled_report(port: GuardPort, run: _Run) -> LoadReport:
    report = run.admitted.report
    if run.call.allowance == 0:
        return report
    question = Settle(run.admitted.trace, Reply())
    known = report.allowance_left
    left = await ask_or(port.runs, question, question.reply, known)
    return replace(report, allowance_left=left)
