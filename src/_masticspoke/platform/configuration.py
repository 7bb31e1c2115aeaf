"""The operator's configuration, decoded once into routes."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from _masticspoke.border.json_values import finite_number
from _masticspoke.border.json_values import MALFORMED
from _masticspoke.border.json_values import plain_text
from _masticspoke.border.json_values import whole_number
from _masticspoke.decisions.fleet.model import Configuration
from _masticspoke.decisions.fleet.model import Limits
from _masticspoke.decisions.fleet.model import Organisation
from _masticspoke.decisions.fleet.model import Route
from _masticspoke.decisions.fleet.model import Share
from _masticspoke.platform.names import IDEMPOTENT_KINDS

# Defaults for routes that don't set the field.
_DEFAULT_TIMEOUT_MS = 30_000.0
_DEFAULT_HEALTH_PATH = "/health"
_DEFAULT_PRIORITY = 9  # the least urgent


def decode_configuration(raw: bytes) -> Configuration | None:
    """Return the configuration that the operator published.

    :return: ``None`` if it is truncated or malformed.
    """
    try:
        document = json.loads(raw)
        routes = [_route(row) for row in _rows(document["routes"])]
        return Configuration(
            version=whole_number(document["version"]),
            routes={(route.host, route.prefix): route for route in routes},
            health_paths={
                plain_text(row["name"]): _path(row.get("health_check_path"))
                for row in _rows(document.get("services") or {})
            },
            limits=_limits(document.get("limits") or {}),
            organisations=_organisations(document.get("tenants")),
        )
    except MALFORMED:
        return None


def _path(value: Any) -> str:
    path = plain_text(value or _DEFAULT_HEALTH_PATH)
    if not path.startswith("/") or " " in path:
        raise ValueError("not a path")
    return path


def _rows(table: Mapping[str, Any]) -> list[dict[str, Any]]:
    """Return a table's rows by column name, without fields that are null."""
    columns = table.get("columns", [])
    rows = [dict(zip(columns, row, strict=True)) for row in table.get("rows", [])]
    return [{k: v for k, v in row.items() if v is not None} for row in rows]


def _route(row: Mapping[str, Any]) -> Route:
    timeout_ms = finite_number(row.get("timeout_ms", _DEFAULT_TIMEOUT_MS))
    return Route(
        name=plain_text(row["name"]),
        host=plain_text(row["host"]).lower(),
        prefix=plain_text(row["path_prefix"]),
        idempotent=row.get("route_kind") in IDEMPOTENT_KINDS,
        timeout_s=timeout_ms / 1000,
        objective_s=finite_number(row.get("target_latency_ms", timeout_ms)) / 1000,
        rank=int(row.get("priority", _DEFAULT_PRIORITY)),
        max_attempts=int(row.get("max_attempts", 1)),
        shares=_shares(row),
        public=_flag(row.get("public", False)),
    )


def _flag(value: Any) -> bool:
    if not isinstance(value, bool):
        raise ValueError("not a boolean")
    return value


def _organisations(table: Any) -> Mapping[str, Organisation] | None:
    """Return the organisations by key; ``None`` without a table.

    :raises ValueError: if two organisations share a key or a name.
    :raises TypeError: if a field is of another type.
    """
    if table is None:
        return None
    by_key: dict[str, Organisation] = {}
    names: set[str] = set()
    for row in _rows(table):
        organisation = _organisation(row)
        if organisation.name in names:
            raise ValueError("two organisations with one name")
        names.add(organisation.name)
        for key in map(_name, _list(row.get("api_keys", []))):
            if by_key.setdefault(key, organisation) is not organisation:
                raise ValueError("two organisations with one key")
    return by_key


def _list(value: Any) -> list[Any]:
    """Return a list; a text in its place isn't taken for a list of characters."""
    if not isinstance(value, list):
        raise TypeError("not a list")
    return value


def _quota(value: Any) -> float:
    if isinstance(value, bool | str):
        raise TypeError("not a number")
    quota = finite_number(value)
    if quota < 0:
        raise ValueError("a negative quota")
    return quota


def _name(value: Any) -> str:
    if value == "":
        raise ValueError("an empty name or key")
    return plain_text(value)


def _organisation(row: Mapping[str, Any]) -> Organisation:
    return Organisation(
        name=_name(row["name"]),
        rank=whole_number(row["priority"]) if "priority" in row else None,
        rate_per_s=_quota(row.get("rate_per_s", 0)),
        burst=_quota(row.get("burst", 0)),
    )


def _shares(row: Mapping[str, Any]) -> tuple[Share, ...]:
    clusters = row.get("weighted_clusters")
    if clusters:
        return tuple(
            Share(plain_text(c["service"]), finite_number(c["weight"]))
            for c in clusters
        )
    return (Share(plain_text(row["service"]), 1.0),)


def _limits(limits: Mapping[str, Any]) -> Limits:
    default = Limits()
    return Limits(
        header_bytes=int(limits.get("max_header_bytes", default.header_bytes)),
        body_bytes=int(limits.get("max_body_bytes", default.body_bytes)),
        header_timeout_s=_seconds(
            limits, "header_timeout_ms", default.header_timeout_s
        ),
        idle_timeout_s=_seconds(limits, "idle_timeout_ms", default.idle_timeout_s),
    )


def _seconds(limits: Mapping[str, Any], name: str, default_s: float) -> float:
    return (
        finite_number(limits[name]) / 1000
        if limits.get(name) is not None
        else default_s
    )
