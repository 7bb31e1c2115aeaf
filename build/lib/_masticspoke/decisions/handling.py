"""Decide how a call is handled: sent at once, or claimed first."""

from __future__ import annotations

from enum import Enum
from typing import final

from _masticspoke.model import Call


@final
class Handling(Enum):
    """How a call is handled.

    ``KEYED`` calls are not idempotent and come with an idempotency key.
    """

    PLAIN = "plain"
    KEYED = "keyed"


def handling(call: Call) -> Handling:
    """Return how a call is handled."""
    keyed = call.key is not None and not call.idempotent
    return Handling.KEYED if keyed else Handling.PLAIN
