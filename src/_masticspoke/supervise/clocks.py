"""The clock of decisions on time that may have passed while the VM was suspended."""

from __future__ import annotations

import time


def boot_clock() -> float:
    """Return the seconds since the VM's start, with those in which it was suspended.

    The steady clock stands still meanwhile, so a deadline on it would seem to be as far
    away as before.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
