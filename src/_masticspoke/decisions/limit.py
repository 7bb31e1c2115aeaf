"""Adapt the concurrency limit of the backend server to its latency.

The limit starts low, doubles until latency first rises, and never exceeds the
announced slots. The latency of each kind is compared with the kind's own baseline.
Latency above the tolerance lowers the limit. If latency does not fall with the limit,
concurrency is not the cause (a slow downstream service is), and the limit is restored.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from dataclasses import field
from typing import final

_INITIAL_LIMIT_SHARE = 0.25  # of the announced slots
_STARTUP_GROWTH_FACTOR = 2.0
_GROWTH_FACTOR = 1.05
_MAX_LATENCY_RATIO = 1.3  # to the baseline
_MIN_CUT_FACTOR = 0.5
_RESPONSE_CHECK_SHARE = 0.75  # of the limit before the first cut
_MIN_LATENCY_RESPONSE = 0.5  # of the expected fall, in proportion to the limit
_BUSY_SHARE = 0.9  # of the limit
_MIN_WINDOW_SAMPLES = 32
_MIN_KIND_SAMPLES = 4
_FALL_WEIGHT = 0.25  # of a mean below the baseline
_RISE_WEIGHT = 0.05  # of a mean above the baseline


@final
@dataclass(slots=True)
class _LatencySum:
    total_s: float = 0.0
    samples: int = 0


@final
@dataclass(frozen=True, slots=True)
class _FirstCut:
    """Limit and latency ratio before the first of several cuts in a row."""

    limit: float
    ratio: float


@final
@dataclass(slots=True)
class LimitState:
    """Concurrency limit of one backend server, and the measurements behind it.

    :param ceiling: announced slots; the limit never exceeds them.
    :param value: the limit before rounding.
    :param starting: whether latency has not risen yet, so that the limit doubles.
    :param baseline_latency_s: usual latency of each kind.
    :param window: latency of each kind in the current window.
    :param samples: samples in the window.
    :param peak_running: most calls that ran at once in the window.
    :param lowered_at: time of the last cut.
    :param first_cut: first of the latest cuts in a row, if any.
    """

    ceiling: int = 1
    value: float = 1.0
    starting: bool = True
    baseline_latency_s: dict[str, float] = field(default_factory=dict)
    window: dict[str, _LatencySum] = field(default_factory=dict)
    samples: int = 0
    peak_running: int = 0
    lowered_at: float = float("-inf")
    first_cut: _FirstCut | None = None

    @property
    def limit(self) -> int:
        """Number of calls that may run at once."""
        return max(1, min(self.ceiling, int(self.value)))


def initial_limit(slots: int) -> LimitState:
    """Return the state for a backend server that has just started."""
    return LimitState(ceiling=slots, value=max(1.0, slots * _INITIAL_LIMIT_SHARE))


def set_slots(state: LimitState, slots: int) -> None:
    """Apply a new number of announced slots."""
    state.ceiling = slots
    state.value = min(state.value, float(slots))


def retain_kinds(state: LimitState, kinds: Collection[str]) -> None:
    """Drop the latency baselines of all other kinds."""
    state.baseline_latency_s = {
        k: v for k, v in state.baseline_latency_s.items() if k in kinds
    }


def record_latency(
    state: LimitState, kind: str, latency_s: float, running: int, now: float
) -> None:
    """Add the latency of a finished run; adjust the limit when the window is full.

    A run that started before the last cut is ignored. Its start is taken as
    ``now - latency_s``, which is too late if the body of the answer took long.

    :param latency_s: time to the head of the backend server's answer, in seconds.
    :param running: calls that ran when it finished, itself included.
    """
    if now - latency_s < state.lowered_at:
        return
    latency_sum = state.window.setdefault(kind, _LatencySum())
    latency_sum.total_s += latency_s
    latency_sum.samples += 1
    state.samples += 1
    state.peak_running = max(state.peak_running, running)
    if state.samples >= _window_samples(state):
        _close_window(state, now)


def _window_samples(state: LimitState) -> int:
    if state.starting:
        return max(_MIN_WINDOW_SAMPLES // 4, state.limit // 2)
    return max(_MIN_WINDOW_SAMPLES, state.limit)


def _close_window(state: LimitState, now: float) -> None:
    means = {
        kind: latency_sum.total_s / latency_sum.samples
        for kind, latency_sum in state.window.items()
        if latency_sum.samples >= _MIN_KIND_SAMPLES
    }
    busy = state.peak_running >= _BUSY_SHARE * state.limit
    ratio = _latency_ratio(state, means)
    _update_baselines(state, means, busy=busy)
    _adjust_limit(state, means, ratio, now, busy=busy)
    state.window = {}
    state.samples = 0
    state.peak_running = 0


def _latency_ratio(state: LimitState, means: dict[str, float]) -> float:
    weighted_ratios = [
        (mean / max(1e-6, state.baseline_latency_s[kind]), state.window[kind].samples)
        for kind, mean in means.items()
        if kind in state.baseline_latency_s
    ]
    total = sum(samples for _, samples in weighted_ratios)
    return sum(r * samples for r, samples in weighted_ratios) / total if total else 1.0


def _update_baselines(
    state: LimitState, means: dict[str, float], *, busy: bool
) -> None:
    """Move the baselines towards new means; a busy window raises none."""
    for kind, mean in means.items():
        baseline_s = state.baseline_latency_s.setdefault(kind, mean)
        weight = _FALL_WEIGHT if mean < baseline_s else 0.0 if busy else _RISE_WEIGHT
        state.baseline_latency_s[kind] = baseline_s + weight * (mean - baseline_s)


def _adjust_limit(
    state: LimitState, means: dict[str, float], ratio: float, now: float, *, busy: bool
) -> None:
    if ratio <= _MAX_LATENCY_RATIO:
        state.first_cut = None
        if busy:
            _raise_limit(state)
        return
    if not busy:
        return
    state.starting = False
    first_cut = state.first_cut
    if first_cut is None:
        state.first_cut = _FirstCut(state.value, ratio)
    elif (
        state.value <= _RESPONSE_CHECK_SHARE * first_cut.limit
        and not _latency_responded(state, ratio)
    ):
        # Concurrency is not the cause: the higher latency becomes the baseline.
        state.baseline_latency_s.update(means)
        state.value = first_cut.limit
        state.first_cut = None
        return
    state.value = max(
        1.0, state.value * max(_MIN_CUT_FACTOR, _MAX_LATENCY_RATIO / ratio)
    )
    state.lowered_at = now


def _latency_responded(state: LimitState, ratio: float) -> bool:
    """Return whether latency has fallen along with the limit since the first cut."""
    first_cut = state.first_cut
    assert first_cut is not None
    expected = first_cut.ratio * (1.0 - state.value / first_cut.limit)
    return first_cut.ratio - ratio >= _MIN_LATENCY_RESPONSE * expected


def _raise_limit(state: LimitState) -> None:
    factor = _STARTUP_GROWTH_FACTOR if state.starting else _GROWTH_FACTOR
    grown = max(state.value * factor, state.value + 1)
    state.value = min(float(state.ceiling), grown)
