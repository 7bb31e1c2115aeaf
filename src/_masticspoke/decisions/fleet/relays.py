"""Choose the node through which a node follows the log.

Handles fleets of hundreds of nodes: each node that reads the log by itself adds a long
poll every few seconds, and each change wakes all of them. In a large availability zone,
most nodes therefore follow another node of the zone, a relay, which reads the log for
them. There is no election: all nodes rank the nodes of their zone alike, and a node is
a relay for as long as others ask it. A node whose relay is silent, or hears nothing of
the log itself, reads the log again at once.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from math import ceil
from typing import final
from zlib import crc32

from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import Phase

# Nodes that accept requests in a zone below which each node reads the log itself.
MIN_ZONE_NODES = 8
# Nodes that one relay serves.
NODES_PER_RELAY = 40
# A node is a relay for this long after it was last asked, seconds.
DUTY_S = 3.0
# Oldest answer of the log that a relay may rely on, seconds. A version that the log has
# accepted later than that may be unknown to it.
MAX_LOG_AGE_S = 1.5
# Shortest such time, so that a node doesn't ask in a loop.
MIN_HOLD_S = 0.1
# Pauses after a read of states of backend servers, which often change together, by
# whether the node may have to tell others at once, seconds.
STATES_PAUSE_S = {True: 0.4, False: 1.5}
# Age of the log's last answer above which a relay has failed, seconds. Below, it may
# only have become a relay just now.
MAX_USUAL_AGE_S = 2.8
# First and longest time for which a relay that failed isn't asked again, seconds.
FIRST_PAUSE_S = 5.0
MAX_PAUSE_S = 60.0


# With a bound on the revocation of keys, each wait takes this share of it at most, so
# that a node misses one answer and is confirmed again before it has to refuse keys.
_WAIT_SHARE = 0.1
_MAX_BOUNDED_WAIT_S = 0.5


@final
@dataclass(frozen=True, slots=True)
class Waits:
    """How long queries for a newer configuration wait, seconds.

    :param relay_read_s: long poll of the log by a relay.
    :param read_s: long poll of the log by another node.
    :param max_hold_s: longest time for which a relay holds the answer to a node.
    :param confirmed: whether a relay must say how old its knowledge is.
    """

    relay_read_s: float = 1.0
    read_s: float = 2.0
    max_hold_s: float = 1.0
    confirmed: bool = False


UNBOUNDED_WAITS = Waits()


def waits_within(revocation_s: float | None) -> Waits:
    """Return the waits with a bound on the revocation of keys; ``None`` for no bound.

    :param revocation_s: time after which a removed key is refused at every node.
    """
    if revocation_s is None:
        return UNBOUNDED_WAITS
    wait_s = min(_MAX_BOUNDED_WAIT_S, _WAIT_SHARE * revocation_s)
    return Waits(wait_s, wait_s, wait_s, confirmed=True)


@final
@dataclass(slots=True)
class _Failure:
    until: float
    pause_s: float


@final
@dataclass(slots=True)
class RelayState:
    """How one node follows the log.

    :param host: IP address of this node.
    :param relay: IP address of the node that it follows; empty while it reads the log.
    :param is_first: whether it is among the first in rank, which others will ask.
    :param is_zone_large: whether nodes of its zone follow relays.
    :param asked_at: time at which another node last asked it as a relay.
    :param failures: relays that have failed, by IP address.
    """

    host: str
    zone: str
    relay: str = ""
    is_first: bool = False
    is_zone_large: bool = False
    asked_at: float | None = None
    failures: dict[str, _Failure] = field(default_factory=dict)
    waits: Waits = UNBOUNDED_WAITS


def is_relay(state: RelayState, now: float) -> bool:
    """Return whether other nodes follow this one."""
    return state.asked_at is not None and now - state.asked_at < DUTY_S


def read_wait_s(state: RelayState, now: float) -> float:
    """Return how long a read of the configuration waits for a new version, seconds."""
    waits = state.waits
    return waits.relay_read_s if _tells_others(state, now) else waits.read_s


def states_pause_s(state: RelayState, now: float) -> float:
    """Return the pause after a read of states of backend servers, seconds."""
    return STATES_PAUSE_S[_tells_others(state, now) or not state.is_zone_large]


def _tells_others(state: RelayState, now: float) -> bool:
    return state.is_first or is_relay(state, now)


def choose_relay(
    state: RelayState, servers: Iterable[BackendServer], now: float
) -> str | None:
    """Return the IP address of the node to ask; ``None`` to read the log.

    Also records the own rank and whether the zone is large.

    :param servers: states of all backend servers; one node is beside each.
    """
    hosts = {
        server.address.host
        for server in servers
        if server.zone == state.zone and server.phase is Phase.READY
    }
    state.is_zone_large = len(hosts) >= MIN_ZONE_NODES
    state.is_first = False
    if not state.is_zone_large:
        return None
    usable = [host for host in hosts if not _has_failed(state, host, now)]
    ranked = sorted(usable, key=lambda host: (_weight(host), host))
    relays = ranked[: ceil(len(hosts) / NODES_PER_RELAY)]
    state.is_first = state.host in relays
    if not relays or state.is_first or is_relay(state, now):
        return None
    return relays[_weight(state.host) % len(relays)]


def _weight(host: str) -> int:
    return crc32(host.encode())


def _has_failed(state: RelayState, host: str, now: float) -> bool:
    failure = state.failures.get(host)
    return failure is not None and now < failure.until


def record_asked(state: RelayState, now: float) -> None:
    """Record that another node follows this one, which reads the log from now on."""
    state.asked_at = now
    state.relay = ""


def record_answer(
    state: RelayState, host: str, log_age_s: float | None, now: float
) -> None:
    """Record the answer of a relay: follow it if it hears the log, else read the log.

    :param log_age_s: time since the log last answered the relay; ``None`` if it turns
        the relay away.
    """
    if log_age_s is None or log_age_s > MAX_USUAL_AGE_S:
        record_failure(state, host, now)
        return
    state.failures.pop(host, None)
    hears_log = log_age_s <= MAX_LOG_AGE_S
    state.relay = host if hears_log and not is_relay(state, now) else ""


def record_failure(state: RelayState, host: str, now: float) -> None:
    """Record that a relay didn't answer, and read the log."""
    state.relay = ""
    earlier = state.failures.get(host)
    pause_s = (
        FIRST_PAUSE_S if earlier is None else min(MAX_PAUSE_S, earlier.pause_s * 2)
    )
    state.failures[host] = _Failure(now + pause_s, pause_s)


def usable_age_s(
    log_age_s: float | None, confirmed_age_s: float | None, waits: Waits
) -> float | None:
    """Return the age of the log's last answer; ``None`` if the relay is of no use.

    With a bound on the revocation of keys, a relay must also confirm versions. One of
    an earlier build doesn't.

    :param confirmed_age_s: time since the relay's version was known to be the newest.
    """
    if not waits.confirmed:
        return log_age_s
    if confirmed_age_s is None or confirmed_age_s > MAX_USUAL_AGE_S:
        return None
    return log_age_s


def hold_s(log_age_s: float | None, max_hold_s: float) -> float:
    """Return how long a relay holds an answer without news, seconds.

    The answer comes before the log's last answer is too old to rely on.

    :param log_age_s: time since the log last answered; ``None`` if it hasn't.
    """
    if log_age_s is None:
        return max_hold_s
    return min(max_hold_s, max(MIN_HOLD_S, MAX_LOG_AGE_S - log_age_s))
