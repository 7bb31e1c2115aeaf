from __future__ import annotations

from _masticspoke.decisions.fleet.log_rate_limit import allows_line
from _masticspoke.decisions.fleet.log_rate_limit import Importance
from _masticspoke.decisions.fleet.log_rate_limit import LINES_PER_S
from _masticspoke.decisions.fleet.log_rate_limit import LogRateLimit
from _masticspoke.decisions.fleet.log_rate_limit import take_dropped


def test_volume_is_bounded_and_what_is_dropped_is_counted() -> None:
    volume = LogRateLimit()
    kept = sum(allows_line(volume, Importance.ROUTINE, n / 1000) for n in range(10_000))

    assert kept <= LINES_PER_S["routine"] * (10 + 2) + 1
    assert take_dropped(volume) == {Importance.ROUTINE: 10_000 - kept}
    assert take_dropped(volume) == {}


def test_a_flood_of_routine_lines_costs_no_failure_line() -> None:
    volume = LogRateLimit()
    for _ in range(10_000):
        allows_line(volume, Importance.ROUTINE, 0.0)

    assert allows_line(volume, Importance.FAILURE, 0.0)
    assert allows_line(volume, Importance.CHANGE, 0.0)
