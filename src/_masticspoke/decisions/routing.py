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

HOP_LATENCY_S = 0.001
CROSS_ZONE_LATENCY_S = 0.002
REPORT_HALF_LIFE_S = 0.5
ADMITTED_RANK_TTL_S = 0.5
MAX_SCANNED_PEERS = 16
_MAX_FAILURES = 6  # counted in the expected latency


def choose_member(
    peers: Peers,
    call: Call,
    tried_nodes: Collection[Address],
    now: float,
    random: Random,
) -> Member | Refusal:
    """Return the member for the next attempt, or a refusal if there is none.

    The member with the lowest expected latency is chosen among two random ones
    (power of two choices), two random ones of the local zone, and the local backend
    server. If the service has more than :data:`MAX_SCANNED_PEERS` members, all these
    are taken from a random sample of that size, unless none in it is available.

    :param tried_nodes: nodes to leave out, as the call was sent to them since its last
        pause.
    """
    service_peers = peers.by_service.get(call.service, [])
    available = _available(
        _sample_if_large(service_peers, random), tried_nodes, now
    ) or _available(service_peers, tried_nodes, now)
    if not available:
        return Refusal(Reason.NO_BACKEND_SERVER, detail=f"service {call.service}")
    admitting = _admitting_peers(available, call, now, random)
    if not admitting:
        return Refusal(
            Reason.RANK_NOT_ADMITTED,
            detail=f"service {call.service} admits no rank {call.rank} at present",
        )
    eligible = [
        p for p in admitting if random.random() < traffic_share(p, now)
    ] or admitting
    same_zone = [p for p in eligible if p.member.zone == peers.zone]
    candidates = _sample_pair(eligible, random) + _sample_pair(same_zone, random)
    candidates += [p for p in eligible if p.member.node == peers.own_address]
    return min(candidates, key=lambda p: expected_latency_s(peers, p, now)).member


def expected_latency_s(peers: Peers, peer: Peer, now: float) -> float:
    """Return the expected latency of one more call to a peer, in seconds."""
    limit = peer.report.limit if peer.report else peer.member.slots
    load = (1 + _in_flight(peer, now)) / max(1, limit)
    latency_s = decayed_latency_s(peer, now) + _network_latency_s(peers, peer.member)
    return latency_s * (1 + load) * math.exp2(min(peer.failures_in_row, _MAX_FAILURES))


def _sample_if_large(service_peers: Sequence[Peer], random: Random) -> Sequence[Peer]:
    return (
        service_peers
        if len(service_peers) <= MAX_SCANNED_PEERS
        else random.sample(service_peers, MAX_SCANNED_PEERS)
    )


def _available(
    service_peers: Sequence[Peer], tried_nodes: Collection[Address], now: float
) -> list[Peer]:
    return [
        p
        for p in service_peers
        if p.member.node not in tried_nodes and not is_leaving(p, now)
    ]


def _admitting_peers(
    available: Sequence[Peer], call: Call, now: float, random: Random
) -> Sequence[Peer]:
    # Refusing a nested call wastes the work that its parents have done: only the guard
    # it is sent to may do so.
    if call.depth > 0 or call.shed_last:
        return available
    return [p for p in available if _may_admit(p, call.rank, now, random)]


def _may_admit(peer: Peer, rank: int, now: float, random: Random) -> bool:
    if peer.report is None or rank <= peer.report.admitted_rank:
        return True
    return random.random() < (now - peer.reported_at) / ADMITTED_RANK_TTL_S


def _sample_pair(eligible: Sequence[Peer], random: Random) -> list[Peer]:
    return random.sample(eligible, min(2, len(eligible)))


def _in_flight(peer: Peer, now: float) -> float:
    if peer.report is None:
        return peer.outstanding
    age_s = max(0.0, now - peer.reported_at)
    reported = peer.report.in_flight * math.exp2(-age_s / REPORT_HALF_LIFE_S)
    return max(peer.outstanding, round(reported))


def _network_latency_s(peers: Peers, member: Member) -> float:
    if member.node == peers.own_address:
        return 0.0
    return (
        HOP_LATENCY_S
        if member.zone == peers.zone
        else HOP_LATENCY_S + CROSS_ZONE_LATENCY_S
    )
