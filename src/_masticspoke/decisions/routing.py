"""Choose the backend server for an attempt."""

from __future__ import annotations

import math
from collections.abc import Collection
from collections.abc import Sequence
from random import Random

from _masticspoke.decisions.peers import decayed_latency_s
from _masticspoke.decisions.peers import is_leaving
from _masticspoke.decisions.peers import Peer
from _masticspoke.decisions.peers import Peers
from _masticspoke.decisions.peers import traffic_share
from _masticspoke.model import Address
from _masticspoke.model import Call
from _masticspoke.model import Member
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal

HOP_S = 0.001
ZONE_S = 0.002
REPORT_HALF_LIFE_S = 0.5
LEVEL_TTL_S = 0.5
MAX_SCANNED = 16
_MAX_FAILURES = 6


def choose_member(
    peers: Peers,
    call: Call,
    tried_nodes: Collection[Address],
    now: float,
    random: Random,
) -> Member | Refusal:
    """Return the member for the next attempt, or why there is none.

    Two random members are compared by their expected time (power of two choices),
    together with two of the own zone and the own backend server.

    :param tried: nodes that this call has been sent to already.
    """
    known = peers.by_service.get(call.service, [])
    found = _open(_some(known, random), tried_nodes, now) or _open(
        known, tried_nodes, now
    )
    if not found:
        return Refusal(Reason.NO_BACKEND_SERVER, detail=f"service {call.service}")
    admitting = _admitting(found, call, now, random)
    if not admitting:
        return Refusal(
            Reason.RANK_NOT_ADMITTED,
            detail=f"service {call.service} admits no rank {call.rank} at present",
        )
    pool = [
        p for p in admitting if random.random() < traffic_share(p, now)
    ] or admitting
    near = [p for p in pool if p.member.zone == peers.zone]
    pair = _two(pool, random) + _two(near, random)
    pair += [p for p in pool if p.member.node == peers.own]
    return min(pair, key=lambda p: expected_s(peers, p, now)).member


def expected_s(peers: Peers, peer: Peer, now: float) -> float:
    """Return the time that one more call there takes, in seconds."""
    limit = peer.report.limit if peer.report else peer.member.slots
    load = (1 + _in_flight(peer, now)) / max(1, limit)
    latency_s = decayed_latency_s(peer, now) + _network_s(peers, peer.member)
    return latency_s * (1 + load) * math.exp2(min(peer.failures, _MAX_FAILURES))


def _some(known: Sequence[Peer], random: Random) -> Sequence[Peer]:
    return known if len(known) <= MAX_SCANNED else random.sample(known, MAX_SCANNED)


def _open(
    known: Sequence[Peer], tried_nodes: Collection[Address], now: float
) -> list[Peer]:
    return [
        p for p in known if p.member.node not in tried_nodes and not is_leaving(p, now)
    ]


def _admitting(
    found: Sequence[Peer], call: Call, now: float, random: Random
) -> Sequence[Peer]:
    # The work behind a child call is spent already: its guard decides (issue 4).
    if call.depth > 0 or call.shed_last:
        return found
    return [p for p in found if _may_admit(p, call.rank, now, random)]


def _may_admit(peer: Peer, rank: int, now: float, random: Random) -> bool:
    if peer.report is None or rank <= peer.report.admitted_rank:
        return True
    return random.random() < (now - peer.reported_at) / LEVEL_TTL_S


def _two(pool: Sequence[Peer], random: Random) -> list[Peer]:
    return random.sample(pool, min(2, len(pool)))


def _in_flight(peer: Peer, now: float) -> float:
    if peer.report is None:
        return peer.outstanding
    age_s = max(0.0, now - peer.reported_at)
    reported = peer.report.in_flight * math.exp2(-age_s / REPORT_HALF_LIFE_S)
    return max(peer.outstanding, round(reported))


def _network_s(peers: Peers, member: Member) -> float:
    if member.node == peers.own:
        return 0.0
    return HOP_S if member.zone == peers.zone else HOP_S + ZONE_S
