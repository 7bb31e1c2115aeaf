from __future__ import annotations

from dataclasses import replace

from _masticspoke.decisions.backend import announced
from _masticspoke.decisions.backend import Backend
from _masticspoke.decisions.backend import left
from _masticspoke.decisions.backend import why_no_work
from _masticspoke.model import Address
from _masticspoke.model import Member
from _masticspoke.refusals import Reason

MEMBER = Member(
    "desk", Address("10.0.0.1", 80), Address("10.0.0.1", 8081), "z", "1", 5, 10
)


def test_no_work_before_the_first_announcement_and_after_the_last_has_lapsed() -> None:
    assert why_no_work(Backend(), 0.0) is Reason.NO_BACKEND_SERVER
    backend = announced(Backend(), MEMBER, 3.0, now=0.0)
    assert why_no_work(backend, 2.9) is None
    assert why_no_work(backend, 3.0) is Reason.NO_BACKEND_SERVER


def test_an_incarnation_that_left_stays_away_and_the_next_one_works() -> None:
    gone = left(announced(Backend(), MEMBER, 60.0, now=0.0))
    late = announced(gone, MEMBER, 60.0, now=1.0)
    assert why_no_work(late, 1.0) is Reason.LEAVING
    again = announced(gone, replace(MEMBER, incarnation="2"), 60.0, now=1.0)
    assert why_no_work(again, 1.0) is None
    assert again.since == 1.0
