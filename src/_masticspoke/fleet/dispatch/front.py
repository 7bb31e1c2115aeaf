"""Serve one request from a client or from a run at the local backend server.

The request is sent to one backend server after another until there is an answer to
return or no further send is allowed.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field
from typing import final

from _masticspoke.decisions.fleet.freshness import Confirmation
from _masticspoke.decisions.fleet.freshness import is_fresh
from _masticspoke.decisions.fleet.lineage import Origin
from _masticspoke.decisions.fleet.lineage import origin_of
from _masticspoke.decisions.fleet.lineage import Parents
from _masticspoke.decisions.fleet.lineage import rank_of_parent
from _masticspoke.decisions.fleet.lineage import record_lost_call
from _masticspoke.decisions.fleet.lineage import record_nested_call
from _masticspoke.decisions.fleet.lineage import record_nested_failure
from _masticspoke.decisions.fleet.log_rate_limit import Importance
from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import Configuration
from _masticspoke.decisions.fleet.model import Job
from _masticspoke.decisions.fleet.model import NotRun
from _masticspoke.decisions.fleet.model import Organisation
from _masticspoke.decisions.fleet.model import Route
from _masticspoke.decisions.fleet.routing import find_route
from _masticspoke.decisions.fleet.stopping import latest_deadline
from _masticspoke.events import Event
from _masticspoke.fleet.dispatch.access import find_organisation
from _masticspoke.fleet.dispatch.forwarded_request import ForwardedRequest
from _masticspoke.fleet.dispatch.incoming import IncomingRequest
from _masticspoke.fleet.dispatch.incoming import Outcome
from _masticspoke.fleet.dispatch.incoming import Unanswered
from _masticspoke.fleet.dispatch.limiting import Result
from _masticspoke.fleet.dispatch.limiting import send_within_limit
from _masticspoke.fleet.dispatch.messages import NoPlacement
from _masticspoke.fleet.dispatch.messages import Placement
from _masticspoke.fleet.dispatch.messages import PlaceRequest
from _masticspoke.fleet.dispatch.sending import AnswerForwarder
from _masticspoke.fleet.dispatch.sending import send
from _masticspoke.fleet.dispatch.sending import SendPort
from _masticspoke.fleet.guard.crash_watch import quarantine_s
from _masticspoke.fleet.guard.crash_watch import report_success
from _masticspoke.fleet.guard.guarding import Answer
from _masticspoke.fleet.guard.guarding import Declined
from _masticspoke.fleet.guard.guarding import Interrupted
from _masticspoke.fleet.guard.guarding import RunResult
from _masticspoke.fleet.quota.taking import QuotaPort
from _masticspoke.fleet.reporting.event_record import EventRecord
from _masticspoke.http_server import Streamed
from _masticspoke.model import Address
from _masticspoke.supervise.ask import ask_or
from _masticspoke.supervise.latest import Latest
from _masticspoke.supervise.mailbox import Reply
from _masticspoke.supervise.planned_stop import PlannedStop

# A request is given up after this many of its sends were declined.
MAX_DECLINED = 3
# Retry-After if no guard gave one for overload: about the time of a restart.
_DEFAULT_RETRY_S = 1.0
# Retry-After of a request for whose body there is no memory: bodies are held for about
# as long as the runs of uploads take.
_NO_MEMORY_RETRY_S = 0.5
# Lowest status that means a failure of the backend server.
_MIN_FAILURE_STATUS = 500
# Reasons of refusals under load. The guard then knows when a retry makes sense, so
# Retry-After is the guard's.
_OVERLOAD_REASONS = frozenset({NotRun.BUSY, NotRun.PRESSURE, NotRun.SHED})
# Longest time allowed for a request that sets no deadline; its route may allow less.
_DEFAULT_TIMEOUT_S = 30.0


@final
@dataclass(frozen=True, slots=True)
class FrontPort:
    """What the task of an incoming request needs to serve it.

    :param configuration: the configuration in force; ``None`` until one is received.
    :param service: service of the backend server on this VM.
    :param confirmation: when that configuration was known to be the newest.
    :param revocation_s: bound on the revocation of a key; ``None`` if there is none.
    """

    configuration: Latest[Configuration | None]
    send: SendPort
    service: Latest[str]
    stop: PlannedStop
    confirmation: Latest[Confirmation]
    revocation_s: float | None
    quota: QuotaPort


@final
@dataclass(slots=True)
class _Progress:
    """The sends of one request so far, and their outcomes.

    :param received_at: when this node received the request.
    :param organisation: organisation that the request runs for; ``None`` if none.
    :param service: service of the first send; ``None`` before it.
    :param tried: servers that the request has been sent to.
    :param sends: server and outcome of each send, for the log line.
    :param sends_arrived: number of sends that reached a backend server, or may have.
    :param sends_declined: number of sends that ended in :class:`Declined`.
    :param may_have_run: whether the request may have run.
    :param retry_s: Retry-After if the request is refused.
    :param last_outcome: outcome of the last send, or why there was no first one; the
        reason that logs, counters and the caller get if there is no answer.
    :param answer: last complete answer; it is returned if later sends get none.
    """

    route: Route
    received_at: float
    origin: Origin
    organisation: Organisation | None = None
    service: str | None = None
    tried: list[Address] = field(default_factory=list)
    sends: list[str] = field(default_factory=list)
    sends_arrived: int = 0
    sends_declined: int = 0
    may_have_run: bool = False
    retry_s: float = _DEFAULT_RETRY_S
    last_outcome: str = ""
    answer: Answer | None = None

    @property
    def nested(self) -> bool:
        """Whether a run at the local backend server made the request."""
        return self.origin is not Origin.CLIENT


async def serve_request(
    port: FrontPort,
    incoming: IncomingRequest,
    outgoing: ForwardedRequest,
    forwarder: AnswerForwarder,
    received_at: float,
) -> Result:
    """Return the answer to a request, or why there is none.

    :param received_at: when this node received the request.
    """
    configuration = port.configuration.value
    if configuration is None:
        return Unanswered(Outcome.NOT_READY, "no-configuration", _DEFAULT_RETRY_S)
    route = find_route(configuration, incoming.host, incoming.path)
    if route is None:
        no_route = Unanswered(Outcome.NO_ROUTE, "no-route")
        _log_result(port, incoming, configuration.version, None, no_route, received_at)
        return no_route
    origin = origin_of(port.send.guard.parents, incoming.request_id)
    organisation = find_organisation(
        configuration,
        route,
        incoming,
        origin,
        port.send.guard.parents,
        fresh=is_fresh(
            port.confirmation.value,
            configuration.version,
            port.revocation_s,
            port.send.guard.clock(),
        ),
    )
    progress = _Progress(route, received_at, origin)
    if isinstance(organisation, Unanswered):
        _log_result(
            port, incoming, configuration.version, progress, organisation, received_at
        )
        return organisation
    progress.organisation = organisation
    parents = port.send.guard.parents
    if progress.nested:
        record_nested_call(parents, incoming.request_id)
    try:
        result = await send_within_limit(
            port.quota,
            None if progress.nested else organisation,
            lambda: _send_until_answered(port, incoming, progress, outgoing, forwarder),
        )
    except asyncio.CancelledError:
        # The run that made the request no longer waits for it.
        record_lost_call(parents, incoming.request_id)
        raise
    if progress.nested:
        _record_nested_result(parents, incoming.request_id, result)
    version = configuration.version
    _log_result(port, incoming, version, progress, result, received_at)
    return result


def _record_nested_result(parents: Parents, request_id: str, result: Result) -> None:
    if _fails_parent_run(result):
        record_nested_failure(parents, request_id)
    # A failure of the called server itself says nothing about room.
    if isinstance(result, Unanswered) or (
        isinstance(result, Answer) and result.nested_call_failed
    ):
        record_lost_call(parents, request_id)


def refuse_unread(
    port: FrontPort, incoming: IncomingRequest, received_at: float
) -> Unanswered:
    """Log and return the refusal of a request for whose body there is no memory."""
    refused = Unanswered(Outcome.REFUSED, "no-body-memory", _NO_MEMORY_RETRY_S)
    configuration = port.configuration.value
    version = 0 if configuration is None else configuration.version
    _log_result(port, incoming, version, None, refused, received_at)
    return refused


def _fails_parent_run(result: Result) -> bool:
    if isinstance(result, Answer):
        return result.status >= _MIN_FAILURE_STATUS
    # A nested request may time out at one slow server, and a retry of the run that
    # made it may reach another one.
    return isinstance(result, Unanswered) and result.outcome is not Outcome.EXPIRED


async def _send_until_answered(
    port: FrontPort,
    incoming: IncomingRequest,
    progress: _Progress,
    outgoing: ForwardedRequest,
    forwarder: AnswerForwarder,
) -> Result:
    watch, caller = port.send.guard.crash_watch, port.service.value
    while True:
        quarantined_s = quarantine_s(watch, outgoing, caller)
        if quarantined_s > 0:
            progress.last_outcome = progress.last_outcome or NotRun.QUARANTINED
            progress.retry_s = quarantined_s
            return _final_result(progress)
        placement = await _request_placement(port, progress)
        if isinstance(placement, NoPlacement):
            progress.last_outcome = progress.last_outcome or placement.reason
            return _final_result(progress)
        progress.service = placement.server.service
        job = _new_job(port, incoming, progress)
        result = await send(port.send, job, placement.server, outgoing, forwarder)
        _record_send(progress, placement.server, result)
        if isinstance(result, Streamed):
            return result
        if isinstance(result, Answer) and not _is_retryable_failure(progress, result):
            if result.status < _MIN_FAILURE_STATUS:
                report_success(watch, outgoing, caller)
            return result
        if not _may_send_again(progress, result):
            return _final_result(progress, result)


async def _request_placement(
    port: FrontPort, progress: _Progress
) -> Placement | NoPlacement:
    reply: Reply[Placement | NoPlacement] = Reply()
    message = PlaceRequest(
        progress.route,
        progress.service,
        progress.tried,
        progress.sends_arrived > 0,
        progress.origin is Origin.RETRIED_RUN,
        port.stop.remaining_s(port.send.guard.clock()),
        reply,
    )
    busy = NoPlacement(progress.service or "", "placer-busy")
    return await ask_or(port.send.placer, message, reply, busy)


def _new_job(port: FrontPort, incoming: IncomingRequest, progress: _Progress) -> Job:
    route = progress.route
    caller_timeout_s = (
        _DEFAULT_TIMEOUT_S
        if incoming.caller_timeout_s is None
        else incoming.caller_timeout_s
    )
    deadline = progress.received_at + min(caller_timeout_s, route.timeout_s)
    now = port.send.guard.clock()
    return Job(
        request_id=incoming.request_id,
        route=route.name,
        service=progress.service or "",
        caller=port.service.value,
        rank=_rank(port.send.guard.parents, incoming.request_id, progress),
        idempotent=route.idempotent,
        nested=progress.nested,
        is_retry=progress.sends_arrived > 0 or progress.origin is Origin.RETRIED_RUN,
        objective_at=progress.received_at + route.objective_s,
        deadline=latest_deadline(deadline, now, port.stop.remaining_s(now)),
        organisation=_organisation_name(progress),
    )


def _rank(parents: Parents, request_id: str, progress: _Progress) -> int:
    """Return the rank of the run that made the request, or else the request's own."""
    inherited = rank_of_parent(parents, request_id) if progress.nested else None
    if inherited is not None:
        return inherited
    organisation = progress.organisation
    own = None if organisation is None else organisation.rank
    return progress.route.rank if own is None else own


def _record_send(progress: _Progress, server: BackendServer, result: RunResult) -> None:
    progress.tried.append(server.address)
    if isinstance(result, Declined):
        progress.sends_declined += 1
        progress.sends_arrived += result.arrived
        if result.reason in _OVERLOAD_REASONS:
            progress.retry_s = result.retry_s
        progress.last_outcome = result.reason
    elif isinstance(result, Interrupted):
        progress.sends_arrived += 1
        progress.may_have_run = True
        progress.last_outcome = "expired" if result.expired else "broke"
    else:
        progress.sends_arrived += 1
        progress.last_outcome = "answered"
        if isinstance(result, Answer):
            progress.last_outcome = str(result.status)
            progress.answer = result
            progress.may_have_run = True
    progress.sends.append(f"{server.address}:{progress.last_outcome}")


def _is_retryable_failure(progress: _Progress, answer: Answer) -> bool:
    route = progress.route
    return (
        answer.status >= _MIN_FAILURE_STATUS
        and not answer.nested_call_failed
        and route.idempotent
        and progress.sends_arrived < route.max_attempts
    )


def _may_send_again(progress: _Progress, result: RunResult) -> bool:
    if isinstance(result, Interrupted) and (result.expired or result.quarantined):
        return False
    if isinstance(result, Declined) and result.reason is NotRun.TOO_LATE:
        return False
    if progress.may_have_run and not progress.route.idempotent:
        return False
    if progress.sends_arrived >= progress.route.max_attempts:
        return False
    return progress.sends_declined < MAX_DECLINED


def _final_result(progress: _Progress, result: RunResult | None = None) -> Result:
    if progress.answer is not None:
        return progress.answer
    if not progress.may_have_run:
        return Unanswered(Outcome.REFUSED, progress.last_outcome, progress.retry_s)
    if isinstance(result, Interrupted) and result.expired:
        return Unanswered(Outcome.EXPIRED, progress.last_outcome)
    return Unanswered(Outcome.FAILED, progress.last_outcome)


def _organisation_name(progress: _Progress | None) -> str:
    organisation = None if progress is None else progress.organisation
    return "" if organisation is None else organisation.name


def _log_result(
    port: FrontPort,
    incoming: IncomingRequest,
    version: int,
    progress: _Progress | None,
    result: Result,
    received_at: float,
) -> None:
    """Log a request.

    :param version: version of the configuration that its route was found in.
    """
    guard = port.send.guard
    fields: dict[str, object] = {
        "id": incoming.request_id,
        "route": "" if progress is None else progress.route.name,
        "version": version,
        "nested": progress is not None and progress.nested,
        "organisation": _organisation_name(progress),
        "took_ms": int((guard.clock() - received_at) * 1000),
        "sends": [] if progress is None else progress.sends,
    }
    if isinstance(result, Unanswered):
        fields |= {"outcome": result.outcome, "reason": result.reason}
        fields["retry_s"] = result.retry_s
        record = EventRecord(Event.REQUEST_FAILED, fields, Importance.FAILURE)
    else:
        fields["outcome"] = result.status if isinstance(result, Answer) else "passed"
        record = EventRecord(Event.REQUEST_ENDED, fields, Importance.ROUTINE)
    guard.trail.tell(record)
