from __future__ import annotations

import pytest

from _masticspoke.metrics.window import LatencyWindow


def test_quantiles_are_within_one_percent() -> None:
    window = LatencyWindow(60.0, 0.0)
    for ms in range(1, 1001):
        window.record(ms / 1000, 1.0)

    quantiles = window.quantiles_s((0.5, 0.99), 2.0)

    assert quantiles == (pytest.approx(0.5, rel=0.01), pytest.approx(0.99, rel=0.01))
    assert window.count == 1000
    assert window.sum_s == pytest.approx(500.5)


@pytest.mark.parametrize(
    ("now", "expected"), [(59.0, True), (61.0, True), (119.0, True), (130.0, False)]
)
def test_latencies_count_for_one_to_two_windows(now: float, expected: bool) -> None:
    window = LatencyWindow(60.0, 0.0)
    window.record(0.1, 5.0)

    assert (window.quantiles_s((0.5,), now) is not None) is expected


def test_latency_above_the_highest_is_recorded_as_the_highest() -> None:
    window = LatencyWindow(60.0, 0.0)
    window.record(1e9, 0.0)
    window.record(-1.0, 0.0)

    assert window.count == 2
    assert window.quantiles_s((1.0,), 0.0) == (pytest.approx(600, rel=0.01),)
