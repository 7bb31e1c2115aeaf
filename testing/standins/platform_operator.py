"""What the operator of the users' platform writes."""

from __future__ import annotations

# Fields of a route, in the order of each row.
COLUMNS = [
    "name",
    "host",
    "path_prefix",
    "route_kind",
    "timeout_ms",
    "target_latency_ms",
    "priority",
    "weighted_clusters",
    "max_attempts",
    "service",
]
