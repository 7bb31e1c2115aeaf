"""Decide whether a crashed child is restarted."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import final


@final
@dataclass(frozen=True, slots=True)
class Intensity:
    """Restart intensity: how many restarts a supervisor allows.

    :param restarts: maximum number of restarts within the window.
    :param window_s: length of the window, in seconds.
    """

    restarts: int = 5
    window_s: float = 10.0


@final
class RestartDecision(Enum):
    """A supervisor's reaction to the crash of a child.

    ``ESCALATE`` makes the supervisor itself fail.
    """

    RESTART = "restart"
    ESCALATE = "give-up"


def decide_restart(
    crashes: tuple[float, ...], intensity: Intensity, now: float
) -> tuple[RestartDecision, tuple[float, ...]]:
    """Decide on a crash at ``now``.

    :param crashes: times of earlier crashes.
    :return: the decision, and the crash times to pass to the next call.
    """
    recent = (*(t for t in crashes if now - t < intensity.window_s), now)
    decision = (
        RestartDecision.ESCALATE
        if len(recent) > intensity.restarts
        else RestartDecision.RESTART
    )
    return decision, recent
