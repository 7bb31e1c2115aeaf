"""Choose the nodes that keep the quotas of a group of organisations.

All nodes rank the nodes alike by a checksum (rendezvous hashing), so there is no
election, and a node that joins or leaves moves only the groups that it keeps.
"""

from __future__ import annotations

from collections.abc import Iterable
from zlib import crc32

from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import Phase

# Groups of organisations. More spread the load of keepers better, but a node queries
# each keeper by itself.
GROUPS = 4
# Nodes that may be the keeper of a group, besides the node that looks for one.
MAX_CANDIDATES = 3


def group_of(organisation: str) -> int:
    """Return the group of an organisation."""
    return crc32(organisation.encode()) % GROUPS


def rank_keepers(group: int, servers: Iterable[BackendServer]) -> tuple[str, ...]:
    """Return the IP addresses of a group's possible keepers, the first in rank first.

    The second is in another availability zone than the first, so that each side of a
    cut between two zones has a keeper.
    """
    zones = {
        server.address.host: server.zone
        for server in servers
        if server.phase is Phase.READY
    }
    ranked = sorted(zones, key=lambda host: (_weight(group, host), host))
    if not ranked:
        return ()
    first, *others = ranked
    others.sort(key=lambda host: zones[host] == zones[first])
    second = others[:1]
    rest = [host for host in ranked[1:] if host not in second]
    return (first, *second, *rest)[:MAX_CANDIDATES]


def _weight(group: int, host: str) -> int:
    return crc32(f"{group} {host}".encode())
