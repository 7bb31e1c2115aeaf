"""Requests of other nodes for the own backend server, and what nodes ask each other."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from typing import final

from multidict import CIMultiDict

from _masticspoke.border.forwarding import forwarded
from _masticspoke.border.hop import decode_fate
from _masticspoke.border.hop import decode_job
from _masticspoke.border.hop import encode_guard
from _masticspoke.border.hop import GUARD_HEADER
from _masticspoke.border.hop import GuardAnswer
from _masticspoke.border.hop import JOB_HEADER
from _masticspoke.decisions.fleet.model import Job
from _masticspoke.decisions.fleet.model import NotRun
from _masticspoke.decisions.fleet.run_records import started_before_send
from _masticspoke.fleet.fates import AskFate
from _masticspoke.fleet.fates import FatesMessage
from _masticspoke.fleet.fates import RunOnce
from _masticspoke.fleet.guarding import Answer
from _masticspoke.fleet.guarding import Broke
from _masticspoke.fleet.guarding import Declined
from _masticspoke.fleet.guarding import GuardPort
from _masticspoke.fleet.guarding import NO_HEADERS
from _masticspoke.fleet.guarding import run_job
from _masticspoke.fleet.guarding import RunResult
from _masticspoke.fleet.guarding import Sent
from _masticspoke.fleet.sending import Outlet
from _masticspoke.http_pool import Upstream
from _masticspoke.http_server import Handler
from _masticspoke.http_server import Request
from _masticspoke.http_server import Response
from _masticspoke.http_server import Streamed
from _masticspoke.supervise.ask import ask_or
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply
from _masticspoke.supervise.supervisor import Clock

OwnPaths = Mapping[str, Handler]
# Longest request body that one node takes from another; clients may send less.
MAX_BODY_BYTES = 67_108_864
_MAX_QUESTION_BYTES = 4_096
_BARRED = Declined(NotRun.UNREACHABLE, 0.0)


@final
@dataclass(frozen=True, slots=True)
class InboundPort:
    """What requests of other nodes need."""

    guard: GuardPort
    fates: Mailbox[FatesMessage]


def inbound_handler(port: InboundPort, own_paths: OwnPaths) -> Handler:
    """Return the handler of requests of other nodes.

    :param own_paths: what nodes ask each other, by path.
    """

    async def handle(request: Request) -> Response | Streamed:
        if JOB_HEADER in request.headers:
            return await _guard(port, request)
        own = own_paths.get(request.path)
        if own is None:
            return Response(404, body=b"no such request between nodes\n")
        return await own(request)

    return handle


async def _guard(port: InboundPort, request: Request) -> Response | Streamed:
    guard = port.guard
    job = decode_job(request.headers.get(JOB_HEADER), guard.clock())
    if job is None:
        return Response(400, body=f"{JOB_HEADER} is malformed\n".encode())
    sent = Sent(
        request.method,
        request.target,
        forwarded(request.headers, NO_HEADERS),
        await request.body(MAX_BODY_BYTES),
    )
    outlet = Outlet(request)

    async def stream(upstream: Upstream, headers: CIMultiDict[str]) -> Streamed:
        headers[GUARD_HEADER] = encode_guard(_said(guard))
        return await outlet.pass_on(upstream, headers)

    async def run() -> RunResult:
        return await run_job(guard, job, sent, stream)

    result = await (run() if job.repeatable else _run_once(port, job, run))
    return _response(guard, result)


async def _run_once(
    port: InboundPort, job: Job, run: Callable[[], Awaitable[RunResult]]
) -> RunResult:
    reply: Reply[RunResult | None] = Reply()
    question = RunOnce(job.request_id, run, reply)
    result = await ask_or(port.fates, question, reply, None)
    return _BARRED if result is None else result


def _response(guard: GuardPort, result: RunResult) -> Response | Streamed:
    if isinstance(result, Streamed):
        return result
    if isinstance(result, Answer):
        headers = result.headers.copy()
        headers[GUARD_HEADER] = encode_guard(_said(guard, result))
        return Response(result.status, headers, result.body)
    said = {GUARD_HEADER: encode_guard(_said(guard, result))}
    text = result.detail if isinstance(result, Broke) else ""
    return Response(503, said, text.encode())


def fate_handler(port: InboundPort, boot_clock: Clock) -> Handler:
    """Return the handler of a sender that lost the answer to a request.

    :param boot_clock: also counts the time that a VM is suspended.
    """
    started = boot_clock()

    async def handle(request: Request) -> Response | Streamed:
        asked = decode_fate(await request.body(_MAX_QUESTION_BYTES))
        if asked is None:
            return Response(400, body=b"malformed question\n")
        request_id, asked_after_s = asked
        if not started_before_send(boot_clock() - started, asked_after_s):
            return _response(port.guard, Broke("the node has restarted since"))
        reply: Reply[RunResult | None] = Reply()
        question = AskFate(request_id, asked_after_s, reply)
        unknown = Broke("the node can't tell")
        found = await ask_or(port.fates, question, reply, unknown)
        return _response(port.guard, _BARRED if found is None else found)

    return handle


def _said(
    port: GuardPort, result: Answer | Declined | Broke | None = None
) -> GuardAnswer:
    declined = result if isinstance(result, Declined) else None
    return GuardAnswer(
        not_run=None if declined is None else declined.reason,
        broke=isinstance(result, Broke),
        arrived=declined is None or declined.arrived,
        retry_s=0.0 if declined is None else declined.retry_s,
        load=port.load,
        nested_call_failed=isinstance(result, Answer) and result.nested_call_failed,
    )
