"""Messages between the tasks that keep quotas.

The first line of each docstring names the sender, the receiver and the content.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import final

from _masticspoke.decisions.fleet.model import Organisation
from _masticspoke.decisions.fleet.quota_keeper import QuotaQuery
from _masticspoke.decisions.fleet.quota_keeper import QuotaResponse
from _masticspoke.fleet.dispatch.messages import ServersChanged
from _masticspoke.supervise.mailbox import Reply


@final
@dataclass(frozen=True, slots=True)
class Token:
    """Quota task's reply: the request may be sent.

    :param expires_at: time at which the token is worth nothing more; 0 for an
        organisation without a limit.
    """

    organisation: str
    expires_at: float


@final
@dataclass(frozen=True, slots=True)
class NoToken:
    """Quota task's reply: the request may not be sent.

    :param limit_reached: whether the organisation's limit is reached; otherwise no
        keeper responded, so that nothing is known of it.
    :param retry_s: seconds until a token is expected.
    """

    limit_reached: bool
    retry_s: float


@final
@dataclass(frozen=True, slots=True)
class TakeToken:
    """Request task to quota task: take a token of an organisation."""

    organisation: Organisation
    reply: Reply[Token | NoToken]


@final
@dataclass(frozen=True, slots=True)
class ReturnToken:
    """Request task to quota task: no guard ran the request that took this token."""

    token: Token


@final
@dataclass(frozen=True, slots=True)
class SendQuery:
    """Quota task to sender of queries: query a keeper."""

    keeper: str
    query: QuotaQuery


@final
@dataclass(frozen=True, slots=True)
class QueryEnded:
    """Sender of queries to quota task: how a query ended.

    :param response: ``None`` if the keeper did not respond.
    :param refused: whether its VM refused the connection.
    """

    keeper: str
    response: QuotaResponse | None
    refused: bool = False


@final
@dataclass(frozen=True, slots=True)
class KeeperAsked:
    """Inbound listener or sender of queries to keeper: answer a query."""

    query: QuotaQuery
    reply: Reply[QuotaResponse]


@final
@dataclass(frozen=True, slots=True)
class QuotaCounts:
    """Quota task's reply: what came of requests and queries since the start.

    :param results: counts by result.
    :param refused: refused requests by organisation; those of further ones are counted
        as ``other``.
    """

    results: Mapping[str, int] = field(default_factory=dict)
    refused: Mapping[str, int] = field(default_factory=dict)


@final
@dataclass(frozen=True, slots=True)
class AskQuotaCounts:
    """Metrics listener to quota task: return the counts."""

    reply: Reply[QuotaCounts]


@final
@dataclass(frozen=True, slots=True)
class AskShares:
    """Metrics listener to keeper: return the share that it grants, by group."""

    reply: Reply[Mapping[int, float]]


QuotaMessage = TakeToken | ReturnToken | QueryEnded | ServersChanged | AskQuotaCounts
KeeperMessage = KeeperAsked | ServersChanged | AskShares
