from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random

import pytest

from _masticspoke.decisions import peers
from _masticspoke.decisions.peers import Peers
from _masticspoke.decisions.routing import ADMITTED_RANK_TTL_S
from _masticspoke.decisions.routing import choose_member
from _masticspoke.model import Address
from _masticspoke.model import Call
from _masticspoke.model import LoadReport
from _masticspoke.model import Member
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal

CALL = Call("a", "k", "s", rank=2, deadline=10.0, idempotent=True)
OWN_ADDRESS = Address("127.0.0.1", 1)
IDLE = LoadReport(in_flight=0, limit=10, latency_s=0.01)
ZONES = ("kochi-a", "kochi-b", "alappuzha-a")


def node(number: int) -> Address:
    return Address("127.0.0.1", number)


def member(number: int, incarnation: str = "1") -> Member:
    zone = ZONES[(number - 1) % 3]
    return Member("s", node(number + 100), node(number), zone, incarnation, 10, 100)


def make_peers(*numbers: int, latency_s: float = 0.01) -> Peers:
    state = Peers(OWN_ADDRESS, ZONES[0])
    peers.replace_members(state, [member(n) for n in numbers], 0.0)
    for n in numbers:
        peers.record_report(state, node(n), IDLE, 0.0)
        for _ in range(peers.MIN_SAMPLES_TO_COMPARE):
            peers.record_latency(state, node(n), latency_s, 0.0)
    return state


def count_choices(
    state: Peers, now: float = 0.0, n: int = 300, **options: object
) -> Counter[int]:
    random = Random(7)
    tried: frozenset[Address] = options.get("tried", frozenset())  # type: ignore[assignment]
    call: Call = options.get("call", CALL)  # type: ignore[assignment]
    chosen = [choose_member(state, call, tried, now, random) for _ in range(n)]
    return Counter(m.node.port for m in chosen if isinstance(m, Member))


def test_local_backend_server_is_preferred_at_equal_load() -> None:
    assert count_choices(make_peers(1, 2, 3, 4)) == {1: 300}


def test_local_backend_server_is_not_chosen_when_it_is_busier() -> None:
    state = make_peers(1, 2, 3, 4)
    peers.record_report(state, OWN_ADDRESS, replace(IDLE, in_flight=30), 0.0)
    assert count_choices(state)[1] == 0


def test_local_zone_is_preferred_at_equal_load() -> None:
    assert set(count_choices(make_peers(2, 3, 4, 5, 6, 7))) == {4, 7}


def test_other_zones_are_chosen_when_the_local_zone_is_busy() -> None:
    state = make_peers(2, 3, 4, 5, 6)
    peers.record_report(state, node(4), replace(IDLE, in_flight=30), 0.0)
    assert count_choices(state)[4] == 0


def test_own_outstanding_calls_count_before_reports_show_them() -> None:
    state = make_peers(4, 7)
    for _ in range(10):
        peers.record_sent(state, node(4))
    assert count_choices(state) == {7: 300}
    for _ in range(10):
        peers.record_ended(state, node(4))
    assert len(count_choices(state)) == 2


def test_tried_nodes_are_not_chosen_again() -> None:
    state = make_peers(1, 2, 3)
    assert set(count_choices(state, tried=frozenset({node(1), node(3)}))) == {2}
    refusal = choose_member(state, CALL, {node(1), node(2), node(3)}, 0.0, Random(1))
    assert isinstance(refusal, Refusal)
    assert refusal.reason is Reason.NO_BACKEND_SERVER


def test_node_that_reported_leaving_gets_no_new_calls() -> None:
    state = make_peers(1, 2)
    peers.record_report(state, OWN_ADDRESS, replace(IDLE, leaving=True), 1.0)
    assert set(count_choices(state, now=1.0)) == {2}


def test_old_report_of_high_load_stops_counting() -> None:
    state = make_peers(4, 7)
    peers.record_report(state, node(4), replace(IDLE, in_flight=30), 0.0)
    assert count_choices(state, now=0.0)[4] == 0
    assert count_choices(state, now=10.0)[4] > 50


def test_late_report_does_not_replace_a_newer_one() -> None:
    state = make_peers(4, 7)
    peers.record_report(state, node(4), replace(IDLE, leaving=True), 5.0)
    peers.record_report(state, node(4), IDLE, 4.0)
    assert set(count_choices(state, now=5.0)) == {7}


def report_low_rank(state: Peers, *numbers: int) -> None:
    for n in numbers:
        peers.record_report(state, node(n), replace(IDLE, admitted_rank=1), 0.0)


def test_call_is_refused_unsent_when_no_member_admits_its_rank() -> None:
    state = make_peers(1, 2, 3)
    report_low_rank(state, 1, 2, 3)
    refusal = choose_member(state, CALL, (), 0.0, Random(1))
    assert isinstance(refusal, Refusal)
    assert refusal.reason is Reason.RANK_NOT_ADMITTED


def test_call_is_sent_to_the_member_that_admits_its_rank() -> None:
    state = make_peers(1, 2, 3)
    report_low_rank(state, 1, 3)
    assert set(count_choices(state)) == {2}


@pytest.mark.parametrize(
    "call",
    [replace(CALL, depth=1), replace(CALL, shed_last=True), replace(CALL, rank=1)],
)
def test_admitted_rank_does_not_stop_nested_shed_last_or_urgent_calls(
    call: Call,
) -> None:
    state = make_peers(1, 2, 3)
    report_low_rank(state, 1, 2, 3)
    assert count_choices(state, call=call).total() == 300


def test_admitted_rank_expires_gradually_so_that_some_calls_probe_it() -> None:
    state = make_peers(1)
    report_low_rank(state, 1)
    early = count_choices(state, now=0.1 * ADMITTED_RANK_TTL_S).total()
    assert 0 < early < 100
    assert count_choices(state, now=ADMITTED_RANK_TTL_S).total() == 300


def test_member_that_joined_gets_a_growing_share() -> None:
    state = make_peers(2, 3, 5)
    peers.replace_members(state, [member(n) for n in (2, 3, 5, 6)], 100.0)
    shares = [
        count_choices(state, now=100.0 + age_s, n=2000)[6] for age_s in (0.0, 5.0, 10.0)
    ]
    assert shares[0] < 0.15 * 2000
    assert shares[0] < shares[1] < shares[2]


def test_only_available_member_of_a_large_service_is_found() -> None:
    state = make_peers(*range(1, 401))
    leaving = [n for n in range(1, 401) if n != 77]
    for n in leaving:
        peers.record_report(state, node(n), replace(IDLE, leaving=True), 1.0)
    assert set(count_choices(state, now=1.0, n=20)) == {77}
