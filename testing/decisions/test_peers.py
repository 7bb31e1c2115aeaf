from __future__ import annotations

import math
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from testing.decisions.test_routing import member
from testing.decisions.test_routing import node
from testing.decisions.test_routing import OWN
from testing.decisions.test_routing import peers

from _masticspoke.decisions import peers as known
from _masticspoke.decisions.peers import Peers
from _masticspoke.model import LoadReport


def ejected(found: Peers, now: float) -> list[int]:
    return [n.port for n, p in found.by_node.items() if now < p.ejected_until]


def test_straggler_is_ejected_and_comes_back_slowly() -> None:
    found = peers(1, 2, 3, 4)
    for _ in range(known.SAMPLES_TO_EJECT):
        known.record_latency(found, node(2), 0.2, 10.0)
    assert ejected(found, 10.0) == [2]
    straggler = found.by_node[node(2)]
    assert known.traffic_share(straggler, 10.0) == 0
    back = straggler.ejected_until
    assert known.traffic_share(straggler, back) == known.SLOW_START_SHARE
    assert known.traffic_share(straggler, back + known.SLOW_START_S) == 1.0


def test_member_that_callers_give_up_on_is_ejected() -> None:
    found = peers(1, 2, 3, 4)
    for _ in range(known.SAMPLES_TO_EJECT):
        known.record_abandoned_wait(found, node(2), 0.5, 10.0)
        known.record_abandoned_wait(found, node(3), 0.001, 10.0)
    assert ejected(found, 10.0) == [2]
    assert found.by_node[node(3)].latency_s == pytest.approx(0.01)


def test_repeated_ejection_lasts_longer() -> None:
    found = peers(1, 2, 3, 4)
    lasted = []
    now = 10.0
    for _ in range(3):
        for _ in range(known.SAMPLES_TO_EJECT + known.SLOW_SAMPLES_TO_EJECT):
            known.record_latency(found, node(2), 0.2, now)
        until = found.by_node[node(2)].ejected_until
        lasted.append(until - now)
        now = until + 1.0
    assert lasted == pytest.approx([5.0, 10.0, 20.0])


def test_slow_service_has_no_straggler() -> None:
    found = peers(1, 2, 3, 4)
    for _ in range(50):
        for n in (1, 2, 3, 4):
            known.record_latency(found, node(n), 0.2, 10.0)
    assert ejected(found, 10.0) == []


def test_node_that_fails_again_and_again_is_ejected() -> None:
    found = peers(1, 2, 3)
    for _ in range(known.FAILURES_TO_EJECT):
        known.record_failure(found, node(3), 1.0)
    assert ejected(found, 1.0) == [3]


@pytest.mark.parametrize("size", range(1, 13))
def test_service_that_fails_as_a_whole_keeps_two_thirds(size: int) -> None:
    found = peers(*range(1, size + 1))
    for _ in range(known.FAILURES_TO_EJECT):
        for number in range(1, size + 1):
            known.record_failure(found, node(number), 1.0)
    assert len(ejected(found, 1.0)) == math.floor(size / 3)


@settings(max_examples=200, derandomize=True)
@given(
    size=st.integers(1, 12),
    events=st.lists(
        st.tuples(st.integers(1, 12), st.booleans(), st.floats(0, 3)), max_size=120
    ),
)
def test_ejected_share_is_capped(
    size: int, events: list[tuple[int, bool, float]]
) -> None:
    found = peers(*range(1, size + 1))
    now = 0.0
    for number, failed, pause_s in events:
        now += pause_s
        if failed:
            known.record_failure(found, node(number), now)
        else:
            known.record_latency(found, node(number), 5.0, now)
        assert len(ejected(found, now)) <= math.floor(size / 3)


def test_new_incarnation_starts_from_nothing() -> None:
    found = peers(1, 2)
    known.record_sent(found, OWN)
    known.replace_members(found, [member(1, "2"), member(2)], 5.0)
    fresh = found.by_node[OWN]
    assert (fresh.outstanding, fresh.samples, fresh.report) == (0, 0, None)
    assert known.traffic_share(fresh, 5.0) == known.SLOW_START_SHARE
    assert known.traffic_share(found.by_node[node(2)], 5.0) == 1.0


def test_report_asked_for_before_an_incarnation_is_not_taken_for_it() -> None:
    found = peers(1, 2)
    restarted = replace(member(1), incarnation="next")
    known.replace_members(found, [restarted, member(2)], 20.0)
    known.record_report(found, node(1), LoadReport(leaving=True), 19.9)
    assert found.by_node[node(1)].report is None
    known.record_report(found, node(1), LoadReport(), 20.0)
    assert found.by_node[node(1)].report == LoadReport()
