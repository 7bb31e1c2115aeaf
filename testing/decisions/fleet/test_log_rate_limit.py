from __future__ import annotations

from _masticspoke.decisions.fleet.log_rate_limit import allows_line
from _masticspoke.decisions.fleet.log_rate_limit import Importance
from _masticspoke.decisions.fleet.log_rate_limit import LINES_PER_S
from _masticspoke.decisions.fleet.log_rate_limit import LogRateLimit
from _masticspoke.decisions.fleet.log_rate_limit import take_dropped


def test_lines_beyond_the_rate_are_dropped_and_counted() -> None:
    limit = LogRateLimit()
    written = sum(
        allows_line(limit, Importance.ROUTINE, n / 1000) for n in range(10_000)
    )

    assert written <= LINES_PER_S["routine"] * (10 + 2) + 1
    assert take_dropped(limit) == {Importance.ROUTINE: 10_000 - written}
    assert take_dropped(limit) == {}


def test_many_routine_lines_do_not_drop_other_lines() -> None:
    limit = LogRateLimit()
    for _ in range(10_000):
        allows_line(limit, Importance.ROUTINE, 0.0)

    assert allows_line(limit, Importance.FAILURE, 0.0)
    assert allows_line(limit, Importance.CHANGE, 0.0)
