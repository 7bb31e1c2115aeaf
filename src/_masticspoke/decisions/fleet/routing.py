"""Choose a request's route by host and longest prefix, and its service by weight."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import final

from _masticspoke.decisions.fleet.model import Configuration
from _masticspoke.decisions.fleet.model import Route

# Fractional part of the golden ratio; its successive multiples, modulo 1, spread evenly
# over the unit interval.
_GOLDEN_RATIO = 0.6180339887498949


def find_route(configuration: Configuration, host: str, path: str) -> Route | None:
    """Return the route of ``host`` with the longest prefix of ``path``, if any."""
    end = path.rfind("/")
    while end >= 0:
        route = configuration.routes.get((host, path[: end + 1]))
        if route is not None:
            return route
        end = path.rfind("/", 0, end)
    return None


@final
@dataclass(slots=True)
class RouteCounts:
    """Number of requests so far on each weighted route.

    :param offset: start of the sequence, 0 to 1; it differs between nodes, so that
        they don't all choose the same service at the same time.
    """

    offset: float
    by_route: dict[str, int] = field(default_factory=dict)


def choose_service(counts: RouteCounts, route: Route) -> str:
    """Return the service of the route's next request.

    A low-discrepancy sequence keeps close to the weights even over few requests.
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    count = counts.by_route.get(route.name, 0)
    counts.by_route[route.name] = count + 1
    point = (counts.offset + count * _GOLDEN_RATIO) % 1.0
    point *= sum(share.weight for share in route.shares)
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service
