"""The bound of all nodes together holds under any mix of faults, without a network."""

from __future__ import annotations

from random import Random

import pytest
from testing.decisions.fleet.samples import server
from testing.fleet.quota.quota_world import excess
from testing.fleet.quota.quota_world import World

from _masticspoke.decisions.fleet import quota_keeper
from _masticspoke.decisions.fleet import quota_membership
from _masticspoke.decisions.fleet import quota_tokens
from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import Organisation
from _masticspoke.decisions.fleet.quota_ranking import group_of
from _masticspoke.decisions.fleet.quota_ranking import rank_keepers
from _masticspoke.model import Address

START = 102.0
LENGTH_S = 16.0
SPREAD_S = 2.5
SEEDS = range(30)


def random_run(seed: int) -> tuple[World, list[tuple[Organisation, float]]]:
    """Run a random fleet under random faults.

    :return: the world, and organisations with the time from which their limit binds.
    """
    random = Random(seed)
    world = World(random)
    world.add_nodes(random.choice([2, 3, 6, 12, 24]), zones=random.choice([1, 2, 3]))
    hosts = list(world.nodes)
    organisations = [
        Organisation(f"o{n}", None, random.choice([2, 20, 80]), random.choice([0, 30]))
        for n in range(3)
    ]
    world.configure(1, organisations)
    world.run_until(START)
    end = START + LENGTH_S
    for organisation in organisations:
        served_at = random.sample(hosts, random.randint(1, len(hosts)))
        rate_per_s = organisation.rate_per_s * random.choice([0.8, 3, 8])
        middle = random.uniform(START, end)
        world.demand(organisation, served_at, rate_per_s, START, middle)
        # The clients move, and may send at once what they held back.
        moved_to = random.sample(hosts, random.randint(1, len(hosts)))
        world.demand(organisation, moved_to, rate_per_s, middle, end)
    for _ in range(random.randint(0, 4)):
        add_fault(world, organisations, random.uniform(START, end - 2))
    binding = [(organisation, START) for organisation in organisations]
    if random.random() < 0.5:
        lowered_at = START + 4.0
        lowered = Organisation("o0", None, organisations[0].rate_per_s / 2, 0)
        world.at(
            lowered_at,
            lambda: world.configure(2, [lowered, *organisations[1:]], SPREAD_S),
        )
        known_at = lowered_at + SPREAD_S
        binding.append((lowered, known_at + 5.0))
    world.run_until(end)
    return world, binding


def add_fault(world: World, organisations: list[Organisation], at: float) -> None:
    random = world.random
    servers = [node.server for node in world.nodes.values()]
    keepers = rank_keepers(group_of(random.choice(organisations).name), servers)
    host = random.choice([*keepers, *world.nodes])
    duration_s = random.uniform(0.2, 5.0)
    kind = random.choice(["cut zone", "cut off", "kill", "restart", "pause"])
    if kind == "cut zone":
        zone = world.nodes[host].server.zone
        side = frozenset(h for h, n in world.nodes.items() if n.server.zone == zone)
        world.cuts.append((side, at, at + duration_s))
    elif kind == "cut off":
        world.cuts.append((frozenset([host]), at, at + duration_s))
    elif kind == "pause":
        world.at(at, lambda: world.pause(host, duration_s))
    else:
        world.at(at, lambda: world.kill(host))
        if kind == "restart":
            world.at(at + duration_s, lambda: world.restart(host))


def worst_excess(seeds: range) -> float:
    worst = float("-inf")
    for seed in seeds:
        world, binding = random_run(seed)
        for organisation, start in binding:
            taken = world.taken.get(organisation.name, [])
            # A limit that is lowered later allows less than its predecessor.
            worst = max(worst, excess(taken, organisation, start))
    return worst


@pytest.mark.parametrize("seed", SEEDS)
def test_no_mix_of_faults_lets_more_run_than_the_bound(seed: int) -> None:
    """Guards against keepers that grant more together than the limit allows."""
    assert worst_excess(range(seed, seed + 1)) <= 0


def hold_tokens_for(monkeypatch: pytest.MonkeyPatch, ahead_s: float) -> None:
    monkeypatch.setattr(quota_tokens, "AHEAD_S", ahead_s)
    monkeypatch.setattr(quota_tokens, "PLENTY_AHEAD_S", ahead_s)


def take_expired(account: quota_tokens.Account, now: float) -> float | None:
    while account.lots and account.lots[0].tokens == 0:
        account.lots.popleft()
    if not account.lots:
        return None
    account.lots[0].tokens -= 1
    return now + 1.0


def test_a_token_that_is_used_after_a_pause_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Tokens for a second are held, so that a fault in their expiry shows.
    hold_tokens_for(monkeypatch, 1.0)
    assert pause_with_tokens(Random(1)) <= 0

    monkeypatch.setattr(quota_tokens, "take", take_expired)

    assert pause_with_tokens(Random(1)) > 0


def pause_with_tokens(random: Random) -> float:
    """Pause a node that holds tokens until the bucket is full again."""
    organisation = Organisation("o0", None, 100, 600)
    world, host = world_with_full_bucket(random, organisation)
    world.demand(organisation, [host], 1000, START + 8, START + 20)
    world.at(START + 8.2, lambda: world.pause(host, 7.0))
    world.run_until(START + 20)
    return excess(world.taken["o0"], organisation)


def world_with_full_bucket(
    random: Random, organisation: Organisation
) -> tuple[World, str]:
    """Return a fleet, and a node of it that isn't the organisation's keeper."""
    world = World(random)
    world.add_nodes(12)
    world.configure(1, [organisation])
    world.run_until(START)
    hosts = list(world.nodes)
    servers = [node.server for node in world.nodes.values()]
    keeper = rank_keepers(group_of(organisation.name), servers)[0]
    world.request(hosts[0], organisation)
    world.run_until(START + 7)
    return world, next(host for host in hosts if host != keeper)


def test_a_new_keeper_that_begins_with_a_full_bucket_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Counting members hides the fault, as a new keeper has none.
    monkeypatch.setattr(quota_keeper, "_share", lambda state, group, members: 1.0)
    assert restarts_of_the_keeper(Random(1)) <= 0

    monkeypatch.setattr(quota_keeper, "FIRST_TOKENS", 1000.0)

    assert restarts_of_the_keeper(Random(1)) > 0


def restarts_of_the_keeper(random: Random) -> float:
    organisation = Organisation("o0", None, 20, 100)
    world = World(random)
    world.add_nodes(6)
    world.configure(1, [organisation])
    world.run_until(START)
    world.demand(organisation, list(world.nodes), 800, START, START + 10)
    servers = [node.server for node in world.nodes.values()]
    keeper = rank_keepers(group_of("o0"), servers)[0]
    for second in (2, 4):
        world.at(START + second, lambda: world.kill(keeper))
        world.at(START + second + 0.3, lambda: world.restart(keeper))
    world.run_until(START + 10)
    return excess(world.taken["o0"], organisation)


def test_tokens_that_stay_valid_for_three_seconds_are_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    hold_tokens_for(monkeypatch, 3.0)
    assert burst_after_saving(Random(1)) <= 0

    monkeypatch.setattr(quota_tokens, "VALID_S", 3.0)

    assert burst_after_saving(Random(1)) > 0


def burst_after_saving(random: Random) -> float:
    """Demand steadily, then not at all, then far too much."""
    organisation = Organisation("o0", None, 200, 300)
    world, host = world_with_full_bucket(random, organisation)
    world.demand(organisation, [host], 160, START + 7, START + 8)
    world.demand(organisation, [host], 1600, START + 9.9, START + 15)
    world.run_until(START + 15)
    return excess(world.taken["o0"], organisation)


def test_two_keepers_with_the_whole_limit_each_are_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against counting a node as a member of two keepers."""
    monkeypatch.setattr(quota_keeper, "_share", lambda state, group, members: 1.0)

    assert cut_between_zones(Random(1)) > 0


def test_a_cut_between_zones_stays_within_the_bound() -> None:
    assert cut_between_zones(Random(1)) <= 0


def cut_between_zones(random: Random) -> float:
    organisation = Organisation("o0", None, 100, 0)
    world = World(random)
    world.add_nodes(12)
    world.configure(1, [organisation])
    world.run_until(START)
    hosts = list(world.nodes)
    world.demand(organisation, hosts, 800, START, START + 12)
    side = frozenset(h for h, n in world.nodes.items() if n.server.zone == "z0")
    world.cuts.append((side, START + 2, START + 9))
    world.run_until(START + 12)
    return excess(world.taken["o0"], organisation)


def test_a_member_of_a_keeper_that_went_silent_joins_no_other_meanwhile() -> None:
    """Guards against a membership at two keepers, which a cut would show."""
    first, second = server_at("10.0.0.1"), server_at("10.0.0.2")
    state = quota_membership.MembershipState("10.0.0.9")
    quota_membership.learn_servers(state, [first, second])
    keeper = quota_membership.keeper_of(state, 0, 0.0)
    quota_membership.record_response(state, keeper, 5, [0], 0.0)
    assert quota_membership.seen_ms(state, 0, 0.01) == 5

    quota_membership.record_silence(state, keeper, 0.2, refused=False)
    other = quota_membership.keeper_of(state, 0, 0.2)
    quota_membership.record_response(state, other, 7, [0], 0.21)

    assert other != keeper
    assert quota_membership.seen_ms(state, 0, 0.3) == 0
    ended_at = quota_keeper.lease_s(2)
    quota_membership.record_response(state, other, 8, [0], ended_at)
    assert quota_membership.seen_ms(state, 0, ended_at + 0.01) == 8


def server_at(host: str) -> BackendServer:
    return server(address=Address(host, 80))
