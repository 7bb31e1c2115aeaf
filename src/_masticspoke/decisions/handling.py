"""Decide whether a call is sent at once or its idempotency key is claimed first."""

from __future__ import annotations

from enum import Enum
from typing import final

from _masticspoke.model import Call


@final
class Handling(Enum):
    """How a call is handled.

    ``PLAIN`` calls are sent at once. ``KEYED`` calls are not idempotent and have an
    idempotency key, which is claimed first.
    """

    PLAIN = "plain"
    KEYED = "keyed"


def handling(call: Call) -> Handling:
    """Return how a call is handled."""
    keyed = call.key is not None and not call.idempotent
    return Handling.KEYED if keyed else Handling.PLAIN
