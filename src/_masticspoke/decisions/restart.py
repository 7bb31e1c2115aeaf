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
class RestartDecision(Enum):
    """What a supervisor does about a crash."""

    RESTART = "restart"
    ESCALATE = "give-up"


def decide_restart(
    crashes: tuple[float, ...], intensity: Intensity, now: float
) -> tuple[RestartDecision, tuple[float, ...]]:
    """Return the verdict on a crash at ``now`` and the crashes to remember."""
    recent = (*(t for t in crashes if now - t < intensity.window_s), now)
    verdict = (
        RestartDecision.ESCALATE
        if len(recent) > intensity.restarts
        else RestartDecision.RESTART
    )
    return verdict, recent
