"""Own this node's tokens of organisations, and the queries for more of them."""

from __future__ import annotations

from collections import deque

from _masticspoke.decisions.fleet import quota_membership as membership
from _masticspoke.decisions.fleet import quota_tokens as tokens
from _masticspoke.decisions.fleet.log_rate_limit import Importance
from _masticspoke.decisions.fleet.quota_ranking import group_of
from _masticspoke.events import Event
from _masticspoke.fleet.dispatch.messages import ServersChanged
from _masticspoke.fleet.quota.asking import next_due_at
from _masticspoke.fleet.quota.asking import send_queries
from _masticspoke.fleet.quota.messages import AskQuotaCounts
from _masticspoke.fleet.quota.messages import NoToken
from _masticspoke.fleet.quota.messages import QueryEnded
from _masticspoke.fleet.quota.messages import QuotaCounts
from _masticspoke.fleet.quota.messages import QuotaMessage
from _masticspoke.fleet.quota.messages import ReturnToken
from _masticspoke.fleet.quota.messages import TakeToken
from _masticspoke.fleet.quota.messages import Token
from _masticspoke.fleet.quota.state import QuotaTask
from _masticspoke.fleet.quota.state import Waiter
from _masticspoke.fleet.reporting.event_record import EventRecord
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply
from _masticspoke.supervise.server import Handlers
from _masticspoke.supervise.server import serve_at_once
from _masticspoke.supervise.supervisor import Clock

# After a grant that was short, an organisation counts as at its limit for this time
# beyond the time that the keeper named, seconds.
_KNOWN_EMPTY_S = 0.2
# Organisations with a counter of their own.
_MAX_COUNTED = 64
# An organisation at its limit is logged once in this time, seconds.
_LOG_INTERVAL_S = 10.0


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
    waiters.append(Waiter(message.reply, until))
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
        _give_up_waiting(state, now)
        send_queries(state, now)
        state.due_at = next_due_at(state, now)


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
