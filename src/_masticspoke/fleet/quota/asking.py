"""Decide which queries to keepers the quota task sends, and when."""

from __future__ import annotations

from collections.abc import Iterable

from _masticspoke.decisions.fleet import quota_membership as membership
from _masticspoke.decisions.fleet import quota_tokens as tokens
from _masticspoke.decisions.fleet.quota_keeper import Limit
from _masticspoke.decisions.fleet.quota_keeper import QuotaQuery
from _masticspoke.decisions.fleet.quota_keeper import Want
from _masticspoke.decisions.fleet.quota_ranking import group_of
from _masticspoke.fleet.quota.messages import SendQuery
from _masticspoke.fleet.quota.state import OpenQuery
from _masticspoke.fleet.quota.state import QuotaTask

# Time between two looks at whether the configuration has limits, seconds.
_IDLE_S = 1.0
# A query counts as lost after this time, which is longer than its timeout, seconds.
_LOST_S = 0.5
# Two steps without a message are at least this far apart, seconds.
_MIN_INTERVAL_S = 0.002


def send_queries(state: QuotaTask, now: float) -> None:
    """Send the queries that are due: for tokens, memberships and silent keepers."""
    _read_groups(state)
    for keeper, query in list(state.open.items()):
        if now - query.sent_at > _LOST_S:
            del state.open[keeper]
    asked = _asked_tokens(state, now)
    groups = {group_of(name) for name in asked}
    groups |= {
        group
        for group in state.groups
        if membership.renewal_at(state.membership, group, now) <= now
    }
    by_keeper = membership.queried_groups(state.membership, groups, now)
    everything = membership.queried_groups(state.membership, state.groups, now)
    for keeper, queried in by_keeper.items():
        if keeper not in state.open:
            # One query renews the memberships of all groups of a keeper.
            queried = tuple({*queried, *everything.get(keeper, ())})
            _send_query(state, keeper, queried, asked, now)
    if state.groups:
        for keeper in membership.due_probes(state.membership, now):
            if keeper not in state.open:
                _send_query(state, keeper, (), {}, now)


def _asked_tokens(state: QuotaTask, now: float) -> dict[str, int]:
    asked = {}
    for name in {*state.waiting, *state.low}:
        account = state.tokens.accounts.get(name)
        if account is not None:
            waiting = len(state.waiting.get(name, ()))
            asked[name] = tokens.wanted(account, waiting, now)
    asked = {name: count for name, count in asked.items() if count > 0}
    state.low.intersection_update(asked)
    return asked


def _send_query(
    state: QuotaTask,
    keeper: str,
    groups: Iterable[int],
    asked: dict[str, int],
    now: float,
) -> None:
    queried = tuple(groups)
    own = {name: n for name, n in asked.items() if group_of(name) in queried}
    query = QuotaQuery(
        node=state.host,
        version=state.version,
        known=state.membership.known,
        seen_ms={
            group: membership.seen_ms(state.membership, group, now) for group in queried
        },
        wants={
            (group_of(name), name): _want(state, name, count)
            for name, count in own.items()
        },
    )
    state.open[keeper] = OpenQuery(now, queried, own)
    state.low.difference_update(own)
    state.sender.tell(SendQuery(keeper, query))


def _want(state: QuotaTask, name: str, count: int) -> Want:
    organisation = state.tokens.accounts[name].organisation
    return Want(count, Limit(organisation.rate_per_s, organisation.burst))


def _read_groups(state: QuotaTask) -> None:
    configuration = state.configuration.value
    if configuration is None or configuration.version == state.version:
        return
    state.version = configuration.version
    organisations = (configuration.organisations or {}).values()
    limited = {group_of(o.name) for o in organisations if o.rate_per_s > 0}
    state.groups = tuple(sorted(limited))


def next_due_at(state: QuotaTask, now: float) -> float:
    """Return the time of the next step that no message causes."""
    times = [now + _IDLE_S]
    for name, waiters in state.waiting.items():
        times.append(waiters[0].until)
        account = state.tokens.accounts.get(name)
        if account is not None and now < account.empty_until:
            times.append(account.empty_until)
    times += [query.sent_at + _LOST_S for query in state.open.values()]
    if state.groups:
        probe_at = membership.next_probe_at(state.membership)
        times += [] if probe_at is None else [probe_at]
    for group in state.groups:
        keeper = membership.keeper_of(state.membership, group, now)
        if keeper not in state.open:  # else the end of the query causes a step
            times.append(membership.renewal_at(state.membership, group, now))
    return max(min(times), now + _MIN_INTERVAL_S)
