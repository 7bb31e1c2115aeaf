"""Choose the backend server of a request: by load, speed, failures and zone.

It answers load that is uneven: servers of different speed, slow or failing ones among
sound ones, and servers that join or leave.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from random import Random
from typing import final

from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import GuardLoad
from _masticspoke.decisions.fleet.model import NotRun
from _masticspoke.model import Address

# Of larger services, this many servers of the own zone and of any zone are compared.
SAMPLE = 6
# Time that a certain failure counts for: a repeat and what it costs others, seconds.
FAILURE_COST_S = 2.0
# A failure's weight in the smoothed failure ratio, and a success's.
FAILURE_WEIGHT = 0.15
SUCCESS_WEIGHT = 0.05
# The failure ratio halves in this time, so that a server is tried again, seconds.
FAILURE_HALF_LIFE_S = 3.0
# Own-zone servers are taken below this utilisation and failure ratio.
NEAR_UTILISATION = 0.75
NEAR_FAILURES = 0.1
# Random part of a cost, so that senders with equal reports differ.
JITTER = 0.15
# A report loses its weight against the own count after this time, seconds.
REPORT_AGE_S = 1.0
# Run time assumed of a server that has not reported yet, seconds.
UNKNOWN_RUN_S = 0.05
# First and longest pause after a server could not be used, by reason; each is twice
# the one before. A guard that answers costs a refused hop to ask again, one that does
# not answer a connect time-out. Seconds.
PAUSES_S = {
    NotRun.UNREACHABLE: (1.0, 8.0),
    NotRun.ABSENT: (0.3, 1.0),
    NotRun.LEAVING: (0.3, 0.5),
    NotRun.MOVED: (0.3, 1.0),
}


@final
@dataclass(slots=True)
class ServerStats:
    """What this node has seen of one server.

    :param outstanding: own requests without an answer.
    :param since: own sends since the last report.
    :param failures: smoothed ratio of failed requests at ``failures_at``.
    :param paused_until: not used before.
    :param pause_s: length of the last pause.
    """

    outstanding: int = 0
    since: int = 0
    load: GuardLoad = field(default_factory=GuardLoad)
    load_at: float | None = None
    failures: float = 0.0
    failures_at: float = 0.0
    paused_until: float = 0.0
    pause_s: float = 0.0


@final
@dataclass(slots=True)
class PlacementState:
    """What this node has seen of each server.

    :param zone: availability zone of this node.
    """

    zone: str
    stats: dict[Address, ServerStats] = field(default_factory=dict)


def choose(
    placing: PlacementState,
    servers: Sequence[BackendServer],
    tried: Collection[Address],
    now: float,
    random: Random,
) -> BackendServer | None:
    """Return the server to send to, or ``None`` if there is none to use.

    :param tried: addresses that this request has been sent to.
    """
    usable = [
        server
        for server in servers
        if server.address not in tried
        and _stats_of(placing, server.address).paused_until <= now
    ]
    if not usable:
        return None
    near = [server for server in usable if server.zone == placing.zone]
    best_near = _least(placing, _sample(near, random), now, random)
    if best_near is not None and _has_room(placing, best_near, now):
        return best_near
    return _least(placing, _sample(usable, random) + _sample(near, random), now, random)


def _sample(servers: list[BackendServer], random: Random) -> list[BackendServer]:
    return servers if len(servers) <= SAMPLE else random.sample(servers, SAMPLE)


def _least(
    placing: PlacementState,
    servers: Sequence[BackendServer],
    now: float,
    random: Random,
) -> BackendServer | None:
    if not servers:
        return None
    return min(
        servers,
        key=lambda s: expected_s(placing, s, now) * (1 + JITTER * random.random()),
    )


def expected_s(placing: PlacementState, server: BackendServer, now: float) -> float:
    """Return the expected time of a request at a server, with its risk of failing."""
    stats = _stats_of(placing, server.address)
    run_s = stats.load.run_s if stats.load_at is not None else UNKNOWN_RUN_S
    limit = _limit(stats, server)
    used = _in_system(stats, now)
    wait_s = max(0.0, used + 1 - limit) / limit * run_s
    slowed_s = run_s * (used / limit) ** 2
    return 0.001 + run_s + wait_s + slowed_s + _failures(stats, now) * FAILURE_COST_S


def _has_room(placing: PlacementState, server: BackendServer, now: float) -> bool:
    stats = _stats_of(placing, server.address)
    used = (_in_system(stats, now) + 1) / _limit(stats, server)
    return used <= NEAR_UTILISATION and _failures(stats, now) < NEAR_FAILURES


def _limit(stats: ServerStats, server: BackendServer) -> int:
    return max(1, stats.load.limit if stats.load_at is not None else server.slots)


def _in_system(stats: ServerStats, now: float) -> float:
    reported = 0.0
    if stats.load_at is not None:
        weight = max(0.0, 1.0 - (now - stats.load_at) / REPORT_AGE_S)
        reported = (stats.load.running + stats.load.queued + stats.since) * weight
    return max(float(stats.outstanding), reported)


def _failures(stats: ServerStats, now: float) -> float:
    age = max(0.0, now - stats.failures_at)
    return float(stats.failures * 0.5 ** (age / FAILURE_HALF_LIFE_S))


def _stats_of(placing: PlacementState, address: Address) -> ServerStats:
    stats = placing.stats.get(address)
    if stats is None:
        stats = placing.stats[address] = ServerStats()
    return stats


def record_sent(placing: PlacementState, address: Address) -> None:
    """Note that a request goes to ``address``."""
    stats = _stats_of(placing, address)
    stats.outstanding += 1
    stats.since += 1


def record_end(
    placing: PlacementState,
    address: Address,
    failed: bool | None,
    load: GuardLoad | None,
    now: float,
) -> None:
    """Note how a request at ``address`` ended.

    :param failed: ``None`` when the end says nothing about the server.
    """
    stats = _stats_of(placing, address)
    stats.outstanding = max(0, stats.outstanding - 1)
    if load is not None:
        stats.load, stats.load_at, stats.since = load, now, 0
    if failed is None:
        return
    weight = FAILURE_WEIGHT if failed else SUCCESS_WEIGHT
    stats.failures = _failures(stats, now) * (1 - weight) + weight * failed
    stats.failures_at = now
    if not failed:
        stats.pause_s = 0.0


def record_unusable(
    placing: PlacementState, address: Address, reason: NotRun, now: float
) -> bool:
    """Note that the server did not take a request; return whether that is news."""
    pauses = PAUSES_S.get(reason)
    if pauses is None:
        return False
    first, longest = pauses
    stats = _stats_of(placing, address)
    news = stats.paused_until <= now
    if news:
        stats.pause_s = min(longest, max(first, stats.pause_s * 2))
        stats.paused_until = now + stats.pause_s
    return news


def reset_stats(placing: PlacementState, address: Address) -> None:
    """Forget what was seen of the server that was at ``address`` before."""
    outstanding = _stats_of(placing, address).outstanding
    placing.stats[address] = ServerStats(outstanding=outstanding)


def mean_pressure_s(
    placing: PlacementState, addresses: Collection[Address], now: float
) -> float:
    """Return the mean wait that the servers reported for nested work."""
    recent = [
        stats.load.pressure_s
        for stats in (_stats_of(placing, address) for address in addresses)
        if stats.load_at is not None and now - stats.load_at < REPORT_AGE_S
    ]
    return sum(recent) / len(recent) if recent else 0.0
