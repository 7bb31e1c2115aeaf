from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random

import pytest

from _masticspoke.decisions import peers as known
from _masticspoke.decisions.peers import Peers
from _masticspoke.decisions.routing import choose_member
from _masticspoke.decisions.routing import LEVEL_TTL_S
from _masticspoke.model import Address
from _masticspoke.model import Call
from _masticspoke.model import LoadReport
from _masticspoke.model import Member
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal

CALL = Call("a", "k", "s", rank=2, deadline=10.0, idempotent=True)
OWN = Address("127.0.0.1", 1)
IDLE = LoadReport(in_flight=0, limit=10, latency_s=0.01)
ZONES = ("kochi-a", "kochi-b", "alappuzha-a")


def node(number: int) -> Address:
    return Address("127.0.0.1", number)


def member(number: int, incarnation: str = "1") -> Member:
    zone = ZONES[(number - 1) % 3]
    return Member("s", node(number + 100), node(number), zone, incarnation, 10, 100)


def peers(*numbers: int, latency_s: float = 0.01) -> Peers:
    found = Peers(OWN, ZONES[0])
    known.replace_members(found, [member(n) for n in numbers], 0.0)
    for n in numbers:
        known.record_report(found, node(n), IDLE, 0.0)
        for _ in range(known.SAMPLES_TO_EJECT):
            known.record_latency(found, node(n), latency_s, 0.0)
    return found


def picks(found: Peers, now: float = 0.0, n: int = 300, **how: object) -> Counter[int]:
    random = Random(7)
    tried: frozenset[Address] = how.get("tried", frozenset())  # type: ignore[assignment]
    call: Call = how.get("call", CALL)  # type: ignore[assignment]
    chosen = [choose_member(found, call, tried, now, random) for _ in range(n)]
    return Counter(m.node.port for m in chosen if isinstance(m, Member))


def test_own_backend_server_goes_first_when_it_is_not_worse() -> None:
    assert picks(peers(1, 2, 3, 4)) == {1: 300}


def test_own_backend_server_gives_way_when_it_is_busier() -> None:
    found = peers(1, 2, 3, 4)
    known.record_report(found, OWN, replace(IDLE, in_flight=30), 0.0)
    assert picks(found)[1] == 0


def test_own_zone_is_preferred_when_it_is_not_worse() -> None:
    assert set(picks(peers(2, 3, 4, 5, 6, 7))) == {4, 7}


def test_other_zones_help_when_the_own_is_busy() -> None:
    found = peers(2, 3, 4, 5, 6)
    known.record_report(found, node(4), replace(IDLE, in_flight=30), 0.0)
    assert picks(found)[4] == 0


def test_own_outstanding_calls_count_before_reports_show_them() -> None:
    found = peers(4, 7)
    for _ in range(10):
        known.record_sent(found, node(4))
    assert picks(found) == {7: 300}
    for _ in range(10):
        known.record_ended(found, node(4))
    assert len(picks(found)) == 2


def test_tried_nodes_are_not_chosen_again() -> None:
    found = peers(1, 2, 3)
    assert set(picks(found, tried=frozenset({node(1), node(3)}))) == {2}
    refusal = choose_member(found, CALL, {node(1), node(2), node(3)}, 0.0, Random(1))
    assert isinstance(refusal, Refusal)
    assert refusal.reason is Reason.NO_BACKEND_SERVER


def test_node_seen_leaving_gets_nothing_new() -> None:
    found = peers(1, 2)
    known.record_report(found, OWN, replace(IDLE, leaving=True), 1.0)
    assert set(picks(found, now=1.0)) == {2}


def test_old_report_does_not_hide_a_node() -> None:
    found = peers(4, 7)
    known.record_report(found, node(4), replace(IDLE, in_flight=30), 0.0)
    assert picks(found, now=0.0)[4] == 0
    assert picks(found, now=10.0)[4] > 50


def test_late_report_does_not_replace_a_newer_one() -> None:
    found = peers(4, 7)
    known.record_report(found, node(4), replace(IDLE, leaving=True), 5.0)
    known.record_report(found, node(4), IDLE, 4.0)
    assert set(picks(found, now=5.0)) == {7}


def refuse_rank(found: Peers, *numbers: int) -> None:
    for n in numbers:
        known.record_report(found, node(n), replace(IDLE, admitted_rank=1), 0.0)


def test_doomed_work_is_refused_before_it_is_sent() -> None:
    found = peers(1, 2, 3)
    refuse_rank(found, 1, 2, 3)
    refusal = choose_member(found, CALL, (), 0.0, Random(1))
    assert isinstance(refusal, Refusal)
    assert refusal.reason is Reason.RANK_NOT_ADMITTED


def test_doomed_work_goes_where_its_rank_is_admitted() -> None:
    found = peers(1, 2, 3)
    refuse_rank(found, 1, 3)
    assert set(picks(found)) == {2}


@pytest.mark.parametrize(
    "call",
    [replace(CALL, depth=1), replace(CALL, shed_last=True), replace(CALL, rank=1)],
)
def test_levels_do_not_stop_work_that_is_begun_or_shed_last(call: Call) -> None:
    found = peers(1, 2, 3)
    refuse_rank(found, 1, 2, 3)
    assert picks(found, call=call).total() == 300


def test_levels_age_out_gradually_so_that_probing_goes_on() -> None:
    found = peers(1)
    refuse_rank(found, 1)
    early = picks(found, now=0.1 * LEVEL_TTL_S).total()
    assert 0 < early < 100
    assert picks(found, now=LEVEL_TTL_S).total() == 300


def test_member_that_joined_gets_a_growing_share() -> None:
    found = peers(2, 3, 5)
    known.replace_members(found, [member(n) for n in (2, 3, 5, 6)], 100.0)
    shares = [picks(found, now=100.0 + age_s, n=2000)[6] for age_s in (0.0, 5.0, 10.0)]
    assert shares[0] < 0.15 * 2000
    assert shares[0] < shares[1] < shares[2]


def test_large_service_is_not_scanned_whole() -> None:
    found = peers(*range(1, 401))
    leaving = [n for n in range(1, 401) if n != 77]
    for n in leaving:
        known.record_report(found, node(n), replace(IDLE, leaving=True), 1.0)
    assert set(picks(found, now=1.0, n=20)) == {77}
