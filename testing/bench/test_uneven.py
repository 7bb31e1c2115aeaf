"""Load balancing over uneven servers, in virtual time and without a network."""

from __future__ import annotations

from random import Random

import pytest
from bench.uneven.fleet import ORACLE
from bench.uneven.fleet import play
from bench.uneven.fleet import Scenario
from bench.uneven.fleet import WAYS
from bench.uneven.server import Slowdown
from bench.uneven.server import spells
from bench.uneven.server import steady
from bench.uneven.server import step_at
from bench.uneven.single import p99

IN_USE = WAYS["expected time (in use)"]
STEP_AT_S = 5.0


def _spells(random: Random, number: int) -> Slowdown:
    return spells(random, 8.0)


def _step(random: Random, number: int) -> Slowdown:
    return step_at(STEP_AT_S, 2.5) if number % 4 == 3 else steady


@pytest.mark.parametrize(
    ("scenario", "max_p99"),
    [
        (Scenario("speeds 0.5 to 1.5", 0.9), 1.15),
        (Scenario("spells", 0.75, _spells), 1.15),
        (Scenario("mix shifts", 0.9, long_share=lambda t: 0.1 if t < 5 else 0.8), 1.15),
        (Scenario("0.8 in one zone", 0.75, zone_share=0.8), 1.15),
    ],
    ids=lambda value: value.name if isinstance(value, Scenario) else "",
)
def test_goodput_and_late_answers_are_near_those_of_an_oracle(
    scenario: Scenario, max_p99: float
) -> None:
    result, oracle = play(scenario, IN_USE, 1), play(scenario, ORACLE, 1)

    assert result.good >= 0.97 * oracle.good
    assert p99(result.times_s) <= max_p99 * p99(oracle.times_s)


def test_step_of_the_speed_is_followed_within_a_second() -> None:
    sent = play(Scenario("", 0.5, _step), IN_USE, 1).sent
    slowed = [number for number in range(10) if number % 4 == 3]
    before = sum(sent.get((number, 4), 0) for number in slowed)
    after = sum(sent.get((number, 6), 0) for number in slowed)

    assert after < 0.5 * before


def test_servers_that_only_nodes_of_another_zone_use_get_work() -> None:
    """Requests that begin in one zone only must use the servers of the other too."""
    sent = play(Scenario("", 0.75, zone_share=1.0), IN_USE, 1).sent
    by_server = [
        sum(sent.get((n, second), 0) for second in range(8)) for n in range(10)
    ]

    # The slowest server of the other zone is worth a request only near full load.
    assert min(by_server) > 0
    assert sum(by_server[1::2]) > 0.3 * sum(by_server)
