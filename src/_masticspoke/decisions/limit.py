"""Learn how many calls the backend server runs well at once.

The limit starts low, doubles while nothing speaks against it, and stays below the
announced slots. Latency is compared, kind by kind, with what the kind took before.
Latency above the tolerance lowers the limit; when latency doesn't follow, concurrency
is not its cause (a slow service further down is), and the limit is given back.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from dataclasses import field
from typing import final

_START_SHARE = 0.25
_GROWTH_AT_START = 2.0
_GROWTH = 1.05
_TOLERANCE = 1.3
_MAX_CUT = 0.5
_TRIAL_CUT = 0.75
_RESPONSE = 0.5
_BUSY_SHARE = 0.9
_MIN_SAMPLES = 32
_MIN_KIND_SAMPLES = 4
_FALL_WEIGHT = 0.25
_RISE_WEIGHT = 0.05


@final
@dataclass(slots=True)
class _Sum:
    total_s: float = 0.0
    samples: int = 0


@final
@dataclass(frozen=True, slots=True)
class _Trial:
    """Limit and latency ratio at the first cut of a row of cuts."""

    limit: float
    ratio: float


@final
@dataclass(slots=True)
class LimitState:
    """What was learnt about one backend server.

    :param ceiling: announced slots; the limit never goes above them.
    """

    ceiling: int = 1
    value: float = 1.0
    starting: bool = True
    usual_s: dict[str, float] = field(default_factory=dict)
    window: dict[str, _Sum] = field(default_factory=dict)
    samples: int = 0
    peak: int = 0
    changed: float = float("-inf")
    trial: _Trial | None = None

    @property
    def limit(self) -> int:
        """Calls that may run at once."""
        return max(1, min(self.ceiling, int(self.value)))


def initial_limit(slots: int) -> LimitState:
    """Return the state for a backend server that has just started."""
    return LimitState(ceiling=slots, value=max(1.0, slots * _START_SHARE))


def set_slots(state: LimitState, slots: int) -> None:
    """Take over a new number of slots."""
    state.ceiling = slots
    state.value = min(state.value, float(slots))


def forget_kinds(state: LimitState, known: Collection[str]) -> None:
    """Drop what was learnt of kinds that are not known any more."""
    state.usual_s = {k: v for k, v in state.usual_s.items() if k in known}


def observe(
    state: LimitState, kind: str, latency_s: float, running: int, now: float
) -> None:
    """Learn from a finished run.

    :param latency_s: time to the head of the backend server's answer, in seconds.
    :param running: calls that ran when it finished, itself included.
    """
    if now - latency_s < state.changed:
        return
    found = state.window.setdefault(kind, _Sum())
    found.total_s += latency_s
    found.samples += 1
    state.samples += 1
    state.peak = max(state.peak, running)
    if state.samples >= _window_samples(state):
        _close_window(state, now)


def _window_samples(state: LimitState) -> int:
    if state.starting:
        return max(_MIN_SAMPLES // 4, state.limit // 2)
    return max(_MIN_SAMPLES, state.limit)


def _close_window(state: LimitState, now: float) -> None:
    means = {
        kind: sum_.total_s / sum_.samples
        for kind, sum_ in state.window.items()
        if sum_.samples >= _MIN_KIND_SAMPLES
    }
    busy = state.peak >= _BUSY_SHARE * state.limit
    ratio = _ratio(state, means)
    _learn_usual(state, means, busy=busy)
    _decide(state, means, ratio, now, busy=busy)
    state.window = {}
    state.samples = 0
    state.peak = 0


def _ratio(state: LimitState, means: dict[str, float]) -> float:
    weighed = [
        (mean / max(1e-6, state.usual_s[kind]), state.window[kind].samples)
        for kind, mean in means.items()
        if kind in state.usual_s
    ]
    total = sum(samples for _, samples in weighed)
    return sum(r * samples for r, samples in weighed) / total if total else 1.0


def _learn_usual(state: LimitState, means: dict[str, float], *, busy: bool) -> None:
    for kind, mean in means.items():
        usual = state.usual_s.setdefault(kind, mean)
        weight = _FALL_WEIGHT if mean < usual else 0.0 if busy else _RISE_WEIGHT
        state.usual_s[kind] = usual + weight * (mean - usual)


def _decide(
    state: LimitState, means: dict[str, float], ratio: float, now: float, *, busy: bool
) -> None:
    if ratio <= _TOLERANCE:
        state.trial = None
        if busy:
            _grow(state)
        return
    if not busy:
        return
    state.starting = False
    trial = state.trial
    if trial is None:
        state.trial = _Trial(state.value, ratio)
    elif state.value <= _TRIAL_CUT * trial.limit and not _followed(state, ratio):
        state.usual_s.update(means)
        state.value = trial.limit
        state.trial = None
        return
    state.value = max(1.0, state.value * max(_MAX_CUT, _TOLERANCE / ratio))
    state.changed = now


def _followed(state: LimitState, ratio: float) -> bool:
    trial = state.trial
    assert trial is not None
    expected = trial.ratio * (1.0 - state.value / trial.limit)
    return trial.ratio - ratio >= _RESPONSE * expected


def _grow(state: LimitState) -> None:
    factor = _GROWTH_AT_START if state.starting else _GROWTH
    grown = max(state.value * factor, state.value + 1)
    state.value = min(float(state.ceiling), grown)
