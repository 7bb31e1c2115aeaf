"""A histogram of recent latencies in bounded memory."""

from __future__ import annotations

from typing import final

from hdrh.histogram import HdrHistogram

_LOWEST_US = 1
_HIGHEST_US = 600_000_000
_SIGNIFICANT_DIGITS = 2
_US_PER_S = 1e6
# Latencies are added to the histogram in batches, which costs less per latency.
_BATCH_LATENCIES = 256


@final
class LatencyWindow:
    """Latencies of the current and the previous window, and totals since the start.

    :param window_s: length of a window, in seconds.
    :param now: when the first window begins, in seconds.
    """

    def __init__(self, window_s: float, now: float) -> None:
        self._window_s = window_s
        self._window_start = now
        self._current = _histogram()
        self._previous = _histogram()
        self._unrecorded_us: list[int] = []
        self._count = 0
        self._sum_s = 0.0

    @property
    def count(self) -> int:
        """Latencies recorded since the start."""
        return self._count

    @property
    def sum_s(self) -> float:
        """Sum of the latencies since the start, in seconds."""
        return self._sum_s

    def record(self, latency_s: float, now: float) -> None:
        """Record a latency; quantiles count it clamped to the histogram's range."""
        self._rotate(now)
        value_us = min(_HIGHEST_US, max(_LOWEST_US, int(latency_s * _US_PER_S)))
        self._unrecorded_us.append(value_us)
        if len(self._unrecorded_us) >= _BATCH_LATENCIES:
            self._flush()
        self._count += 1
        self._sum_s += latency_s

    def quantiles_s(
        self, quantiles: tuple[float, ...], now: float
    ) -> tuple[float, ...] | None:
        """Return quantiles in seconds, or ``None`` without a recent latency."""
        self._rotate(now)
        self._flush()
        merged = _histogram()
        merged.add(self._previous)
        merged.add(self._current)
        if merged.get_total_count() == 0:
            return None
        return tuple(
            merged.get_value_at_percentile(quantile * 100) / _US_PER_S
            for quantile in quantiles
        )

    def _rotate(self, now: float) -> None:
        age_s = now - self._window_start
        if age_s < self._window_s:
            return
        self._flush()
        self._previous, self._current = self._current, self._previous
        self._current.reset()
        if age_s >= 2 * self._window_s:
            self._previous.reset()
        self._window_start = now

    def _flush(self) -> None:
        for value_us in self._unrecorded_us:
            self._current.record_value(value_us)
        self._unrecorded_us.clear()


def _histogram() -> HdrHistogram:
    return HdrHistogram(_LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS)
