"""Choice of a server by its expected time."""

from __future__ import annotations

from collections import Counter
from random import Random

from testing.decisions.fleet.samples import server

from _masticspoke.decisions.fleet.expected_time import SPEED_HALF_LIFE_S
from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import GuardLoad
from _masticspoke.decisions.fleet.placing import choose
from _masticspoke.decisions.fleet.placing import PlacementState
from _masticspoke.decisions.fleet.placing import record_end
from _masticspoke.decisions.fleet.placing import record_sent


def new_state(zone: str = "z1") -> PlacementState:
    return PlacementState(zone, weighs_speed=True)


def answer(
    placing: PlacementState,
    target: BackendServer,
    load: GuardLoad,
    answered_after_s: float = 0.1,
    now: float = 0.0,
    route: str = "read",
    times: int = 1,
    failed: bool = False,
) -> None:
    for _ in range(times):
        record_sent(placing, target.address)
        record_end(placing, target.address, failed, load, now, route, answered_after_s)


def count_choices(
    placing: PlacementState,
    servers: list[BackendServer],
    now: float = 0.0,
    route: str = "read",
) -> Counter[str]:
    random = Random(7)
    choices = (choose(placing, servers, (), now, random, route) for _ in range(200))
    return Counter(s.instance for s in choices if s is not None)


def test_slowdown_is_followed_with_one_report_and_forgotten_with_the_next() -> None:
    placing, servers = new_state(), [server(1), server(2)]
    for target in servers:
        answer(placing, target, GuardLoad(2, 0, 10, 0.1), times=50)
    answer(placing, servers[0], GuardLoad(2, 0, 10, 0.1, slowdown=2.5), 0.25)
    assert count_choices(placing, servers) == {"i-2": 200}

    answer(placing, servers[0], GuardLoad(2, 0, 10, 0.1, slowdown=1.0))
    assert 60 < count_choices(placing, servers)["i-1"] < 140


def test_slowdown_of_an_old_report_is_forgotten() -> None:
    """A lost report would keep work from a server for good."""
    placing, servers = new_state(), [server(1), server(2)]
    for target, slowdown in zip(servers, (2.5, 1.0), strict=True):
        load = GuardLoad(2, 0, 10, 0.1, slowdown=slowdown)
        answer(placing, target, load, 0.1 * slowdown, times=50)

    assert count_choices(placing, servers) == {"i-2": 200}
    assert 60 < count_choices(placing, servers, now=1.1)["i-1"] < 140


def test_server_that_serves_longer_requests_is_not_taken_for_a_slow_one() -> None:
    placing, servers = new_state(), [server(1), server(2)]
    for target, run_s in zip(servers, (0.5, 0.05), strict=True):
        load = GuardLoad(2, 0, 10, run_s)
        answer(placing, target, load, 0.05, route="read", times=50)
    answer(placing, servers[0], GuardLoad(2, 0, 10, 0.5), 1.0, route="scan", times=50)

    assert 60 < count_choices(placing, servers)["i-1"] < 140


def test_slow_server_is_found_by_route_and_tried_again_later() -> None:
    placing, servers = new_state(), [server(1), server(2)]
    for _ in range(100):
        answer(placing, servers[0], GuardLoad(2, 0, 10, 0.1), 0.2)
        answer(placing, servers[1], GuardLoad(2, 0, 10, 0.1), 0.1)

    assert count_choices(placing, servers) == {"i-2": 200}
    later = count_choices(placing, servers, now=5 * SPEED_HALF_LIFE_S)
    assert later["i-1"] > 40


def test_server_that_answers_errors_in_a_millisecond_gets_little() -> None:
    placing, servers = new_state(), [server(1), server(2)]
    answer(placing, servers[1], GuardLoad(2, 0, 10, 0.1), times=50)
    answer(
        placing, servers[0], GuardLoad(0, 0, 10, 0.001), 0.001, times=20, failed=True
    )

    assert count_choices(placing, servers) == {"i-2": 200}


def test_cold_server_gets_less_until_its_warm_up_ends() -> None:
    placing, servers = new_state(), [server(1, warm_ms=5_000), server(2)]
    for target in servers:
        answer(placing, target, GuardLoad(2, 0, 10, 0.1), times=50)

    assert count_choices(placing, servers, now=4.9) == {"i-2": 200}
    assert 60 < count_choices(placing, servers, now=5.1)["i-1"] < 140


def test_new_server_is_not_flooded_before_its_first_answer() -> None:
    """All nodes learn of a new server at once, and it looks empty to each."""
    placing, servers = new_state(), [server(1), server(2)]
    answer(placing, servers[1], GuardLoad(8, 0, 10, 0.1), times=50)
    random = Random(7)
    for _ in range(10):
        chosen = choose(placing, servers, (), 0.0, random, "read")
        assert chosen is not None
        record_sent(placing, chosen.address)

    assert placing.stats[servers[0].address].outstanding <= 3


def test_request_leaves_its_zone_before_that_refuses_it_but_not_for_little() -> None:
    placing, near, far = new_state(), server(1, "z1"), server(2, "z2")
    for target in (near, far):
        answer(placing, target, GuardLoad(2, 0, 10, 0.1), times=50)
    assert count_choices(placing, [near, far]) == {"i-1": 200}

    answer(placing, near, GuardLoad(6, 0, 10, 0.1))
    assert count_choices(placing, [near, far]) == {"i-1": 200}

    # The near server still has slots, and refuses nobody.
    answer(placing, near, GuardLoad(10, 2, 10, 0.1))
    assert count_choices(placing, [near, far]) == {"i-2": 200}


def test_sender_that_is_cut_off_from_a_zone_uses_its_own_and_returns() -> None:
    placing, near, far = new_state(), server(1, "z1"), server(2, "z2")
    for target in (near, far):
        answer(placing, target, GuardLoad(2, 0, 10, 0.1), times=50)
    for _ in range(20):
        record_sent(placing, far.address)
        record_end(placing, far.address, True, None, 0.0, "read", None)
    answer(placing, near, GuardLoad(10, 2, 10, 0.1))
    assert count_choices(placing, [near, far]) == {"i-1": 200}

    answer(placing, near, GuardLoad(10, 2, 10, 0.1), now=30.0)
    assert count_choices(placing, [near, far], now=30.0)["i-2"] > 0


def test_server_with_only_old_reports_is_not_taken_to_be_empty() -> None:
    placing, servers = new_state(), [server(n) for n in (1, 2, 3)]
    for target in servers:
        answer(placing, target, GuardLoad(8, 0, 10, 0.1), times=50)
    for target in servers[1:]:
        answer(placing, target, GuardLoad(8, 0, 10, 0.1), now=2.0)

    assert count_choices(placing, servers, now=2.0)["i-1"] < 140
