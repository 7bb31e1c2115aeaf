from __future__ import annotations

from collections import Counter
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from _masticspoke.decisions.liveness import choose_partners
from _masticspoke.decisions.liveness import choose_prober
from _masticspoke.decisions.liveness import record_round
from _masticspoke.decisions.liveness import ROUNDS_TO_SUSPECT
from _masticspoke.decisions.liveness import WATCHED_NEIGHBOURS
from _masticspoke.decisions.liveness import watched_nodes
from _masticspoke.model import Address
from _masticspoke.model import Member


def node(port: int) -> Address:
    return Address("127.0.0.1", port)


def member(port: int, service: str) -> Member:
    return Member(service, node(port), node(port), "kochi-a", "i", 1, 1)


@given(st.lists(st.integers(1, 6), min_size=1, max_size=6))
def test_every_member_has_as_many_watchers_as_possible(sizes: list[int]) -> None:
    members = [
        member(100 * service + number, f"s{service}")
        for service, size in enumerate(sizes, 1)
        for number in range(size)
    ]
    watchers: Counter[Address] = Counter()
    for watcher in members:
        chosen = watched_nodes(members, watcher.node)
        assert watcher.node not in chosen
        watchers.update(chosen)

    possible = min(WATCHED_NEIGHBOURS, len(members) - 1)
    assert all(watchers[m.node] == possible for m in members)


def test_node_is_suspected_only_after_consecutive_failed_rounds() -> None:
    failures: dict[Address, int] = {}
    suspected_by_round = []
    for up in [False] * (ROUNDS_TO_SUSPECT - 1) + [True] + [False] * ROUNDS_TO_SUSPECT:
        failures, suspects = record_round(failures, {node(1): up})
        suspected_by_round.append(suspects)

    assert suspected_by_round == [()] * (2 * ROUNDS_TO_SUSPECT - 1) + [(node(1),)]


def test_prober_is_another_node_that_answers() -> None:
    members = [member(n, "s") for n in (1, 2, 3)]

    assert choose_prober(members, {node(2): 3}, node(1), Random(1)) == node(3)
    assert choose_prober(members[:2], {node(2): 3}, node(1), Random(1)) is None


def test_partners_include_seeds_but_not_the_own_node() -> None:
    chosen = choose_partners([member(1, "s")], [node(2)], node(1), 16, Random(1))

    assert chosen == (node(2),)
