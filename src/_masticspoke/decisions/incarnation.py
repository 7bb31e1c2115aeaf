"""Ordered incarnations of the processes at one node address.

A process takes its first incarnation when it starts, and a newer one each time its
backend server joins the members.
"""

from __future__ import annotations

_MAX_SERIAL = 0xFFFF


def first_incarnation(wall_ms: int, nonce: str) -> str:
    """Return the incarnation of a node that just started.

    Incarnations are ordered as strings. A node whose wall clock was set back finds a
    newer incarnation at its own address and calls :func:`next_incarnation`.

    :param wall_ms: milliseconds since the epoch.
    :param nonce: distinguishes processes that start in the same millisecond.
    """
    return f"{wall_ms:012x}-{nonce}-{0:04x}"


def next_incarnation(own: str, newest_seen: str) -> str:
    """Return the next incarnation of a node, newer than ``own`` and ``newest_seen``.

    :param newest_seen: newest incarnation reported for the node's address, or ``""``.
    """
    started, nonce, serial = own.split("-")
    if newest_seen[:12] > started:
        return first_incarnation(_started_ms(newest_seen) + 1, nonce)
    if int(serial, 16) >= _MAX_SERIAL:
        return first_incarnation(int(started, 16) + 1, nonce)
    incremented = f"{started}-{nonce}-{int(serial, 16) + 1:04x}"
    if incremented > newest_seen:
        return incremented
    return first_incarnation(int(started, 16) + 1, nonce)


def _started_ms(incarnation: str) -> int:
    try:
        return int(incarnation[:12], 16)
    except ValueError:
        return 0
