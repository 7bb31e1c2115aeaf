"""Choose when a node exchanges its knowledge with peers, and with which.

Handles a log service that turns nodes away. Versions and states of backend servers then
spread through exchanges alone, and must do so in time with hundreds of nodes of which
few are served.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
from random import Random

from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import Phase

# Longest pause between exchanges while the log answers, in a fleet of up to
# USUAL_NODES. It grows with the number of nodes beyond, up to MAX_CALM_PAUSE_S. Nodes
# that the log turns away exchange as often in any fleet.
MAX_PAUSE_S = 3.0
MAX_CALM_PAUSE_S = 15.0
USUAL_NODES = 30
# Longest pause while the log does not answer or the node has no configuration.
MAX_URGENT_PAUSE_S = 0.4
# Peers that a node exchanges with at a time, by whether it is urgent.
_PEERS = {False: 1, True: 2}


def pause_s(urgent: bool, nodes: int, random: Random) -> float:
    """Return the time until the next exchange, seconds; half of it is random.

    :param nodes: number of nodes in the fleet.
    """
    growth = max(1.0, nodes / USUAL_NODES)
    calm_s = min(MAX_CALM_PAUSE_S, MAX_PAUSE_S * growth)
    longest_s = MAX_URGENT_PAUSE_S if urgent else calm_s
    return longest_s * random.uniform(0.5, 1.0)


def choose_peers(
    servers: Iterable[BackendServer],
    seeds: Collection[str],
    own_host: str,
    urgent: bool,
    random: Random,
) -> list[str]:
    """Return the IP addresses of the peers of the next exchanges.

    VMs whose backend servers are gone are asked only if no other peer is known, since a
    request to a VM that is gone costs a connect timeout.
    """
    known = list(servers)
    hosts = {s.address.host for s in known if s.phase is not Phase.GONE} | set(seeds)
    hosts.discard(own_host)
    if not hosts:
        hosts = {s.address.host for s in known} - {own_host}
    return random.sample(sorted(hosts), min(_PEERS[urgent], len(hosts)))


def must_push(own_version: int, peer_version: int) -> bool:
    """Return whether a peer is sent the configuration that it did not ask for."""
    return own_version > peer_version
