"""Settings that the platform writes for each process.

The template ``deploy/node.ini`` puts the platform's fields under this project's names.
"""

from __future__ import annotations

from collections.abc import Mapping
from configparser import ConfigParser
from configparser import Error
from configparser import SectionProxy
from pathlib import Path

from _masticspoke.border.addresses import parse_address
from _masticspoke.decisions.fleet.budget import BudgetBounds
from _masticspoke.errors import SettingsError
from _masticspoke.fleet.settings import FleetSettings
from _masticspoke.model import Address

SETTINGS_VARIABLE = "MASTICSPOKE_SETTINGS"
_REMEDY = "correct the template deploy/node.ini or the platform's settings"
# Part of the grace period that is left for ending connections, seconds.
_LAST_S = 0.8
_DEFAULT_GRACE_S = 6.0


def load_fleet_settings(path: Path) -> FleetSettings:
    """Return the settings in a file.

    :raises SettingsError: when the file can't be read or a field is wrong.
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
            stop_timeout_s=bounds.get("grace_period_s", _DEFAULT_GRACE_S) - _LAST_S,
        )
    except (OSError, Error, KeyError, ValueError) as error:
        raise SettingsError(f"settings {path}: {error!r}", _REMEDY) from None


def _address(section: SectionProxy, name: str) -> Address:
    try:
        return parse_address(section[name])
    except ValueError as error:
        raise ValueError(f"{section.name}.{name}: {error}") from None


def _hosts(text: str) -> tuple[str, ...]:
    found = (part.strip() for part in text.split(","))
    return tuple(parse_address(part).host for part in found if part)


def _bounds(text: str) -> Mapping[str, float]:
    found = {}
    for part in text.split(","):
        name, _, value = part.partition("=")
        try:
            found[name.strip()] = float(value)
        except ValueError:
            continue  # bounds that are not numbers concern other contracts
    return found


def _budget(bounds: Mapping[str, float]) -> BudgetBounds:
    usual = BudgetBounds()
    return BudgetBounds(
        ratio=bounds.get("retry_budget_ratio", usual.ratio),
        extra=bounds.get("retry_budget_extra", usual.extra),
        window_s=bounds.get("budget_window_s", usual.window_s),
    )
