"""Incarnations: ordered names of the successive processes at one node address."""

from __future__ import annotations

_MAX_SERIAL = 0xFFFF


def first_incarnation(wall_ms: int, nonce: str) -> str:
    """Return the incarnation of a node that just started.

    The order of incarnations is that of their strings. A node whose clock went back
    finds a newer incarnation at its own address and calls :func:`after`.

    :param wall_ms: milliseconds since the epoch.
    :param nonce: tells processes apart that start in the same millisecond.
    """
    return f"{wall_ms:012x}-{nonce}-{0:04x}"


def next_incarnation(own: str, seen: str) -> str:
    """Return the next incarnation of a node, newer than ``own`` and ``seen``.

    :param seen: newest incarnation heard of at the own address, or ``""``.
    """
    started, nonce, serial = own.split("-")
    if seen[:12] > started:
        return first_incarnation(_started_ms(seen) + 1, nonce)
    if int(serial, 16) >= _MAX_SERIAL:
        return first_incarnation(int(started, 16) + 1, nonce)
    following = f"{started}-{nonce}-{int(serial, 16) + 1:04x}"
    if following > seen:
        return following
    return first_incarnation(int(started, 16) + 1, nonce)


def _started_ms(incarnation: str) -> int:
    try:
        return int(incarnation[:12], 16)
    except ValueError:
        return 0
