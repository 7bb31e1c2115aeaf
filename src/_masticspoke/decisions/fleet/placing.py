"""Choose the backend server of a request by load, speed, failures and zone.

Balances load over servers of different speed, avoids slow or failing servers, and
follows servers that join or leave.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from math import inf
from random import Random
from typing import final

from _masticspoke.decisions.fleet import expected_time
from _masticspoke.decisions.fleet.expected_time import Speed
from _masticspoke.decisions.fleet.expected_time import Usual
from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import GuardLoad
from _masticspoke.decisions.fleet.model import NotRun
from _masticspoke.model import Address

# Number of servers above which only a random sample of this size is compared. The
# servers of the local zone and those of all zones are sampled separately.
MAX_SAMPLE = 6
# Time that a failed request costs, for its retry and the load that the retry adds,
# seconds.
FAILURE_COST_S = 2.0
# Weights of one failure and of one success in the smoothed failure ratio.
FAILURE_WEIGHT = 0.15
SUCCESS_WEIGHT = 0.05
# Half-life of the failure ratio, seconds; it decays so that a failing server is tried
# again.
FAILURE_HALF_LIFE_S = 3.0
# A server of the local zone is preferred up to this utilisation and below this failure
# ratio.
LOCAL_ZONE_MAX_UTILISATION = 0.75
LOCAL_ZONE_MAX_FAILURE_RATIO = 0.1
# Largest random increase of a cost, as a fraction, so that nodes with equal reports
# choose different servers.
JITTER = 0.15
# The numbers of requests in a load report count less with age. After this time, they
# and the pressure are ignored, seconds; run time and limit count until the next report.
MAX_REPORT_AGE_S = 1.0
# Run time that is assumed until a server's first report, seconds.
INITIAL_RUN_S = 0.05
# First and longest ejection of a server that could not be used, by reason, seconds;
# each ejection lasts twice as long as the one before, up to the longest. A send that
# comes too early is refused if the guard answers, and costs a connect timeout if it
# does not.
EJECTIONS_S = {
    NotRun.UNREACHABLE: (1.0, 8.0),
    NotRun.ABSENT: (0.3, 1.0),
    NotRun.LEAVING: (0.3, 0.5),
    NotRun.MOVED: (0.3, 1.0),
}


@final
@dataclass(slots=True)
class ServerStats:
    """Load and failures of one server, as known to this node.

    :param outstanding: requests of this node that are not answered yet.
    :param sent_since_report: requests that this node has sent since the last report.
    :param load: last report of the server's guard, received at ``reported_at``.
    :param failure_ratio: smoothed ratio of failed requests at ``failure_ratio_at``.
    :param ejected_until: time before which the server is not used.
    :param ejection_s: length of the last ejection; 0 after a success.
    :param speed: how fast its answers are, against the usual times of their routes.
    :param expected_wait_s: wait that was expected when it was compared last.
    """

    outstanding: int = 0
    sent_since_report: int = 0
    load: GuardLoad = field(default_factory=GuardLoad)
    reported_at: float | None = None
    failure_ratio: float = 0.0
    failure_ratio_at: float = 0.0
    ejected_until: float = 0.0
    ejection_s: float = 0.0
    speed: Speed = field(default_factory=Speed)
    expected_wait_s: float = 0.0


@final
@dataclass(slots=True)
class PlacementState:
    """Load and failures of each server, as known to this node.

    :param zone: availability zone of this node.
    :param weighs_speed: whether servers are chosen by their expected time.
    :param slowdown_named: whether a report has named a slowdown other than 1.
    :param usual: usual time of answers, by route.
    :param unix_offset_s: Unix time less the time of the boot clock.
    """

    zone: str
    stats: dict[Address, ServerStats] = field(default_factory=dict)
    weighs_speed: bool = False
    slowdown_named: bool = False
    usual: Usual = field(default_factory=Usual)
    unix_offset_s: float = 0.0


def choose(
    placing: PlacementState,
    servers: Sequence[BackendServer],
    tried: Collection[Address],
    now: float,
    random: Random,
    route: str = "",
) -> BackendServer | None:
    """Return the server to send to; ``None`` if all were tried or are ejected.

    :param tried: addresses that this request has already been sent to.
    """
    in_zone = [server for server in servers if server.zone == placing.zone]
    sample_in_zone = _usable_sample(placing, in_zone, tried, now, random)
    if placing.weighs_speed:
        sample = _usable_sample(placing, servers, tried, now, random)
        return _fastest(placing, sample + sample_in_zone, route, now, random)
    best_in_zone = _cheapest(placing, sample_in_zone, now, random)
    if best_in_zone is not None and _is_preferred(placing, best_in_zone, now):
        return best_in_zone
    sample = _usable_sample(placing, servers, tried, now, random)
    return _cheapest(placing, sample + sample_in_zone, now, random)


def _usable_sample(
    placing: PlacementState,
    servers: Sequence[BackendServer],
    tried: Collection[Address],
    now: float,
    random: Random,
) -> list[BackendServer]:
    """Return some of the servers that can be used; none only if none can be."""
    if len(servers) <= MAX_SAMPLE:
        return _usable(placing, servers, tried, now)
    sample = random.sample(servers, MAX_SAMPLE)
    if usable := _usable(placing, sample, tried, now):
        return usable
    usable = _usable(placing, servers, tried, now)
    return random.sample(usable, min(MAX_SAMPLE, len(usable)))


def _usable(
    placing: PlacementState,
    servers: Sequence[BackendServer],
    tried: Collection[Address],
    now: float,
) -> list[BackendServer]:
    return [
        server
        for server in servers
        if server.address not in tried
        and _stats_of(placing, server.address).ejected_until <= now
    ]


def _cheapest(
    placing: PlacementState,
    servers: Sequence[BackendServer],
    now: float,
    random: Random,
) -> BackendServer | None:
    if not servers:
        return None
    return min(
        servers,
        key=lambda s: expected_cost_s(placing, s, now) * (1 + JITTER * random.random()),
    )


def _fastest(
    placing: PlacementState,
    servers: Sequence[BackendServer],
    route: str,
    now: float,
    random: Random,
) -> BackendServer | None:
    """Return the server with the shortest expected time, in this zone if it is near."""
    usual_s = expected_time.usual_s(placing.usual, route)
    utilisation = placing.usual.utilisation.get(route, 0.0)
    best = near = None
    best_s = near_s = inf
    for server in servers:
        time_s = _expected_s(placing, server, usual_s, utilisation, now)
        time_s *= 1.0 + expected_time.JITTER * random.random()
        if time_s < best_s:
            best, best_s = server, time_s
        if time_s < near_s and server.zone == placing.zone:
            near, near_s = server, time_s
    if near is not None and not expected_time.leaves_zone(near_s, best_s, usual_s):
        return near
    return best


def _expected_s(
    placing: PlacementState,
    server: BackendServer,
    usual_s: float,
    utilisation: float,
    now: float,
) -> float:
    stats = _stats_of(placing, server.address)
    load, limit = stats.load, _limit(stats, server)
    weight = 0.0
    if stats.reported_at is not None:
        weight = max(0.0, 1.0 - (now - stats.reported_at) / MAX_REPORT_AGE_S)
    reported = load.running + load.queued + stats.sent_since_report
    # A server without a recent report is not taken to be empty: each node would send
    # there at once.
    requests = weight * reported + (1.0 - weight) * utilisation * limit
    requests = max(float(stats.outstanding), requests)
    slowdown = 1.0 + weight * (load.slowdown - 1.0)
    is_cold = (now + placing.unix_offset_s) * 1000 < server.warm_ms
    run_s = expected_time.run_s(stats.speed, usual_s, slowdown, is_cold, now)
    if stats.reported_at is None and (
        stats.outstanding >= expected_time.MAX_UNKNOWN_REQUESTS
    ):
        run_s *= 1.0 + stats.outstanding
    stats.expected_wait_s = expected_time.wait_s(requests, limit, load.run_s, slowdown)
    time_s = run_s * (1.0 + expected_time.crowding(requests, limit))
    failure_s = _failure_ratio(stats, now) * FAILURE_COST_S
    return time_s + expected_time.WAIT_WEIGHT * stats.expected_wait_s + failure_s


def expected_cost_s(
    placing: PlacementState, server: BackendServer, now: float
) -> float:
    """Return the expected time of a request at a server, plus its failure cost."""
    stats = _stats_of(placing, server.address)
    run_s = stats.load.run_s if stats.reported_at is not None else INITIAL_RUN_S
    limit = _limit(stats, server)
    requests = _requests_at_server(stats, now)
    wait_s = max(0.0, requests + 1 - limit) / limit * run_s
    slowdown_s = run_s * (requests / limit) ** 2
    return (
        0.001
        + run_s
        + wait_s
        + slowdown_s
        + _failure_ratio(stats, now) * FAILURE_COST_S
    )


def _is_preferred(placing: PlacementState, server: BackendServer, now: float) -> bool:
    stats = _stats_of(placing, server.address)
    utilisation = (_requests_at_server(stats, now) + 1) / _limit(stats, server)
    return (
        utilisation <= LOCAL_ZONE_MAX_UTILISATION
        and _failure_ratio(stats, now) < LOCAL_ZONE_MAX_FAILURE_RATIO
    )


def _limit(stats: ServerStats, server: BackendServer) -> int:
    return max(1, stats.load.limit if stats.reported_at is not None else server.slots)


def _requests_at_server(stats: ServerStats, now: float) -> float:
    reported = 0.0
    if stats.reported_at is not None:
        weight = max(0.0, 1.0 - (now - stats.reported_at) / MAX_REPORT_AGE_S)
        reported = (
            stats.load.running + stats.load.queued + stats.sent_since_report
        ) * weight
    return max(float(stats.outstanding), reported)


def _failure_ratio(stats: ServerStats, now: float) -> float:
    age_s = max(0.0, now - stats.failure_ratio_at)
    return float(stats.failure_ratio * 0.5 ** (age_s / FAILURE_HALF_LIFE_S))


def _stats_of(placing: PlacementState, address: Address) -> ServerStats:
    stats = placing.stats.get(address)
    if stats is None:
        stats = placing.stats[address] = ServerStats()
    return stats


def record_sent(placing: PlacementState, address: Address) -> None:
    """Record that a request is sent to ``address``."""
    stats = _stats_of(placing, address)
    stats.outstanding += 1
    stats.sent_since_report += 1


def record_end(
    placing: PlacementState,
    address: Address,
    failed: bool | None,
    load: GuardLoad | None,
    now: float,
    route: str = "",
    answered_after_s: float | None = None,
) -> None:
    """Record the end of a request that was sent to ``address``.

    :param failed: whether the server failed; ``None`` leaves its failure ratio and
        ejection length as they are.
    :param load: report that came with the answer, if any.
    :param answered_after_s: time from the send to the answer; ``None`` without one.
    """
    stats = _stats_of(placing, address)
    stats.outstanding = max(0, stats.outstanding - 1)
    if load is not None:
        stats.load, stats.reported_at, stats.sent_since_report = load, now, 0
        if load.slowdown != 1.0:
            placing.slowdown_named = True
    if failed is False and answered_after_s is not None and placing.weighs_speed:
        time_s = max(answered_after_s / 2, answered_after_s - stats.expected_wait_s)
        expected_time.record_answer(
            placing.usual,
            stats.speed,
            route,
            time_s,
            stats.load.slowdown,
            (stats.load.running + stats.load.queued) / max(1, stats.load.limit),
            now,
        )
    if failed is None:
        return
    weight = FAILURE_WEIGHT if failed else SUCCESS_WEIGHT
    stats.failure_ratio = _failure_ratio(stats, now) * (1 - weight) + weight * failed
    stats.failure_ratio_at = now
    if not failed:
        stats.ejection_s = 0.0


def record_unusable(
    placing: PlacementState, address: Address, reason: NotRun, now: float
) -> bool:
    """Eject a server that did not run a request; return whether an ejection began.

    No ejection begins if the server is already ejected, or for a reason that
    :data:`EJECTIONS_S` does not list.
    """
    bounds_s = EJECTIONS_S.get(reason)
    if bounds_s is None:
        return False
    first_s, longest_s = bounds_s
    stats = _stats_of(placing, address)
    begins = stats.ejected_until <= now
    if begins:
        stats.ejection_s = min(longest_s, max(first_s, stats.ejection_s * 2))
        stats.ejected_until = now + stats.ejection_s
    return begins


def reset_stats(placing: PlacementState, address: Address) -> None:
    """Discard the statistics at ``address``, as another server may run there now.

    The count of unanswered requests stays.
    """
    outstanding = _stats_of(placing, address).outstanding
    placing.stats[address] = ServerStats(outstanding=outstanding)


def mean_pressure_s(
    placing: PlacementState, addresses: Collection[Address], now: float
) -> float:
    """Return the mean pressure in the servers' recent load reports; 0.0 without any."""
    recent = [
        stats.load.pressure_s
        for stats in (_stats_of(placing, address) for address in addresses)
        if stats.reported_at is not None and now - stats.reported_at < MAX_REPORT_AGE_S
    ]
    return sum(recent) / len(recent) if recent else 0.0
