"""Track load, latency and ejection of the members that a node sends calls to."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from statistics import median
from typing import final

from _masticspoke.model import Address
from _masticspoke.model import LoadReport
from _masticspoke.model import Member

FAILURES_TO_EJECT = 3
MIN_SAMPLES_TO_COMPARE = 10
SLOW_SAMPLES_TO_EJECT = 5
STRAGGLER_FACTOR = 3.0
STRAGGLER_MARGIN_S = 0.01
MAX_EJECTED_SHARE = 1 / 3
EJECTION_S = 5.0
MAX_EJECTION_S = 60.0
SLOW_START_S = 10.0
SLOW_START_SHARE = 0.1
LEAVING_TTL_S = 30.0
LATENCY_HALF_LIFE_S = 10.0
_SMOOTHING_WEIGHT = 0.2
_NEVER = float("-inf")


@final
@dataclass(slots=True)
class Peer:
    """A member, as seen from this node.

    :param slow_start_at: when its traffic share starts to grow.
    :param reported_at: when ``report`` arrived; reports that arrived earlier are
        ignored.
    :param outstanding: attempts that this node has under way at the member.
    :param latency_s: smoothed time to the head of its answers.
    :param sampled_at: time of the last latency sample.
    :param samples: number of samples in ``latency_s``.
    :param slow_in_row: consecutive samples after which it was a straggler.
    :param failures_in_row: consecutive failed attempts.
    :param ejections: ejections in a row, each within :data:`MAX_EJECTION_S` of the end
        of the one before.
    """

    member: Member
    slow_start_at: float = _NEVER
    report: LoadReport | None = None
    reported_at: float = _NEVER
    outstanding: int = 0
    latency_s: float = 0.0
    sampled_at: float = _NEVER
    samples: int = 0
    slow_in_row: int = 0
    failures_in_row: int = 0
    ejections: int = 0
    ejected_until: float = _NEVER


@final
@dataclass(slots=True)
class Peers:
    """All members known to this node.

    :param own_address: peer address of this node.
    :param zone: availability zone of this node.
    """

    own_address: Address
    zone: str
    by_node: dict[Address, Peer] = field(default_factory=dict)
    by_service: dict[str, list[Peer]] = field(default_factory=dict)


def replace_members(peers: Peers, members: Iterable[Member], now: float) -> None:
    """Replace the members; new ones start slowly if any were known before."""
    known = peers.by_node
    slow_start_at = now if known else _NEVER
    peers.by_node = {}
    peers.by_service = {}
    for member in members:
        peer = known.get(member.node)
        if peer is None or peer.member.incarnation != member.incarnation:
            # A report that arrived before now describes the previous process.
            peer = Peer(member, slow_start_at, reported_at=now)
        peer.member = member
        peers.by_node[member.node] = peer
        peers.by_service.setdefault(member.service, []).append(peer)


def record_sent(peers: Peers, node: Address) -> None:
    """Count an attempt that is being sent."""
    peer = peers.by_node.get(node)
    if peer is not None:
        peer.outstanding += 1


def record_ended(peers: Peers, node: Address) -> None:
    """Stop counting an attempt that ended."""
    peer = peers.by_node.get(node)
    if peer is not None:
        peer.outstanding = max(0, peer.outstanding - 1)


def record_report(
    peers: Peers, node: Address, report: LoadReport | None, arrived_at: float
) -> None:
    """Store a guard's report, unless a later one is stored already.

    :param arrived_at: when the answer with the report arrived.
    """
    peer = peers.by_node.get(node)
    if peer is None or report is None or arrived_at < peer.reported_at:
        return
    peer.report = report
    peer.reported_at = arrived_at


def record_latency(peers: Peers, node: Address, latency_s: float, now: float) -> None:
    """Update a member's latency from an answer; eject the member if it straggles."""
    peer = peers.by_node.get(node)
    if peer is None:
        return
    peer.failures_in_row = 0
    _update_latency(peers, peer, latency_s, now)


def record_abandoned_wait(
    peers: Peers, node: Address, waited_s: float, now: float
) -> None:
    """Record a wait that the caller abandoned: a lower bound of the latency.

    It is ignored unless it exceeds the member's smoothed latency.
    """
    peer = peers.by_node.get(node)
    if peer is not None and waited_s > peer.latency_s:
        _update_latency(peers, peer, waited_s, now)


def record_failure(peers: Peers, node: Address, now: float) -> None:
    """Record an attempt that failed without an answer; eject after several in a row."""
    peer = peers.by_node.get(node)
    if peer is None:
        return
    peer.failures_in_row += 1
    if peer.failures_in_row >= FAILURES_TO_EJECT:
        _eject(peers, peer, now)


def decayed_latency_s(peer: Peer, now: float) -> float:
    """Return a member's latency, which decays towards 0 while it gets no samples."""
    if peer.samples == 0:
        return 0.0
    age_s = max(0.0, now - peer.sampled_at)
    return peer.latency_s * math.exp2(-age_s / LATENCY_HALF_LIFE_S)


def is_leaving(peer: Peer, now: float) -> bool:
    """Return whether a member recently reported that it takes no new work."""
    report = peer.report
    fresh = now - peer.reported_at < LEAVING_TTL_S
    return report is not None and report.leaving and fresh


def traffic_share(peer: Peer, now: float) -> float:
    """Return the share of its usual traffic that a member gets, from 0 to 1.

    Ejected members get none. The share of a member that joined or returned grows
    slowly, because caches and just-in-time compilers take time to warm up.
    """
    if now < peer.ejected_until:
        return 0.0
    age_s = now - max(peer.slow_start_at, peer.ejected_until)
    return min(1.0, max(SLOW_START_SHARE, age_s / SLOW_START_S))


def _update_latency(peers: Peers, peer: Peer, latency_s: float, now: float) -> None:
    _add_sample(peer, latency_s, now)
    peer.slow_in_row = peer.slow_in_row + 1 if _is_straggler(peers, peer) else 0
    if peer.slow_in_row >= SLOW_SAMPLES_TO_EJECT:
        _eject(peers, peer, now)


def _add_sample(peer: Peer, latency_s: float, now: float) -> None:
    peer.samples += 1
    peer.sampled_at = now
    weight = max(_SMOOTHING_WEIGHT, 1 / peer.samples)
    peer.latency_s += weight * (latency_s - peer.latency_s)


def _is_straggler(peers: Peers, peer: Peer) -> bool:
    if peer.samples < MIN_SAMPLES_TO_COMPARE:
        return False
    others = [
        p.latency_s
        for p in peers.by_service.get(peer.member.service, ())
        if p is not peer and p.samples >= MIN_SAMPLES_TO_COMPARE
    ]
    if not others:
        return False
    median_s = median(others)
    bound_s = max(STRAGGLER_FACTOR * median_s, median_s + STRAGGLER_MARGIN_S)
    return peer.latency_s > bound_s


def _eject(peers: Peers, peer: Peer, now: float) -> None:
    service_peers = peers.by_service.get(peer.member.service, [])
    ejected = sum(1 for p in service_peers if now < p.ejected_until)
    if now < peer.ejected_until or ejected + 1 > len(service_peers) * MAX_EJECTED_SHARE:
        return
    returned_for_s = now - peer.ejected_until
    peer.ejections = peer.ejections + 1 if returned_for_s < MAX_EJECTION_S else 1
    peer.ejected_until = now + min(
        MAX_EJECTION_S, EJECTION_S * math.exp2(peer.ejections - 1)
    )
    peer.samples = 0
    peer.slow_in_row = 0
    peer.failures_in_row = 0
