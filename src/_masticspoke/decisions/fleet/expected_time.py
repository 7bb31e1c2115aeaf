"""Choose the backend server that is expected to answer first.

Handles servers of different and changing speed. How fast a server is shows in its
answers to this node, each against the usual time of its route: the run time that its
guard reports is a mean over the routes that it happens to serve. The slowdown that it
names counts at once. Used where limits are learned; :mod:`placing` holds the rest.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from math import exp
from math import log
from typing import final

# Weights of the newest answer in the usual time of its route, and in the speed of its
# server.
USUAL_WEIGHT = 0.01
SPEED_WEIGHT = 0.05
# Half-life of what is known of the speed of a server that gets no requests, seconds; it
# is tried again as one of usual speed.
SPEED_HALF_LIFE_S = 10.0
# Most by which a server is taken to be faster or slower than usual, as a logarithm.
MAX_LOG_SPEED = log(8.0)
MAX_ROUTES = 1_024
# Time to another zone, one way, seconds: what zones of one region have at most. It
# can't be told from answers, which vary by much more.
ZONE_S = 0.005
# A request leaves its zone if that saves this part of its usual time, and twice the
# time to the other zone; less would move requests back and forth.
ZONE_MARGIN_FRACTION = 0.1
# Largest random increase of an expected time, as a fraction, so that nodes with equal
# reports choose different servers.
JITTER = 0.1
# Factor of the run time at a server that has not warmed up.
COLD_FACTOR = 2.0
# Requests of one node to a server that has not answered it yet.
MAX_UNKNOWN_REQUESTS = 2
# A server near its limit makes some requests wait: part of the run time that this adds
# with all of its limit in use, by utilisation to this power.
CROWDING = 0.5
CROWDING_POWER = 4
# Weight of the expected wait: what other nodes send meanwhile makes it longer. With 1,
# the 99th percentile at 0.9 of capacity, in spells of shared VMs, was higher.
WAIT_WEIGHT = 2.0
# Answers faster than this tell nothing, seconds.
_SHORTEST_S = 1e-4
# Time that is assumed until the first answer, seconds.
_INITIAL_S = 0.05


@final
@dataclass(slots=True)
class Usual:
    """Usual time of answers, as a logarithm, and utilisation of the servers, by route.

    Both are means over all servers that answered.
    """

    log_s: dict[str, float] = field(default_factory=dict)
    utilisation: dict[str, float] = field(default_factory=dict)


@final
@dataclass(slots=True)
class Speed:
    """Logarithm of how many times longer than usual a server takes, as of ``at``."""

    log_factor: float = 0.0
    at: float = 0.0


def usual_s(usual: Usual, route: str) -> float:
    """Return the usual time of an answer on a route."""
    log_s = usual.log_s.get(route)
    return _INITIAL_S if log_s is None else exp(log_s)


def record_answer(
    usual: Usual,
    speed: Speed,
    route: str,
    time_s: float,
    slowdown: float,
    utilisation: float,
    now: float,
) -> None:
    """Record that a server has answered, without a failure.

    :param time_s: time from the send to the answer, without the expected wait.
    :param slowdown: slowdown that its guard reports with this answer.
    :param utilisation: utilisation that its guard reports with this answer.
    """
    log_s = log(max(_SHORTEST_S, time_s) / slowdown)
    known = usual.log_s.get(route)
    if known is None:
        if len(usual.log_s) < MAX_ROUTES:
            usual.log_s[route] = log_s
            usual.utilisation[route] = utilisation
        return
    mean = usual.utilisation[route]
    usual.utilisation[route] = mean + SPEED_WEIGHT * (utilisation - mean)
    usual.log_s[route] = known + USUAL_WEIGHT * (log_s - known)
    factor = _log_factor(speed, now)
    factor += SPEED_WEIGHT * (log_s - known - factor)
    speed.log_factor = min(MAX_LOG_SPEED, max(-MAX_LOG_SPEED, factor))
    speed.at = now


def _log_factor(speed: Speed, now: float) -> float:
    age_s = max(0.0, now - speed.at)
    return speed.log_factor * float(0.5 ** (age_s / SPEED_HALF_LIFE_S))


def wait_s(requests: float, limit: int, run_s: float, slowdown: float) -> float:
    """Return the expected wait for a slot.

    :param requests: requests that run and wait there, or are on their way.
    :param run_s: run time that its guard reports; 0.0 if unknown. It is the right one
        here: those that run and wait are of the routes that it is a mean over.
    """
    ahead = requests + 1.0 - limit
    if ahead <= 0.0:
        return 0.0
    return ahead / limit * (run_s or _INITIAL_S) * slowdown


def run_s(
    speed: Speed, usual_s: float, slowdown: float, is_cold: bool, now: float
) -> float:
    """Return the expected time until an answer, without a wait for a slot."""
    time_s = usual_s * exp(_log_factor(speed, now)) * slowdown
    return time_s * COLD_FACTOR if is_cold else time_s


def crowding(requests: float, limit: int) -> float:
    """Return the part of the run time by which requests wait near the limit."""
    used = requests / limit
    return CROWDING * (used**CROWDING_POWER if used < 1.0 else 1.0)


def leaves_zone(near_s: float, best_s: float, usual_s: float) -> bool:
    """Return whether a request is sent to another zone.

    :param near_s: expected time at the best server of the own zone.
    :param best_s: expected time at the best server of all zones.
    """
    return best_s + 2 * ZONE_S + ZONE_MARGIN_FRACTION * usual_s < near_s
