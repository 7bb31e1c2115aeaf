"""Tell which of two instances that claim one address is there.

Each heartbeat of the local backend server names the instance and its start. A later
start replaces an earlier one, but another writer may name a start that never was, and a
clock may have been set back between two starts. The instance that is there goes on to
send heartbeats, and the other one is silent.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import final

from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.suspects import Incarnation

# Heartbeats that an instance sends while the one that replaced it sends none, until it
# counts as the one that is there. A few may be late ones of an instance that ended.
MIN_HEARTBEATS = 3
# The same for an instance with a later start than the one in force.
MIN_LATER_HEARTBEATS = 2
# Heartbeats that arrive within less time of each other, seconds, were held up together
# and count as one.
MIN_SPACING_S = 0.5


@final
@dataclass(frozen=True, slots=True)
class Rival:
    """An instance whose heartbeats are not merged into the state of its address.

    :param incarnation: as the instance names itself.
    :param sequence: number of its latest heartbeat.
    :param heartbeats: number of heartbeats that count.
    :param counted_at: time of the latest one that counts.
    """

    incarnation: Incarnation
    sequence: int
    heartbeats: int
    counted_at: float


def after_heartbeat(rival: Rival | None, server: BackendServer, now: float) -> Rival:
    """Return what is known of an instance after a heartbeat that was not merged."""
    incarnation = Incarnation(server.address, server.instance, server.born_ms)
    if rival is None or rival.incarnation != incarnation:
        return Rival(incarnation, server.sequence, 1, now)
    if server.sequence <= rival.sequence:
        return rival
    if now - rival.counted_at < MIN_SPACING_S:
        return replace(rival, sequence=server.sequence)
    return Rival(incarnation, server.sequence, rival.heartbeats + 1, now)


def heartbeats_of(rival: Rival | None, incarnation: Incarnation) -> int:
    """Return how many heartbeats of an incarnation have counted."""
    if rival is None or rival.incarnation != incarnation:
        return 0
    return rival.heartbeats


def is_confirmed(rival: Rival) -> bool:
    """Return whether an instance with a later start has shown that it is there."""
    return rival.heartbeats >= MIN_LATER_HEARTBEATS


def is_present(rival: Rival) -> bool:
    """Return whether the instance counts as the one that is at the address."""
    return rival.heartbeats >= MIN_HEARTBEATS
