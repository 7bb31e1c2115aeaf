"""Admit at the head of a call chain what its nested requests leave room for.

Handles a service far down a chain that takes less than its callers ask. A run that
makes several nested requests one after the other bears only a short wait at each of
them, and its work is lost if one fails. Once runs of a route fail so, the route has a
limit on its concurrent runs. The limit falls while more than a few runs are lost or
their times come close to their deadlines, and rises otherwise. A limit on runs, other
than one on their rate, holds at once: when called services stall, no further run starts
until one ends.

A route whose runs do not fail so has no limit.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from math import exp
from typing import final

from _masticspoke.decisions.fleet.lineage import Parents
from _masticspoke.decisions.fleet.model import Job

# Fraction of the runs of a route that may fail with their nested requests.
MAX_WASTED_FRACTION = 0.03
# Time constant of the decay of the counted runs, seconds.
COUNT_DECAY_S = 1.0
# Runs that are added to the counted ones, so that one failure of few isn't many.
ASSUMED_RUNS = 2.0
# Part of its time left that a run may use on average. The rest is for the spread of the
# run times.
TARGET_USED_FRACTION = 0.75
# Multiplicative decrease of a limit while too many runs are wasted, at most once in the
# time of a successful run and in the shortest interval, seconds.
DECREASE_FACTOR = 0.7
MIN_DECREASE_INTERVAL_S = 0.25
# Wasted runs among the counted ones that set a limit; a single one does not.
MIN_WASTED_RUNS = 1.5
# Change of a limit with each run, relative to what the runs are off the target.
GAIN = 0.5
# Increase of a limit with each successful run while called services report no pressure.
# If the run took less than the target part of its time left, the limit doubles in the
# time of a run; otherwise it rises by a tenth, as longer runs bear little more.
FAST_INCREASE = 1.0
SLOW_INCREASE = 0.1
# Smallest limit. Below 1, runs follow each other with a pause between them.
MIN_LIMIT = 0.1
# Longest of these pauses, seconds. Each run may show that there is room again.
MAX_PAUSE_S = 1.0
# Part of all limits that each route keeps, however urgent the others are.
MIN_LIMIT_PART = 0.05
# What each refusal of a more urgent route takes from a limit.
TAKEN_PER_REFUSAL = 0.1
# A limit rises only while it is in use to this part.
IN_USE_FRACTION = 0.8
# Failures count only while called services report a longer wait, seconds: otherwise it
# isn't for load that they fail.
MIN_PRESSURE_S = 0.004
# Time for which a reported pressure counts, seconds.
MAX_PRESSURE_AGE_S = 1.0
# A limit ends this long after the last wasted run, seconds.
LIMIT_TTL_S = 30.0
# Time for which a more urgent route that was refused keeps limits from rising, seconds.
REFUSED_RECENTLY_S = 1.0
# Weight of the newest run in the smoothed figures.
NEWEST_RUN_WEIGHT = 0.1
# Part of the requests that is admitted though their usual run does not fit in the time
# left, so that shorter runs are noticed.
MIN_ADMITTED_FRACTION = 0.05
# Routes whose outcomes are kept.
MAX_ROUTES = 256


@final
class RunOutcome(Enum):
    """How a run at the local backend server ended."""

    SUCCEEDED = "succeeded"
    # A nested request was refused, failed or ran out of time, and so did the run.
    WASTED = "wasted"
    # Any other end shows nothing about the called services.
    OTHER = "other"


@final
@dataclass(slots=True)
class RouteOutcomes:
    """Outcomes of the runs of one route, and its limit.

    :param running: requests that run or wait for a slot.
    :param runs: decayed number of ended runs, as of ``counted_at``.
    :param wasted: decayed number of those that were wasted.
    :param wasted_total: number of wasted runs since the start.
    :param succeeded_s: smoothed time of successful runs; 0.0 until the first.
    :param used_fraction: smoothed part of its time left that a run used.
    :param started_at: time of the latest admission.
    :param limit: largest number of concurrent runs; ``None`` for no limit.
    :param late_credit: grows with each request whose run does not fit in its time
        left; each that is admitted uses up 1.
    """

    rank: int
    running: int = 0
    runs: float = 0.0
    wasted: float = 0.0
    counted_at: float = 0.0
    wasted_total: int = 0
    wasted_at: float = 0.0
    succeeded_s: float = 0.0
    used_fraction: float = 0.0
    limit: float | None = None
    decreased_at: float = 0.0
    started_at: float = 0.0
    refused_at: float = float("-inf")
    late_credit: float = 0.0


@final
@dataclass(slots=True)
class RunOutcomes:
    """Outcomes of the runs at one backend server, by route.

    :param limited: those of them that have a limit.
    :param admitted: requests that run or wait for a slot, by ticket.
    :param pressure_s: pressure that called services reported at ``reported_at``.
    """

    routes: dict[str, RouteOutcomes] = field(default_factory=dict)
    limited: dict[str, RouteOutcomes] = field(default_factory=dict)
    admitted: dict[int, Job] = field(default_factory=dict)
    pressure_s: float = 0.0
    reported_at: float = 0.0


def outcome_of(
    parents: Parents, request_id: str, succeeded: bool, answered: bool, expired: bool
) -> RunOutcome:
    """Return how a run ended, as far as its nested requests are concerned.

    :param answered: whether the backend server answered.
    :param expired: whether the deadline passed.
    """
    if succeeded:
        return RunOutcome.SUCCEEDED
    if (answered and request_id in parents.with_lost_call) or (
        expired and request_id in parents.with_call
    ):
        return RunOutcome.WASTED
    return RunOutcome.OTHER


def record_pressure(outcomes: RunOutcomes, pressure_s: float, now: float) -> None:
    """Record the highest mean pressure among the services that were called recently."""
    outcomes.pressure_s = pressure_s
    outcomes.reported_at = now


def admits(outcomes: RunOutcomes, job: Job, now: float) -> bool:
    """Return whether a request may run as far as its route's limit is concerned."""
    route = None if job.nested else outcomes.routes.get(job.route)
    if route is None or route.limit is None:
        return True
    _end_old_limits(outcomes, now)
    if route.limit is None:
        return True
    if not _has_room(route, route.limit, now):
        route.refused_at = now
        _take_room(outcomes, route)
        return False
    if now + route.succeeded_s <= job.deadline:
        return True
    route.late_credit += MIN_ADMITTED_FRACTION
    if route.late_credit < 1.0:
        return False
    route.late_credit -= 1.0
    return True


def _end_old_limits(outcomes: RunOutcomes, now: float) -> None:
    """End limits without a recent wasted run, also of routes without requests."""
    old = [n for n, r in outcomes.limited.items() if now - r.wasted_at > LIMIT_TTL_S]
    for name in old:
        outcomes.limited.pop(name).limit = None


def _take_room(outcomes: RunOutcomes, route: RouteOutcomes) -> None:
    """Move a part of the limit of the least urgent route to a more urgent one.

    A limit that isn't in use falls too, but it is no room that could be moved.
    """
    other = _least_urgent(outcomes, route)
    if other is route or route.limit is None or other.limit is None:
        return
    in_use = other.running >= int(other.limit * IN_USE_FRACTION)
    taken = min(TAKEN_PER_REFUSAL, other.limit - _floor(outcomes))
    other.limit -= taken
    if in_use:
        route.limit += taken


def _has_room(route: RouteOutcomes, limit: float, now: float) -> bool:
    if limit >= 1.0:
        return route.running + 1 <= limit
    pause_s = min(MAX_PAUSE_S, route.succeeded_s / limit)
    return route.running == 0 and now - route.started_at >= pause_s


def record_admitted(outcomes: RunOutcomes, ticket: int, job: Job, now: float) -> None:
    """Record that a request runs, or waits for a slot.

    :param ticket: identifies the request at this server.
    """
    if job.nested:
        return
    route = outcomes.routes.get(job.route)
    if route is None:
        _forget_idle_route(outcomes, now)
        if len(outcomes.routes) < MAX_ROUTES:
            route = outcomes.routes[job.route] = RouteOutcomes(job.rank)
    if route is not None:
        outcomes.admitted[ticket] = job
        route.running += 1
        route.started_at = now


def _forget_idle_route(outcomes: RunOutcomes, now: float) -> None:
    """Make room for another route, if one has had no request for long enough."""
    if len(outcomes.routes) < MAX_ROUTES:
        return
    idle = [(r.started_at, n) for n, r in outcomes.routes.items() if r.running == 0]
    started_at, name = min(idle, default=(now, ""))
    if now - started_at > LIMIT_TTL_S:
        del outcomes.routes[name]
        outcomes.limited.pop(name, None)


def record_end(
    outcomes: RunOutcomes, ticket: int, outcome: RunOutcome, run_s: float, now: float
) -> None:
    """Record the end of an admitted request; do nothing if it has been recorded.

    :param run_s: time that its run took; 0.0 if it did not run.
    """
    job = outcomes.admitted.pop(ticket, None)
    if job is None:
        return
    route = outcomes.routes[job.route]
    running = route.running
    route.running = max(0, running - 1)
    if outcome is RunOutcome.OTHER:
        return
    _decay(route, now)
    route.runs += 1.0
    time_left_s = max(run_s, job.deadline - (now - run_s))
    used_fraction = 1.0
    if outcome is RunOutcome.SUCCEEDED:
        smoothed_s = route.succeeded_s or run_s
        route.succeeded_s = smoothed_s + NEWEST_RUN_WEIGHT * (run_s - smoothed_s)
        used_fraction = run_s / max(time_left_s, 1e-9)
    elif _has_pressure(outcomes, now):
        route.wasted += 1.0
        route.wasted_total += 1
        route.wasted_at = now
        _decrease(outcomes, job.route, running, now)
    else:
        return
    difference = used_fraction - route.used_fraction
    route.used_fraction += NEWEST_RUN_WEIGHT * difference
    _follow_used_time(outcomes, route, running, used_fraction, now)


def _decay(route: RouteOutcomes, now: float) -> None:
    factor = exp(-max(0.0, now - route.counted_at) / COUNT_DECAY_S)
    route.runs *= factor
    route.wasted *= factor
    route.counted_at = now


def _has_pressure(outcomes: RunOutcomes, now: float) -> bool:
    recent = now - outcomes.reported_at < MAX_PRESSURE_AGE_S
    return recent and outcomes.pressure_s > MIN_PRESSURE_S


def _decrease(outcomes: RunOutcomes, name: str, running: int, now: float) -> None:
    route = outcomes.routes[name]
    if route.wasted / (route.runs + ASSUMED_RUNS) <= MAX_WASTED_FRACTION:
        return
    if route.limit is None:
        if route.wasted < MIN_WASTED_RUNS:
            return
        route.limit = float(running)
        outcomes.limited[name] = route
    reduced = _least_urgent(outcomes, route)
    if now - reduced.decreased_at < max(MIN_DECREASE_INTERVAL_S, reduced.succeeded_s):
        return
    reduced.decreased_at = now
    in_use = min(reduced.limit or 0.0, reduced.running + 1.0)
    reduced.limit = max(_floor(outcomes), in_use * DECREASE_FACTOR)


def _least_urgent(outcomes: RunOutcomes, route: RouteOutcomes) -> RouteOutcomes:
    """Return the least urgent route with a limit that can still be reduced."""
    floor = _floor(outcomes)
    reducible = [
        other
        for other in outcomes.limited.values()
        if other.rank > route.rank and other.limit is not None and other.limit > floor
    ]
    return max(reducible, key=lambda other: other.rank, default=route)


def _floor(outcomes: RunOutcomes) -> float:
    limits = sum(route.limit or 0.0 for route in outcomes.limited.values())
    return max(MIN_LIMIT, limits * MIN_LIMIT_PART)


def _follow_used_time(
    outcomes: RunOutcomes,
    route: RouteOutcomes,
    running: int,
    used_fraction: float,
    now: float,
) -> None:
    """Change the limit so that runs use the target part of their time left."""
    if route.limit is None:
        return
    change = GAIN * (TARGET_USED_FRACTION - route.used_fraction)
    if not _has_pressure(outcomes, now):
        # Runs that are long without pressure are long by themselves; fewer of them
        # would not be shorter.
        fast = used_fraction < TARGET_USED_FRACTION
        change = FAST_INCREASE if fast else SLOW_INCREASE
    if change > 0.0 and (
        running < int(route.limit * IN_USE_FRACTION) or _yields(outcomes, route, now)
    ):
        return
    route.limit = max(_floor(outcomes), route.limit + change)


def _yields(outcomes: RunOutcomes, route: RouteOutcomes, now: float) -> bool:
    """Return whether a more urgent route needs the room."""
    return any(
        other.rank < route.rank and now - other.refused_at < REFUSED_RECENTLY_S
        for other in outcomes.limited.values()
    )


def route_limits(outcomes: RunOutcomes) -> tuple[tuple[str, float], ...]:
    """Return the limits on concurrent runs by route."""
    return tuple((name, r.limit or 0.0) for name, r in outcomes.limited.items())
