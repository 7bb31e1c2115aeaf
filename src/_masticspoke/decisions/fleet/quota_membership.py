"""Choose the keeper that a node queries for each group, and hold its membership.

A node is a member of one keeper of a group at a time. It renews its membership by
repeating the time in the keeper's last response, and joins another keeper only when the
last membership has ended, whether or not the former keeper still responds.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import final
from zlib import crc32

from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import Phase
from _masticspoke.decisions.fleet.quota_keeper import lease_s
from _masticspoke.decisions.fleet.quota_keeper import renewal_s
from _masticspoke.decisions.fleet.quota_ranking import GROUPS
from _masticspoke.decisions.fleet.quota_ranking import rank_keepers

# A keeper that did not respond is queried again after this time, seconds.
RETRY_S = 2.0
# Pause before the query that makes a node a member, seconds.
_JOIN_PAUSE_S = 0.005


@final
@dataclass(slots=True)
class _Link:
    """Relation of this node to the keepers of one group.

    :param keeper: IP address of the keeper that is queried; empty for none.
    :param seen_ms: time in that keeper's last response; 0 before it.
    :param seen_at: time of that response on the own clock.
    :param member_of: keeper that may count this node as a member up to
        ``member_until``.
    :param sent_at: time of the last query.
    """

    keeper: str = ""
    seen_ms: int = 0
    seen_at: float = 0.0
    member_of: str = ""
    member_until: float = 0.0
    sent_at: float = float("-inf")


@final
@dataclass(slots=True)
class MembershipState:
    """Keepers of all groups, as one node sees them.

    :param host: IP address of this node.
    :param known: number of nodes that it knows.
    :param pace: factor of the time between renewals, from 0.8 to 1. It differs by node,
        so that nodes that started together don't query together.
    :param silent: by keeper that did not respond, when to query it again.
    """

    host: str
    known: int = 1
    pace: float = 1.0
    candidates: dict[int, tuple[str, ...]] = field(default_factory=dict)
    links: dict[int, _Link] = field(default_factory=dict)
    silent: dict[str, float] = field(default_factory=dict)


def learn_servers(state: MembershipState, servers: Iterable[BackendServer]) -> None:
    """Rank the keepers anew; this node is the last resort of each group."""
    ready = [server for server in servers if server.phase is Phase.READY]
    state.pace = 0.8 + 0.2 * (crc32(state.host.encode()) % 256) / 256
    state.known = max(1, len({server.address.host for server in ready}))
    for group in range(GROUPS):
        ranked = rank_keepers(group, ready)
        own = () if state.host in ranked else (state.host,)
        state.candidates[group] = ranked + own
    hosts = {host for ranked in state.candidates.values() for host in ranked}
    state.silent = {h: at for h, at in state.silent.items() if h in hosts}


def keeper_of(state: MembershipState, group: int, now: float) -> str:
    """Return the keeper to query for tokens of a group now.

    While a membership lasts, its keeper goes on to be queried as long as it responds,
    even if another ranks first by now: it grants this node's part until then.
    """
    link = _link(state, group)
    preferred = _preferred(state, group)
    if link.keeper != preferred and not _stays(state, link, now):
        link.keeper = preferred
        link.seen_ms = 0
    return link.keeper


def _link(state: MembershipState, group: int) -> _Link:
    return state.links.setdefault(group, _Link())


def _preferred(state: MembershipState, group: int) -> str:
    candidates = state.candidates.get(group, (state.host,))
    for host in candidates:
        if host not in state.silent:
            return host
    return candidates[-1]


def _stays(state: MembershipState, link: _Link, now: float) -> bool:
    if not link.keeper or link.keeper in state.silent:
        return False
    return link.member_of == link.keeper and now < link.member_until


def seen_ms(state: MembershipState, group: int, now: float) -> int:
    """Return what a query to the keeper of a group repeats, and record the membership.

    0 if this node can't be a member, since it may be one of another keeper, or is
    about to leave this one.
    """
    link = _link(state, group)
    link.sent_at = now
    if link.keeper != _preferred(state, group):
        return 0
    if link.member_of != link.keeper and now < link.member_until:
        return 0
    until = link.seen_at + lease_s(state.known)
    if link.seen_ms == 0 or now >= until:
        return 0
    link.member_of = link.keeper
    link.member_until = max(link.member_until, until)
    return link.seen_ms


def record_response(
    state: MembershipState, host: str, at_ms: int, groups: Iterable[int], now: float
) -> None:
    """Record the response of a keeper.

    :param groups: the groups that it was queried for.
    """
    state.silent.pop(host, None)
    for group in groups:
        link = _link(state, group)
        if link.keeper == host:
            link.seen_ms, link.seen_at = at_ms, now


def record_silence(
    state: MembershipState, host: str, now: float, *, refused: bool
) -> None:
    """Record that a keeper did not respond.

    :param refused: whether its VM refused the connection. Its process has ended then
        and counts no members.
    """
    if host == state.host:
        return
    state.silent[host] = now + RETRY_S
    for link in state.links.values():
        if refused and link.member_of == host:
            link.member_until = min(link.member_until, now)


def due_probes(state: MembershipState, now: float) -> tuple[str, ...]:
    """Return silent keepers to query again, and postpone their next query."""
    due = tuple(host for host, at in state.silent.items() if at <= now)
    for host in due:
        state.silent[host] = now + RETRY_S
    return due


def next_probe_at(state: MembershipState) -> float | None:
    """Return the time at which a silent keeper is queried again."""
    return min(state.silent.values(), default=None)


def renewal_at(state: MembershipState, group: int, now: float) -> float:
    """Return the time at which the keeper of a group must be queried again."""
    link = _link(state, group)
    keeper = keeper_of(state, group, now)
    if link.seen_ms == 0:
        return max(link.sent_at + _JOIN_PAUSE_S, 0.0)
    if link.member_of != keeper or now >= link.member_until:
        # The first query that may make this node a member.
        return max(link.sent_at + _JOIN_PAUSE_S, link.member_until)
    renewal_at = link.sent_at + renewal_s(state.known) * state.pace
    if keeper != _preferred(state, group):
        return min(renewal_at, link.member_until)
    return renewal_at


def queried_groups(
    state: MembershipState, groups: Iterable[int], now: float
) -> Mapping[str, tuple[int, ...]]:
    """Return the groups by the keeper to query."""
    by_keeper: dict[str, tuple[int, ...]] = {}
    for group in groups:
        keeper = keeper_of(state, group, now)
        by_keeper[keeper] = (*by_keeper.get(keeper, ()), group)
    return by_keeper
