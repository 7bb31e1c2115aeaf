"""Exponential backoff with jitter."""

from __future__ import annotations

from random import Random


def pause_after(failures: int, first_s: float, max_s: float, random: Random) -> float:
    """Return a pause in seconds that doubles with each failure; half of it is random.

    :param failures: consecutive failures, at least 1.
    :param first_s: longest pause after the first failure.
    :param max_s: longest pause after any number of failures.
    """
    longest_s: float = min(max_s, first_s * 2.0 ** min(failures - 1, 30))
    return longest_s * random.uniform(0.5, 1.0)
