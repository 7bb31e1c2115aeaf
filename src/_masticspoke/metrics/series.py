"""Counters and summaries with a bounded number of series."""

from __future__ import annotations

from collections import Counter

from _masticspoke.metrics.families import Metric
from _masticspoke.metrics.families import Summary
from _masticspoke.metrics.window import LatencyWindow

# Label values of the series that takes all counts beyond the limit.
OTHER = "other"
_QUANTILES = (0.5, 0.9, 0.99, 0.999)

Counters = Counter[tuple[Metric, tuple[str, ...]]]


def add_bounded(
    counters: Counters,
    max_series: int,
    metric: Metric,
    labels: tuple[str, ...],
    amount: int = 1,
) -> None:
    """Add to the series of ``labels``.

    A new series beyond ``max_series`` is counted with :data:`OTHER` as each label.
    """
    key = (metric, labels)
    if key not in counters and len(counters) >= max_series:
        key = (metric, (OTHER,) * len(labels))
    counters[key] += amount


def summary_of(
    metric: Metric, labels: tuple[str, ...], window: LatencyWindow, now: float
) -> Summary:
    """Return a window's quantiles, with its totals since the start."""
    values = window.quantiles_s(_QUANTILES, now)
    quantiles = () if values is None else tuple(zip(_QUANTILES, values, strict=True))
    return Summary(metric, labels, quantiles, window.sum_s, window.count)
