"""Queue of one backend server: which request runs next, and which is refused.

Handles overload. Nested requests run first, because a running request waits for each of
them. Slots are also reserved for them: otherwise a burst of long requests fills all
slots, and short nested requests time out behind them. Top-level requests (those that
are not nested) run in order of rank. Each rank has a lane (a FIFO queue) of its own, as
have the nested requests. A lane that has been passed over too often is served next, so
that none starves. A request is refused at once if its expected wait is too long, or
later if it has waited too long to be answered in time.

A run fails with any of the nested requests that it makes one after the other. Those of
one run therefore share a limit on the expected wait, which differs between runs:
overload then fails some runs early, and not nearly all of them at a late request.

If the server names a limit on the rate of its requests, they also wait for the rate.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from math import exp
from math import inf
from math import sqrt
from typing import final
from zlib import crc32

from _masticspoke.decisions.fleet import pacing
from _masticspoke.decisions.fleet.lineage import parent_id
from _masticspoke.decisions.fleet.model import Job
from _masticspoke.decisions.fleet.model import NotRun
from _masticspoke.decisions.fleet.pacing import Pace
from _masticspoke.decisions.fleet.pacing import PacePhase

# Fraction of the announced slots that is used; servers slow down when nearly all are.
USED_SLOTS_FRACTION = 0.95
# Largest expected wait, as a fraction of the slack: the time left until the objective
# or the deadline, whichever is earlier (for nested requests, the deadline), less the
# usual run time.
MAX_EXPECTED_WAIT_FRACTION = 0.35
# Lowest limit on the expected wait of a run's nested requests, as a fraction of the
# largest one.
MIN_NESTED_WAIT_FRACTION = 0.5
# Wait after which a request expires, as a fraction of the slack.
MAX_WAIT_FRACTION = 0.6
# Number of times that a waiting lane may be passed over; then it is served next.
MAX_PASSED_OVER = 10
# Weight of the newest run in the smoothed run times.
NEWEST_RUN_WEIGHT = 0.05
# Run time that is assumed until the first run has ended, seconds.
INITIAL_RUN_S = 0.05
# A request is refused if the time left until its deadline is less than this fraction of
# its usual run time.
MIN_RUN_FRACTION = 0.6
# Shortest and longest Retry-After, seconds.
MIN_RETRY_S = 0.1
MAX_RETRY_S = 2.0

# Time constant of the decay of the measured need for nested slots, seconds.
RESERVE_DECAY_S = 1.5
# Slots reserved beyond the mean need, in standard deviations of Poisson arrivals.
RESERVE_DEVIATIONS = 2.0
# Largest fraction of the slots, and of a limited rate, that is reserved for nested
# requests.
MAX_RESERVED_FRACTION = 0.85

# Number of the nested requests' lane. The lanes of ranks have the numbers of the ranks,
# from 0; lower lanes start first.
NESTED_LANE = -1


@final
@dataclass(frozen=True, slots=True)
class Start:
    """The request may run now."""

    ticket: int


@final
@dataclass(frozen=True, slots=True)
class Refuse:
    """The request has not run and will not run.

    :param retry_s: time after which the caller may retry.
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
    expires_at: float


@final
@dataclass(slots=True)
class _Lane:
    waiting: deque[_Waiting] = field(default_factory=deque)
    passed_over: int = 0


@final
@dataclass(slots=True)
class Queue:
    """Running and waiting requests of one backend server.

    :param slots: largest number of concurrent requests that the server announces.
    :param refusal_reason: why every new request is refused; ``None`` if :func:`admit`
        decides on each.
    :param running: each running request and the time of its start, by ticket.
    :param lanes: waiting requests by rank; nested ones are in :data:`NESTED_LANE`.
    :param run_s: smoothed run time by route.
    :param running_top_level: number of running requests that are not nested.
    :param overall_run_s: smoothed run time over all routes.
    :param top_level_run_s: smoothed run time of requests that are not nested.
    :param earliest_expiry: no waiting request expires before this time; infinite if
        none waits.
    :param nested_slots_needed: smoothed number of slots that nested requests need
        (arrival rate times run time), as of ``nested_updated_at``.
    :param nested_per_s: smoothed arrival rate of nested requests, as of then.
    :param pace: pace of the requests to the server.
    """

    slots: int = 1
    refusal_reason: NotRun | None = NotRun.ABSENT
    running: dict[int, tuple[Job, float]] = field(default_factory=dict)
    lanes: dict[int, _Lane] = field(default_factory=dict)
    run_s: dict[str, float] = field(default_factory=dict)
    running_top_level: int = 0
    overall_run_s: float = INITIAL_RUN_S
    top_level_run_s: float = INITIAL_RUN_S
    earliest_expiry: float = inf
    nested_slots_needed: float = 0.0
    nested_per_s: float = 0.0
    nested_updated_at: float = 0.0
    pace: Pace = field(default_factory=lambda: Pace(PacePhase.FREE))

    @property
    def limit(self) -> int:
        """Largest number of requests that run concurrently."""
        return max(1, int(self.slots * USED_SLOTS_FRACTION))

    @property
    def queued(self) -> int:
        """Number of waiting requests."""
        return sum(len(lane.waiting) for lane in self.lanes.values())


def admit(queue: Queue, ticket: int, job: Job, now: float) -> Verdict | None:
    """Start or refuse a request, or queue it and return ``None``.

    :param ticket: identifies the request at this server.
    """
    if queue.refusal_reason is not None:
        return Refuse(ticket, queue.refusal_reason, MIN_RETRY_S)
    usual_run_s = queue.run_s.get(job.route, queue.overall_run_s)
    if now + usual_run_s * MIN_RUN_FRACTION > job.deadline:
        return Refuse(ticket, NotRun.TOO_LATE, MIN_RETRY_S)
    if job.nested:
        _record_nested_arrival(queue, usual_run_s, now)
    if _has_free_slot(queue, job, now) and not _must_wait_behind_others(queue, job):
        return _start(queue, ticket, job, now)
    wait_s = _expected_wait_s(queue, job, now)
    slack_s = _time_left_s(job, now) - usual_run_s
    if wait_s > slack_s * _max_wait_fraction(job):
        return Refuse(ticket, NotRun.BUSY, _retry_s(wait_s))
    lane = queue.lanes.setdefault(_lane_number(job), _Lane())
    expires_at = now + slack_s * MAX_WAIT_FRACTION
    lane.waiting.append(_Waiting(ticket, job, expires_at))
    queue.earliest_expiry = min(queue.earliest_expiry, expires_at)
    return None


def finish(
    queue: Queue, ticket: int, ran: bool, now: float, succeeded: bool = True
) -> list[Verdict]:
    """Record the end of a run, and return the verdicts on waiting requests.

    If no run has this ticket, only the verdicts are returned.

    :param ran: whether the backend server answered, so that the run time counts.
    :param succeeded: whether the run didn't fail with a nested request. Only then does
        its time count as usual for its route: a run that failed ended early, or late.
    """
    ended = queue.running.pop(ticket, None)
    if ended is not None and not ended[0].nested:
        queue.running_top_level -= 1
    if ended is not None and ran:
        job, started = ended
        _record_run_time(queue, job, now - started, succeeded)
    return advance(queue, now)


def advance(queue: Queue, now: float) -> list[Verdict]:
    """Refuse expired requests, and start others in free slots.

    :return: the verdicts on these requests.
    """
    verdicts: list[Verdict] = []
    if queue.earliest_expiry <= now:
        verdicts += _refuse_expired(queue, now)
    while len(queue.running) < queue.limit and pacing.may_start(
        queue.pace, len(queue.running), now
    ):
        lane = _next_lane(queue, now)
        if lane is None:
            break
        waiting = lane.waiting.popleft()
        verdicts.append(_start(queue, waiting.ticket, waiting.job, now))
    return verdicts


def remove_waiting(queue: Queue, ticket: int) -> None:
    """Remove a waiting request whose caller has disconnected."""
    for lane in queue.lanes.values():
        for waiting in lane.waiting:
            if waiting.ticket == ticket:
                lane.waiting.remove(waiting)
                return


def refuse_all(queue: Queue, reason: NotRun) -> list[Verdict]:
    """Refuse all waiting requests, and new ones until ``refusal_reason`` is reset."""
    queue.refusal_reason = reason
    verdicts: list[Verdict] = []
    for lane in queue.lanes.values():
        verdicts += [Refuse(w.ticket, reason, MIN_RETRY_S) for w in lane.waiting]
        lane.waiting.clear()
    queue.earliest_expiry = inf
    return verdicts


def next_expiry(queue: Queue) -> float | None:
    """Return a time before which no waiting request expires; ``None`` if none waits.

    After :func:`advance`, it has not passed.
    """
    return None if queue.earliest_expiry == inf else queue.earliest_expiry


def next_start(queue: Queue, now: float) -> float | None:
    """Return the time at which the rate allows the next start of a waiting request.

    ``None`` if none waits, or if none waits for the rate.
    """
    wait_s = pacing.start_wait_s(queue.pace, now)
    return now + wait_s if wait_s and queue.queued else None


def capacity(queue: Queue, now: float) -> tuple[int, float]:
    """Return how many requests the server can run at a time, and for how long each.

    With a limited rate, both are such that senders who place by them expect the rate.
    """
    rate = pacing.rate(queue.pace, now)
    if rate is None or rate * queue.overall_run_s >= queue.limit:
        return queue.limit, queue.overall_run_s
    limit = max(1, int(rate * queue.overall_run_s))
    return limit, limit / rate


def nested_wait_s(queue: Queue, now: float) -> float:
    """Return the expected wait of a new nested request, seconds."""
    lane = queue.lanes.get(NESTED_LANE)
    waiting = len(lane.waiting) if lane is not None else 0
    limit, run_s = capacity(queue, now)
    utilisation = len(queue.running) / queue.limit
    return waiting * run_s / limit + _full_slots_wait_s(utilisation, queue)


def _full_slots_wait_s(utilisation: float, queue: Queue) -> float:
    # Runs can't be interrupted, so nested requests are delayed once nearly all slots
    # are in use, before any of them queues.
    return max(0.0, utilisation - 0.9) * queue.overall_run_s


def _time_left_s(job: Job, now: float) -> float:
    due_at = job.deadline if job.nested else min(job.objective_at, job.deadline)
    return max(due_at, now) - now


def top_level_limit(queue: Queue, now: float) -> int:
    """Return how many slots top-level requests may use."""
    age_s = max(0.0, now - queue.nested_updated_at)
    needed = queue.nested_slots_needed * exp(-age_s / RESERVE_DECAY_S)
    reserve = round(needed + RESERVE_DEVIATIONS * sqrt(needed))
    return max(1, queue.limit - min(reserve, int(queue.limit * MAX_RESERVED_FRACTION)))


def _record_nested_arrival(queue: Queue, usual_run_s: float, now: float) -> None:
    age_s = max(0.0, now - queue.nested_updated_at)
    decay = exp(-age_s / RESERVE_DECAY_S)
    queue.nested_slots_needed *= decay
    queue.nested_slots_needed += usual_run_s / RESERVE_DECAY_S
    queue.nested_per_s = queue.nested_per_s * decay + 1.0 / RESERVE_DECAY_S
    queue.nested_updated_at = now


def _has_free_slot(queue: Queue, job: Job, now: float) -> bool:
    if len(queue.running) >= queue.limit:
        return False
    if not pacing.may_start(queue.pace, len(queue.running), now):
        return False
    return job.nested or _has_top_level_room(queue, now)


def _has_top_level_room(queue: Queue, now: float) -> bool:
    limit = top_level_limit(queue, now)
    most = pacing.max_top_level_runs(queue.pace)
    return queue.running_top_level < (limit if most is None else min(limit, most))


def _must_wait_behind_others(queue: Queue, job: Job) -> bool:
    own_lane = _lane_number(job)
    return any(
        lane.waiting and (number <= own_lane or not job.nested)
        for number, lane in queue.lanes.items()
    )


def _expected_wait_s(queue: Queue, job: Job, now: float) -> float:
    own_lane = _lane_number(job)
    ahead = sum(
        len(lane.waiting)
        for number, lane in queue.lanes.items()
        if number <= own_lane and (number == NESTED_LANE) == job.nested
    )
    if job.nested:
        wait_s = (ahead + 1) * queue.overall_run_s / queue.limit
    else:
        wait_s = (ahead + 1) * queue.top_level_run_s / top_level_limit(queue, now)
    rate = pacing.rate(queue.pace, now)
    if rate is None:
        return wait_s
    return max(wait_s, (ahead + 1) / _rate_for(queue, job, rate, now))


def _rate_for(queue: Queue, job: Job, rate: float, now: float) -> float:
    """Return the part of a limited rate that is left for requests like ``job``."""
    if job.nested:
        return rate
    age_s = max(0.0, now - queue.nested_updated_at)
    nested_per_s = queue.nested_per_s * exp(-age_s / RESERVE_DECAY_S)
    return rate - min(nested_per_s, rate * MAX_RESERVED_FRACTION)


def _max_wait_fraction(job: Job) -> float:
    """Return the largest expected wait with which a job is queued, as a fraction."""
    if not job.nested:
        return MAX_EXPECTED_WAIT_FRACTION
    lot = crc32(parent_id(job.request_id).encode()) / 2**32
    part = MIN_NESTED_WAIT_FRACTION + (1.0 - MIN_NESTED_WAIT_FRACTION) * lot
    return MAX_EXPECTED_WAIT_FRACTION * part


def _retry_s(wait_s: float) -> float:
    return min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s))


def _lane_number(job: Job) -> int:
    return NESTED_LANE if job.nested else job.rank


def _start(queue: Queue, ticket: int, job: Job, now: float) -> Start:
    queue.running[ticket] = (job, now)
    pacing.record_start(queue.pace, now)
    if not job.nested:
        queue.running_top_level += 1
    return Start(ticket)


def _record_run_time(queue: Queue, job: Job, run_s: float, succeeded: bool) -> None:
    if succeeded:
        smoothed_s = queue.run_s.get(job.route, run_s)
        queue.run_s[job.route] = smoothed_s + NEWEST_RUN_WEIGHT * (run_s - smoothed_s)
    queue.overall_run_s += NEWEST_RUN_WEIGHT * (run_s - queue.overall_run_s)
    if not job.nested:
        queue.top_level_run_s += NEWEST_RUN_WEIGHT * (run_s - queue.top_level_run_s)


def _refuse_expired(queue: Queue, now: float) -> list[Refuse]:
    expired: list[_Waiting] = []
    for lane in queue.lanes.values():
        expired += [w for w in lane.waiting if w.expires_at <= now]
        lane.waiting = deque(w for w in lane.waiting if w.expires_at > now)
    times = [w.expires_at for lane in queue.lanes.values() for w in lane.waiting]
    queue.earliest_expiry = min(times, default=inf)
    retry_s = _retry_s(queue.overall_run_s)
    return [Refuse(w.ticket, NotRun.BUSY, retry_s) for w in expired]


def _next_lane(queue: Queue, now: float) -> _Lane | None:
    top_level_allowed = _has_top_level_room(queue, now)
    waiting = [
        queue.lanes[number]
        for number in sorted(queue.lanes)
        if queue.lanes[number].waiting and (top_level_allowed or number == NESTED_LANE)
    ]
    if not waiting:
        return None
    starved = [lane for lane in waiting if lane.passed_over >= MAX_PASSED_OVER]
    chosen = starved[0] if starved else waiting[0]
    for lane in waiting:
        lane.passed_over = 0 if lane is chosen else lane.passed_over + 1
    return chosen
