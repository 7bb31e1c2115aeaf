"""A histogram of latencies of the recent past, in bounded memory."""

from __future__ import annotations

from typing import final

from hdrh.histogram import HdrHistogram

_LOWEST_US = 1
_HIGHEST_US = 600_000_000
_SIGNIFICANT_DIGITS = 2
_US_PER_S = 1e6
# Latencies that wait for the histogram: filling it at once costs less each.
_BATCH = 256


@final
class LatencyWindow:
    """Latencies of the present and the previous window, and totals since the start.

    :param window_s: length of a window, in seconds.
    :param now: when the first window begins.
    """

    def __init__(self, window_s: float, now: float) -> None:
        self._window_s = window_s
        self._begun = now
        self._present = _histogram()
        self._previous = _histogram()
        self._waiting: list[int] = []
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
        """Record a latency; one beyond the highest is recorded as the highest."""
        self._turn(now)
        value = min(_HIGHEST_US, max(_LOWEST_US, int(latency_s * _US_PER_S)))
        self._waiting.append(value)
        if len(self._waiting) >= _BATCH:
            self._fold()
        self._count += 1
        self._sum_s += latency_s

    def quantiles_s(
        self, quantiles: tuple[float, ...], now: float
    ) -> tuple[float, ...] | None:
        """Return quantiles in seconds; ``None`` without a recent latency."""
        self._turn(now)
        self._fold()
        both = _histogram()
        both.add(self._previous)
        both.add(self._present)
        if both.get_total_count() == 0:
            return None
        return tuple(
            both.get_value_at_percentile(quantile * 100) / _US_PER_S
            for quantile in quantiles
        )

    def _turn(self, now: float) -> None:
        age_s = now - self._begun
        if age_s < self._window_s:
            return
        self._fold()
        self._previous, self._present = self._present, self._previous
        self._present.reset()
        if age_s >= 2 * self._window_s:
            self._previous.reset()
        self._begun = now

    def _fold(self) -> None:
        for value in self._waiting:
            self._present.record_value(value)
        self._waiting.clear()


def _histogram() -> HdrHistogram:
    return HdrHistogram(_LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS)
