"""Which request a backend server runs next, and which is refused at once.

It answers a service that is offered more than its slots can run. Nested work goes
first, as a running request waits for it, and slots are kept free for it: a flood of
long requests must not fill all slots while short nested ones time out behind them.
Other requests go by rank, with a small floor for each lane, so that none starves. A
request waits only while its answer can be in time.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from math import exp
from math import sqrt
from typing import final

from _masticspoke.decisions.fleet.model import Job
from _masticspoke.decisions.fleet.model import NotRun

# Part of the announced slots that is used; servers turn slow when nearly full.
SLOTS_USED = 0.95
# Longest expected wait, as a part of the time to the objective.
QUEUE_SHARE = 0.35
# Longest actual wait, as a part of the time to the objective.
EXPIRY_SHARE = 0.6
# A lane that waits is served at the latest after this many starts of other lanes.
LANE_FLOOR = 10
# Weight of the newest run in the smoothed time of a run.
RUN_WEIGHT = 0.05
# Time assumed of a run before any has ended, seconds.
UNKNOWN_RUN_S = 0.05
# A request needs this part of its usual time before the deadline to be worth starting.
NEEDED_PART = 0.6
# Shortest and longest Retry-After, seconds.
MIN_RETRY_S = 0.1
MAX_RETRY_S = 2.0

# Nested work of about this long a past decides how many slots are kept, seconds.
RESERVE_MEMORY_S = 1.5
# Slots kept beyond the mean need, in standard deviations of a random arrival.
RESERVE_DEVIATIONS = 2.0
# Largest part of the slots that is kept for nested work.
MAX_RESERVE = 0.85

NESTED = -1


@final
@dataclass(frozen=True, slots=True)
class Start:
    """The request may run now."""

    ticket: int


@final
@dataclass(frozen=True, slots=True)
class Refuse:
    """The request has not run and never will.

    :param retry_s: when room is expected.
    """

    ticket: int
    reason: NotRun
    retry_s: float


Verdict = Start | Refuse


@final
@dataclass(frozen=True, slots=True)
class _Waiting:
    ticket: int
    job: Job
    expires: float


@final
@dataclass(slots=True)
class _Lane:
    waiting: deque[_Waiting] = field(default_factory=deque)
    passed_over: int = 0


@final
@dataclass(slots=True)
class Queue:
    """Requests that run or wait at one backend server.

    :param slots: requests that the server says it runs at once.
    :param refusal_reason: why no new request is taken, if so.
    :param outer: requests among the running ones that are not nested.
    :param run_s: smoothed time of a run, by route.
    :param overall_run_s: the same over all routes.
    :param outer_run_s: the same over requests that are not nested.
    :param nested_need: smoothed slots that nested work needs, at ``nested_at``.
    """

    slots: int = 1
    refusal_reason: NotRun | None = NotRun.ABSENT
    running: dict[int, tuple[Job, float]] = field(default_factory=dict)
    lanes: dict[int, _Lane] = field(default_factory=dict)
    run_s: dict[str, float] = field(default_factory=dict)
    outer: int = 0
    overall_run_s: float = UNKNOWN_RUN_S
    outer_run_s: float = UNKNOWN_RUN_S
    nested_need: float = 0.0
    nested_at: float = 0.0

    @property
    def limit(self) -> int:
        """Requests that run at once."""
        return max(1, int(self.slots * SLOTS_USED))

    @property
    def queued(self) -> int:
        """Requests that wait."""
        return sum(len(lane.waiting) for lane in self.lanes.values())


def admit(queue: Queue, ticket: int, job: Job, now: float) -> Verdict | None:
    """Start, refuse or (``None``) queue a request.

    :param ticket: tells apart the requests at this server.
    """
    if queue.refusal_reason is not None:
        return Refuse(ticket, queue.refusal_reason, MIN_RETRY_S)
    usual_s = queue.run_s.get(job.route, queue.overall_run_s)
    if now + usual_s * NEEDED_PART > job.deadline:
        return Refuse(ticket, NotRun.TOO_LATE, MIN_RETRY_S)
    if job.nested:
        _record_nested(queue, usual_s, now)
    if _has_room(queue, job, now) and not _is_behind(queue, job):
        return _start(queue, ticket, job, now)
    wait_s = _expected_wait_s(queue, job, now)
    left_s = _time_left_s(job, now) - usual_s
    if wait_s > left_s * QUEUE_SHARE:
        return Refuse(ticket, NotRun.BUSY, _retry_s(wait_s))
    lane = queue.lanes.setdefault(_lane_of(job), _Lane())
    lane.waiting.append(_Waiting(ticket, job, now + left_s * EXPIRY_SHARE))
    return None


def finish(queue: Queue, ticket: int, ran: bool, now: float) -> list[Verdict]:
    """Take note of the end of a run, and return what may start or must be refused.

    :param ran: whether the time that it took counts.
    """
    found = queue.running.pop(ticket, None)
    if found is not None and not found[0].nested:
        queue.outer -= 1
    if found is not None and ran:
        job, started = found
        _learn(queue, job, now - started)
    return advance(queue, now)


def advance(queue: Queue, now: float) -> list[Verdict]:
    """Return which waiting requests start or are refused now."""
    verdicts: list[Verdict] = list(_expired(queue, now))
    while len(queue.running) < queue.limit:
        lane = _next_lane(queue, now)
        if lane is None:
            break
        waiting = lane.waiting.popleft()
        verdicts.append(_start(queue, waiting.ticket, waiting.job, now))
    return verdicts


def remove_waiting(queue: Queue, ticket: int) -> None:
    """Remove a request whose caller has left while it waited."""
    for lane in queue.lanes.values():
        for waiting in lane.waiting:
            if waiting.ticket == ticket:
                lane.waiting.remove(waiting)
                return


def refuse_all(queue: Queue, reason: NotRun) -> list[Verdict]:
    """Take no new request, and return the refusals of those that wait."""
    queue.refusal_reason = reason
    verdicts: list[Verdict] = []
    for lane in queue.lanes.values():
        verdicts += [Refuse(w.ticket, reason, MIN_RETRY_S) for w in lane.waiting]
        lane.waiting.clear()
    return verdicts


def next_expiry(queue: Queue) -> float | None:
    """Return when the next waiting request has to be refused."""
    times = [w.expires for lane in queue.lanes.values() for w in lane.waiting]
    return min(times, default=None)


def nested_wait_s(queue: Queue) -> float:
    """Return the wait that a nested request has to expect."""
    lane = queue.lanes.get(NESTED)
    waiting = len(lane.waiting) if lane is not None else 0
    busy = len(queue.running) / queue.limit
    return waiting * queue.overall_run_s / queue.limit + _fullness_s(busy, queue)


def _fullness_s(busy: float, queue: Queue) -> float:
    # Work in slots that can't be interrupted delays nested work before it queues.
    return max(0.0, busy - 0.9) * queue.overall_run_s


def _time_left_s(job: Job, now: float) -> float:
    until = job.deadline if job.nested else min(job.objective_at, job.deadline)
    return max(until, now) - now


def outer_limit(queue: Queue, now: float) -> int:
    """Return the slots that requests which are not nested may use at once."""
    age_s = max(0.0, now - queue.nested_at)
    need = queue.nested_need * exp(-age_s / RESERVE_MEMORY_S)
    reserve = round(need + RESERVE_DEVIATIONS * sqrt(need))
    return max(1, queue.limit - min(reserve, int(queue.limit * MAX_RESERVE)))


def _record_nested(queue: Queue, usual_s: float, now: float) -> None:
    age_s = max(0.0, now - queue.nested_at)
    queue.nested_need *= exp(-age_s / RESERVE_MEMORY_S)
    queue.nested_need += usual_s / RESERVE_MEMORY_S
    queue.nested_at = now


def _has_room(queue: Queue, job: Job, now: float) -> bool:
    if len(queue.running) >= queue.limit:
        return False
    return job.nested or queue.outer < outer_limit(queue, now)


def _is_behind(queue: Queue, job: Job) -> bool:
    mine = _lane_of(job)
    return any(
        lane.waiting and (number <= mine or not job.nested)
        for number, lane in queue.lanes.items()
    )


def _expected_wait_s(queue: Queue, job: Job, now: float) -> float:
    mine = _lane_of(job)
    ahead = sum(
        len(lane.waiting)
        for number, lane in queue.lanes.items()
        if number <= mine and (number == NESTED) == job.nested
    )
    if job.nested:
        return (ahead + 1) * queue.overall_run_s / queue.limit
    return (ahead + 1) * queue.outer_run_s / outer_limit(queue, now)


def _retry_s(wait_s: float) -> float:
    return min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s))


def _lane_of(job: Job) -> int:
    return NESTED if job.nested else job.rank


def _start(queue: Queue, ticket: int, job: Job, now: float) -> Start:
    queue.running[ticket] = (job, now)
    if not job.nested:
        queue.outer += 1
    return Start(ticket)


def _learn(queue: Queue, job: Job, run_s: float) -> None:
    known = queue.run_s.get(job.route, run_s)
    queue.run_s[job.route] = known + RUN_WEIGHT * (run_s - known)
    queue.overall_run_s += RUN_WEIGHT * (run_s - queue.overall_run_s)
    if not job.nested:
        queue.outer_run_s += RUN_WEIGHT * (run_s - queue.outer_run_s)


def _expired(queue: Queue, now: float) -> Iterator[Refuse]:
    for lane in queue.lanes.values():
        while lane.waiting and lane.waiting[0].expires <= now:
            ticket = lane.waiting.popleft().ticket
            yield Refuse(ticket, NotRun.BUSY, _retry_s(queue.overall_run_s))


def _next_lane(queue: Queue, now: float) -> _Lane | None:
    outer = queue.outer < outer_limit(queue, now)
    waiting = [
        queue.lanes[number]
        for number in sorted(queue.lanes)
        if queue.lanes[number].waiting and (outer or number == NESTED)
    ]
    if not waiting:
        return None
    starved = [lane for lane in waiting if lane.passed_over >= LANE_FLOOR]
    chosen = starved[0] if starved else waiting[0]
    for lane in waiting:
        lane.passed_over = 0 if lane is chosen else lane.passed_over + 1
    return chosen
