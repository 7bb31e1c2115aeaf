from __future__ import annotations

from statistics import median

import pytest

from _masticspoke.decisions.fleet import quota_keeper
from _masticspoke.decisions.fleet.quota_keeper import answer_query
from _masticspoke.decisions.fleet.quota_keeper import Grant
from _masticspoke.decisions.fleet.quota_keeper import KEEP_S
from _masticspoke.decisions.fleet.quota_keeper import KeeperState
from _masticspoke.decisions.fleet.quota_keeper import Limit
from _masticspoke.decisions.fleet.quota_keeper import QuotaQuery
from _masticspoke.decisions.fleet.quota_keeper import shares
from _masticspoke.decisions.fleet.quota_keeper import Want

LIMIT = Limit(100, 50)
KEY = (0, "a")
PERIOD_S = 0.1


class Keeper:
    """A keeper whose ``members`` query it every tenth of a second."""

    def __init__(self, nodes: int = 4, members: int = 4) -> None:
        self.hosts = [f"10.0.0.{n}" for n in range(nodes)]
        self.state = KeeperState(nodes=frozenset(self.hosts))
        self.members = members
        self.now = 1000.0
        self.seen: dict[str, int] = {}
        self.limits: dict[str, Limit] | None = {"a": LIMIT}
        self.version = 1

    def query(self, host: str, wants: int = 0, seen: int | None = None) -> Grant:
        query = QuotaQuery(
            host,
            1,
            len(self.hosts),
            {0: self.seen.get(host, 0) if seen is None else seen},
            {KEY: Want(wants, LIMIT)} if wants else {},
        )
        answer = answer_query(self.state, query, self.version, self.limits, self.now)
        self.seen[host] = answer.at_ms
        return answer.grants.get("a", Grant(0))

    def go_on(self, duration_s: float) -> None:
        for _ in range(round(duration_s / PERIOD_S)):
            self.now += PERIOD_S
            for host in self.hosts[: self.members]:
                self.query(host)


@pytest.mark.parametrize(("members", "rate"), [(4, 100), (2, 50), (1, 25)])
def test_a_keeper_grants_the_part_of_its_members(members: int, rate: int) -> None:
    """Guards against two sides of a cut that grant the whole limit each."""
    keeper = Keeper(4, members)
    keeper.go_on(1.0)
    keeper.query(keeper.hosts[0], 1000)

    granted = 0
    for _ in range(50):
        keeper.go_on(0.1)
        granted += keeper.query(keeper.hosts[0], 1000).tokens

    assert granted == pytest.approx(5 * rate, rel=0.05)


def test_a_query_that_a_keeper_reads_late_makes_no_member() -> None:
    """Guards against memberships renewed by queries that waited for a paused keeper."""
    keeper = Keeper()
    keeper.go_on(1.0)
    keeper.now += 5.0
    for host in keeper.hosts:
        keeper.query(host, seen=int((keeper.now - 5.0) * 1000))
    keeper.now += 0.1

    assert shares(keeper.state, keeper.now) == {0: 0.0}


def test_a_paused_keeper_adds_no_tokens_for_the_pause() -> None:
    keeper = Keeper()
    keeper.go_on(1.0)
    keeper.query(keeper.hosts[0], 1000)
    keeper.now += 0.6

    assert keeper.query(keeper.hosts[0], 1000).tokens <= 1


def test_a_time_that_is_still_to_come_makes_no_member() -> None:
    keeper = Keeper()
    keeper.query(keeper.hosts[0], seen=int((keeper.now + 3600) * 1000))
    keeper.now += 0.1

    assert shares(keeper.state, keeper.now) == {0: 0.0}


def test_a_node_that_the_keeper_does_not_know_is_no_member() -> None:
    keeper = Keeper(2, 2)
    keeper.hosts.append("10.0.0.99")
    keeper.members = 3
    keeper.go_on(1.0)

    # It knows of three nodes, so the keeper has two of three.
    assert shares(keeper.state, keeper.now)[0] == pytest.approx(2 / 3)


def granted_in_a_second(keeper: Keeper) -> int:
    keeper.query(keeper.hosts[0], 1000)
    keeper.go_on(1.0)
    return keeper.query(keeper.hosts[0], 1000).tokens


def test_a_keeper_with_an_older_version_uses_the_lower_limit() -> None:
    """Guards against a raised or lowered limit that a keeper hasn't heard of."""
    keeper = Keeper()
    keeper.version = 0
    keeper.limits = {"a": Limit(10, 50)}
    keeper.go_on(1.0)
    assert granted_in_a_second(keeper) == pytest.approx(10, abs=1)

    keeper.limits = {"a": Limit(1000, 50)}
    assert granted_in_a_second(keeper) <= 50


def test_a_keeper_that_does_not_know_an_organisation_uses_the_askers_limit() -> None:
    keeper = Keeper()
    keeper.limits = None
    keeper.go_on(1.0)

    assert granted_in_a_second(keeper) == 50


def test_a_lowered_burst_takes_effect_at_once() -> None:
    keeper = Keeper()
    keeper.go_on(1.0)
    granted_in_a_second(keeper)
    keeper.go_on(1.0)
    keeper.limits = {"a": Limit(10, 5)}

    assert keeper.query(keeper.hosts[0], 1000).tokens <= 5


def test_buckets_that_nobody_asks_for_are_dropped() -> None:
    """Guards against memory that grows with each name ever asked for."""
    keeper = Keeper()
    keeper.go_on(1.0)
    keeper.query(keeper.hosts[0], 1)
    assert len(keeper.state.buckets) == 1
    keeper.now += KEEP_S + 1
    keeper.query(keeper.hosts[0])

    assert len(keeper.state.buckets) == 0


def test_the_number_of_buckets_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(quota_keeper, "MAX_BUCKETS", 20)
    keeper = Keeper()
    for n in range(100):
        want = {(0, f"o{n}"): Want(1, LIMIT)}
        query = QuotaQuery("10.0.0.1", 1, 4, {}, want)
        answer_query(keeper.state, query, 1, None, keeper.now)

    assert len(keeper.state.buckets) <= 20


def test_many_nodes_that_are_short_query_rarely() -> None:
    """Guards against a keeper that its own refusals keep busy."""
    keeper = Keeper(80, 80)
    keeper.go_on(1.0)
    for _ in range(20):
        keeper.now += PERIOD_S
        waits = [keeper.query(host, 10).next_s for host in keeper.hosts]

    assert median(waits) >= 0.2
