"""The operator's configuration, decoded once into routes."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from _masticspoke.decisions.fleet.model import Configuration
from _masticspoke.decisions.fleet.model import Limits
from _masticspoke.decisions.fleet.model import Route
from _masticspoke.decisions.fleet.model import Share
from _masticspoke.platform.names import REPEATABLE_KINDS

# Used where a route leaves the field out, milliseconds.
_DEFAULT_TIMEOUT_MS = 30_000.0
_LEAST_URGENT = 9


def decode_configuration(raw: bytes) -> Configuration | None:
    """Return the configuration that the operator published.

    :return: ``None`` when it is cut short or not valid.
    """
    try:
        found = json.loads(raw)
        routes = [_route(row) for row in _rows(found["routes"])]
        return Configuration(
            version=int(found["version"]),
            routes={(route.host, route.prefix): route for route in routes},
            health_paths={
                row["name"]: row.get("health_check_path") or "/health"
                for row in _rows(found.get("services") or {})
            },
            limits=_limits(found.get("limits") or {}),
        )
    except (ValueError, TypeError, KeyError, AttributeError):
        return None


def _rows(table: Mapping[str, Any]) -> list[dict[str, Any]]:
    columns = table.get("columns", [])
    rows = [dict(zip(columns, row, strict=True)) for row in table.get("rows", [])]
    return [{k: v for k, v in row.items() if v is not None} for row in rows]


def _route(row: Mapping[str, Any]) -> Route:
    timeout_ms = float(row.get("timeout_ms", _DEFAULT_TIMEOUT_MS))
    return Route(
        name=str(row["name"]),
        host=str(row["host"]).lower(),
        prefix=str(row["path_prefix"]),
        repeatable=row.get("route_kind") in REPEATABLE_KINDS,
        timeout_s=timeout_ms / 1000,
        objective_s=float(row.get("target_latency_ms", timeout_ms)) / 1000,
        rank=int(row.get("priority", _LEAST_URGENT)),
        max_attempts=int(row.get("max_attempts", 1)),
        shares=_shares(row),
    )


def _shares(row: Mapping[str, Any]) -> tuple[Share, ...]:
    clusters = row.get("weighted_clusters")
    if clusters:
        return tuple(Share(str(c["service"]), float(c["weight"])) for c in clusters)
    return (Share(str(row["service"]), 1.0),)


def _limits(found: Mapping[str, Any]) -> Limits:
    usual = Limits()
    return Limits(
        header_bytes=int(found.get("max_header_bytes", usual.header_bytes)),
        body_bytes=int(found.get("max_body_bytes", usual.body_bytes)),
        header_timeout_s=_seconds(found, "header_timeout_ms", usual.header_timeout_s),
        idle_timeout_s=_seconds(found, "idle_timeout_ms", usual.idle_timeout_s),
    )


def _seconds(found: Mapping[str, Any], name: str, usual_s: float) -> float:
    return float(found[name]) / 1000 if found.get(name) is not None else usual_s
