"""Decide which requests a node that is stopping still sends to a backend server.

Handles a planned stop under load: clients send requests on their open connections until
the node is gone. An answer that has not arrived when the stop ends is cut off, so a
request that would probably take longer is refused while it has not run.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import final

# Weight of the newest answer in the smoothed times.
NEWEST_WEIGHT = 0.1
# Mean deviations that are added to the mean time for the expected longest one.
DEVIATIONS = 3.0
# Time at the end of a stop in which no answer is awaited, seconds.
RESERVE_S = 0.1


@final
@dataclass(slots=True)
class _Smoothed:
    mean_s: float
    deviation_s: float = 0.0


@final
@dataclass(slots=True)
class AnswerTimes:
    """Smoothed time from a send until its answer, by route."""

    by_route: dict[str, _Smoothed] = field(default_factory=dict)


def record_answer(times: AnswerTimes, route: str, took_s: float) -> None:
    """Record the time until an answer, seconds."""
    smoothed = times.by_route.get(route)
    if smoothed is None:
        times.by_route[route] = _Smoothed(took_s)
        return
    difference_s = took_s - smoothed.mean_s
    smoothed.mean_s += NEWEST_WEIGHT * difference_s
    smoothed.deviation_s += NEWEST_WEIGHT * (abs(difference_s) - smoothed.deviation_s)


def ends_in_time(
    times: AnswerTimes, route: str, objective_s: float, left_s: float | None
) -> bool:
    """Return whether a request will probably be answered before the stop ends.

    :param objective_s: latency objective of the route, which is assumed as the time of
        an answer until the first one.
    :param left_s: seconds until the end of the stop; ``None`` if the node isn't
        stopping.
    """
    if left_s is None:
        return True
    smoothed = times.by_route.get(route)
    longest_s = (
        objective_s
        if smoothed is None
        else smoothed.mean_s + DEVIATIONS * smoothed.deviation_s
    )
    return longest_s + RESERVE_S <= left_s


def latest_deadline(deadline: float, now: float, left_s: float | None) -> float:
    """Return a request's deadline, or a nearer one so that it is answered in time.

    :param left_s: as for :func:`ends_in_time`.
    """
    if left_s is None:
        return deadline
    return min(deadline, now + max(0.0, left_s - RESERVE_S))
