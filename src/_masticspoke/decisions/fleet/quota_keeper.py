"""Grant tokens of organisations to the nodes of a fleet, as the keeper of a group.

Handles a fleet whose nodes disagree about who the keeper is: during a cut between
zones, after a restart, or while a keeper is paused. A keeper adds tokens in proportion
to the nodes that are members of it, over all nodes that it knows. A node is a member of
at most one keeper at any time, so all keepers together add no more than the limit
allows, whoever believes what. Without that, two keepers on the two sides of a cut would
grant twice the limit.

A membership is a lease on the keeper's own clock. A query repeats the time in the
keeper's last response and renews the lease from that time on; a query that was delayed,
or that a paused keeper reads late, therefore renews nothing.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from math import exp
from math import sqrt
from typing import final

# Time between two queries of a member that needs no tokens, seconds: the shortest, the
# longest, and the part for each node that keeps a keeper at 200 such queries a second.
# One costs the keeper about 0.15 ms of processor time.
MIN_RENEWAL_S = 0.4
MAX_RENEWAL_S = 1.5
RENEWAL_S_PER_NODE = 1 / 200
# A membership lasts for two renewals and this time after a response, seconds.
LEASE_MARGIN_S = 0.2
# Largest step of time for which tokens are added; a longer one is a pause, seconds.
MAX_STEP_S = 0.5
# Shortest step after which members are counted anew, seconds.
MIN_STEP_S = 0.04
# Tokens of a bucket that nobody asked for lately; the tolerance covers them.
FIRST_TOKENS = 5.0
# A bucket holds at least the tokens of this time and one more, so that those that are
# added between two queries are not lost where the burst is small, seconds.
MIN_DEPTH_S = 0.08
# A bucket is dropped when it was not asked for within this time, seconds.
KEEP_S = 60.0
MAX_BUCKETS = 10_000
# Pauses between queries after a grant that was short, seconds.
MIN_PAUSE_S = 0.02
MAX_PAUSE_S = 0.25
# Longest time between two counts of a keeper with members that isn't paused, seconds.
_TICK_S = 0.2
# Longest time that a response names until the next token, seconds.
MAX_NEXT_S = 10.0
# Factor between the square root of the rate of short queries to a bucket and the pause.
# One node that asks is told 45 ms, 80 are told 250 ms.
_PAUSE_FACTOR = 0.0096
_RATE_TAU_S = 1.0
# Smallest share by which the time until the next token is estimated.
_MIN_SHARE = 0.2


@final
@dataclass(frozen=True, slots=True)
class Limit:
    """Limit of an organisation's requests at all nodes together."""

    rate_per_s: float
    burst: float


@final
@dataclass(frozen=True, slots=True)
class Want:
    """Tokens that a node needs, and the limit that it knows."""

    tokens: int
    limit: Limit


@final
@dataclass(frozen=True, slots=True)
class Grant:
    """Tokens that a keeper grants.

    :param next_s: seconds until the next may be expected, if these are too few.
    """

    tokens: int
    next_s: float = 0.0


@final
@dataclass(frozen=True, slots=True)
class QuotaQuery:
    """A node's query to a keeper.

    :param node: IP address of the node.
    :param version: version of its configuration.
    :param known: number of nodes that it knows.
    :param seen_ms: by group, the time in the keeper's last response that renews the
        membership; 0 if the node is no member.
    :param wants: tokens wanted by organisation and group.
    """

    node: str
    version: int
    known: int
    seen_ms: Mapping[int, int]
    wants: Mapping[tuple[int, str], Want]


@final
@dataclass(frozen=True, slots=True)
class QuotaResponse:
    """A keeper's response.

    :param at_ms: the keeper's clock.
    :param grants: grants by organisation.
    """

    at_ms: int
    grants: Mapping[str, Grant]


@final
@dataclass(slots=True)
class _Member:
    until: float
    known: int


@final
@dataclass(slots=True)
class _Group:
    """Members of this keeper for one group.

    :param filled_s: integral of the share over time, seconds; a bucket gets its rate
        times the increase.
    :param counted: members that were counted at ``counted_at``.
    """

    members: dict[str, _Member] = field(default_factory=dict)
    counted: tuple[str, ...] = ()
    counted_at: float = 0.0
    share: float = 0.0
    filled_s: float = 0.0


@final
@dataclass(slots=True)
class _Bucket:
    limit: Limit
    tokens: float
    filled_s: float
    asked_at: float
    shortages_per_s: float = 0.0


@final
@dataclass(slots=True)
class KeeperState:
    """What a node knows as a keeper.

    :param nodes: IP addresses of all nodes.
    :param buckets: buckets by group and organisation, the longest unused first.
    """

    nodes: Collection[str] = frozenset()
    groups: dict[int, _Group] = field(default_factory=dict)
    buckets: dict[tuple[int, str], _Bucket] = field(default_factory=dict)


def renewal_s(nodes: int) -> float:
    """Return the time between two queries of a member that needs no tokens, seconds."""
    return min(MAX_RENEWAL_S, max(MIN_RENEWAL_S, nodes * RENEWAL_S_PER_NODE))


def lease_s(nodes: int) -> float:
    """Return how long a membership lasts after the response that it is based on."""
    return 2 * renewal_s(nodes) + LEASE_MARGIN_S


def shares(state: KeeperState, now: float) -> Mapping[int, float]:
    """Return which part of the limits this keeper grants, from 0 to 1, by group."""
    advance(state, now)
    return {number: group.share for number, group in state.groups.items()}


def advance(state: KeeperState, now: float) -> None:
    """Count the members of all groups up to now."""
    for group in state.groups.values():
        _advance(state, group, now)


def tick_s(state: KeeperState) -> float | None:
    """Return the time after which to count again; ``None`` without members.

    Queries alone don't do: those of all nodes may come at the same time, and the time
    between would look like a pause.
    """
    has_members = any(group.members for group in state.groups.values())
    return _TICK_S if has_members else None


def answer_query(
    state: KeeperState,
    query: QuotaQuery,
    own_version: int,
    own_limits: Mapping[str, Limit] | None,
    now: float,
) -> QuotaResponse:
    """Grant tokens to a node, and renew its memberships.

    :param own_version: version of the keeper's configuration; 0 without one.
    :param own_limits: limit by organisation in that configuration.
    """
    for group, seen_ms in query.seen_ms.items():
        _renew(state, group, query, seen_ms, now)
    grants = {}
    for key, want in query.wants.items():
        known = None if own_limits is None else own_limits.get(key[1])
        limit = _limit(want.limit, known, query.version > own_version)
        grants[key[1]] = _grant(state, key, want.tokens, limit, now)
    _drop_unused(state, now)
    return QuotaResponse(max(1, int(now * 1000)), grants)


def _limit(asked: Limit, own: Limit | None, asker_is_newer: bool) -> Limit:
    """Return the limit in force: the lower of both if the keeper's may be outdated."""
    if own is None:
        return asked
    if not asker_is_newer:
        return own
    # A rate of 0 means no limit, so the other one is lower.
    limits = [limit for limit in (asked, own) if limit.rate_per_s > 0]
    return min(limits, key=lambda limit: limit.rate_per_s, default=asked)


def _renew(
    state: KeeperState, group: int, query: QuotaQuery, seen_ms: int, now: float
) -> None:
    entry = state.groups.setdefault(group, _Group(counted_at=now))
    _advance(state, entry, now)
    # Not longer than the node, which may know of more nodes, believes.
    until = seen_ms / 1000 + lease_s(min(query.known, max(1, len(state.nodes))))
    if seen_ms <= 0 or until <= now or seen_ms / 1000 > now:
        return
    if query.node in state.nodes:
        entry.members[query.node] = _Member(until, query.known)


def _advance(state: KeeperState, group: _Group, now: float) -> None:
    """Add up the share since the last count, and count the members anew.

    A member counts for a step only if its lease covers the whole step.
    """
    step_s = now - group.counted_at
    if step_s < MIN_STEP_S:
        return
    members = group.members
    if step_s <= MAX_STEP_S:
        covering = sum(
            host in members and members[host].until >= now for host in group.counted
        )
        group.filled_s += step_s * _share(state, group, covering)
    for host in [host for host, m in members.items() if m.until <= now]:
        del members[host]
    group.counted = tuple(members)
    group.counted_at = now
    group.share = _share(state, group, len(members))


def _share(state: KeeperState, group: _Group, members: int) -> float:
    # A member may know of nodes that this keeper has not heard of yet.
    known = max((m.known for m in group.members.values()), default=0)
    return min(1.0, members / max(1, known, len(state.nodes)))


def _grant(
    state: KeeperState, key: tuple[int, str], wanted: int, limit: Limit, now: float
) -> Grant:
    if limit.rate_per_s <= 0:
        return Grant(wanted)
    group = state.groups.setdefault(key[0], _Group(counted_at=now))
    _advance(state, group, now)
    bucket = _refill(state, key, group, limit, now)
    granted = max(0, min(wanted, int(bucket.tokens + 1e-9)))
    bucket.tokens -= granted
    if granted >= wanted:
        return Grant(granted)
    bucket.shortages_per_s += 1 / _RATE_TAU_S
    pause_s = _PAUSE_FACTOR * sqrt(bucket.shortages_per_s) * sqrt(_RATE_TAU_S)
    rate_per_s = limit.rate_per_s * max(group.share, _MIN_SHARE)
    token_s = (1.0 - bucket.tokens) / rate_per_s
    pause_s = min(MAX_PAUSE_S, max(MIN_PAUSE_S, pause_s))
    return Grant(granted, min(MAX_NEXT_S, max(pause_s, token_s)))


def _refill(
    state: KeeperState, key: tuple[int, str], group: _Group, limit: Limit, now: float
) -> _Bucket:
    depth = max(limit.burst, limit.rate_per_s * MIN_DEPTH_S + 1.0)
    # All keepers of the group together hold one bucket.
    depth = max(1.0, depth * group.share)
    bucket = state.buckets.pop(key, None)
    if bucket is None:
        first = min(depth, FIRST_TOKENS * group.share)
        bucket = _Bucket(limit, first, group.filled_s, now)
    rate_per_s = min(limit.rate_per_s, bucket.limit.rate_per_s)
    added = rate_per_s * (group.filled_s - bucket.filled_s)
    bucket.tokens = min(depth, bucket.tokens + added)
    bucket.shortages_per_s *= exp((bucket.asked_at - now) / _RATE_TAU_S)
    bucket.limit, bucket.filled_s, bucket.asked_at = limit, group.filled_s, now
    state.buckets[key] = bucket  # at the end: the longest unused come first
    return bucket


def _drop_unused(state: KeeperState, now: float) -> None:
    while state.buckets:
        key = next(iter(state.buckets))
        is_unused = now - state.buckets[key].asked_at > KEEP_S
        if not is_unused and len(state.buckets) <= MAX_BUCKETS:
            return
        del state.buckets[key]
