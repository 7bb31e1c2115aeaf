"""The children of the supervisor tree that keep quotas, and their metrics."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Mapping

from _masticspoke.fleet.parts import FleetParts
from _masticspoke.fleet.quota.keeper import quota_keeper
from _masticspoke.fleet.quota.messages import AskQuotaCounts
from _masticspoke.fleet.quota.messages import AskShares
from _masticspoke.fleet.quota.messages import QuotaCounts
from _masticspoke.fleet.quota.queries import query_sender
from _masticspoke.fleet.quota.queries import QueryPort
from _masticspoke.fleet.quota.tokens import quota
from _masticspoke.fleet.reporting.counts import quota_samples
from _masticspoke.metrics.families import Sample
from _masticspoke.metrics.families import Summary
from _masticspoke.supervise.ask import ask
from _masticspoke.supervise.clocks import boot_clock
from _masticspoke.supervise.mailbox import Reply
from _masticspoke.supervise.supervisor import ChildSpec


def quota_children(parts: FleetParts) -> tuple[ChildSpec, ...]:
    """Return keeper, sender of queries and quota task."""
    nodes = parts.settings.nodes
    port = QueryPort(
        parts.quota,
        parts.quota_keeper,
        parts.node_connections,
        nodes.host,
        nodes.port,
    )
    keeper_body = quota_keeper(parts.quota_keeper, parts.quota_keeper_task, boot_clock)
    return (
        ChildSpec("quota_keeper", keeper_body),
        ChildSpec("quota_queries", query_sender(parts.quota_queries, port)),
        ChildSpec("quota", quota(parts.quota, parts.quota_task, boot_clock)),
    )


async def read_quota_samples(parts: FleetParts) -> Iterator[Sample | Summary]:
    """Return the metrics of quotas, as far as the tasks respond."""
    counted: Reply[QuotaCounts] = Reply()
    counts = await ask(parts.quota, AskQuotaCounts(counted), counted)
    shared: Reply[Mapping[int, float]] = Reply()
    shares = await ask(parts.quota_keeper, AskShares(shared), shared)
    return quota_samples(counts or QuotaCounts(), shares or {})
