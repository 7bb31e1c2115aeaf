from __future__ import annotations

import heapq
from random import Random

import pytest
from testing.decisions.fleet.samples import server

from _masticspoke.decisions.backoff import pause_after
from _masticspoke.decisions.fleet.exchanges import choose_peers
from _masticspoke.decisions.fleet.exchanges import must_push
from _masticspoke.decisions.fleet.exchanges import pause_s
from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import Phase
from _masticspoke.fleet.knowledge.followers import FIRST_RETRY_PAUSE_S
from _masticspoke.fleet.knowledge.followers import MAX_RETRY_PAUSE_S

# The platform's bounds, seconds: until a version is in force, and until a node that
# returned knows what the others know.
PROPAGATION_S = 2.0
CATCH_UP_S = 4.0
# One exchange, with a connection of its own.
EXCHANGE_S = 0.01


def spread_time_s(servers: list[BackendServer], served: int, random: Random) -> float:
    """Return the time until all nodes have a version that ``served`` nodes have read.

    The log turns the others away.
    """
    number_of = {s.address.host: number for number, s in enumerate(servers)}
    versions = [1] * served + [0] * (len(servers) - served)
    nodes = len(servers)
    due = [(pause_s(n >= served, nodes, random), n) for n in range(nodes)]
    heapq.heapify(due)
    now = 0.0
    while 0 in versions:
        now, number = heapq.heappop(due)
        urgent = number >= served
        own_host = servers[number].address.host
        for host in choose_peers(servers, (), own_host, urgent, random):
            peer = number_of[host]
            if must_push(versions[number], versions[peer]):
                versions[peer] = versions[number]
            versions[number] = max(versions[number], versions[peer])
        heapq.heappush(due, (now + EXCHANGE_S + pause_s(urgent, nodes, random), number))
    return now


def fleet(size: int) -> list[BackendServer]:
    return [server(number + 1) for number in range(size)]


@pytest.mark.parametrize("size", [13, 91, 300])
@pytest.mark.parametrize("served", [1, 4])
def test_version_reaches_the_nodes_that_the_log_turns_away_in_time(
    size: int, served: int
) -> None:
    times_s = [spread_time_s(fleet(size), served, Random(seed)) for seed in range(20)]

    assert max(times_s) <= PROPAGATION_S


def test_vms_whose_servers_are_gone_are_asked_only_if_no_other_is_known() -> None:
    gone = [server(number, phase=Phase.GONE) for number in range(10, 30)]
    random = Random(3)

    for _ in range(50):
        hosts = choose_peers([server(2), *gone], (), "10.0.0.1", True, random)
        assert hosts == ["10.0.0.2"]
    assert len(choose_peers(gone, (), "10.0.0.1", True, random)) == 2


def test_node_does_not_ask_itself() -> None:
    assert choose_peers([server(1)], ("10.0.0.1",), "10.0.0.1", True, Random(1)) == []


def return_time_s(nodes: int, reads_per_s: int, random: Random) -> float:
    """Return the time until all nodes have read what they start with.

    Each node reads two streams; a read beyond the rate of the log is rejected.
    """
    accepted: list[float] = []
    due = [(random.uniform(0, 0.3), 0, n) for n in range(2 * nodes)]
    heapq.heapify(due)
    now = 0.0
    while due:
        now, failures, reader = heapq.heappop(due)
        accepted = [t for t in accepted if now - t < 1.0]
        if len(accepted) < reads_per_s:
            accepted.append(now)
            continue
        wait_s = pause_after(
            failures + 1, FIRST_RETRY_PAUSE_S, MAX_RETRY_PAUSE_S, random
        )
        heapq.heappush(due, (now + wait_s, failures + 1, reader))
    return now


@pytest.mark.parametrize(("nodes", "reads_per_s"), [(91, 100), (300, 400)])
def test_all_nodes_that_return_at_once_have_read_the_log_in_time(
    nodes: int, reads_per_s: int
) -> None:
    times_s = [return_time_s(nodes, reads_per_s, Random(seed)) for seed in range(5)]

    assert max(times_s) <= CATCH_UP_S
