from __future__ import annotations

from collections import Counter

import pytest
from testing.decisions.fleet.samples import server

from _masticspoke.decisions.fleet.freshness import accepted_s
from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import Phase
from _masticspoke.decisions.fleet.relays import choose_relay
from _masticspoke.decisions.fleet.relays import DUTY_S
from _masticspoke.decisions.fleet.relays import hold_s
from _masticspoke.decisions.fleet.relays import is_relay
from _masticspoke.decisions.fleet.relays import MAX_LOG_AGE_S
from _masticspoke.decisions.fleet.relays import MAX_USUAL_AGE_S
from _masticspoke.decisions.fleet.relays import MIN_ZONE_NODES
from _masticspoke.decisions.fleet.relays import NODES_PER_RELAY
from _masticspoke.decisions.fleet.relays import read_wait_s
from _masticspoke.decisions.fleet.relays import record_answer
from _masticspoke.decisions.fleet.relays import record_asked
from _masticspoke.decisions.fleet.relays import record_failure
from _masticspoke.decisions.fleet.relays import RelayState
from _masticspoke.decisions.fleet.relays import STATES_PAUSE_S
from _masticspoke.decisions.fleet.relays import states_pause_s
from _masticspoke.decisions.fleet.relays import UNBOUNDED_WAITS
from _masticspoke.decisions.fleet.relays import usable_age_s
from _masticspoke.decisions.fleet.relays import waits_within
from _masticspoke.model import Address

# The platform's tightest bound on a configuration, and the margins of a relay's answer
# and of one read of the log, seconds.
PROPAGATION_S = 2.0
ANSWER_MARGIN_S = 0.4
NEXT_PAUSE_S = 0.1
READ_S = 0.1


def zone(size: int, name: str = "z1", first: int = 0) -> list[BackendServer]:
    return [
        server(zone=name, address=Address(f"10.{n // 250}.{n % 250}.7", 80))
        for n in range(first, first + size)
    ]


def state_of(node: BackendServer) -> RelayState:
    return RelayState(node.address.host, node.zone)


@pytest.mark.parametrize("size", [30, 300, 1_000, 15_000])
def test_few_nodes_of_a_zone_read_the_log_and_share_the_others(size: int) -> None:
    nodes = zone(size)
    sample = nodes[:: max(1, size // 300)]
    chosen = [choose_relay(state_of(node), nodes, 0.0) for node in sample]
    followed = Counter(host for host in chosen if host is not None)

    relays = -(-size // NODES_PER_RELAY)
    assert len(followed) <= relays
    assert len(sample) - followed.total() <= relays
    mean = followed.total() / relays
    assert max(followed.values()) <= max(3 * mean, 10)


@pytest.mark.parametrize("size", [1, 3, MIN_ZONE_NODES - 1])
def test_node_of_a_small_zone_reads_the_log(size: int) -> None:
    nodes = zone(size) + zone(50, "z2", first=100)

    assert choose_relay(state_of(nodes[0]), nodes, 0.0) is None


def test_relay_is_in_the_own_zone_and_accepts_requests() -> None:
    nodes = zone(20) + zone(20, "z2", first=50)
    gone = [
        server(address=node.address, zone="z1", phase=Phase.GONE) for node in nodes[:5]
    ]
    chosen = {
        choose_relay(state_of(node), [*gone, *nodes[5:]], 0.0) for node in nodes[5:20]
    }

    assert chosen <= {None} | {node.address.host for node in nodes[5:20]}
    assert len(chosen) == 2


def test_node_that_is_asked_reads_the_log_for_a_time() -> None:
    nodes = zone(20)
    node = state_of(nodes[3])
    host = choose_relay(node, nodes, 0.0)
    assert host is not None
    record_answer(node, host, 0.2, 0.0)
    assert node.relay == host
    slow_s = read_wait_s(node, 0.0)

    record_asked(node, 1.0)
    assert node.relay == ""
    assert choose_relay(node, nodes, 1.1) is None
    assert read_wait_s(node, 1.1) < slow_s
    record_answer(node, host, 0.2, 1.2)
    assert node.relay == ""
    assert not is_relay(node, 1.0 + DUTY_S)
    assert choose_relay(node, nodes, 1.0 + DUTY_S) == host


def test_relay_that_has_just_become_one_is_asked_again() -> None:
    nodes = zone(20)
    node = state_of(nodes[3])
    host = choose_relay(node, nodes, 0.0)
    assert host is not None
    record_answer(node, host, MAX_LOG_AGE_S + 0.1, 0.0)
    assert node.relay == ""
    assert choose_relay(node, nodes, 0.1) == host


@pytest.mark.parametrize("age_s", [None, MAX_USUAL_AGE_S + 0.1])
def test_relay_that_does_not_hear_the_log_is_left(age_s: float | None) -> None:
    nodes = zone(20)
    node = state_of(nodes[3])
    host = choose_relay(node, nodes, 0.0)
    assert host is not None
    record_answer(node, host, 0.2, 0.0)
    record_answer(node, host, age_s, 1.0)

    assert node.relay == ""
    assert choose_relay(node, nodes, 1.1) != host


def test_relay_that_fails_again_and_again_is_asked_less_often() -> None:
    nodes = zone(20)
    node = state_of(nodes[3])
    host = choose_relay(node, nodes, 0.0)
    assert host is not None
    now, asked = 0.0, 0
    while now < 300.0:
        if choose_relay(node, nodes, now) == host:
            asked += 1
            record_failure(node, host, now)
        now += 1.0

    assert asked <= 15
    record_answer(node, host, 0.0, now)
    assert node.failures.get(host) is None


@pytest.mark.parametrize("age_s", [0.0, 0.5, 1.0, 1.4, 1.49])
def test_version_is_in_force_in_time_when_the_relay_loses_the_log(age_s: float) -> None:
    """The log accepted it just after its last answer to the relay."""
    since_version_s = age_s
    while since_version_s <= MAX_LOG_AGE_S:
        since_version_s += hold_s(since_version_s, UNBOUNDED_WAITS.max_hold_s)

    assert since_version_s + READ_S <= PROPAGATION_S


def test_version_is_in_force_in_time_when_the_relay_falls_silent() -> None:
    assert (
        NEXT_PAUSE_S + UNBOUNDED_WAITS.max_hold_s + ANSWER_MARGIN_S + READ_S
        <= PROPAGATION_S
    )


def test_node_that_others_will_ask_reads_the_log_as_a_relay_does() -> None:
    nodes = zone(20)
    states = [state_of(node) for node in nodes]
    first = [s for s in states if choose_relay(s, nodes, 0.0) is None]
    other = next(s for s in states if s not in first)

    assert len(first) == 1
    assert read_wait_s(first[0], 0.0) < read_wait_s(other, 0.0)
    assert states_pause_s(first[0], 0.0) < states_pause_s(other, 0.0)


def test_node_of_a_small_zone_reads_states_soon() -> None:
    nodes = zone(5)
    node = state_of(nodes[0])
    choose_relay(node, nodes, 0.0)

    assert states_pause_s(node, 0.0) == STATES_PAUSE_S[True]


@pytest.mark.parametrize("revocation_s", [2.0, 5.0, 60.0])
def test_confirmation_outlasts_the_failure_of_a_relay(revocation_s: float) -> None:
    """Else a relay that stalls makes all nodes that follow it refuse keys.

    The relay's age grows to its read wait and the time of a read, twice. The node's
    query waits to the end, then one more gets no answer, then the log is read.
    """
    waits = waits_within(revocation_s)
    relay_age_s = 2 * (waits.relay_read_s + READ_S)
    query_s = waits.max_hold_s + READ_S + NEXT_PAUSE_S
    usual_s = relay_age_s + 2 * query_s
    silent_s = waits.max_hold_s + ANSWER_MARGIN_S + READ_S

    if revocation_s >= 5.0:
        assert usual_s <= 2.7
        assert silent_s <= 1.4
    assert relay_age_s + query_s + silent_s < accepted_s(revocation_s)


@pytest.mark.parametrize(
    ("confirmed_age_s", "usable"),
    [(None, False), (0.9, True), (MAX_USUAL_AGE_S + 0.1, False)],
)
def test_relay_that_confirms_nothing_is_left_only_where_keys_need_it(
    confirmed_age_s: float | None, usable: bool
) -> None:
    """One of an earlier build hears the log, but doesn't say how old its version is."""
    bounded = usable_age_s(0.3, confirmed_age_s, waits_within(5.0))

    assert bounded == (0.3 if usable else None)
    assert usable_age_s(0.3, confirmed_age_s, UNBOUNDED_WAITS) == 0.3
