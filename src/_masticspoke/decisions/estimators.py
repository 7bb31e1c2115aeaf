"""Measure how fast something happens and how long it takes."""

from __future__ import annotations

from dataclasses import dataclass
from math import exp
from typing import final

_RATE_WINDOW_S = 1.0
_MIN_WEIGHT = 0.05


@final
@dataclass(slots=True)
class Rate:
    """Exponentially decaying count of events."""

    count: float = 0.0
    at: float = 0.0


def add_event(rate: Rate, now: float) -> None:
    """Count one event."""
    rate.count = _decayed(rate, now) + 1.0
    rate.at = now


def per_second(rate: Rate, now: float) -> float:
    """Return events a second of late."""
    return _decayed(rate, now) / _RATE_WINDOW_S


def _decayed(rate: Rate, now: float) -> float:
    return rate.count * exp(min(0.0, rate.at - now) / _RATE_WINDOW_S)


@final
@dataclass(slots=True)
class Mean:
    """Moving mean of a time, in seconds; the first samples count in full."""

    value_s: float = 0.0
    samples: int = 0


def add_sample(mean: Mean, value_s: float) -> None:
    """Take in one sample."""
    mean.samples += 1
    weight = max(_MIN_WEIGHT, 1.0 / mean.samples)
    mean.value_s += weight * (value_s - mean.value_s)
