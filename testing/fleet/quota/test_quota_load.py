"""Organisations get what their limits allow, wherever their clients send."""

from __future__ import annotations

from random import Random

import pytest
from testing.fleet.quota.quota_world import World

from _masticspoke.decisions.fleet.model import Organisation
from _masticspoke.decisions.fleet.quota_ranking import group_of
from _masticspoke.decisions.fleet.quota_ranking import rank_keepers

START = 102.0
ORGANISATION = Organisation("o0", None, 100, 50)


def world_of(nodes: int, seed: int = 1) -> tuple[World, list[str]]:
    world = World(Random(seed))
    world.add_nodes(nodes)
    world.configure(1, [ORGANISATION])
    world.run_until(START)
    return world, list(world.nodes)


def keeper_in(world: World) -> str:
    servers = [node.server for node in world.nodes.values()]
    return rank_keepers(group_of(ORGANISATION.name), servers)[0]


def served(world: World, start: float, end: float) -> float:
    """Return the rate at which requests were served."""
    times = [t for t in world.taken["o0"] if start <= t < end]
    return len(times) / (end - start)


@pytest.mark.parametrize("nodes", [3, 67, 81])
def test_demand_below_the_limit_is_served_after_its_clients_moved(nodes: int) -> None:
    """Guards against shares that stay where the clients were."""
    world, hosts = world_of(nodes)
    zone = [h for h in hosts if world.nodes[h].server.zone == "z0"]
    other = [h for h in hosts if h not in zone]
    world.demand(ORGANISATION, zone, 90, START, START + 5)
    world.demand(ORGANISATION, other, 90, START + 5, START + 10)
    world.run_until(START + 10)

    moved = [t for t, _ in world.refusals if t >= START + 6]
    assert len(moved) <= 0.05 * 90 * 4


@pytest.mark.parametrize("nodes", [1, 3, 67, 81])
@pytest.mark.parametrize("organisation", [ORGANISATION, Organisation("o0", None, 10)])
def test_eight_times_the_limit_gets_the_limit(
    nodes: int, organisation: Organisation
) -> None:
    """Guards against tokens that expire at nodes which don't need them."""
    world, hosts = world_of(nodes)
    world.configure(2, [organisation])
    demand = 8 * organisation.rate_per_s
    world.demand(organisation, hosts, demand, START, START + 20)
    world.run_until(START + 20)

    rate = served(world, START + 5, START + 20)
    assert 0.9 <= rate / organisation.rate_per_s <= 1.1


def test_queries_do_not_grow_with_the_requests_that_are_refused() -> None:
    queries = []
    for factor in (2, 16):
        world, hosts = world_of(67)
        before = world.queries
        demand = factor * ORGANISATION.rate_per_s
        world.demand(ORGANISATION, hosts, demand, START, START + 5)
        world.run_until(START + 5)
        queries.append(world.queries - before)

    assert queries[1] < 1.5 * queries[0]


def test_a_refused_request_that_follows_retry_after_mostly_succeeds() -> None:
    """Guards against a Retry-After that names a time without tokens."""
    world, hosts = world_of(12)
    # A surge beyond the burst, and nothing else.
    world.demand(ORGANISATION, hosts, 1000, START + 1, START + 1.2, retries=1)
    world.run_until(START + 10)

    retried = world.retries
    assert retried > 50
    assert len(world.refusals) - retried <= 0.2 * retried


@pytest.mark.parametrize("fault", ["kill", "cut off"])
def test_a_lost_keeper_is_replaced_within_a_second_and_a_half(fault: str) -> None:
    """Guards against an organisation without service while its keeper is down."""
    world, hosts = world_of(67)
    keeper = keeper_in(world)
    world.demand(ORGANISATION, hosts, 90, START, START + 10)
    if fault == "kill":
        world.at(START + 3, lambda: world.kill(keeper))
    else:
        world.cuts.append((frozenset([keeper]), START + 3, START + 20))
    world.run_until(START + 10)

    late = [t for t, _ in world.refusals if t >= START + 4.5]
    assert len(late) <= 0.05 * 90 * 5.5


def test_no_request_is_refused_when_a_keeper_leaves_as_planned() -> None:
    """Guards against a gap in service at each change of the ranking."""
    world, hosts = world_of(12)
    keeper = keeper_in(world)
    world.demand(ORGANISATION, hosts, 80, START, START + 8)

    def leave() -> None:
        # Nobody ranks it any more, and its process goes on for a while.
        everything = world.nodes
        world.nodes = {h: n for h, n in everything.items() if h != keeper}
        for node in world.nodes.values():
            world.inform(node)
        world.nodes = everything

    world.at(START + 3, leave)
    world.run_until(START + 8)

    assert len(world.refusals) <= 0.02 * 80 * 8
