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


def chosen(
    placing: PlacementState,
    servers: list[BackendServer],
    now: float = 0.0,
    times: int = 200,
) -> Counter[str]:
    random = Random(7)
    found = (choose(placing, servers, (), now, random) for _ in range(times))
    return Counter(s.instance for s in found if s is not None)


def reported(placing: PlacementState, place: BackendServer, load: GuardLoad) -> None:
    record_sent(placing, place.address)
    record_end(placing, place.address, False, load, 0.0)


def test_own_zone_is_taken_while_it_has_room() -> None:
    near, far = server(1, "z1"), server(2, "z2")

    assert chosen(PlacementState("z1"), [near, far]) == {"i-1": 200}


def test_full_own_zone_is_left() -> None:
    placing = PlacementState("z1")
    near, far = server(1, "z1"), server(2, "z2")
    reported(placing, near, GuardLoad(running=10, queued=5, limit=10, run_s=0.1))
    reported(placing, far, GuardLoad(running=1, limit=10, run_s=0.1))

    assert chosen(placing, [near, far]) == {"i-2": 200}


def test_own_sends_count_before_the_next_report() -> None:
    placing = PlacementState("z1")
    servers = [server(n, "z2", slots=10) for n in (1, 2)]
    random = Random(7)
    for _ in range(20):
        found = choose(placing, servers, (), 0.0, random)
        assert found is not None
        record_sent(placing, found.address)

    assert [placing.stats[s.address].outstanding for s in servers] == [10, 10]


def test_failing_server_is_avoided_and_tried_again_later() -> None:
    placing = PlacementState("z1")
    grey, sound = server(1, "z1"), server(2, "z2")
    for number in range(20):
        record_sent(placing, grey.address)
        load = GuardLoad(running=1, limit=10, run_s=0.05)
        record_end(placing, grey.address, number % 2 == 0, load, 0.0)

    assert chosen(placing, [grey, sound]) == {"i-2": 200}
    assert chosen(placing, [grey, sound], now=30.0)["i-1"] > 0


def test_a_service_that_fails_everywhere_is_still_used() -> None:
    placing = PlacementState("z1")
    servers = [server(n, "z2") for n in (1, 2, 3)]
    for one in servers:
        for _ in range(20):
            record_sent(placing, one.address)
            record_end(placing, one.address, True, GuardLoad(limit=10), 0.0)

    assert sum(chosen(placing, servers).values()) == 200


def test_slow_server_gets_less() -> None:
    placing = PlacementState("z1")
    slow, fast = server(1, "z2"), server(2, "z2")
    reported(placing, slow, GuardLoad(running=2, limit=10, run_s=0.5))
    reported(placing, fast, GuardLoad(running=2, limit=10, run_s=0.1))

    assert chosen(placing, [slow, fast]) == {"i-2": 200}


def test_unreachable_server_pauses_longer_each_time_and_comes_back() -> None:
    placing = PlacementState("z1")
    lost = server(1)

    assert record_unusable(placing, lost.address, NotRun.UNREACHABLE, 0.0)
    assert chosen(placing, [lost], now=0.9) == {}
    assert chosen(placing, [lost], now=1.1) == {"i-1": 200}
    assert record_unusable(placing, lost.address, NotRun.UNREACHABLE, 1.1)
    assert chosen(placing, [lost], now=2.9) == {}


def test_busy_is_no_reason_to_pause() -> None:
    placing = PlacementState("z1")

    assert not record_unusable(placing, server(1).address, NotRun.BUSY, 0.0)
    assert chosen(placing, [server(1)]) == {"i-1": 200}


def test_new_incarnation_starts_without_a_record() -> None:
    placing = PlacementState("z1")
    record_unusable(placing, server(1).address, NotRun.ABSENT, 0.0)
    reset_stats(placing, server(1).address)

    assert chosen(placing, [server(1)]) == {"i-1": 200}


def test_large_service_is_sampled() -> None:
    placing = PlacementState("z1")
    servers = [server(n % 250, "z2") for n in range(1, 250)]

    assert len(chosen(placing, servers, times=400)) > 50
