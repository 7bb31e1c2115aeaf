from __future__ import annotations

from collections import Counter
from random import Random

from testing.decisions.fleet.samples import server

from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import GuardLoad
from _masticspoke.decisions.fleet.model import NotRun
from _masticspoke.decisions.fleet.placing import choose
from _masticspoke.decisions.fleet.placing import PlacementState
from _masticspoke.decisions.fleet.placing import record_end
from _masticspoke.decisions.fleet.placing import record_sent
from _masticspoke.decisions.fleet.placing import record_unusable
from _masticspoke.decisions.fleet.placing import reset_stats


def count_choices(
    placing: PlacementState,
    servers: list[BackendServer],
    now: float = 0.0,
    times: int = 200,
) -> Counter[str]:
    random = Random(7)
    choices = (choose(placing, servers, (), now, random) for _ in range(times))
    return Counter(s.instance for s in choices if s is not None)


def report_load(
    placing: PlacementState, target: BackendServer, load: GuardLoad
) -> None:
    record_sent(placing, target.address)
    record_end(placing, target.address, False, load, 0.0)


def test_local_zone_is_preferred_while_it_has_room() -> None:
    in_zone, other_zone = server(1, "z1"), server(2, "z2")

    assert count_choices(PlacementState("z1"), [in_zone, other_zone]) == {"i-1": 200}


def test_full_local_zone_is_avoided() -> None:
    placing = PlacementState("z1")
    in_zone, other_zone = server(1, "z1"), server(2, "z2")
    report_load(placing, in_zone, GuardLoad(running=10, queued=5, limit=10, run_s=0.1))
    report_load(placing, other_zone, GuardLoad(running=1, limit=10, run_s=0.1))

    assert count_choices(placing, [in_zone, other_zone]) == {"i-2": 200}


def test_own_sends_count_as_load_before_the_next_report() -> None:
    placing = PlacementState("z1")
    servers = [server(n, "z2", slots=10) for n in (1, 2)]
    random = Random(7)
    for _ in range(20):
        chosen = choose(placing, servers, (), 0.0, random)
        assert chosen is not None
        record_sent(placing, chosen.address)

    assert [placing.stats[s.address].outstanding for s in servers] == [10, 10]


def test_failing_server_is_avoided_and_tried_again_later() -> None:
    placing = PlacementState("z1")
    failing, healthy = server(1, "z1"), server(2, "z2")
    for number in range(20):
        record_sent(placing, failing.address)
        load = GuardLoad(running=1, limit=10, run_s=0.05)
        record_end(placing, failing.address, number % 2 == 0, load, 0.0)

    assert count_choices(placing, [failing, healthy]) == {"i-2": 200}
    assert count_choices(placing, [failing, healthy], now=30.0)["i-1"] > 0


def test_service_whose_servers_all_fail_is_still_used() -> None:
    placing = PlacementState("z1")
    servers = [server(n, "z2") for n in (1, 2, 3)]
    for target in servers:
        for _ in range(20):
            record_sent(placing, target.address)
            record_end(placing, target.address, True, GuardLoad(limit=10), 0.0)

    assert sum(count_choices(placing, servers).values()) == 200


def test_slow_server_is_avoided() -> None:
    placing = PlacementState("z1")
    slow, fast = server(1, "z2"), server(2, "z2")
    report_load(placing, slow, GuardLoad(running=2, limit=10, run_s=0.5))
    report_load(placing, fast, GuardLoad(running=2, limit=10, run_s=0.1))

    assert count_choices(placing, [slow, fast]) == {"i-2": 200}


def test_unreachable_server_is_used_again_after_ejections_that_grow() -> None:
    placing = PlacementState("z1")
    target = server(1)

    assert record_unusable(placing, target.address, NotRun.UNREACHABLE, 0.0)
    assert count_choices(placing, [target], now=0.9) == {}
    assert count_choices(placing, [target], now=1.1) == {"i-1": 200}
    assert record_unusable(placing, target.address, NotRun.UNREACHABLE, 1.1)
    assert count_choices(placing, [target], now=2.9) == {}


def test_busy_server_is_not_ejected() -> None:
    placing = PlacementState("z1")

    assert not record_unusable(placing, server(1).address, NotRun.BUSY, 0.0)
    assert count_choices(placing, [server(1)]) == {"i-1": 200}


def test_new_incarnation_starts_without_an_ejection() -> None:
    placing = PlacementState("z1")
    record_unusable(placing, server(1).address, NotRun.ABSENT, 0.0)
    reset_stats(placing, server(1).address)

    assert count_choices(placing, [server(1)]) == {"i-1": 200}


def test_requests_to_a_large_service_reach_many_servers() -> None:
    placing = PlacementState("z1")
    servers = [server(n % 250, "z2") for n in range(1, 250)]

    assert len(count_choices(placing, servers, times=400)) > 50
