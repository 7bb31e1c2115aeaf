"""Send a request to the guard of a backend server, on this VM or another one."""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass
from dataclasses import replace
from typing import final

import aiohttp
from multidict import CIMultiDict

from _masticspoke.border.backend_state import decode_state
from _masticspoke.border.forwarding import forwarded_headers
from _masticspoke.border.hop import decode_guard
from _masticspoke.border.hop import decode_load
from _masticspoke.border.hop import encode_job
from _masticspoke.border.hop import encode_organisation
from _masticspoke.border.hop import encode_run_query
from _masticspoke.border.hop import GUARD_HEADER
from _masticspoke.border.hop import GuardAnswer
from _masticspoke.border.hop import JOB_HEADER
from _masticspoke.border.hop import LEAVING_HEADER
from _masticspoke.border.hop import LOAD_HEADER
from _masticspoke.border.hop import ORGANISATION_HEADER
from _masticspoke.border.hop import RUN_QUERY_PATH
from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import GuardLoad
from _masticspoke.decisions.fleet.model import Job
from _masticspoke.decisions.fleet.model import NotRun
from _masticspoke.decisions.fleet.model import Phase
from _masticspoke.fleet.dispatch.forwarded_request import ForwardedRequest
from _masticspoke.fleet.dispatch.messages import SendEnded
from _masticspoke.fleet.dispatch.placer import PlacerMessage
from _masticspoke.fleet.guard.guarding import Answer
from _masticspoke.fleet.guard.guarding import Declined
from _masticspoke.fleet.guard.guarding import EXPIRED
from _masticspoke.fleet.guard.guarding import GuardPort
from _masticspoke.fleet.guard.guarding import Interrupted
from _masticspoke.fleet.guard.guarding import INTERRUPTIONS
from _masticspoke.fleet.guard.guarding import MAX_BUFFERED_ANSWER_BYTES
from _masticspoke.fleet.guard.guarding import MAX_REFUSAL_BYTES
from _masticspoke.fleet.guard.guarding import NO_REPLACED_HEADERS
from _masticspoke.fleet.guard.guarding import run_job
from _masticspoke.fleet.guard.guarding import RunResult
from _masticspoke.fleet.knowledge.messages import ServersReceived
from _masticspoke.http_pool import ExpiredError
from _masticspoke.http_pool import HttpPool
from _masticspoke.http_pool import NotConnectedError
from _masticspoke.http_pool import UpstreamAnswer
from _masticspoke.http_server import Request
from _masticspoke.http_server import Streamed
from _masticspoke.model import Address
from _masticspoke.supervise.mailbox import Mailbox

# Refusals with these reasons count neither as a failure nor as a success of the server:
# they say nothing about its health.
_NEUTRAL_REASONS = frozenset(
    {NotRun.BUSY, NotRun.PRESSURE, NotRun.TOO_LATE, NotRun.QUARANTINED}
)
# Retry-After if the guard cannot be reached.
_DEFAULT_RETRY_S = 0.2
# Wait beyond the deadline for the guard's answer, which may show that the request did
# not run; a timeout at this node does not.
_GUARD_GRACE_S = 0.02
# The first query may be sent on a connection that broke together with the request's.
_OUTCOME_QUERY_TRIES = 2


@final
@dataclass(frozen=True, slots=True)
class SendPort:
    """What a request's task needs to reach guards.

    :param local_backend: address of the local backend server.
    :param peer_port: TCP port where each node accepts requests of other nodes.
    """

    placer: Mailbox[PlacerMessage]
    node_connections: HttpPool
    guard: GuardPort
    local_backend: Address
    peer_port: int


@final
@dataclass(slots=True)
class AnswerForwarder:
    """Forwards to the caller an answer that is too long to be buffered.

    :param request: the caller's request.
    :param started: set before the head of the answer is sent; from then on, no other
        answer can be sent.
    """

    request: Request
    started: bool = False

    async def forward(
        self, upstream: UpstreamAnswer, headers: CIMultiDict[str], start: bytes
    ) -> Streamed:
        """Forward an answer; abort the caller's connection if the answer breaks off.

        :param start: first bytes of the body, which have been read already.
        """
        self.started = True
        return await self.request.stream(
            upstream.status, headers, upstream.content_length, _body(upstream, start)
        )


async def _body(upstream: UpstreamAnswer, start: bytes) -> AsyncIterator[bytes]:
    """Yield a body while it arrives.

    :raises ConnectionResetError: if it should end with its connection, but that was
        reset.
    """
    ends_with_connection = upstream.ends_with_connection
    if start:
        yield start
    async for chunk in upstream.content.iter_any():
        yield chunk
    if ends_with_connection and upstream.connection.was_reset:
        raise ConnectionResetError("connection reset before the end of the answer")


@final
@dataclass(slots=True)
class _SendAttempt:
    """One send to one guard, and its outcome.

    :param sent_at: time of the send.
    :param result: ``None`` until the send has ended.
    :param load: load that the guard reported; ``None`` if it reported none.
    """

    port: SendPort
    job: Job
    server: BackendServer
    outgoing: ForwardedRequest
    forwarder: AnswerForwarder
    sent_at: float
    result: RunResult | None = None
    load: GuardLoad | None = None

    @property
    def left_s(self) -> float:
        """Seconds left for the guard's answer; negative once they have passed."""
        return self.job.deadline - self.port.guard.clock() + _GUARD_GRACE_S


async def send(
    port: SendPort,
    job: Job,
    server: BackendServer,
    outgoing: ForwardedRequest,
    forwarder: AnswerForwarder,
) -> RunResult:
    """Send a job to the guard of ``server``, and report the outcome to the placer."""
    attempt = _SendAttempt(port, job, server, outgoing, forwarder, port.guard.clock())
    try:
        if server.address == port.local_backend:
            attempt.result = await run_job(port.guard, job, outgoing, forwarder.forward)
            attempt.load = port.guard.load
        else:
            await _send_to_node(attempt)
        assert attempt.result is not None
        return attempt.result
    finally:
        port.placer.tell(_send_ended(attempt))


async def _send_to_node(attempt: _SendAttempt) -> None:
    try:
        await _request_node(attempt)
    except ExpiredError:
        attempt.result = EXPIRED
    except NotConnectedError:
        attempt.result = Declined(NotRun.UNREACHABLE, _DEFAULT_RETRY_S)
    except (aiohttp.ClientError, ConnectionError) as error:
        attempt.result = Interrupted(f"node: {error!r}")
        if not attempt.job.idempotent and not attempt.forwarder.started:
            await _fetch_lost_outcome(attempt)


async def _fetch_lost_outcome(attempt: _SendAttempt) -> None:
    """Query the guard for the outcome of a request whose answer was lost."""
    port = attempt.port
    node = _node_address(attempt)
    for _ in range(_OUTCOME_QUERY_TRIES):
        query = encode_run_query(
            attempt.job.request_id, port.guard.clock() - attempt.sent_at
        )
        headers = {"Host": str(node)}
        try:
            async with port.node_connections.request(
                node, "POST", RUN_QUERY_PATH, headers, query, attempt.left_s
            ) as upstream:
                guard = decode_guard(upstream.headers.get(GUARD_HEADER))
                if guard is not None:
                    attempt.load = _reported_load(guard, upstream)
                    attempt.result = await _read_result(
                        guard, upstream, attempt.forwarder
                    )
                return
        except ExpiredError:
            attempt.result = EXPIRED
            return
        except (aiohttp.ClientError, ConnectionError):
            continue  # the result stays Interrupted: the request may have run


async def _request_node(attempt: _SendAttempt) -> None:
    headers = attempt.outgoing.headers.copy()
    headers[JOB_HEADER] = encode_job(attempt.job, attempt.port.guard.clock())
    if attempt.job.organisation:
        headers[ORGANISATION_HEADER] = encode_organisation(attempt.job.organisation)
    async with attempt.port.node_connections.request(
        _node_address(attempt),
        attempt.outgoing.method,
        attempt.outgoing.target,
        headers,
        attempt.outgoing.body,
        attempt.left_s,
    ) as upstream:
        guard = decode_guard(upstream.headers.get(GUARD_HEADER))
        if guard is None:
            attempt.result = Interrupted("the node did not answer as a guard")
            return
        attempt.load = _reported_load(guard, upstream)
        _report_leaving(attempt, upstream)
        attempt.result = await _read_result(guard, upstream, attempt.forwarder)


def _reported_load(guard: GuardAnswer, upstream: UpstreamAnswer) -> GuardLoad:
    return decode_load(upstream.headers.get(LOAD_HEADER), guard.load)


def _report_leaving(attempt: _SendAttempt, upstream: UpstreamAnswer) -> None:
    """Tell the registry that the server is leaving, before its answer is passed on.

    The guard may restart and forget it. A guard of an earlier build sends only the
    backend server's own header.
    """
    port = attempt.port.guard
    header = upstream.headers.get(LEAVING_HEADER)
    state = None if header is None else decode_state(header.encode())
    notice = port.dialect.read_notice(upstream.status, upstream.headers)
    if state is None and notice.leaving:
        state = replace(attempt.server, phase=Phase.LEAVING)
    if state is not None and state.address == attempt.server.address:
        port.registry.tell(ServersReceived((state,), f"guard {state.address.host}"))


def _node_address(attempt: _SendAttempt) -> Address:
    return Address(attempt.server.address.host, attempt.port.peer_port)


async def _read_result(
    guard: GuardAnswer, upstream: UpstreamAnswer, forwarder: AnswerForwarder
) -> RunResult:
    if guard.not_run is not None:
        await upstream.read_start(MAX_REFUSAL_BYTES)
        return Declined(guard.not_run, guard.retry_s, guard.arrived)
    if guard.interrupted:
        text, _ = await upstream.read_start(MAX_REFUSAL_BYTES)
        detail = text.decode(errors="replace")
        return INTERRUPTIONS.get(detail, Interrupted(detail))
    headers = forwarded_headers(upstream.headers, NO_REPLACED_HEADERS)
    if (upstream.content_length or 0) > MAX_BUFFERED_ANSWER_BYTES:
        return await forwarder.forward(upstream, headers, b"")
    body, ended = await upstream.read_start(MAX_BUFFERED_ANSWER_BYTES)
    if not ended:
        return await forwarder.forward(upstream, headers, body)
    return Answer(upstream.status, headers, body, guard.nested_call_failed)


def _send_ended(attempt: _SendAttempt) -> SendEnded:
    result = attempt.result
    return SendEnded(
        address=attempt.server.address,
        failed=_has_server_failed(result),
        load=attempt.load,
        not_run=result.reason if isinstance(result, Declined) else None,
        service=attempt.job.service,
        nested=attempt.job.nested,
        route=attempt.job.route,
        answered_after_s=(
            attempt.port.guard.clock() - attempt.sent_at
            if isinstance(result, Answer | Streamed)
            else None
        ),
    )


def _has_server_failed(result: RunResult | None) -> bool | None:
    if isinstance(result, Answer):
        return None if result.nested_call_failed else result.status >= 500
    if isinstance(result, Declined):
        return None if result.reason in _NEUTRAL_REASONS else True
    return True if isinstance(result, Interrupted) else None
