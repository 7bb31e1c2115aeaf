"""What a node believes about the backend servers of the fleet, newest state each."""

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
    """The newest known state of the backend server at each address."""

    by_address: dict[Address, BackendServer] = field(default_factory=dict)


def is_newer(news: BackendServer, known: BackendServer | None) -> bool:
    """Return whether ``news`` replaces ``known`` at the same address.

    A later start wins; within one incarnation the phase never goes back.
    """
    if known is None:
        return True
    if news.born_ms != known.born_ms:
        return news.born_ms > known.born_ms
    if news.instance != known.instance:
        return news.sequence > known.sequence
    if news.phase is not known.phase:
        return news.phase > known.phase
    return news.sequence > known.sequence


def differs(news: BackendServer, known: BackendServer | None) -> bool:
    """Return whether other nodes have to hear of ``news``."""
    return known is None or (
        (news.service, news.instance, news.born_ms, news.phase, news.slots)
        != (known.service, known.instance, known.born_ms, known.phase, known.slots)
    )


def merge(members: Members, news: Iterable[BackendServer]) -> list[BackendServer]:
    """Merge ``news`` and return what changed for others."""
    changed = []
    for server in news:
        known = members.by_address.get(server.address)
        if not is_newer(server, known):
            continue
        members.by_address[server.address] = server
        if differs(server, known):
            changed.append(server)
    return changed


def digest(members: Members) -> int:
    """Return a number that is equal for nodes that know the same; order-free."""
    return sum(
        crc32(f"{s.address} {s.instance} {s.born_ms} {int(s.phase)}".encode())
        for s in members.by_address.values()
    )
