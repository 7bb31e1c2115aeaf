"""Settings that the platform writes for each process.

The template ``deploy/node.ini`` maps the platform's fields to this project's names.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from configparser import ConfigParser
from configparser import Error
from configparser import SectionProxy
from pathlib import Path

from _masticspoke.border.addresses import parse_address
from _masticspoke.decisions.fleet.budget import BudgetBounds
from _masticspoke.decisions.fleet.learned_limit import LearningMode
from _masticspoke.decisions.fleet.model import QuotaBounds
from _masticspoke.errors import SettingsError
from _masticspoke.fleet.settings import FleetSettings
from _masticspoke.model import Address

SETTINGS_VARIABLE = "MASTICSPOKE_SETTINGS"
_REMEDY = "correct the template deploy/node.ini or the platform's settings"
# Time at the end of the grace period that is reserved for closing connections.
_CLOSING_RESERVE_S = 0.8
_DEFAULT_GRACE_S = 6.0
_BYTES_PER_MB = 1_048_576
_TRUTH = {"true": 1, "false": 0}


def load_fleet_settings(path: Path) -> FleetSettings:
    """Return the settings in a file.

    :raises SettingsError: if the file can't be read or a field is missing or wrong.
    """
    parser = ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text("utf-8"), source=str(path))
        node, addresses = parser["node"], parser["addresses"]
        bounds = _bounds(parser["contract"].get("bounds", ""))
        return FleetSettings(
            name=node["name"],
            zone=node["zone"],
            service=node["service"],
            clients=_address(addresses, "clients"),
            nodes=_address(addresses, "nodes"),
            readiness=_address(addresses, "readiness"),
            control_plane=_address(addresses, "control_plane"),
            backend=_address(addresses, "backend"),
            metrics=_address(addresses, "metrics"),
            seeds=_hosts(addresses.get("seeds", "")),
            log=_address(parser["log"], "address"),
            budget=_budget(bounds),
            stop_timeout_s=bounds.get("grace_period_s", _DEFAULT_GRACE_S)
            - _CLOSING_RESERVE_S,
            revocation_s=_revocation_s(bounds),
            learned_limit=LearningMode(
                parser.get("guard", "learned_limit", fallback=LearningMode.AUTO)
            ),
            quota=_quota(bounds),
            memory_limit_bytes=_memory_limit_bytes(parser),
        )
    except (OSError, Error, KeyError, ValueError) as error:
        raise SettingsError(f"settings {path}: {error!r}", _REMEDY) from None


def _address(section: SectionProxy, name: str) -> Address:
    try:
        return parse_address(section[name])
    except ValueError as error:
        raise ValueError(f"{section.name}.{name}: {error}") from None


def _hosts(text: str) -> tuple[str, ...]:
    addresses = (address.strip() for address in text.split(","))
    return tuple(parse_address(address).host for address in addresses if address)


def _bounds(text: str) -> Mapping[str, float]:
    """Return the numeric bounds; ``true`` counts as 1 and ``false`` as 0.

    The platform writes them as a JSON object or as ``name=value`` texts. Bounds that
    are not numbers belong to other contracts.
    """
    if text.lstrip().startswith("{"):
        values = json.loads(text)
    else:
        pairs = (bound.partition("=") for bound in text.split(","))
        values = {name.strip(): value.strip() for name, _, value in pairs}
    bounds = {}
    for name, value in values.items():
        try:
            bounds[name] = float(_TRUTH.get(str(value).lower(), value))
        except (TypeError, ValueError):
            continue
    return bounds


def _memory_limit_bytes(parser: ConfigParser) -> float | None:
    """Return the limit; the platform leaves the field empty where there is none."""
    text = parser.get("limits", "memory_mb", fallback="").strip()
    if not text.isdigit() or int(text) == 0:
        return None
    return int(text) * _BYTES_PER_MB


def _revocation_s(bounds: Mapping[str, float]) -> float | None:
    if not bounds.get("revoke_partitioned") or "revocation_ms" not in bounds:
        return None
    return bounds["revocation_ms"] / 1000


def _quota(bounds: Mapping[str, float]) -> QuotaBounds:
    default = QuotaBounds()
    return QuotaBounds(
        window_s=bounds.get("quota_window_s", default.window_s),
        overshoot=bounds.get("quota_overshoot", default.overshoot),
        tolerance=bounds.get("quota_tolerance", default.tolerance),
    )


def _budget(bounds: Mapping[str, float]) -> BudgetBounds:
    default = BudgetBounds()
    return BudgetBounds(
        ratio=bounds.get("retry_budget_ratio", default.ratio),
        extra=bounds.get("retry_budget_extra", default.extra),
        window_s=bounds.get("budget_window_s", default.window_s),
    )
