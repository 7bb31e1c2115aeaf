"""Decide which of several nodes does a task that one of them has to do."""

from __future__ import annotations

import math
import zlib
from collections.abc import Iterable

from _masticspoke.model import Address

TURN_S = 5.0


def has_turn(
    own_address: Address,
    nodes: Iterable[Address],
    due_since: float,
    salt: object,
    now: float,
) -> bool:
    """Return whether it is the turn of ``own_address`` to do a task.

    The task has been due since ``due_since``. Every node computes the same order of
    nodes. One more node has its turn each :data:`TURN_S` seconds, and those before it
    keep theirs, so that more than one may do the task, which must be harmless.

    :param salt: varies the order from one task to the next.
    """
    order = sorted(
        {own_address, *nodes}, key=lambda node: zlib.crc32(f"{salt} {node}".encode())
    )
    return math.floor((now - due_since) / TURN_S) >= order.index(own_address)
