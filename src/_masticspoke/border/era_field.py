"""Codec for the era of the log in messages between nodes; a node may leave it out."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from _masticspoke.border.json_values import whole_number
from _masticspoke.decisions.fleet.log_era import MAX_ERA

_FIELD = "era"


def era_field(era: int | None) -> dict[str, int]:
    """Return the field of a message; empty if the era is not known."""
    return {} if era is None else {_FIELD: era}


def era_of(document: Mapping[str, Any]) -> int | None:
    """Return the era in a message; ``None`` if it is missing or malformed."""
    try:
        return whole_number(document.get(_FIELD), 0, MAX_ERA)
    except ValueError:
        return None
