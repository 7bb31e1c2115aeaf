"""The gate: admission control for the local backend server; owns its queue and slots.

Each request waits for the gate's verdict before it runs at the backend server.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from typing import final

from _masticspoke.decisions.fleet import pacing
from _masticspoke.decisions.fleet import queueing
from _masticspoke.decisions.fleet import run_outcomes
from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import GuardLoad
from _masticspoke.decisions.fleet.model import NotRun
from _masticspoke.decisions.fleet.model import Phase
from _masticspoke.decisions.fleet.pacing import Pace
from _masticspoke.decisions.fleet.pacing import PacePhase
from _masticspoke.decisions.fleet.queueing import Queue
from _masticspoke.decisions.fleet.queueing import Refuse
from _masticspoke.decisions.fleet.queueing import Start
from _masticspoke.decisions.fleet.queueing import Verdict
from _masticspoke.decisions.fleet.run_outcomes import RunOutcome
from _masticspoke.decisions.fleet.run_outcomes import RunOutcomes
from _masticspoke.decisions.fleet.throttle import adjust
from _masticspoke.decisions.fleet.throttle import admits
from _masticspoke.decisions.fleet.throttle import Throttle
from _masticspoke.events import Event
from _masticspoke.fleet.guard import limit_learning
from _masticspoke.fleet.guard.limit_learning import LimitLearning
from _masticspoke.fleet.guard.messages import Admit
from _masticspoke.fleet.guard.messages import AskActiveCount
from _masticspoke.fleet.guard.messages import BackendAnswered
from _masticspoke.fleet.guard.messages import BackendUnreachable
from _masticspoke.fleet.guard.messages import DownstreamPressure
from _masticspoke.fleet.guard.messages import GuardState
from _masticspoke.fleet.guard.messages import LocalBackendState
from _masticspoke.fleet.guard.messages import RequestNotRun
from _masticspoke.fleet.guard.messages import RunEnded
from _masticspoke.fleet.guard.messages import StopAdmitting
from _masticspoke.fleet.reporting.counts import TrailMessage
from _masticspoke.fleet.reporting.event_record import EventRecord
from _masticspoke.supervise.latest import Latest
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply
from _masticspoke.supervise.server import Handlers
from _masticspoke.supervise.server import serve_at_once
from _masticspoke.supervise.supervisor import Clock

GateMessage = (
    Admit
    | RunEnded
    | RequestNotRun
    | LocalBackendState
    | BackendUnreachable
    | BackendAnswered
    | DownstreamPressure
    | StopAdmitting
    | AskActiveCount
)
# Retry-After of requests refused for downstream pressure.
_PRESSURE_RETRY_S = 0.7


@final
@dataclass(slots=True)
class GateState:
    """State of the gate's task, which outlives a crash of the task.

    Requests that run or wait are still there after a crash, and a node that is stopping
    still is.

    :param published: where the gate publishes the local backend server and its load.
    :param throttle: admitted fraction of the requests that are not nested, by rank.
    :param outcomes: outcomes of the runs by route, which limit how many run at a time.
    :param replies: pending replies to the waiting requests, by ticket.
    :param server: the local backend server; ``None`` until it is known.
    :param downstream_pressure_s: latest value that the placer reported.
    :param learning: what is known of the limit and speed of the local backend server.
    :param stopping: whether the node is stopping, so that waiting and new
        requests are refused.
    """

    published: Latest[GuardState]
    trail: Mailbox[TrailMessage]
    queue: Queue = field(default_factory=Queue)
    throttle: Throttle = field(default_factory=Throttle)
    outcomes: RunOutcomes = field(default_factory=RunOutcomes)
    replies: dict[int, Reply[Verdict]] = field(default_factory=dict)
    server: BackendServer | None = None
    downstream_pressure_s: float = 0.0
    learning: LimitLearning = field(default_factory=LimitLearning)
    stopping: bool = False


def gate(inbox: Mailbox[GateMessage], state: GateState, clock: Clock) -> ChildBody:
    """Return the body of the gate's task."""

    async def run(life: Lifecycle) -> None:
        await serve_at_once(
            inbox,
            state,
            _HANDLERS,
            clock,
            life,
            wait_s=_wait_s,
            on_timer=_advance_queue,
        )

    return run


def _admit(state: GateState, message: Admit, now: float) -> None:
    job = message.job
    if job.service != _own_service(state):
        reason = NotRun.ABSENT if state.server is None else NotRun.MOVED
        refusal = Refuse(message.ticket, reason, queueing.MIN_RETRY_S)
        message.reply.answer(refusal)
        return
    limit_learning.update_limit(state.learning, state.queue, now)
    learns = state.learning.limit is not None
    state.queue.lanes.ranks_nested = learns
    if not job.nested and not (
        (not learns or run_outcomes.admits(state.outcomes, job, now))
        and admits(state.throttle, job.rank, now)
    ):
        refusal = Refuse(message.ticket, NotRun.PRESSURE, _PRESSURE_RETRY_S)
        message.reply.answer(refusal)
        return
    verdict = _admit_to_queue(state, message, now)
    if learns and not isinstance(verdict, Refuse):
        run_outcomes.record_admitted(state.outcomes, message.ticket, job, now)
    if verdict is None:
        state.replies[message.ticket] = message.reply
        return
    if isinstance(verdict, Start):
        limit_learning.record_start(state.learning, state.queue, message.ticket, now)
    message.reply.answer(verdict)


def _admit_to_queue(state: GateState, message: Admit, now: float) -> Verdict | None:
    queue, job = state.queue, message.job
    trials = queue.trials.count
    verdict = queueing.admit(queue, message.ticket, job, now)
    if queue.trials.count != trials:
        fields = {
            "id": job.request_id,
            "route": job.route,
            "left_s": round(job.deadline - now, 3),
            "usual_run_s": round(queue.run_s.get(job.route, queue.overall_run_s), 3),
            "known": job.route in queue.run_s,
        }
        state.trail.tell(EventRecord(Event.RUN_TRIED, fields))
    return verdict


def _own_service(state: GateState) -> str | None:
    return None if state.server is None else state.server.service


def _run_ended(state: GateState, message: RunEnded, now: float) -> None:
    ticket, outcome = message.ticket, message.outcome
    _, started_at = state.queue.running.get(ticket, (None, now))
    run_outcomes.record_end(state.outcomes, ticket, outcome, now - started_at, now)
    _finish(state, message, now)


def _request_not_run(state: GateState, message: RequestNotRun, now: float) -> None:
    run_outcomes.record_end(state.outcomes, message.ticket, RunOutcome.OTHER, 0.0, now)
    if state.replies.pop(message.ticket, None) is not None:
        queueing.remove_waiting(state.queue, message.ticket)
    _finish(state, RunEnded(message.ticket, answered=False), now)


def _finish(state: GateState, end: RunEnded, now: float) -> None:
    learning, queue = state.learning, state.queue
    limit_learning.record_end(
        learning, queue, end.ticket, end.shows_speed, state.trail, now
    )
    limit_learning.update_limit(learning, queue, now)
    succeeded = end.outcome is not RunOutcome.WASTED
    failed = end.outcome is not RunOutcome.SUCCEEDED
    verdicts = queueing.finish(queue, end.ticket, end.answered, now, succeeded, failed)
    _send_verdicts(state, verdicts, now)
    _publish(state, now)


def _local_backend_state(
    state: GateState, message: LocalBackendState, now: float
) -> None:
    previous = state.server
    state.server = message.server
    state.queue.slots = message.server.slots
    if previous is None and not message.has_just_started:
        state.queue.pace = Pace(PacePhase.UNCONFIRMED)
    elif previous is not None and _is_another_start(previous, message.server):
        state.queue.pace = Pace(PacePhase.FREE)
        limit_learning.reset(state.learning, state.queue)
    limit_learning.update_limit(state.learning, state.queue, now)
    _publish(state, now)
    if state.stopping:
        return
    if message.server.phase is not Phase.READY:
        _refuse_all(state, NotRun.LEAVING, now)
        return
    if state.queue.refusal_reason is not None:
        _log_admission_change(
            state, Event.ADMISSION_STARTED, message.server.instance, ""
        )
    if previous is not None and previous.instance != message.server.instance:
        state.queue.run_s.clear()
        state.queue.trials.refused_since.clear()
    state.queue.refusal_reason = None


def _is_another_start(previous: BackendServer, server: BackendServer) -> bool:
    return (previous.instance, previous.born_ms) != (server.instance, server.born_ms)


def _backend_answered(state: GateState, message: BackendAnswered, now: float) -> None:
    if state.server is None or _is_another_start(state.server, message.server):
        return
    if message.notice.slowdown is not None:
        state.learning.slowdown = message.notice.slowdown
        _publish(state, now)
    pace = state.queue.pace
    before = pacing.rate(pace, now)
    limit = message.notice.rate_limit
    if not pacing.record_answer(pace, limit, message.sent_at, now):
        return
    if limit is not None or before is not None:
        fields = {
            "instance": message.server.instance,
            "limit": limit,
            "before": before,
            "phase": pace.phase.value,
            "running": len(state.queue.running),
            "waiting": state.queue.queued,
        }
        state.trail.tell(EventRecord(Event.RATE_LIMIT_CHANGED, fields))
    _advance_queue(state, now)
    _publish(state, now)


def _backend_unreachable(
    state: GateState, message: BackendUnreachable, now: float
) -> None:
    if state.server is not None and not _is_another_start(state.server, message.server):
        _refuse_all(state, NotRun.ABSENT, now)


def _refuse_all(state: GateState, reason: NotRun, now: float) -> None:
    if state.queue.refusal_reason is not reason:
        instance = "" if state.server is None else state.server.instance
        _log_admission_change(state, Event.ADMISSION_STOPPED, instance, reason)
    _send_verdicts(state, queueing.refuse_all(state.queue, reason), now)


def _log_admission_change(
    state: GateState, event: Event, instance: str, reason: str
) -> None:
    fields = {
        "instance": instance,
        "reason": reason,
        "running": len(state.queue.running),
        "waiting": state.queue.queued,
    }
    state.trail.tell(EventRecord(event, fields))


def _downstream_pressure(
    state: GateState, message: DownstreamPressure, now: float
) -> None:
    state.downstream_pressure_s = message.pressure_s
    adjust(state.throttle, message.pressure_s, now)
    run_outcomes.record_pressure(state.outcomes, message.pressure_s, now)
    _publish(state, now)


def _stop_admitting(state: GateState, message: StopAdmitting, now: float) -> None:
    state.stopping = True
    _refuse_all(state, NotRun.LEAVING, now)


def _ask_active_count(state: GateState, message: AskActiveCount, now: float) -> None:
    message.reply.answer(len(state.queue.running) + state.queue.queued)


def _send_verdicts(state: GateState, verdicts: Iterable[Verdict], now: float) -> None:
    for verdict in verdicts:
        if isinstance(verdict, Start):
            limit_learning.record_start(
                state.learning, state.queue, verdict.ticket, now
            )
        reply = state.replies.pop(verdict.ticket, None)
        if reply is not None:
            reply.answer(verdict)


def _advance_queue(state: GateState, now: float) -> None:
    limit_learning.update_limit(state.learning, state.queue, now)
    _send_verdicts(state, queueing.advance(state.queue, now), now)


def _publish(state: GateState, now: float) -> None:
    queue = state.queue
    limit, run_s = queueing.capacity(queue, now)
    load = GuardLoad(
        running=len(queue.running),
        queued=queue.queued,
        limit=limit,
        run_s=run_s,
        pressure_s=queueing.nested_wait_s(queue, now) + state.downstream_pressure_s,
        slowdown=state.learning.slowdown or 1.0,
    )
    needs_answers = queue.pace.phase is not PacePhase.FREE
    rate = pacing.rate(queue.pace, now)
    state.published.tell(
        GuardState(
            state.server,
            load,
            needs_answers,
            rate,
            state.learning.slowdown,
            run_outcomes.route_limits(state.outcomes),
            state.learning.state,
        )
    )


def _wait_s(state: GateState, now: float) -> float | None:
    expiry = queueing.next_expiry(state.queue)
    start = queueing.next_start(state.queue, now)
    times = [time for time in (expiry, start) if time is not None]
    return max(0.0, min(times) - now) if times else None


_HANDLERS: Handlers[GateState] = {
    Admit: _admit,
    RunEnded: _run_ended,
    RequestNotRun: _request_not_run,
    LocalBackendState: _local_backend_state,
    BackendUnreachable: _backend_unreachable,
    BackendAnswered: _backend_answered,
    DownstreamPressure: _downstream_pressure,
    StopAdmitting: _stop_admitting,
    AskActiveCount: _ask_active_count,
}
