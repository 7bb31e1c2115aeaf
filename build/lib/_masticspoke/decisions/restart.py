"""Decide whether a crashed child is restarted."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import final


@final
@dataclass(frozen=True, slots=True)
class Intensity:
    """Restarts that a supervisor allows.

    :param restarts: most restarts within the window.
    :param window_s: length of the window, in seconds.
    """

    restarts: int = 5
    window_s: float = 10.0


@final
class Verdict(Enum):
    """What a supervisor does about a crash."""

    RESTART = "restart"
    GIVE_UP = "give-up"


def decide_restart(
    crashes: tuple[float, ...], intensity: Intensity, now: float
) -> tuple[Verdict, tuple[float, ...]]:
    """Return the verdict on a crash at ``now`` and the crashes to remember."""
    recent = (*(t for t in crashes if now - t < intensity.window_s), now)
    verdict = Verdict.GIVE_UP if len(recent) > intensity.restarts else Verdict.RESTART
    return verdict, recent
