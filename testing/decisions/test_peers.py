from __future__ import annotations

import math
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from testing.decisions.test_routing import make_peers
from testing.decisions.test_routing import member
from testing.decisions.test_routing import node
from testing.decisions.test_routing import OWN_ADDRESS

from _masticspoke.decisions import peers
from _masticspoke.decisions.peers import Peers
from _masticspoke.model import LoadReport


def ejected(state: Peers, now: float) -> list[int]:
    return [n.port for n, p in state.by_node.items() if now < p.ejected_until]


def test_straggler_is_ejected_and_its_share_grows_slowly_afterwards() -> None:
    state = make_peers(1, 2, 3, 4)
    for _ in range(peers.MIN_SAMPLES_TO_COMPARE):
        peers.record_latency(state, node(2), 0.2, 10.0)
    assert ejected(state, 10.0) == [2]
    straggler = state.by_node[node(2)]
    assert peers.traffic_share(straggler, 10.0) == 0
    returned_at = straggler.ejected_until
    assert peers.traffic_share(straggler, returned_at) == peers.SLOW_START_SHARE
    assert peers.traffic_share(straggler, returned_at + peers.SLOW_START_S) == 1.0


def test_member_whose_callers_abandon_their_calls_is_ejected() -> None:
    state = make_peers(1, 2, 3, 4)
    for _ in range(peers.MIN_SAMPLES_TO_COMPARE):
        peers.record_abandoned_wait(state, node(2), 0.5, 10.0)
        peers.record_abandoned_wait(state, node(3), 0.001, 10.0)
    assert ejected(state, 10.0) == [2]
    assert state.by_node[node(3)].latency_s == pytest.approx(0.01)


def test_repeated_ejection_lasts_longer() -> None:
    state = make_peers(1, 2, 3, 4)
    durations_s = []
    now = 10.0
    for _ in range(3):
        for _ in range(peers.MIN_SAMPLES_TO_COMPARE + peers.SLOW_SAMPLES_TO_EJECT):
            peers.record_latency(state, node(2), 0.2, now)
        until = state.by_node[node(2)].ejected_until
        durations_s.append(until - now)
        now = until + 1.0
    assert durations_s == pytest.approx([5.0, 10.0, 20.0])


def test_no_member_is_ejected_when_the_whole_service_is_slow() -> None:
    state = make_peers(1, 2, 3, 4)
    for _ in range(50):
        for n in (1, 2, 3, 4):
            peers.record_latency(state, node(n), 0.2, 10.0)
    assert ejected(state, 10.0) == []


def test_node_is_ejected_after_several_failures_in_a_row() -> None:
    state = make_peers(1, 2, 3)
    for _ in range(peers.FAILURES_TO_EJECT):
        peers.record_failure(state, node(3), 1.0)
    assert ejected(state, 1.0) == [3]


@pytest.mark.parametrize("size", range(1, 13))
def test_at_most_a_third_is_ejected_when_the_whole_service_fails(size: int) -> None:
    state = make_peers(*range(1, size + 1))
    for _ in range(peers.FAILURES_TO_EJECT):
        for number in range(1, size + 1):
            peers.record_failure(state, node(number), 1.0)
    assert len(ejected(state, 1.0)) == math.floor(size / 3)


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
    state = make_peers(*range(1, size + 1))
    now = 0.0
    for number, failed, pause_s in events:
        now += pause_s
        if failed:
            peers.record_failure(state, node(number), now)
        else:
            peers.record_latency(state, node(number), 5.0, now)
        assert len(ejected(state, now)) <= math.floor(size / 3)


def test_new_incarnation_has_no_load_latency_or_report() -> None:
    state = make_peers(1, 2)
    peers.record_sent(state, OWN_ADDRESS)
    peers.replace_members(state, [member(1, "2"), member(2)], 5.0)
    fresh = state.by_node[OWN_ADDRESS]
    assert (fresh.outstanding, fresh.samples, fresh.report) == (0, 0, None)
    assert peers.traffic_share(fresh, 5.0) == peers.SLOW_START_SHARE
    assert peers.traffic_share(state.by_node[node(2)], 5.0) == 1.0


def test_report_that_arrived_before_a_restart_is_ignored() -> None:
    state = make_peers(1, 2)
    restarted = replace(member(1), incarnation="next")
    peers.replace_members(state, [restarted, member(2)], 20.0)
    peers.record_report(state, node(1), LoadReport(leaving=True), 19.9)
    assert state.by_node[node(1)].report is None
    peers.record_report(state, node(1), LoadReport(), 20.0)
    assert state.by_node[node(1)].report == LoadReport()
