from __future__ import annotations

from testing.decisions.fleet.samples import server

from _masticspoke.decisions.fleet.model import Phase
from _masticspoke.decisions.fleet.quota_ranking import group_of
from _masticspoke.decisions.fleet.quota_ranking import GROUPS
from _masticspoke.decisions.fleet.quota_ranking import rank_keepers

SERVERS = [server(n, f"z{n % 2}") for n in range(1, 82)]


def test_all_nodes_rank_alike_whatever_the_order() -> None:
    for group in range(GROUPS):
        assert rank_keepers(group, SERVERS) == rank_keepers(group, SERVERS[::-1])


def test_the_second_is_in_another_zone() -> None:
    """Guards against a side of a cut between zones that has no keeper."""
    zones = {s.address.host: s.zone for s in SERVERS}
    for group in range(GROUPS):
        first, second, _ = rank_keepers(group, SERVERS)
        assert zones[first] != zones[second]


def test_a_server_that_leaves_moves_only_its_own_groups() -> None:
    for group in range(GROUPS):
        first, second, third = rank_keepers(group, SERVERS)
        rest = [s for s in SERVERS if s.address.host != third]
        assert rank_keepers(group, rest)[:2] == (first, second)


def test_servers_that_are_leaving_keep_no_quotas() -> None:
    leaving = [server(1, phase=Phase.LEAVING), server(2)]

    assert rank_keepers(0, leaving) == ("10.0.0.2",)
    assert rank_keepers(0, []) == ()


def test_organisations_are_spread_over_the_groups() -> None:
    counts = [0] * GROUPS
    for n in range(1000):
        counts[group_of(f"organisation {n}")] += 1

    assert min(counts) > 150
