"""Queue of one backend server: which request runs next, and which is refused.

Handles overload. Nested requests run first, because a running request waits for each of
them. Slots are also reserved for them: otherwise a burst of long requests fills all
slots, and short nested requests time out behind them. Top-level requests (those that
are not nested) run in order of rank. A request is refused at once if its expected wait
is too long, or later if it has waited too long to be answered in time.

A run fails with any of the nested requests that it makes one after the other. Those of
one run therefore share a limit on the expected wait, which differs between runs:
overload then fails some runs early, and not nearly all of them at a late request.

If the server names a limit on the rate of its requests, they also wait for the rate.

A request that could run but for the usual run time of its route runs all the same from
time to time, since the usual time may be wrong and only a run corrects it.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from math import inf
from typing import final
from zlib import crc32

from _masticspoke.decisions.fleet import nested_reserve
from _masticspoke.decisions.fleet import pacing
from _masticspoke.decisions.fleet import trials
from _masticspoke.decisions.fleet import waiting_lanes
from _masticspoke.decisions.fleet.lineage import parent_id
from _masticspoke.decisions.fleet.model import Job
from _masticspoke.decisions.fleet.model import NotRun
from _masticspoke.decisions.fleet.nested_reserve import Reserve
from _masticspoke.decisions.fleet.pacing import Pace
from _masticspoke.decisions.fleet.pacing import PacePhase
from _masticspoke.decisions.fleet.trials import Trials
from _masticspoke.decisions.fleet.waiting_lanes import Lanes
from _masticspoke.decisions.fleet.waiting_lanes import Waiting

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
# Weight of the newest run in the smoothed run times.
NEWEST_RUN_WEIGHT = 0.05
# Weight of a run that succeeded in a time which by the usual one was too short for it.
REFUTING_RUN_WEIGHT = 0.5
# Run time that is assumed until the first run has ended, seconds.
INITIAL_RUN_S = 0.05
# A request is refused if the time left until its deadline is less than this fraction of
# its usual run time.
MIN_RUN_FRACTION = 0.6
# Shortest and longest Retry-After, seconds.
MIN_RETRY_S = 0.1
MAX_RETRY_S = 2.0


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
    :param usual_run_s: usual run time by which it was refused; ``None`` if that did not
        matter.
    """

    ticket: int
    reason: NotRun
    retry_s: float
    usual_run_s: float | None = None


Verdict = Start | Refuse


@final
@dataclass(slots=True)
class Queue:
    """Running and waiting requests of one backend server.

    :param slots: largest number of concurrent requests that the server announces.
    :param refusal_reason: why every new request is refused; ``None`` if :func:`admit`
        decides on each.
    :param running: each running request and the time of its start, by ticket.
    :param lanes: waiting requests.
    :param run_s: smoothed run time by route.
    :param running_top_level: number of running requests that are not nested.
    :param overall_run_s: smoothed run time over all routes.
    :param top_level_run_s: smoothed run time of requests that are not nested.
    :param reserve: need of nested requests.
    :param pace: pace of the requests to the server.
    :param learned_limit: requests that the server takes well at a time; ``None`` if
        only its slots are known.
    :param trials: runs that may correct the run times.
    """

    slots: int = 1
    refusal_reason: NotRun | None = NotRun.ABSENT
    running: dict[int, tuple[Job, float]] = field(default_factory=dict)
    lanes: Lanes = field(default_factory=Lanes)
    run_s: dict[str, float] = field(default_factory=dict)
    running_top_level: int = 0
    overall_run_s: float = INITIAL_RUN_S
    top_level_run_s: float = INITIAL_RUN_S
    reserve: Reserve = field(default_factory=Reserve)
    pace: Pace = field(default_factory=lambda: Pace(PacePhase.FREE))
    learned_limit: int | None = None
    trials: Trials = field(default_factory=Trials)

    @property
    def announced_limit(self) -> int:
        """Largest number of requests that the announced slots allow."""
        return max(1, int(self.slots * USED_SLOTS_FRACTION))

    @property
    def limit(self) -> int:
        """Largest number of requests that run concurrently."""
        announced, learned = self.announced_limit, self.learned_limit
        return announced if learned is None else min(announced, learned)

    @property
    def queued(self) -> int:
        """Number of waiting requests."""
        return self.lanes.waiting


def admit(queue: Queue, ticket: int, job: Job, now: float) -> Verdict | None:
    """Start or refuse a request, or queue it and return ``None``.

    :param ticket: identifies the request at this server.
    """
    if queue.refusal_reason is not None:
        return Refuse(ticket, queue.refusal_reason, MIN_RETRY_S)
    usual_run_s = queue.run_s.get(job.route, queue.overall_run_s)
    is_late = now + usual_run_s * MIN_RUN_FRACTION > job.deadline
    if is_late and not _is_trial_due(queue, job, now):
        return Refuse(ticket, NotRun.TOO_LATE, MIN_RETRY_S, usual_run_s)
    if job.nested:
        nested_reserve.record_arrival(queue.reserve, usual_run_s, now)
    must_wait = waiting_lanes.must_wait_behind_others(queue.lanes, job)
    if _has_free_slot(queue, job, now) and not must_wait:
        return _start(queue, ticket, job, now, is_trial=is_late)
    wait_s = _expected_wait_s(queue, job, now)
    time_left_s = _time_left_s(job, now)
    slack_s = time_left_s - usual_run_s
    is_trial = is_late or (slack_s <= 0.0 and _is_trial_due(queue, job, now))
    if is_trial:
        slack_s = time_left_s
    if wait_s > slack_s * _max_wait_fraction(job):
        return Refuse(ticket, NotRun.BUSY, _retry_s(wait_s), usual_run_s)
    if is_trial:
        trials.record_trial(queue.trials, job.route, job.deadline, now)
    expires_at = now + slack_s * MAX_WAIT_FRACTION
    waiting_lanes.enqueue(queue.lanes, ticket, job, expires_at, usual_run_s)
    return None


def _is_trial_due(queue: Queue, job: Job, now: float) -> bool:
    """Return whether a request may run against the usual run time of its route."""
    if now >= job.deadline:
        return False
    estimated = job.route in queue.run_s
    return trials.is_due(queue.trials, job.route, now, estimated=estimated)


def finish(
    queue: Queue,
    ticket: int,
    ran: bool,
    now: float,
    succeeded: bool = True,
    failed: bool = False,
) -> list[Verdict]:
    """Record the end of a run, and return the verdicts on waiting requests.

    If no run has this ticket, only the verdicts are returned.

    :param ran: whether the backend server answered, so that the run time counts.
    :param succeeded: whether the run didn't fail with a nested request. Only then does
        its time count as usual for its route: a run that failed ended early, or late.
    :param failed: whether the answer is a failure of the server's own. Such a run shows
        nothing against a usual time by which it was too late.
    """
    ended = queue.running.pop(ticket, None)
    if ended is not None and not ended[0].nested:
        queue.running_top_level -= 1
    if ended is not None:
        trials.record_end(queue.trials, ended[0].route, now)
    if ended is not None and ran:
        job, started = ended
        _record_run_time(queue, job, started, now, succeeded, failed)
    return advance(queue, now)


def advance(queue: Queue, now: float) -> list[Verdict]:
    """Refuse expired requests, and start others in free slots.

    :return: the verdicts on these requests.
    """
    verdicts: list[Verdict] = []
    retry_s = _retry_s(queue.overall_run_s)
    verdicts += _refusals(
        waiting_lanes.remove_expired(queue.lanes, now), NotRun.BUSY, retry_s
    )
    limit = queue.limit
    while len(queue.running) < limit and pacing.may_start(
        queue.pace, len(queue.running), now
    ):
        room = _has_top_level_room(queue, now)
        waiting = waiting_lanes.dequeue(queue.lanes, room)
        if waiting is None:
            break
        verdicts.append(_start(queue, waiting.ticket, waiting.job, now))
    return verdicts


def remove_waiting(queue: Queue, ticket: int) -> None:
    """Remove a waiting request whose caller has disconnected."""
    waiting_lanes.remove(queue.lanes, ticket)


def refuse_all(queue: Queue, reason: NotRun) -> list[Verdict]:
    """Refuse all waiting requests, and new ones until ``refusal_reason`` is reset."""
    queue.refusal_reason = reason
    removed = waiting_lanes.remove_all(queue.lanes)
    return list(_refusals(removed, reason, MIN_RETRY_S))


def _refusals(
    removed: Iterable[Waiting], reason: NotRun, retry_s: float
) -> Iterator[Refuse]:
    return (Refuse(waiting.ticket, reason, retry_s) for waiting in removed)


def next_expiry(queue: Queue) -> float | None:
    """Return a time before which no waiting request expires; ``None`` if none waits.

    After :func:`advance`, it has not passed.
    """
    expiry = queue.lanes.earliest_expiry
    return None if expiry == inf else expiry


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
    limit, run_s = capacity(queue, now)
    utilisation = len(queue.running) / queue.limit
    return queue.lanes.waiting_nested * run_s / limit + _full_slots_wait_s(
        utilisation, queue
    )


def _full_slots_wait_s(utilisation: float, queue: Queue) -> float:
    # Runs can't be interrupted, so nested requests are delayed once nearly all slots
    # are in use, before any of them queues.
    return max(0.0, utilisation - 0.9) * queue.overall_run_s


def _time_left_s(job: Job, now: float) -> float:
    due_at = job.deadline if job.nested else min(job.objective_at, job.deadline)
    return max(due_at, now) - now


def top_level_limit(queue: Queue, now: float) -> int:
    """Return how many slots top-level requests may use."""
    reserved = nested_reserve.reserved_slots(queue.reserve, queue.limit, now)
    return max(1, queue.limit - reserved)


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


def _expected_wait_s(queue: Queue, job: Job, now: float) -> float:
    ahead = waiting_lanes.ahead_of(queue.lanes, job)
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
    return rate - nested_reserve.reserved_rate(queue.reserve, rate, now)


def _max_wait_fraction(job: Job) -> float:
    """Return the largest expected wait with which a job is queued, as a fraction."""
    if not job.nested:
        return MAX_EXPECTED_WAIT_FRACTION
    lot = crc32(parent_id(job.request_id).encode()) / 2**32
    part = MIN_NESTED_WAIT_FRACTION + (1.0 - MIN_NESTED_WAIT_FRACTION) * lot
    return MAX_EXPECTED_WAIT_FRACTION * part


def _retry_s(wait_s: float) -> float:
    return min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s))


def _start(
    queue: Queue, ticket: int, job: Job, now: float, *, is_trial: bool = False
) -> Start:
    if is_trial:
        trials.record_trial(queue.trials, job.route, job.deadline, now)
    trials.record_start(queue.trials, job.route, now)
    queue.running[ticket] = (job, now)
    pacing.record_start(queue.pace, now)
    if not job.nested:
        queue.running_top_level += 1
    return Start(ticket)


def _record_run_time(
    queue: Queue, job: Job, started: float, now: float, succeeded: bool, failed: bool
) -> None:
    run_s = now - started
    if succeeded:
        _record_usual_time(queue, job, started, run_s, failed)
    queue.overall_run_s += NEWEST_RUN_WEIGHT * (run_s - queue.overall_run_s)
    if not job.nested:
        queue.top_level_run_s += NEWEST_RUN_WEIGHT * (run_s - queue.top_level_run_s)


def _record_usual_time(
    queue: Queue, job: Job, started: float, run_s: float, failed: bool
) -> None:
    known_s = queue.run_s.get(job.route)
    usual_run_s = queue.overall_run_s if known_s is None else known_s
    was_late = started + usual_run_s * MIN_RUN_FRACTION > job.deadline
    if was_late and failed:
        return
    smoothed_s = run_s if known_s is None else known_s
    weight = REFUTING_RUN_WEIGHT if was_late else NEWEST_RUN_WEIGHT
    queue.run_s[job.route] = smoothed_s + weight * (run_s - smoothed_s)
