"""Which of several nodes does what one of them has to do."""

from __future__ import annotations

import math
import zlib
from collections.abc import Iterable

from _masticspoke.model import Address

TURN_S = 5.0


def has_turn(
    own: Address, nodes: Iterable[Address], due_since: float, salt: object, now: float
) -> bool:
    """Return whether ``own`` is to do what is due since ``due_since``.

    The nodes take turns of :data:`TURN_S` in an order that all of them compute
    alike; a node whose turn came keeps it. Doing it twice must be harmless.

    :param salt: changes the order from one occasion to the next.
    """
    order = sorted(
        {own, *nodes}, key=lambda node: zlib.crc32(f"{salt} {node}".encode())
    )
    return math.floor((now - due_since) / TURN_S) >= order.index(own)
