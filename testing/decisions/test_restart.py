from __future__ import annotations

from _masticspoke.decisions.restart import decide_restart
from _masticspoke.decisions.restart import Intensity
from _masticspoke.decisions.restart import RestartDecision


def test_crashes_within_the_window_are_counted() -> None:
    allowed = Intensity(restarts=2, window_s=10.0)
    verdict, crashes = decide_restart((), allowed, 0.0)
    assert verdict is RestartDecision.RESTART
    verdict, crashes = decide_restart(crashes, allowed, 1.0)
    assert verdict is RestartDecision.RESTART
    verdict, crashes = decide_restart(crashes, allowed, 2.0)
    assert verdict is RestartDecision.ESCALATE


def test_old_crashes_are_forgotten() -> None:
    allowed = Intensity(restarts=1, window_s=10.0)
    _, crashes = decide_restart((), allowed, 0.0)
    verdict, crashes = decide_restart(crashes, allowed, 10.0)
    assert verdict is RestartDecision.RESTART
    assert crashes == (10.0,)
