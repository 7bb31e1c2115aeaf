"""Run one request at the local backend server once the gate admits it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace
from itertools import count
from typing import final

import aiohttp
from multidict import CIMultiDict

from _masticspoke.border.forwarding import forwarded_headers
from _masticspoke.decisions.fleet.leaving import Leave
from _masticspoke.decisions.fleet.lineage import Parents
from _masticspoke.decisions.fleet.lineage import record_run_end
from _masticspoke.decisions.fleet.lineage import record_run_start
from _masticspoke.decisions.fleet.log_rate_limit import Importance
from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import GuardLoad
from _masticspoke.decisions.fleet.model import Job
from _masticspoke.decisions.fleet.model import NotRun
from _masticspoke.decisions.fleet.model import Phase
from _masticspoke.decisions.fleet.queueing import Refuse
from _masticspoke.decisions.fleet.queueing import Verdict
from _masticspoke.decisions.fleet.run_outcomes import outcome_of
from _masticspoke.decisions.fleet.run_outcomes import RunOutcome
from _masticspoke.events import Event
from _masticspoke.fleet.dialect import Dialect
from _masticspoke.fleet.dispatch.forwarded_request import ForwardedRequest
from _masticspoke.fleet.guard.crash_watch import CrashWatch
from _masticspoke.fleet.guard.crash_watch import quarantine_s
from _masticspoke.fleet.guard.crash_watch import report_abandoned
from _masticspoke.fleet.guard.crash_watch import report_interrupted
from _masticspoke.fleet.guard.crash_watch import report_success
from _masticspoke.fleet.guard.gate import GateMessage
from _masticspoke.fleet.guard.limit_learning import concerns_gate
from _masticspoke.fleet.guard.messages import Admit
from _masticspoke.fleet.guard.messages import BackendAnswered
from _masticspoke.fleet.guard.messages import BackendUnreachable
from _masticspoke.fleet.guard.messages import GuardState
from _masticspoke.fleet.guard.messages import RequestNotRun
from _masticspoke.fleet.guard.messages import RunEnded
from _masticspoke.fleet.guard.run_log import flow_kind
from _masticspoke.fleet.guard.run_log import wasted_record
from _masticspoke.fleet.knowledge.messages import Deregistered
from _masticspoke.fleet.knowledge.registry import RegistryMessage
from _masticspoke.fleet.reporting.counts import TrailMessage
from _masticspoke.fleet.reporting.event_record import EventRecord
from _masticspoke.http_pool import Exchange
from _masticspoke.http_pool import ExpiredError
from _masticspoke.http_pool import HttpPool
from _masticspoke.http_pool import NotConnectedError
from _masticspoke.http_pool import UpstreamAnswer
from _masticspoke.http_server import Streamed
from _masticspoke.supervise.ask import ask_or
from _masticspoke.supervise.latest import Latest
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply
from _masticspoke.supervise.supervisor import Clock

# Answers are read completely before any byte is forwarded, so that the request can
# still be sent to another server if the answer breaks off. Only longer answers are
# forwarded while they arrive, among them those without end.
MAX_BUFFERED_ANSWER_BYTES = 1_048_576
# What is read of the body of a refusal, so that its connection can be used again.
MAX_REFUSAL_BYTES = 65_536
# No header is replaced between nodes or on the way from a backend server.
NO_REPLACED_HEADERS: frozenset[str] = frozenset()
# Retry-After if the gate gives none.
_DEFAULT_RETRY_S = 0.2
# Lowest status that means a failure of the backend server.
_MIN_FAILURE_STATUS = 500


@final
@dataclass(frozen=True, slots=True)
class Answer:
    """A backend server's complete answer.

    :param nested_call_failed: whether the run failed after one of its nested calls had
        failed.
    """

    status: int
    headers: CIMultiDict[str]
    body: bytes
    nested_call_failed: bool = False


@final
@dataclass(frozen=True, slots=True)
class Declined:
    """The request did not run and never will.

    :param retry_s: seconds until another try makes sense.
    :param arrived: whether the backend server received the request and rejected it.
    """

    reason: NotRun
    retry_s: float
    arrived: bool = False


@final
@dataclass(frozen=True, slots=True)
class Interrupted:
    """The run ended without an answer; the request may have run.

    :param detail: text for the log. A guard also sends it as the body of its answer to
        another node, where the texts of :data:`INTERRUPTIONS` have a meaning.
    :param expired: whether the deadline passed.
    :param quarantined: whether the request has crashed too many backend servers to be
        sent again.
    """

    detail: str
    expired: bool = False
    quarantined: bool = False


EXPIRED = Interrupted("deadline", expired=True)
QUARANTINED = Interrupted("crashed a backend server again", quarantined=True)
# Interruptions that a guard's answer tells apart, by their text.
INTERRUPTIONS = {result.detail: result for result in (EXPIRED, QUARANTINED)}

RunResult = Answer | Streamed | Declined | Interrupted
# Forwards an answer while it arrives; takes its head, its headers and its first bytes.
StreamAnswer = Callable[[UpstreamAnswer, CIMultiDict[str], bytes], Awaitable[Streamed]]


@final
@dataclass(frozen=True, slots=True)
class GuardPort:
    """What a request's task needs to reach the local backend server.

    :param persistent: connections that serve several requests.
    :param single_use: connections that serve one request each; for requests that must
        not run twice.
    :param registry: is told when the server says that it is leaving.
    :param tickets: source of unique tickets for the gate.
    :param parents: requests that run at the local backend server.
    :param crash_watch: for requests that crash backend servers.
    """

    gate: Mailbox[GateMessage]
    registry: Mailbox[RegistryMessage]
    guard_state: Latest[GuardState]
    persistent: HttpPool
    single_use: HttpPool
    dialect: Dialect
    trail: Mailbox[TrailMessage]
    clock: Clock
    tickets: count[int]
    parents: Parents
    crash_watch: CrashWatch

    @property
    def load(self) -> GuardLoad:
        """Load that the gate published last; an admission does not update it."""
        return self.guard_state.value.load


def _ignore_start() -> None:
    """Do nothing when a run starts."""


async def run_job(
    port: GuardPort,
    job: Job,
    outgoing: ForwardedRequest,
    stream_answer: StreamAnswer,
    on_start: Callable[[], None] = _ignore_start,
) -> RunResult:
    """Run a job at the local backend server once the gate admits it.

    Return the answer, or why there is none.

    :param stream_answer: forwards an answer longer than ``MAX_BUFFERED_ANSWER_BYTES``.
    :param on_start: called when the job has been admitted, before it is sent.
    """
    quarantined_s = quarantine_s(port.crash_watch, outgoing, job.caller)
    if quarantined_s > 0:
        declined = Declined(NotRun.QUARANTINED, quarantined_s)
        _log_declined(port, job, declined)
        return declined
    return await _admit_and_run(port, job, outgoing, stream_answer, on_start)


async def _admit_and_run(
    port: GuardPort,
    job: Job,
    outgoing: ForwardedRequest,
    stream_answer: StreamAnswer,
    on_start: Callable[[], None],
) -> RunResult:
    ticket = next(port.tickets)
    reply: Reply[Verdict] = Reply()
    busy = Refuse(ticket, NotRun.BUSY, _DEFAULT_RETRY_S)
    answered = False
    shows_speed = False
    admitted = False
    outcome = RunOutcome.OTHER
    try:
        verdict = await ask_or(port.gate, Admit(ticket, job, reply), reply, busy)
        if isinstance(verdict, Refuse):
            declined = Declined(verdict.reason, verdict.retry_s)
            _log_declined(port, job, declined, verdict.usual_run_s)
            return declined
        admitted = True
        on_start()
        record_run_start(
            port.parents, job.request_id, job.is_retry, job.organisation, job.rank
        )
        result = await _run_at_backend(port, job, outgoing, stream_answer)
        if isinstance(result, Answer) and _is_failure(result):
            nested_call_failed = job.request_id in port.parents.with_failed_call
            result = replace(result, nested_call_failed=nested_call_failed)
        answered = isinstance(result, Answer | Streamed)
        succeeded = answered and not _is_failure(result)
        expired = isinstance(result, Interrupted) and result.expired
        outcome = outcome_of(port.parents, job.request_id, succeeded, answered, expired)
        shows_speed = (
            isinstance(result, Answer)
            and outcome is RunOutcome.SUCCEEDED
            and job.request_id not in port.parents.with_call
        )
        if isinstance(result, Declined):
            _log_declined(port, job, result)
        if outcome is RunOutcome.WASTED:
            port.trail.tell(wasted_record(port.guard_state.value, job))
        return result
    finally:
        if admitted:
            record_run_end(port.parents, job.request_id)
            port.gate.tell(RunEnded(ticket, answered, outcome, shows_speed))
        else:
            port.gate.tell(RequestNotRun(ticket))


def _is_failure(result: RunResult) -> bool:
    return isinstance(result, Answer) and result.status >= _MIN_FAILURE_STATUS


async def _run_at_backend(
    port: GuardPort, job: Job, outgoing: ForwardedRequest, stream_answer: StreamAnswer
) -> RunResult:
    server = port.guard_state.value.server
    left_s = job.deadline - port.clock()
    if server is None or left_s <= 0:
        reason = NotRun.ABSENT if server is None else NotRun.TOO_LATE
        return Declined(reason, _DEFAULT_RETRY_S)
    if server.service != job.service:
        # Another service has taken the address while the request waited.
        return Declined(NotRun.MOVED, _DEFAULT_RETRY_S)
    sent_at = port.clock()
    headers = outgoing.headers.copy()
    port.dialect.set_backend_headers(headers, job, server.instance, left_s)
    connections = port.persistent if job.idempotent else port.single_use
    exchange = connections.request(
        server.address, outgoing.method, outgoing.target, headers, outgoing.body, left_s
    )
    try:
        result = await _read_result(port, job, exchange, stream_answer, server, sent_at)
    except asyncio.CancelledError:
        report_abandoned(port.crash_watch, server, outgoing, job.caller)
        raise
    result = await _report_end(port, job, outgoing, server, result)
    if isinstance(result, Interrupted):
        _log_interrupted(port, job, result, server, exchange)
    return result


async def _report_end(
    port: GuardPort,
    job: Job,
    outgoing: ForwardedRequest,
    server: BackendServer,
    result: RunResult,
) -> RunResult:
    """Report what a run shows of the request: that it may crash servers, or does not.

    A failure of the server is no sign that it ran the request to its end.

    :return: the result for the sender, which must not send a quarantined request again.
    """
    watch = port.crash_watch
    if isinstance(result, Interrupted) and result.expired:
        report_abandoned(watch, server, outgoing, job.caller)
    elif isinstance(result, Interrupted):
        await report_interrupted(watch, server, outgoing, job.caller)
        if quarantine_s(watch, outgoing, job.caller) > 0:
            return QUARANTINED
    elif isinstance(result, Streamed) or (
        isinstance(result, Answer) and result.status < _MIN_FAILURE_STATUS
    ):
        report_success(watch, outgoing, job.caller)
    return result


async def _read_result(
    port: GuardPort,
    job: Job,
    exchange: Exchange,
    stream_answer: StreamAnswer,
    server: BackendServer,
    sent_at: float,
) -> RunResult:
    try:
        async with exchange as upstream:
            _report_notice(port, upstream, server, sent_at)
            not_run = port.dialect.read_not_run(upstream.status, upstream.headers)
            if not_run is not None and not upstream.belongs_to(
                port.dialect.echo_header, job.request_id
            ):
                return Interrupted("refusal that may belong to an earlier request")
            if not_run is not None:
                await upstream.read_start(MAX_REFUSAL_BYTES)
                return Declined(not_run, _DEFAULT_RETRY_S, arrived=True)
            return await _read_answer(upstream, stream_answer)
    except ExpiredError:
        return EXPIRED
    except NotConnectedError:
        port.gate.tell(BackendUnreachable(server))
        return Declined(NotRun.ABSENT, _DEFAULT_RETRY_S)
    except (aiohttp.ClientError, ConnectionError) as error:
        return Interrupted(repr(error))


def _report_notice(
    port: GuardPort, upstream: UpstreamAnswer, server: BackendServer, sent_at: float
) -> None:
    """Tell gate and registry what the server says of itself, before it is passed on."""
    notice = port.dialect.read_notice(upstream.status, upstream.headers)
    if notice.unreadable:
        fields = {"instance": server.instance, "value": notice.unreadable}
        record = EventRecord(Event.RATE_LIMIT_UNREADABLE, fields, Importance.FAILURE)
        port.trail.tell(record)
    elif concerns_gate(port.guard_state.value, notice):
        port.gate.tell(BackendAnswered(server, notice, sent_at))
    if notice.leaving and server.phase is Phase.READY:
        leave = Leave(server.instance, server.born_ms, server.sequence, Phase.LEAVING)
        port.registry.tell(Deregistered(leave, Reply()))


async def _read_answer(
    upstream: UpstreamAnswer, stream_answer: StreamAnswer
) -> RunResult:
    headers = forwarded_headers(upstream.headers, NO_REPLACED_HEADERS)
    if (upstream.content_length or 0) > MAX_BUFFERED_ANSWER_BYTES:
        return await stream_answer(upstream, headers, b"")
    ends_with_connection = upstream.ends_with_connection
    body, ended = await upstream.read_start(MAX_BUFFERED_ANSWER_BYTES)
    if not ended:
        return await stream_answer(upstream, headers, body)
    if ends_with_connection and upstream.connection.was_reset:
        return Interrupted("connection reset before the end of the answer")
    return Answer(upstream.status, headers, body)


def _log_interrupted(
    port: GuardPort,
    job: Job,
    result: Interrupted,
    server: BackendServer,
    exchange: Exchange,
) -> None:
    fields = {
        "id": job.request_id,
        "route": job.route,
        "detail": result.detail,
        "server": str(server.address),
        "connection": exchange.connection_number,
    }
    port.trail.tell(EventRecord(Event.RUN_INTERRUPTED, fields, Importance.FAILURE))


def _log_declined(
    port: GuardPort, job: Job, declined: Declined, usual_run_s: float | None = None
) -> None:
    """Log that a request did not run.

    :param usual_run_s: usual run time by which it was refused, if it was.
    """
    load = port.load
    fields = {
        "id": job.request_id,
        "route": job.route,
        "reason": declined.reason,
        "flow": flow_kind(job),
        "organisation": job.organisation,
        "arrived": declined.arrived,
        "retry_s": round(declined.retry_s, 3),
        "left_s": round(job.deadline - port.clock(), 3),
        "usual_run_s": None if usual_run_s is None else round(usual_run_s, 3),
        "running": load.running,
        "waiting": load.queued,
        "limit": load.limit,
        "pressure_ms": int(load.pressure_s * 1000),
    }
    port.trail.tell(EventRecord(Event.RUN_NOT_STARTED, fields, Importance.FAILURE))
