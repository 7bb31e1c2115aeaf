"""Conduct one request of a client or of the own backend server to its end."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from typing import final

from _masticspoke.decisions.fleet.lineage import Origin
from _masticspoke.decisions.fleet.lineage import origin_of
from _masticspoke.decisions.fleet.lineage import record_nested_failure
from _masticspoke.decisions.fleet.log_rate_limit import Importance
from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import Configuration
from _masticspoke.decisions.fleet.model import Job
from _masticspoke.decisions.fleet.model import NotRun
from _masticspoke.decisions.fleet.model import Route
from _masticspoke.decisions.fleet.routing import find_route
from _masticspoke.events import Event
from _masticspoke.fleet.guarding import Answer
from _masticspoke.fleet.guarding import Broke
from _masticspoke.fleet.guarding import Declined
from _masticspoke.fleet.guarding import RunResult
from _masticspoke.fleet.guarding import Sent
from _masticspoke.fleet.messages import NoPlace
from _masticspoke.fleet.messages import Place
from _masticspoke.fleet.messages import Placement
from _masticspoke.fleet.note import Note
from _masticspoke.fleet.sending import Outlet
from _masticspoke.fleet.sending import send
from _masticspoke.fleet.sending import SendPort
from _masticspoke.http_server import Streamed
from _masticspoke.model import Address
from _masticspoke.supervise.ask import ask_or
from _masticspoke.supervise.latest import Latest
from _masticspoke.supervise.mailbox import Reply

# Guards that are asked in turn when the first ones have no room.
MAX_DECLINED = 3
# Retry-After where no server takes work: about what a restart takes, seconds.
_RETRY_S = 1.0
# Reasons whose guards know when there is room.
_GUARD_KNOWS = frozenset({NotRun.BUSY, NotRun.PRESSURE, NotRun.SHED})
# A request without a deadline of its own gets this one, seconds.
_DEFAULT_BUDGET_S = 30.0


@final
class Ended(StrEnum):
    """How a request ended without an answer of a backend server.

    The first ones promise that it has not run and never will.
    """

    NOT_READY = "not-ready"
    NO_ROUTE = "no-route"
    REFUSED = "refused"
    FAILED = "failed"
    EXPIRED = "expired"


@final
@dataclass(frozen=True, slots=True)
class Unanswered:
    """A request that ended without an answer of a backend server.

    :param retry_s: when to come back, if that makes sense.
    """

    how: Ended
    reason: str
    retry_s: float | None = None


@final
@dataclass(frozen=True, slots=True)
class Asked:
    """What a caller asks for.

    :param budget_s: time that it waits; ``None`` if it did not say.
    """

    request_id: str
    host: str
    path: str
    budget_s: float | None


@final
@dataclass(frozen=True, slots=True)
class FrontPort:
    """What a request's task needs to conduct it.

    :param service: service of the backend server on this VM.
    """

    configuration: Latest[Configuration | None]
    send: SendPort
    service: Latest[str]


@final
@dataclass(slots=True)
class _Progress:
    """What has become of one request so far.

    :param tried: servers that it was sent to.
    :param arrived: sends that reached a backend server.
    :param declined: sends that a guard declined.
    :param answer: a failure of a backend server, kept while others are tried.
    """

    route: Route
    started: float
    origin: Origin
    service: str | None = None
    tried: list[Address] = field(default_factory=list)
    sends: list[str] = field(default_factory=list)
    arrived: int = 0
    declined: int = 0
    maybe_ran: bool = False
    retry_s: float = _RETRY_S
    last: str = ""
    answer: Answer | None = None

    @property
    def nested(self) -> bool:
        """Whether a request that runs here made it."""
        return self.origin is not Origin.CLIENT


Result = Answer | Streamed | Unanswered


async def conduct(
    port: FrontPort, asked: Asked, sent: Sent, outlet: Outlet, started: float
) -> Result:
    """Return the answer to a request, or why there is none.

    :param started: when the request arrived.
    """
    configuration = port.configuration.value
    if configuration is None:
        return Unanswered(Ended.NOT_READY, "no-configuration", _RETRY_S)
    route = find_route(configuration, asked.host, asked.path)
    if route is None:
        unknown = Unanswered(Ended.NO_ROUTE, "no-route")
        _note_end(port, asked, None, unknown, started)
        return unknown
    origin = origin_of(port.send.guard.parents, asked.request_id)
    progress = _Progress(route, started, origin)
    result = await _attempts(port, asked, progress, sent, outlet)
    if progress.nested and _lets_down(result):
        record_nested_failure(port.send.guard.parents, asked.request_id)
    _note_end(port, asked, progress, result, started)
    return result


def _lets_down(result: Result) -> bool:
    if isinstance(result, Answer):
        return result.status >= 500
    # A call that ran out of time may have met one slow server; a new run asks another.
    return isinstance(result, Unanswered) and result.how is not Ended.EXPIRED


async def _attempts(
    port: FrontPort, asked: Asked, progress: _Progress, sent: Sent, outlet: Outlet
) -> Result:
    while True:
        placed = await _place(port, progress)
        if isinstance(placed, NoPlace):
            progress.last = progress.last or placed.reason
            return _given_up(progress)
        progress.service = placed.server.service
        job = _job(port, asked, progress)
        result = await send(port.send, job, placed.server, sent, outlet)
        _record(progress, placed.server, result)
        if isinstance(result, Streamed):
            return result
        if isinstance(result, Answer) and not _worth_repeating(progress, result):
            return result
        if not _may_go_on(progress, result):
            return _given_up(progress, result)


async def _place(port: FrontPort, progress: _Progress) -> Placement | NoPlace:
    reply: Reply[Placement | NoPlace] = Reply()
    question = Place(
        progress.route,
        progress.service,
        progress.tried,
        progress.arrived > 0,
        progress.origin is Origin.REPEATED_RUN,
        reply,
    )
    busy = NoPlace(progress.service or "", "placer-busy")
    return await ask_or(port.send.placer, question, reply, busy)


def _job(port: FrontPort, asked: Asked, progress: _Progress) -> Job:
    route = progress.route
    budget_s = _DEFAULT_BUDGET_S if asked.budget_s is None else asked.budget_s
    return Job(
        request_id=asked.request_id,
        route=route.name,
        service=progress.service or "",
        caller=port.service.value,
        rank=route.rank,
        repeatable=route.repeatable,
        nested=progress.nested,
        repeat=progress.arrived > 0 or progress.origin is Origin.REPEATED_RUN,
        objective_at=progress.started + route.objective_s,
        deadline=progress.started + min(budget_s, route.timeout_s),
    )


def _record(progress: _Progress, server: BackendServer, result: RunResult) -> None:
    progress.tried.append(server.address)
    if isinstance(result, Declined):
        progress.declined += 1
        progress.arrived += result.arrived
        if result.reason in _GUARD_KNOWS:
            progress.retry_s = result.retry_s
        progress.last = result.reason
    elif isinstance(result, Broke):
        progress.arrived += 1
        progress.maybe_ran = True
        progress.last = "expired" if result.expired else "broke"
    else:
        progress.arrived += 1
        progress.last = "answered"
        if isinstance(result, Answer):
            progress.last = str(result.status)
            progress.answer = result
            progress.maybe_ran = True
    progress.sends.append(f"{server.address}:{progress.last}")


def _worth_repeating(progress: _Progress, answer: Answer) -> bool:
    route = progress.route
    return (
        answer.status >= 500
        and not answer.nested_call_failed
        and route.repeatable
        and progress.arrived < route.max_attempts
    )


def _may_go_on(progress: _Progress, result: RunResult) -> bool:
    if isinstance(result, Broke) and result.expired:
        return False
    if isinstance(result, Declined) and result.reason is NotRun.TOO_LATE:
        return False
    if progress.maybe_ran and not progress.route.repeatable:
        return False
    if progress.arrived >= progress.route.max_attempts:
        return False
    return progress.declined < MAX_DECLINED


def _given_up(progress: _Progress, result: RunResult | None = None) -> Result:
    if progress.answer is not None:
        return progress.answer
    if not progress.maybe_ran:
        return Unanswered(Ended.REFUSED, progress.last, progress.retry_s)
    if isinstance(result, Broke) and result.expired:
        return Unanswered(Ended.EXPIRED, progress.last)
    return Unanswered(Ended.FAILED, progress.last)


def _note_end(
    port: FrontPort,
    asked: Asked,
    progress: _Progress | None,
    result: Result,
    started: float,
) -> None:
    guard = port.send.guard
    configuration = port.configuration.value
    fields: dict[str, object] = {
        "id": asked.request_id,
        "route": "" if progress is None else progress.route.name,
        "version": 0 if configuration is None else configuration.version,
        "nested": progress is not None and progress.nested,
        "took_ms": int((guard.clock() - started) * 1000),
        "sends": [] if progress is None else progress.sends,
    }
    if isinstance(result, Unanswered):
        fields |= {"outcome": result.how, "reason": result.reason}
        fields["retry_s"] = result.retry_s
        note = Note(Event.REQUEST_FAILED, fields, Importance.FAILURE)
    else:
        fields["outcome"] = result.status if isinstance(result, Answer) else "passed"
        note = Note(Event.REQUEST_ENDED, fields, Importance.ROUTINE)
    guard.trail.tell(note)
