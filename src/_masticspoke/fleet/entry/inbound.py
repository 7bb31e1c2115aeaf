"""Handlers of requests from other nodes.

A request with ``Masticspoke-Job`` is run at the local backend server. Others are for
the node itself, such as an exchange of states.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import replace
from typing import final

from multidict import CIMultiDict

from _masticspoke.border.backend_state import encode_state
from _masticspoke.border.forwarding import forwarded_headers
from _masticspoke.border.hop import decode_job
from _masticspoke.border.hop import decode_organisation
from _masticspoke.border.hop import decode_run_query
from _masticspoke.border.hop import encode_guard
from _masticspoke.border.hop import encode_load
from _masticspoke.border.hop import GUARD_HEADER
from _masticspoke.border.hop import GuardAnswer
from _masticspoke.border.hop import JOB_HEADER
from _masticspoke.border.hop import LEAVING_HEADER
from _masticspoke.border.hop import LOAD_HEADER
from _masticspoke.border.hop import ORGANISATION_HEADER
from _masticspoke.decisions.fleet.model import Job
from _masticspoke.decisions.fleet.model import NotRun
from _masticspoke.decisions.fleet.model import Phase
from _masticspoke.decisions.fleet.run_records import started_before_send
from _masticspoke.fleet.dispatch.forwarded_request import ForwardedRequest
from _masticspoke.fleet.dispatch.sending import AnswerForwarder
from _masticspoke.fleet.guard.guarding import Answer
from _masticspoke.fleet.guard.guarding import Declined
from _masticspoke.fleet.guard.guarding import GuardPort
from _masticspoke.fleet.guard.guarding import Interrupted
from _masticspoke.fleet.guard.guarding import NO_REPLACED_HEADERS
from _masticspoke.fleet.guard.guarding import run_job
from _masticspoke.fleet.guard.guarding import RunResult
from _masticspoke.fleet.guard.run_recorder import AskOutcome
from _masticspoke.fleet.guard.run_recorder import RunOnce
from _masticspoke.fleet.guard.run_recorder import RunRecorderMessage
from _masticspoke.fleet.guard.run_recorder import RunStarted
from _masticspoke.fleet.guard.run_recorder import SenderLeft
from _masticspoke.http_pool import UpstreamAnswer
from _masticspoke.http_server import Handler
from _masticspoke.http_server import NoBodyMemoryError
from _masticspoke.http_server import Request
from _masticspoke.http_server import Response
from _masticspoke.http_server import Streamed
from _masticspoke.supervise.ask import ask_or
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply

HandlerByPath = Mapping[str, Handler]
# Longest request body between nodes; the limit for clients may be lower.
MAX_BODY_BYTES = 67_108_864
_MAX_QUERY_BYTES = 4_096
_WILL_NOT_RUN = Declined(NotRun.UNREACHABLE, 0.0)
# Bodies of uploads are held for about as long as their runs take.
_NO_MEMORY = Declined(NotRun.BUSY, 0.5)


@final
@dataclass(frozen=True, slots=True)
class InboundPort:
    """What the handlers of requests from other nodes need."""

    guard: GuardPort
    run_recorder: Mailbox[RunRecorderMessage]


def inbound_handler(port: InboundPort, handler_by_path: HandlerByPath) -> Handler:
    """Return the handler of requests from other nodes.

    :param handler_by_path: handlers of requests without a job, by path.
    """

    async def handle(request: Request) -> Response | Streamed:
        if JOB_HEADER in request.headers:
            return await _serve_job(port, request)
        handler = handler_by_path.get(request.path)
        if handler is None:
            return Response(404, body=b"no such request between nodes\n")
        return await handler(request)

    return handle


async def _serve_job(port: InboundPort, request: Request) -> Response | Streamed:
    guard = port.guard
    job = decode_job(request.headers.get(JOB_HEADER), guard.clock())
    if job is None:
        return Response(400, body=f"{JOB_HEADER} is malformed\n".encode())
    organisation = decode_organisation(request.headers.get(ORGANISATION_HEADER))
    if organisation:
        job = replace(job, organisation=organisation)
    try:
        body = await request.body(MAX_BODY_BYTES)
    except NoBodyMemoryError:
        return _response(guard, _NO_MEMORY)
    outgoing = ForwardedRequest(
        request.method,
        request.target,
        forwarded_headers(request.headers, NO_REPLACED_HEADERS),
        body,
    )
    forwarder = AnswerForwarder(request)

    async def stream_answer(
        upstream: UpstreamAnswer, headers: CIMultiDict[str], start: bytes
    ) -> Streamed:
        headers[GUARD_HEADER] = encode_guard(_guard_answer(guard))
        headers.update(_state_headers(guard))
        return await forwarder.forward(upstream, headers, start)

    def on_start() -> None:
        if not job.idempotent:
            port.run_recorder.tell(RunStarted(job.request_id))

    async def run() -> RunResult:
        return await run_job(guard, job, outgoing, stream_answer, on_start)

    result = await (run() if job.idempotent else _run_once(port, job, run))
    return _response(guard, result)


async def _run_once(
    port: InboundPort, job: Job, run: Callable[[], Awaitable[RunResult]]
) -> RunResult:
    reply: Reply[RunResult | None] = Reply()
    message = RunOnce(job.request_id, run, reply)
    try:
        result = await ask_or(port.run_recorder, message, reply, None)
    except asyncio.CancelledError:
        port.run_recorder.tell(SenderLeft(job.request_id))
        raise
    return _WILL_NOT_RUN if result is None else result


def _response(guard: GuardPort, result: RunResult) -> Response | Streamed:
    if isinstance(result, Streamed):
        return result
    if isinstance(result, Answer):
        headers = result.headers.copy()
        headers[GUARD_HEADER] = encode_guard(_guard_answer(guard, result))
        headers.update(_state_headers(guard))
        return Response(result.status, headers, result.body)
    guard_headers = {
        GUARD_HEADER: encode_guard(_guard_answer(guard, result)),
        **_state_headers(guard),
    }
    text = result.detail if isinstance(result, Interrupted) else ""
    return Response(503, guard_headers, text.encode())


def _state_headers(guard: GuardPort) -> dict[str, str]:
    """Return headers for the sender: that the server is leaving, or is slowed down."""
    headers = {}
    state = guard.guard_state.value
    if state.server is not None and state.server.phase is not Phase.READY:
        headers[LEAVING_HEADER] = encode_state(state.server).decode()
    load = encode_load(state.load)
    if load is not None:
        headers[LOAD_HEADER] = load
    return headers


def outcome_handler(port: InboundPort) -> Handler:
    """Return the handler of queries for the outcome of a request.

    A sender makes one when its connection broke before the answer was complete.
    """
    started_at = port.guard.clock()

    async def handle(request: Request) -> Response | Streamed:
        query = decode_run_query(await request.body(_MAX_QUERY_BYTES))
        if query is None:
            return Response(400, body=b"malformed question\n")
        request_id, asked_after_s = query
        if not started_before_send(port.guard.clock() - started_at, asked_after_s):
            return _response(port.guard, Interrupted("the node has restarted since"))
        reply: Reply[RunResult | None] = Reply()
        message = AskOutcome(request_id, asked_after_s, reply)
        unknown = Interrupted("the node can't tell")
        result = await ask_or(port.run_recorder, message, reply, unknown)
        return _response(port.guard, _WILL_NOT_RUN if result is None else result)

    return handle


def _guard_answer(
    port: GuardPort, result: Answer | Declined | Interrupted | None = None
) -> GuardAnswer:
    declined = result if isinstance(result, Declined) else None
    return GuardAnswer(
        not_run=None if declined is None else declined.reason,
        interrupted=isinstance(result, Interrupted),
        arrived=declined is None or declined.arrived,
        retry_s=0.0 if declined is None else declined.retry_s,
        load=port.load,
        nested_call_failed=isinstance(result, Answer) and result.nested_call_failed,
    )
