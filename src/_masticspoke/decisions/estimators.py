"""Estimate the rate of events and the mean of durations."""

from __future__ import annotations

from dataclasses import dataclass
from math import exp
from typing import final

_RATE_DECAY_S = 1.0  # time constant of the decay
_MIN_WEIGHT = 0.05  # of the newest sample


@final
@dataclass(slots=True)
class Rate:
    """Exponentially decaying count of events."""

    count: float = 0.0
    updated_at: float = 0.0


def add_event(rate: Rate, now: float) -> None:
    """Count one event."""
    rate.count = _decayed(rate, now) + 1.0
    rate.updated_at = now


def per_second(rate: Rate, now: float) -> float:
    """Return the recent number of events per second."""
    return _decayed(rate, now) / _RATE_DECAY_S


def _decayed(rate: Rate, now: float) -> float:
    return rate.count * exp(min(0.0, rate.updated_at - now) / _RATE_DECAY_S)


@final
@dataclass(slots=True)
class Mean:
    """Moving mean of a duration, in seconds; a plain mean of the first samples."""

    value_s: float = 0.0
    samples: int = 0


def add_sample(mean: Mean, value_s: float) -> None:
    """Add one sample."""
    mean.samples += 1
    weight = max(_MIN_WEIGHT, 1.0 / mean.samples)
    mean.value_s += weight * (value_s - mean.value_s)
