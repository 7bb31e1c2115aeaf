from __future__ import annotations

from _masticspoke.decisions.fleet.throttle import adjust
from _masticspoke.decisions.fleet.throttle import admits
from _masticspoke.decisions.fleet.throttle import FLOOR
from _masticspoke.decisions.fleet.throttle import PRESSURE_S
from _masticspoke.decisions.fleet.throttle import RANK_FACTOR
from _masticspoke.decisions.fleet.throttle import Throttle


def admitted(throttle: Throttle, rank: int, asked: int = 200) -> int:
    return sum(admits(throttle, rank) for _ in range(asked))


def pressed(pressure_s: float, steps: int = 300) -> Throttle:
    throttle = Throttle()
    for rank in (0, 1, 2):
        admits(throttle, rank)
    for step in range(steps):
        adjust(throttle, pressure_s, 1.0 + step * 0.2)
    return throttle


def test_without_pressure_all_is_let_in() -> None:
    assert admitted(pressed(0.0), 2) == 200


def test_least_urgent_rank_gives_way_first() -> None:
    throttle = pressed(PRESSURE_S * RANK_FACTOR * 0.9)

    assert admitted(throttle, 0) == admitted(throttle, 1) == 200
    assert admitted(throttle, 2) < 100


def test_each_rank_keeps_its_floor_under_any_pressure() -> None:
    throttle = pressed(10.0)

    for rank in (0, 1, 2):
        assert admitted(throttle, rank) >= int(200 * FLOOR) - 1


def test_pressure_that_ends_is_forgotten() -> None:
    throttle = pressed(10.0)
    for step in range(100):
        adjust(throttle, 0.0, 100.0 + step * 0.2)

    assert admitted(throttle, 2) == 200
