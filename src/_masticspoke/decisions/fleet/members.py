"""Newest known states of the backend servers of the fleet, merged from updates."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from typing import final
from zlib import crc32

from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.model import Address


@final
@dataclass(slots=True)
class Members:
    """Newest known state of the backend server at each address.

    :param checksums: checksum of each state, for :func:`digest`.
    """

    by_address: dict[Address, BackendServer] = field(default_factory=dict)
    checksums: dict[Address, int] = field(default_factory=dict)


def is_newer(update: BackendServer, known: BackendServer | None) -> bool:
    """Return whether ``update`` replaces ``known`` at the same address.

    A later start replaces an earlier one. Within one incarnation, the phase never
    decreases. Updates in the same phase, and those of two instances that started in the
    same millisecond, are ordered by sequence.
    """
    if known is None:
        return True
    if update.born_ms != known.born_ms:
        return update.born_ms > known.born_ms
    if update.instance != known.instance:
        return update.sequence > known.sequence
    if update.phase is not known.phase:
        return update.phase > known.phase
    return update.sequence > known.sequence


def is_current(update: BackendServer, known: BackendServer) -> bool:
    """Return whether no later message of the server than ``update`` has been merged.

    A server that reports no start may have started again under its id, so that any of
    its messages may be the latest.

    :param known: the state at its address, with ``update`` merged into it.
    """
    if (update.instance, update.born_ms) != (known.instance, known.born_ms):
        return False
    return update.born_ms == 0 or update.sequence >= known.sequence


def must_propagate(update: BackendServer, known: BackendServer | None) -> bool:
    """Return whether the newer state ``update`` must be sent to other nodes.

    It need not be if only its sequence, zone or end of warm-up differs from ``known``.
    """
    return known is None or (
        (update.service, update.instance, update.born_ms, update.phase, update.slots)
        != (known.service, known.instance, known.born_ms, known.phase, known.slots)
    )


def merge(members: Members, updates: Iterable[BackendServer]) -> list[BackendServer]:
    """Apply newer ``updates``; return those that must be sent to other nodes."""
    changed = []
    for server in updates:
        known = members.by_address.get(server.address)
        if not is_newer(server, known):
            continue
        checksum = _checksum(server)  # before any change, as it may raise
        members.by_address[server.address] = server
        members.checksums[server.address] = checksum
        if must_propagate(server, known):
            changed.append(server)
    return changed


def remove(members: Members, address: Address) -> None:
    """Forget the state at an address."""
    members.by_address.pop(address, None)
    members.checksums.pop(address, None)


def digest(members: Members) -> int:
    """Return a checksum by which two nodes find out whether their states differ.

    It covers the address, incarnation and phase of each backend server, and does not
    depend on their order.
    """
    return sum(map(members.checksums.__getitem__, members.by_address))


def _checksum(server: BackendServer) -> int:
    text = f"{server.address} {server.instance} {server.born_ms} {int(server.phase)}"
    return crc32(text.encode())
