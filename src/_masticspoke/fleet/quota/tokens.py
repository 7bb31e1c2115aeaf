"""Own this node's tokens of organisations, and the queries for more of them."""

from __future__ import annotations

from collections import Counter
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from typing import final

from _masticspoke.decisions.fleet import quota_membership as membership
from _masticspoke.decisions.fleet import quota_tokens as tokens
from _masticspoke.decisions.fleet.log_rate_limit import Importance
from _masticspoke.decisions.fleet.model import Configuration
from _masticspoke.decisions.fleet.quota_keeper import Limit
from _masticspoke.decisions.fleet.quota_keeper import QuotaQuery
from _masticspoke.decisions.fleet.quota_keeper import Want
from _masticspoke.decisions.fleet.quota_membership import MembershipState
from _masticspoke.decisions.fleet.quota_ranking import group_of
from _masticspoke.decisions.fleet.quota_tokens import TokenState
from _masticspoke.events import Event
from _masticspoke.fleet.messages import ServersChanged
from _masticspoke.fleet.quota.messages import AskQuotaCounts
from _masticspoke.fleet.quota.messages import NoToken
from _masticspoke.fleet.quota.messages import QueryEnded
from _masticspoke.fleet.quota.messages import QuotaCounts
from _masticspoke.fleet.quota.messages import QuotaMessage
from _masticspoke.fleet.quota.messages import ReturnToken
from _masticspoke.fleet.quota.messages import SendQuery
from _masticspoke.fleet.quota.messages import TakeToken
from _masticspoke.fleet.quota.messages import Token
from _masticspoke.fleet.reporting.counts import TrailMessage
from _masticspoke.fleet.reporting.event_record import EventRecord
from _masticspoke.supervise.latest import Latest
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply
from _masticspoke.supervise.server import Handlers
from _masticspoke.supervise.server import serve_at_once
from _masticspoke.supervise.supervisor import Clock

# Time between two looks at whether the configuration has limits, seconds.
_IDLE_S = 1.0
# After a grant that was short, an organisation counts as at its limit for this time
# beyond the time that the keeper named, seconds.
_KNOWN_EMPTY_S = 0.2
# A query counts as lost after this time, which is longer than its timeout, seconds.
_LOST_S = 0.5
# Two steps without a message are at least this far apart, seconds.
_MIN_INTERVAL_S = 0.002
# Organisations with a counter of their own.
_MAX_COUNTED = 64
# An organisation at its limit is logged once in this time, seconds.
_LOG_INTERVAL_S = 10.0


@final
@dataclass(frozen=True, slots=True)
class _Waiter:
    reply: Reply[Token | NoToken]
    until: float


@final
@dataclass(frozen=True, slots=True)
class _OpenQuery:
    sent_at: float
    groups: tuple[int, ...]
    asked: dict[str, int]


@final
@dataclass(slots=True)
class QuotaTask:
    """State of the quota task, which outlives a crash of the task.

    :param host: IP address of this node.
    :param groups: groups with a limited organisation in the configuration ``version``.
    :param waiting: requests that wait for a token, by organisation.
    :param low: organisations whose tokens run low.
    :param open: queries that have not ended, by keeper.
    :param due_at: time of the next step that no message causes.
    :param counts: requests and queries by result since the start.
    :param refused: refused requests by organisation since the start.
    """

    host: str
    configuration: Latest[Configuration | None]
    sender: Mailbox[SendQuery]
    trail: Mailbox[TrailMessage]
    counts: Counter[str]
    refused: Counter[str]
    membership: MembershipState
    tokens: TokenState = field(default_factory=TokenState)
    version: int = 0
    groups: tuple[int, ...] = ()
    waiting: dict[str, deque[_Waiter]] = field(default_factory=dict)
    low: set[str] = field(default_factory=set)
    open: dict[str, _OpenQuery] = field(default_factory=dict)
    due_at: float = 0.0
    logged_at: dict[str, float] = field(default_factory=dict)


def new_quota_task(
    host: str,
    configuration: Latest[Configuration | None],
    sender: Mailbox[SendQuery],
    trail: Mailbox[TrailMessage],
) -> QuotaTask:
    """Return the state of a new node's quota task.

    :param host: IP address of the node.
    """
    return QuotaTask(
        host, configuration, sender, trail, Counter(), Counter(), MembershipState(host)
    )


def quota(inbox: Mailbox[QuotaMessage], state: QuotaTask, clock: Clock) -> ChildBody:
    """Return the body of the quota task."""

    async def run(life: Lifecycle) -> None:
        await serve_at_once(
            inbox,
            state,
            HANDLERS,
            clock,
            life,
            after_each=step_if_due,
            wait_s=lambda state, now: max(0.0, state.due_at - now),
            on_timer=set_due,
        )

    return run


def _take_token(state: QuotaTask, message: TakeToken, now: float) -> None:
    organisation = message.organisation
    account = tokens.account_of(state.tokens, organisation, now)
    expires_at = tokens.take(account, now)
    if expires_at is not None:
        message.reply.answer(Token(organisation.name, expires_at))
        state.counts["granted"] += 1
        if tokens.runs_low(account, now):
            state.low.add(organisation.name)
            state.due_at = now
        return
    until = now + tokens.MAX_WAIT_S
    waiting = len(state.waiting.get(organisation.name, ()))
    is_empty = now < account.empty_until
    if is_empty and not tokens.may_wait(account, waiting, until, now):
        _refuse(state, message.reply, organisation.name, now)
        return
    waiters = state.waiting.setdefault(organisation.name, deque())
    waiters.append(_Waiter(message.reply, until))
    state.due_at = min(state.due_at, until) if is_empty else now


def _refuse(
    state: QuotaTask, reply: Reply[Token | NoToken], name: str, now: float
) -> None:
    account = state.tokens.accounts[name]
    retry_s = tokens.retry_s(account, state.membership.known, now)
    state.counts["refused"] += 1
    is_counted = name in state.refused or len(state.refused) < _MAX_COUNTED
    state.refused[name if is_counted else "other"] += 1
    reply.answer(NoToken(True, retry_s))
    if now - state.logged_at.get(name, float("-inf")) < _LOG_INTERVAL_S:
        return
    state.logged_at = {
        logged: at for logged, at in state.logged_at.items() if now - at < 60.0
    } | {name: now}
    fields = {
        "organisation": name,
        "limit_per_s": account.organisation.rate_per_s,
        "keeper": membership.keeper_of(state.membership, group_of(name), now),
        "retry_s": round(retry_s, 2),
    }
    state.trail.tell(EventRecord(Event.QUOTA_REACHED, fields, Importance.CHANGE))


def _return_token(state: QuotaTask, message: ReturnToken, now: float) -> None:
    account = state.tokens.accounts.get(message.token.organisation)
    if account is not None and tokens.give_back(account, message.token.expires_at, now):
        state.counts["returned"] += 1
        _serve_waiting(state, message.token.organisation, now)


def _query_ended(state: QuotaTask, message: QueryEnded, now: float) -> None:
    query = state.open.pop(message.keeper, None)
    response = message.response
    if response is None:
        state.counts["silent"] += 1
        _record_silence(state, message, now)
    elif query is not None:
        state.counts["answered"] += 1
        was_silent = message.keeper in state.membership.silent
        membership.record_response(
            state.membership, message.keeper, response.at_ms, query.groups, now
        )
        if was_silent:
            _log_keeper(state, Event.KEEPER_RESPONDS, message.keeper)
        for name, asked in query.asked.items():
            grant = response.grants.get(name)
            account = state.tokens.accounts.get(name)
            if grant is not None and account is not None:
                tokens.add_grant(account, grant, asked, query.sent_at, now)
                _serve_waiting(state, name, now)
    state.due_at = now


def _record_silence(state: QuotaTask, message: QueryEnded, now: float) -> None:
    was_silent = message.keeper in state.membership.silent
    membership.record_silence(
        state.membership, message.keeper, now, refused=message.refused
    )
    if not was_silent:
        _log_keeper(state, Event.KEEPER_SILENT, message.keeper)


def _log_keeper(state: QuotaTask, event: Event, keeper: str) -> None:
    record = EventRecord(event, {"keeper": keeper}, Importance.CHANGE)
    state.trail.tell(record)


def _serve_waiting(state: QuotaTask, name: str, now: float) -> None:
    account = state.tokens.accounts.get(name)
    waiters = state.waiting.get(name)
    while waiters and account is not None:
        if waiters[0].reply.abandoned:
            waiters.popleft()
            continue
        expires_at = tokens.take(account, now)
        if expires_at is None:
            break
        waiters.popleft().reply.answer(Token(name, expires_at))
        state.counts["granted"] += 1
    if waiters and account is not None and now < account.empty_until:
        last = waiters[0].until
        while waiters and not tokens.may_wait(account, len(waiters) - 1, last, now):
            _refuse(state, waiters.pop().reply, name, now)
    if not waiters:
        state.waiting.pop(name, None)


def _servers_changed(state: QuotaTask, message: ServersChanged, now: float) -> None:
    membership.learn_servers(state.membership, message.servers)
    state.due_at = now


def _ask_counts(state: QuotaTask, message: AskQuotaCounts, now: float) -> None:
    message.reply.answer(QuotaCounts(dict(state.counts), dict(state.refused)))


HANDLERS: Handlers[QuotaTask] = {
    AskQuotaCounts: _ask_counts,
    TakeToken: _take_token,
    ReturnToken: _return_token,
    QueryEnded: _query_ended,
    ServersChanged: _servers_changed,
}


def set_due(state: QuotaTask, now: float) -> None:
    """Make the next step due, when the timer has ended."""
    state.due_at = now


def step_if_due(state: QuotaTask, now: float) -> None:
    """Refuse requests that waited too long, and send the queries that are due."""
    if now >= state.due_at:
        _read_groups(state)
        _give_up_waiting(state, now)
        _send_queries(state, now)
        state.due_at = _next_due_at(state, now)


def _read_groups(state: QuotaTask) -> None:
    configuration = state.configuration.value
    if configuration is None or configuration.version == state.version:
        return
    state.version = configuration.version
    organisations = (configuration.organisations or {}).values()
    limited = {group_of(o.name) for o in organisations if o.rate_per_s > 0}
    state.groups = tuple(sorted(limited))


def _give_up_waiting(state: QuotaTask, now: float) -> None:
    for name, waiters in list(state.waiting.items()):
        account = state.tokens.accounts.get(name)
        while waiters and waiters[0].until <= now:
            reply = waiters.popleft().reply
            if account is not None and now - account.empty_until < _KNOWN_EMPTY_S:
                _refuse(state, reply, name, now)
                continue
            reply.answer(NoToken(False, tokens.UNKNOWN_RETRY_S))
            state.counts["unknown"] += 1
        if not waiters:
            del state.waiting[name]
    for keeper, query in list(state.open.items()):
        if now - query.sent_at > _LOST_S:
            del state.open[keeper]


def _send_queries(state: QuotaTask, now: float) -> None:
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
    state.open[keeper] = _OpenQuery(now, queried, own)
    state.low.difference_update(own)
    state.sender.tell(SendQuery(keeper, query))


def _want(state: QuotaTask, name: str, count: int) -> Want:
    organisation = state.tokens.accounts[name].organisation
    return Want(count, Limit(organisation.rate_per_s, organisation.burst))


def _next_due_at(state: QuotaTask, now: float) -> float:
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
