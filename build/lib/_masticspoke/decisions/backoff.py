"""Decide how long to pause after failures in a row."""

from __future__ import annotations

from random import Random


def pause_after(failures: int, first_s: float, most_s: float, random: Random) -> float:
    """Return a pause in seconds: doubled with each failure, half of it random.

    :param failures: failures in a row, at least 1.
    """
    whole_s: float = min(most_s, first_s * 2.0 ** min(failures - 1, 30))
    return whole_s * random.uniform(0.5, 1.0)
