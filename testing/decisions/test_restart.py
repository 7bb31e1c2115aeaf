from __future__ import annotations

from _masticspoke.decisions.restart import decide_restart
from _masticspoke.decisions.restart import Intensity
from _masticspoke.decisions.restart import RestartDecision


def test_supervisor_escalates_after_too_many_crashes_within_the_window() -> None:
    allowed = Intensity(restarts=2, window_s=10.0)
    decision, crashes = decide_restart((), allowed, 0.0)
    assert decision is RestartDecision.RESTART
    decision, crashes = decide_restart(crashes, allowed, 1.0)
    assert decision is RestartDecision.RESTART
    decision, crashes = decide_restart(crashes, allowed, 2.0)
    assert decision is RestartDecision.ESCALATE


def test_crashes_before_the_window_do_not_count() -> None:
    allowed = Intensity(restarts=1, window_s=10.0)
    _, crashes = decide_restart((), allowed, 0.0)
    decision, crashes = decide_restart(crashes, allowed, 10.0)
    assert decision is RestartDecision.RESTART
    assert crashes == (10.0,)
