"""Field names of the configuration that the users' platform operator publishes."""

from __future__ import annotations

# Columns of a route row, in order.
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
