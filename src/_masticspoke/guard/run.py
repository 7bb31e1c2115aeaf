"""Run one call at this node's backend server once the gate admits it."""

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
from _masticspoke.messages.suspects import RequestEnded
from _masticspoke.messages.suspects import RequestInterrupted
from _masticspoke.messages.suspects import RequestSent
from _masticspoke.messages.suspects import RunEnd
from _masticspoke.model import Address
from _masticspoke.model import Call
from _masticspoke.model import LoadReport
from _masticspoke.model import Ran
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal
from _masticspoke.relay import TruncatedAnswer
from _masticspoke.supervise.ask import ask_or
from _masticspoke.supervise.latest import Latest
from _masticspoke.supervise.mailbox import Delivery
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply
from _masticspoke.supervise.supervisor import Clock

Answer = web.StreamResponse | TruncatedAnswer
DeliverRun = Callable[[aiohttp.ClientResponse, LoadReport], Awaitable[Answer]]

# Time for the backend server to accept a connection after a request was interrupted.
_PROBE_TIMEOUT_S = 0.2


@final
@dataclass(frozen=True, slots=True)
class GuardPort:
    """Mailboxes and connections used to run a call at this node's backend server.

    :param suspect_fingerprints: fingerprints of requests suspected of crashing backend
        servers, of which only one at a time may run here.
    :param own_address: peer address of this node.
    """

    gate: Mailbox[GateMessage]
    runs: Mailbox[RunsMessage]
    suspects: Mailbox[SuspectsMessage]
    suspect_fingerprints: Latest[frozenset[int]]
    connections: Connections
    clock: Clock
    own_address: Address


@final
@dataclass(slots=True)
class _Run:
    """A call that the gate admitted.

    :param head_s: seconds from the start until the answer's head; ``None`` before it
        arrived.
    """

    call: Call
    admitted: Admitted
    request: Outgoing
    started_at: float
    head_s: float | None = None


def new_backend_connections() -> Connections:
    """Return the connections to the local backend servers.

    A connection closes after a refusal: if the backend server wrote the refusal again,
    it could pass for one of the next request.
    """
    return Connections(is_last=shed_by_backend)


async def run_call(
    port: GuardPort, call: Call, request: Outgoing, deliver: DeliverRun
) -> Answer | NotAdmitted:
    """Run the call once the gate admits it, and pass its answer to ``deliver``.

    A request that is suspected of crashing backend servers first waits until no other
    suspect runs here.

    :param deliver: forwards the answer to the caller.
    :return: the delivered answer, or a refusal with the number of unused retries.
    """
    request.measurements.record_attempt(call)
    fingerprint = request_fingerprint(request)
    if call.crashes == 0 and fingerprint not in port.suspect_fingerprints.value:
        return await _admit_and_run(port, call, fingerprint, request, deliver)
    turn: Reply[Refusal | None] = Reply()
    try:
        refusal = await _wait_for_turn(port, call, fingerprint, turn)
        if refusal is not None:
            return _with_full_allowance(NotAdmitted(refusal, LoadReport()), call)
        return await _admit_and_run(port, call, fingerprint, request, deliver)
    finally:
        port.suspects.tell(EndTurn(turn))


async def _wait_for_turn(
    port: GuardPort, call: Call, fingerprint: int, turn: Reply[Refusal | None]
) -> Refusal | None:
    if port.suspects.tell(AskTurn(fingerprint, call.crashes, turn)) is Delivery.FULL:
        return Refusal(Reason.BUSY)
    try:
        async with asyncio.timeout(call.deadline - port.clock()):
            return await turn.value()
    except TimeoutError:
        return Refusal(Reason.DEADLINE_PASSED, detail="waited for its turn")


async def _admit_and_run(
    port: GuardPort,
    call: Call,
    fingerprint: int,
    request: Outgoing,
    deliver: DeliverRun,
) -> Answer | NotAdmitted:
    reply: Reply[Admitted | NotAdmitted] = Reply()
    message = Admit(call, fingerprint, reply)
    busy = NotAdmitted(Refusal(Reason.BUSY), LoadReport())
    try:
        decision = await ask_or(port.gate, message, reply, busy)
    except asyncio.CancelledError:
        port.gate.tell(Withdrawn(reply))
        raise
    if isinstance(decision, NotAdmitted):
        return _with_full_allowance(decision, call)
    port.suspects.tell(RequestSent(decision.trace, fingerprint))
    run = _Run(call, decision, request, port.clock())
    return await _run_admitted(port, run, deliver)


def request_fingerprint(request: Outgoing) -> int:
    """Return a number that is equal for equal method, target and body.

    The target is the path with its query. A body that is not held in memory counts by
    its length only.
    """
    method_and_target = f"{request.method} {request.target} ".encode()
    body = request.body
    content = body if isinstance(body, bytes) else request.length.encode()
    return int.from_bytes(blake2b(method_and_target + content, digest_size=8).digest())


def _with_full_allowance(refused: NotAdmitted, call: Call) -> NotAdmitted:
    """Report the whole allowance as unused, because nothing ran."""
    return replace(
        refused, report=replace(refused.report, allowance_left=call.allowance)
    )


async def _run_admitted(
    port: GuardPort, run: _Run, deliver: DeliverRun
) -> Answer | NotAdmitted:
    run.request.measurements.record_upstream_start(run.started_at)
    end = RunEnd.CANCELLED
    port.runs.tell(RunStarted(run.admitted.trace, run.call))
    try:
        async with asyncio.timeout(run.call.deadline - run.started_at):
            answer = await _exchange(port, run, deliver)
            end = _run_end(answer)
            return answer
    except TimeoutError:
        return await _refuse(port, run, deadline_refusal(run.request))
    finally:
        _report_end(port, run, end)


def _report_end(port: GuardPort, run: _Run, end: RunEnd) -> None:
    ended_at = port.clock()
    run.request.measurements.record_upstream_end(ended_at)
    trace = run.admitted.trace
    port.runs.tell(RunEnded(trace))
    port.suspects.tell(RequestEnded(trace, end))
    failed = end is RunEnd.FAILED
    latency_s = ended_at - run.started_at
    port.gate.tell(Finished(run.admitted.ticket, latency_s, failed, run.head_s))


async def _exchange(
    port: GuardPort, run: _Run, deliver: DeliverRun
) -> Answer | NotAdmitted:
    """Send the request to the backend server, and deliver its answer."""
    request = run.request
    try:
        async with port.connections.session.request(
            request.method,
            request.url(run.admitted.backend),
            headers=_headers(port, run),
            data=request.body or None,
            allow_redirects=False,
        ) as upstream:
            run.head_s = port.clock() - run.started_at
            request.measurements.record_upstream_end(port.clock())
            if shed_by_backend(upstream.status, upstream.headers):
                refusal = Refusal(Reason.BACKEND_SHED)
                return await _refuse(port, run, refusal)
            report = await _report_with_unused_retries(port, run)
            answer = await deliver(upstream, report)
        if isinstance(answer, TruncatedAnswer) and not answer.by_caller:
            await _report_interruption(port, run.admitted)
        return answer
    except NOT_CONNECTED as error:
        refusal = Refusal(Reason.BACKEND_UNREACHABLE, Ran.NO, detail=str(error))
    except (aiohttp.ClientError, ConnectionError) as error:
        refusal = await _interruption_refusal(port, run, error)
    return await _refuse(port, run, refusal)


def _run_end(answer: Answer | NotAdmitted) -> RunEnd:
    if isinstance(answer, TruncatedAnswer):
        return RunEnd.CANCELLED if answer.by_caller else RunEnd.FAILED
    return RunEnd.FAILED if isinstance(answer, NotAdmitted) else RunEnd.ANSWERED


async def _interruption_refusal(
    port: GuardPort, run: _Run, error: Exception
) -> Refusal:
    """Return the refusal for a run whose connection broke.

    The interruption is reported as a possible crash, unless the request body of the
    caller failed.
    """
    if run.request.source.failed:
        return Refusal(Reason.MALFORMED, Ran.UNKNOWN, detail="request body broke off")
    await _report_interruption(port, run.admitted)
    return Refusal(Reason.BACKEND_FAILED, Ran.UNKNOWN, detail=repr(error))


async def _report_interruption(port: GuardPort, admitted: Admitted) -> None:
    """Report a possible crash, and wait until the service's other guards are notified.

    They must know the suspect before the caller can send the request to them.
    """
    backend_down = not await _accepts_connections(admitted.backend)
    message = RequestInterrupted(admitted.trace, backend_down, Reply())
    await ask_or(port.suspects, message, message.reply, None)


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
    append_via(headers, port.own_address)
    headers[TRACE_HEADER] = encode_traceparent(run.admitted.trace)
    remaining_ms = int((run.call.deadline - port.clock()) * 1000)
    headers[DEADLINE_HEADER] = str(max(1, remaining_ms))
    return headers


async def _refuse(port: GuardPort, run: _Run, refusal: Refusal) -> NotAdmitted:
    return NotAdmitted(refusal, await _report_with_unused_retries(port, run))


async def _report_with_unused_retries(port: GuardPort, run: _Run) -> LoadReport:
    report = run.admitted.report
    if run.call.allowance == 0:
        return report
    message = Settle(run.admitted.trace, Reply())
    default = report.allowance_left
    unused = await ask_or(port.runs, message, message.reply, default)
    return replace(report, allowance_left=unused)
