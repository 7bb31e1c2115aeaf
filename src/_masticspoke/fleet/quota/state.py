"""State of the quota task."""

from __future__ import annotations

from collections import Counter
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import final

from _masticspoke.decisions.fleet.model import Configuration
from _masticspoke.decisions.fleet.quota_membership import MembershipState
from _masticspoke.decisions.fleet.quota_tokens import TokenState
from _masticspoke.fleet.quota.messages import NoToken
from _masticspoke.fleet.quota.messages import SendQuery
from _masticspoke.fleet.quota.messages import Token
from _masticspoke.fleet.reporting.counts import TrailMessage
from _masticspoke.supervise.latest import Latest
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply


@final
@dataclass(frozen=True, slots=True)
class Waiter:
    """A request that waits for a token.

    :param until: time until which it waits.
    """

    reply: Reply[Token | NoToken]
    until: float


@final
@dataclass(frozen=True, slots=True)
class OpenQuery:
    """A query to a keeper that has not ended.

    :param asked: tokens asked for, by organisation.
    """

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
    waiting: dict[str, deque[Waiter]] = field(default_factory=dict)
    low: set[str] = field(default_factory=set)
    open: dict[str, OpenQuery] = field(default_factory=dict)
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
