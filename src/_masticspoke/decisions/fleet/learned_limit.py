"""Learn how many requests a backend server takes well at a time.

Handles servers that slow down as they fill, though they announce more slots. What
counts is the elasticity of run times: by how many percent a run takes longer with one
percent more concurrent runs. Below 1, more concurrent runs give more throughput; above,
less. It is measured around the present number of runs, which dips briefly for it, and
as a mean from few runs to the present number.

Run times are compared with those of the same route, so that another mix of requests
isn't taken for a change of the server, and are divided by the slowdown that the server
names. A change that concerns all runs alike (a server slow by nature or on a shared VM)
shows no elasticity, and leaves the limit as it is.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from math import log
from math import pi
from math import sin
from typing import final

from _masticspoke.decisions.fleet.elasticity import compare
from _masticspoke.decisions.fleet.elasticity import Comparison
from _masticspoke.decisions.fleet.elasticity import forget_most
from _masticspoke.decisions.fleet.elasticity import local_elasticity
from _masticspoke.decisions.fleet.model import Configuration

# Weight of the newest run of a route in its usual run time.
USUAL_WEIGHT = 0.001
# Runs of a route before it counts; routes that are kept.
MIN_ROUTE_RUNS = 10
MAX_ROUTES = 256
# Shortest time between two moves of the limit, seconds.
MOVE_INTERVAL_S = 0.2
# The limit falls if the elasticity is above FALL_ELASTICITY by FALL_ERRORS standard
# errors. At 1 throughput no longer grows; the limit falls before, as requests that wait
# inside the server have no order of priority.
FALL_ELASTICITY = 0.85
FALL_ERRORS = 2.5
# It falls on weaker evidence if the mean elasticity from few runs is above this, and
# the server names its slowdown.
FALL_MEAN_ELASTICITY = 0.75
WEAK_FALL_ELASTICITY = 0.5
WEAK_FALL_ERRORS = 0.5
# It rises if both elasticities are below these, or the local one certainly below the
# one that lets it fall: then the mean is that of a server slowed by others.
RISE_ELASTICITY = 0.5
RISE_MEAN_ELASTICITY = 0.6
RISE_ERRORS = 2.0
FALL_FACTOR = 0.9
# A rise after a fall, as a fraction of the limit; each further one is larger, up to a
# largest one. The limit stays near a knee, and is back in two seconds if it is gone.
FIRST_RISE = 0.01
RISE_GROWTH = 1.5
LARGEST_RISE = 0.1
# The limit of a new server: a fraction of its ceiling, at least a number of runs. Each
# rise until the first fall is by START_RISE, so it has doubled twice after 1.2 s. A
# server that announces ten times what it takes would collapse before any run has ended.
START_FRACTION = 0.1
START_RUNS = 28.0
START_RISE = 0.3
# Runs that must have ended since the last move before the limit rises, as a part of it.
RISE_RUNS_FRACTION = 0.3
# The limit never falls below this fraction of its ceiling.
MIN_FRACTION = 0.05
# The limit in force dips by up to this fraction, for this time out of each period, in
# seconds. A full server has a constant number of runs, which shows no elasticity.
DIP_FRACTION = 0.15
DIP_S = 0.2
DIP_PERIOD_S = 1.0
# Fraction of the limit from which a run counts as one at a full server, and fraction
# below which a run isn't compared.
FULL_FRACTION = 0.85
COMPARED_FRACTION = 0.7
# Runs count as uncontended below this fraction of the ceiling, and below this number or
# the limit of a new server; weights of such a run, and of any other, in the uncontended
# run time.
QUIET_FRACTION = 0.5
QUIET_RUNS = 32.0
QUIET_WEIGHT = 0.02
QUIET_LEAK = 0.0002
# Weight of the newest run in its mean excess over the uncontended run time, and runs
# before that counts.
EXCESS_WEIGHT = 0.01
MIN_EXCESS_RUNS = 100
# Shortest distance, as a logarithm, over which a mean elasticity is formed.
MIN_LOG_DISTANCE = 0.05
_SHORTEST_RUN_S = 1e-4


@final
class LearningMode(StrEnum):
    """Whether limits are learned, as in the settings."""

    AUTO = "auto"
    ON = "on"
    OFF = "off"


@final
class Move(StrEnum):
    """Why the limit moved last, as written to logs and metrics."""

    NONE = "none"
    SLOTS = "slots"
    FILLS = "fills"
    PROBE = "probe"


@final
@dataclass(slots=True)
class _Usual:
    """Run time of a route, as a logarithm: at present load, and uncontended."""

    log_run_s: float
    quiet_log_s: float
    runs: int = 1
    quiet_runs: int = 0


@final
@dataclass(slots=True)
class _Excess:
    """Mean excess over uncontended run times, and mean logarithm of the occupancy."""

    log_run: float = 0.0
    log_occupancy: float = 0.0
    runs: int = 0


@final
@dataclass(slots=True)
class LearnedLimit:
    """What is known of one incarnation of a backend server.

    :param ceiling: largest limit, which the announced slots give.
    :param value: the limit, without dips.
    :param running: number of concurrent runs since ``running_at``.
    :param integral: time integral of the number of runs until then.
    :param begun: the integral at the start of each run, by ticket.
    :param rise: next rise, as a fraction of the limit.
    :param ended: runs that ended since the last move.
    :param full_at: time at which a run ended that ran at a full server.
    """

    ceiling: int
    value: float
    last_move: Move = Move.NONE
    moved_at: float = 0.0
    full_at: float = 0.0
    rise: float = START_RISE
    ended: int = 0
    running: int = 0
    running_at: float = 0.0
    integral: float = 0.0
    begun: dict[int, tuple[float, float]] = field(default_factory=dict)
    usual: dict[str, _Usual] = field(default_factory=dict)
    comparison: Comparison = field(default_factory=Comparison)
    excess: _Excess = field(default_factory=_Excess)


def learns(
    mode: LearningMode, slowdown: float | None, configuration: Configuration | None
) -> bool:
    """Return whether limits are learned.

    :param slowdown: latest that the backend server named; ``None`` if it named none.
    """
    if mode is not LearningMode.AUTO:
        return mode is LearningMode.ON
    has_organisations = (
        configuration is not None and configuration.organisations is not None
    )
    return slowdown is not None or has_organisations


def new_learned_limit(ceiling: int, now: float) -> LearnedLimit:
    """Return the limit of a server of which only the announced slots are known."""
    start = min(float(ceiling), max(START_RUNS, ceiling * START_FRACTION))
    return LearnedLimit(ceiling, start, moved_at=now, running_at=now)


def set_ceiling(limit: LearnedLimit, ceiling: int) -> None:
    """Follow a change of the announced slots."""
    if ceiling != limit.ceiling:
        limit.value = max(1.0, limit.value * ceiling / limit.ceiling)
        limit.ceiling = ceiling
        limit.last_move = Move.SLOTS


def limit_at(limit: LearnedLimit, now: float) -> int:
    """Return how many requests may run at a time."""
    phase_s = now % DIP_PERIOD_S
    dip = DIP_FRACTION * sin(pi * phase_s / DIP_S) if phase_s < DIP_S else 0.0
    return max(1, min(limit.ceiling, round(limit.value * (1.0 - dip))))


def record_start(limit: LearnedLimit, ticket: int, running: int, now: float) -> None:
    """Record the start of a run.

    :param running: number of concurrent runs from now on.
    """
    _integrate(limit, running, now)
    limit.begun[ticket] = (now, limit.integral)


def record_end(
    limit: LearnedLimit,
    ticket: int,
    running: int,
    route: str | None,
    slowdown: float | None,
    now: float,
) -> Move | None:
    """Record the end of a run; return a move of the limit, if any.

    :param running: number of concurrent runs from now on.
    :param route: ``None`` if the run time doesn't show the speed of the server: the run
        failed, or made nested calls, whose time is included.
    :param slowdown: latest that the server named; ``None`` if it named none.
    """
    _integrate(limit, running, now)
    begun = limit.begun.pop(ticket, None)
    if begun is None:
        return None
    started_at, integral = begun
    run_s = max(_SHORTEST_RUN_S, now - started_at)
    occupancy = max(1.0, (limit.integral - integral) / run_s)
    return record_run(limit, route, run_s, occupancy, slowdown, now)


def _integrate(limit: LearnedLimit, running: int, now: float) -> None:
    limit.integral += limit.running * max(0.0, now - limit.running_at)
    limit.running, limit.running_at = running, now


def record_run(
    limit: LearnedLimit,
    route: str | None,
    run_s: float,
    occupancy: float,
    slowdown: float | None,
    now: float,
) -> Move | None:
    """Record a run by its time; return a move of the limit, if any.

    :param route: ``None`` if the run time doesn't show the speed of the server. Such
        runs let the limit rise: else that of a server without others would never.
    :param occupancy: mean number of concurrent runs meanwhile, with this one.
    """
    limit.ended += 1
    if occupancy >= limit.value * FULL_FRACTION:
        limit.full_at = now
    if route is not None:
        _learn(limit, route, log(run_s / (slowdown or 1.0)), occupancy, now)
    if now - limit.moved_at < MOVE_INTERVAL_S:
        return None
    # Runs that take longer than uncontended ones may do so on a VM that is shared.
    mean = None if slowdown is None else mean_elasticity(limit)
    return _move(limit, mean, now)


def _learn(
    limit: LearnedLimit, route: str, log_run_s: float, occupancy: float, now: float
) -> None:
    usual = limit.usual.get(route)
    if usual is None:
        if len(limit.usual) < MAX_ROUTES:
            limit.usual[route] = _Usual(log_run_s, log_run_s)
        return
    deviation = log_run_s - usual.log_run_s
    usual.runs += 1
    usual.log_run_s += max(USUAL_WEIGHT, 1.0 / usual.runs) * deviation
    if usual.runs <= MIN_ROUTE_RUNS:
        return
    if occupancy < quiet_level(limit):
        _record_quiet(usual, log_run_s)
    if occupancy >= limit.value * COMPARED_FRACTION:
        _record_excess(limit.excess, usual, log_run_s, log(occupancy))
        compare(limit.comparison, deviation, log(occupancy), now)


def _record_quiet(usual: _Usual, log_run_s: float) -> None:
    usual.quiet_runs += 1
    weight = max(QUIET_WEIGHT, 1.0 / usual.quiet_runs)
    usual.quiet_log_s += weight * (log_run_s - usual.quiet_log_s)


def _record_excess(
    excess: _Excess, usual: _Usual, log_run_s: float, log_occupancy: float
) -> None:
    if usual.quiet_runs < MIN_ROUTE_RUNS:
        return
    log_excess = log_run_s - usual.quiet_log_s
    usual.quiet_log_s += QUIET_LEAK * log_excess
    excess.log_run += EXCESS_WEIGHT * (log_excess - excess.log_run)
    excess.log_occupancy += EXCESS_WEIGHT * (log_occupancy - excess.log_occupancy)
    excess.runs += 1


def quiet_level(limit: LearnedLimit) -> float:
    """Return the number of concurrent runs below which runs count as uncontended."""
    start = max(QUIET_RUNS, limit.ceiling * START_FRACTION)
    return max(1.0, min(limit.ceiling * QUIET_FRACTION, start))


def mean_elasticity(limit: LearnedLimit) -> float | None:
    """Return the elasticity from few runs to the present number, if known."""
    excess = limit.excess
    if excess.runs < MIN_EXCESS_RUNS:
        return None
    distance = excess.log_occupancy - log(quiet_level(limit))
    return excess.log_run / distance if distance > MIN_LOG_DISTANCE else None


def _move(limit: LearnedLimit, mean: float | None, now: float) -> Move | None:
    before = limit.value
    slope, error = local_elasticity(limit.comparison)
    if _fills(slope, error, mean):
        lowest = max(1.0, limit.ceiling * MIN_FRACTION)
        limit.value = min(before, max(lowest, before * FALL_FACTOR))
        limit.rise = FIRST_RISE
        forget_most(limit.comparison)
        move = Move.FILLS
    elif (
        limit.full_at >= limit.moved_at
        and limit.ended >= before * RISE_RUNS_FRACTION
        and _may_rise(slope, error, mean)
    ):
        limit.value = min(float(limit.ceiling), before * (1.0 + limit.rise))
        limit.rise = max(limit.rise, min(LARGEST_RISE, limit.rise * RISE_GROWTH))
        move = Move.PROBE
    else:
        return None
    if limit.value == before:
        return None
    limit.moved_at, limit.last_move, limit.ended = now, move, 0
    return move


def _fills(slope: float, error: float, mean: float | None) -> bool:
    if slope - FALL_ERRORS * error > FALL_ELASTICITY:
        return True
    if mean is None or mean <= FALL_MEAN_ELASTICITY:
        return False
    return slope - WEAK_FALL_ERRORS * error > WEAK_FALL_ELASTICITY


def _may_rise(slope: float, error: float, mean: float | None) -> bool:
    if slope >= RISE_ELASTICITY:
        return False
    if mean is None or mean < RISE_MEAN_ELASTICITY:
        return True
    return slope + RISE_ERRORS * error < FALL_ELASTICITY
