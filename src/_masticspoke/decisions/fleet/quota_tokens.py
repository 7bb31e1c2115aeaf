"""Hold the tokens that a node has for each organisation, and refuse without them.

Handles an organisation that demands many times its limit at hundreds of nodes: after a
grant that was too small, the node refuses by itself until the keeper expects the next
token, so the queries of a node don't grow with the requests that it refuses.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from math import exp
from typing import final

from _masticspoke.decisions.fleet.model import Organisation
from _masticspoke.decisions.fleet.quota_keeper import Grant

# A token may be used for this long after the query for it was sent, seconds.
VALID_S = 0.4
# Tokens of this time's demand are asked for in advance. Much less than ``VALID_S``, or
# tokens at nodes with little demand would expire unused, and count against the limit.
AHEAD_S = 0.1
# As long as no grant was short within ``SCARCE_S``, more are asked for in advance, so
# that fewer requests wait for the keeper. Up to a fifth of them expire unused.
PLENTY_AHEAD_S = 0.25
SCARCE_S = 30.0
# Longest wait of a request for the keeper's response, seconds.
MAX_WAIT_S = 0.15
# Retry-After if no keeper responded, seconds.
UNKNOWN_RETRY_S = 0.3
# Shortest Retry-After, seconds; a time of 0 would ask for a retry at once.
MIN_RETRY_S = 0.02
# Time over which the retries of refused requests are spread, seconds. More would keep
# callers away from an organisation whose demand has fallen again.
MAX_SPREAD_S = 2.0
# Time over which demand is averaged, seconds.
_DEMAND_TAU_S = 0.5
_GRANTED_TAU_S = 1.0
# An organisation without requests is forgotten after this time, seconds.
KEEP_S = 60.0
MAX_ORGANISATIONS = 10_000
MAX_WANTED = 10_000


@final
@dataclass(slots=True)
class _Lot:
    """Tokens that were granted together."""

    tokens: int
    expires_at: float


@final
@dataclass(slots=True)
class Account:
    """Tokens of one organisation at this node.

    :param demand: sum of requests that fades with ``_DEMAND_TAU_S``.
    :param granted: sum of granted tokens that fades with ``_GRANTED_TAU_S``.
    :param refused: requests refused for want of tokens whose retry is to come, as of
        ``refused_at``.
    :param short_at: time of the last grant of fewer tokens than were asked for.
    :param empty_until: until then, requests are refused without a query.
    """

    organisation: Organisation
    asked_at: float
    lots: deque[_Lot] = field(default_factory=deque)
    demand: float = 0.0
    demand_at: float = 0.0
    granted: float = 0.0
    granted_at: float = 0.0
    refused: float = 0.0
    refused_at: float = 0.0
    empty_until: float = 0.0
    short_at: float = float("-inf")


@final
@dataclass(slots=True)
class TokenState:
    """Accounts by name of the organisation, the longest unused first."""

    accounts: dict[str, Account] = field(default_factory=dict)


def account_of(state: TokenState, organisation: Organisation, now: float) -> Account:
    """Return the account of an organisation, for a request that arrives now."""
    account = state.accounts.pop(organisation.name, None)
    if account is None or account.organisation != organisation:
        # Tokens of another limit are not used.
        account = Account(organisation, now, demand_at=now, granted_at=now)
    account.asked_at = now
    account.demand = _faded(account.demand, account.demand_at, now, _DEMAND_TAU_S) + 1
    account.demand_at = now
    state.accounts[organisation.name] = account
    _forget_unused(state, now)
    return account


def _faded(value: float, since: float, now: float, tau_s: float) -> float:
    return value * exp((since - now) / tau_s)


def _forget_unused(state: TokenState, now: float) -> None:
    while True:
        name = next(iter(state.accounts))
        is_unused = now - state.accounts[name].asked_at > KEEP_S
        if not is_unused and len(state.accounts) <= MAX_ORGANISATIONS:
            return
        del state.accounts[name]


def take(account: Account, now: float) -> float | None:
    """Take a token.

    :return: the time at which it expires; ``None`` if there is none.
    """
    lots = account.lots
    while lots and (lots[0].expires_at <= now or lots[0].tokens == 0):
        lots.popleft()
    if not lots:
        return None
    lots[0].tokens -= 1
    return lots[0].expires_at


def give_back(account: Account, expires_at: float, now: float) -> bool:
    """Put back a token that was not used; return whether it is still valid."""
    if expires_at <= now:
        return False
    account.lots.appendleft(_Lot(1, expires_at))
    return True


def held(account: Account, now: float) -> int:
    """Return the number of valid tokens."""
    return sum(lot.tokens for lot in account.lots if lot.expires_at > now)


def wanted(account: Account, waiting: int, now: float) -> int:
    """Return how many tokens to ask for.

    :param waiting: requests that wait for a token.
    """
    if now < account.empty_until:
        return 0
    ahead = _ahead(account, now)
    return max(0, min(MAX_WANTED, waiting + ahead - held(account, now)))


def _demand_per_s(account: Account, now: float) -> float:
    return _faded(account.demand, account.demand_at, now, _DEMAND_TAU_S) / _DEMAND_TAU_S


def runs_low(account: Account, now: float) -> bool:
    """Return whether to ask for tokens although no request waits for one."""
    return 2 * held(account, now) < _ahead(account, now)


def _ahead(account: Account, now: float) -> int:
    """Return how many tokens to hold for requests that are still to come."""
    demand_per_s = _demand_per_s(account, now)
    if now - account.short_at < SCARCE_S:
        return int(demand_per_s * AHEAD_S)
    return int(demand_per_s * PLENTY_AHEAD_S)


def may_wait(account: Account, waiting: int, until: float, now: float) -> bool:
    """Return whether one more request waits for a token after a grant that was short.

    :param waiting: requests that wait already.
    :param until: time until which it would wait.
    """
    if account.empty_until >= until:
        return False
    return waiting < 1 + int(_granted_per_s(account, now) * AHEAD_S)


def _granted_per_s(account: Account, now: float) -> float:
    granted = _faded(account.granted, account.granted_at, now, _GRANTED_TAU_S)
    return granted / _GRANTED_TAU_S


def add_grant(
    account: Account, grant: Grant, asked: int, sent_at: float, now: float
) -> None:
    """Add granted tokens.

    :param asked: how many were asked for.
    :param sent_at: when the query for them was sent.
    """
    if grant.tokens > 0 and sent_at + VALID_S > now:
        account.lots.append(_Lot(grant.tokens, sent_at + VALID_S))
    faded = _faded(account.granted, account.granted_at, now, _GRANTED_TAU_S)
    account.granted, account.granted_at = faded + grant.tokens, now
    if grant.tokens < asked:
        account.empty_until = now + grant.next_s
        account.short_at = now


def retry_s(account: Account, nodes: int, now: float) -> float:
    """Return the Retry-After of one more request that is refused for want of tokens.

    Those that were refused before it get their tokens first, at the rate at which this
    node was granted tokens lately, or at an even share of the limit if that is more.

    :param nodes: number of nodes of the fleet.
    """
    rate_per_s = account.organisation.rate_per_s
    granted_per_s = min(
        rate_per_s, max(_granted_per_s(account, now), rate_per_s / nodes)
    )
    due = (now - account.refused_at) * granted_per_s
    account.refused = max(0.0, account.refused - due)
    account.refused_at = now
    spread_s = (account.refused / granted_per_s) % MAX_SPREAD_S
    account.refused += 1
    return max(MIN_RETRY_S, account.empty_until - now) + spread_s
