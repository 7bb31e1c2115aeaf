from __future__ import annotations

from dataclasses import replace

from _masticspoke.decisions.backend import announce
from _masticspoke.decisions.backend import Backend
from _masticspoke.decisions.backend import leave
from _masticspoke.decisions.backend import refusal_reason
from _masticspoke.model import Address
from _masticspoke.model import Member
from _masticspoke.refusals import Reason

MEMBER = Member(
    "desk", Address("10.0.0.1", 80), Address("10.0.0.1", 8081), "z", "1", 5, 10
)


def test_no_work_without_an_announcement_in_force() -> None:
    assert refusal_reason(Backend(), 0.0) is Reason.NO_BACKEND_SERVER
    backend = announce(Backend(), MEMBER, 3.0, now=0.0)
    assert refusal_reason(backend, 2.9) is None
    assert refusal_reason(backend, 3.0) is Reason.NO_BACKEND_SERVER


def test_incarnation_that_left_gets_no_work_and_the_next_one_does() -> None:
    after_leave = leave(announce(Backend(), MEMBER, 60.0, now=0.0))
    after_late_renewal = announce(after_leave, MEMBER, 60.0, now=1.0)
    assert refusal_reason(after_late_renewal, 1.0) is Reason.LEAVING
    after_restart = announce(
        after_leave, replace(MEMBER, incarnation="2"), 60.0, now=1.0
    )
    assert refusal_reason(after_restart, 1.0) is None
    assert after_restart.available_since == 1.0
