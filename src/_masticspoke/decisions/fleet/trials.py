"""Decide when a request runs although it is expected to end too late.

Handles an estimate of run times that refuses every request of a route: of a new route
beside slow ones, after a spell of a slow server, or with a shorter timeout. Only a run
can correct it. A trial is such a run: one of a route at a time, and few of all routes
together.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from math import inf
from typing import final

# Time in which the estimate of a route refuses requests, and no run of the route starts
# or ends, before a trial; seconds.
TRIAL_INTERVAL_S = 1.0
# Shortest time between two trials of any routes, seconds.
MIN_SPACING_S = 0.05


@final
@dataclass(slots=True)
class Trials:
    """The estimates at one backend server that refuse requests.

    :param refused_since: time since which the estimate of a route has refused requests
        without a run; the deadline of the trial that is under way.
    :param last_at: time of the latest trial.
    :param count: number of trials.
    """

    refused_since: dict[str, float] = field(default_factory=dict)
    last_at: float = -inf
    count: int = 0


def is_due(trials: Trials, route: str, now: float, *, estimated: bool) -> bool:
    """Return whether a request that its estimate refuses may run as a trial.

    :param estimated: whether the estimate comes from runs of the route itself. If not,
        the first request is a trial.
    """
    since = trials.refused_since.get(route)
    if since is None and estimated:
        trials.refused_since[route] = now
        return False
    refused_s = inf if since is None else now - since
    return refused_s >= TRIAL_INTERVAL_S and now - trials.last_at >= MIN_SPACING_S


def record_trial(trials: Trials, route: str, deadline: float, now: float) -> None:
    """Record that a trial runs, or waits for a slot, until its deadline at most."""
    trials.refused_since[route] = deadline
    trials.last_at = now
    trials.count += 1


def record_start(trials: Trials, route: str, now: float) -> None:
    """Record the start of a run, which may correct the estimate of its route."""
    if trials.refused_since.get(route, inf) <= now:
        del trials.refused_since[route]


def record_end(trials: Trials, route: str, now: float) -> None:
    """Record the end of a run."""
    if route in trials.refused_since:
        trials.refused_since[route] = now
