from __future__ import annotations

from dataclasses import replace

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from _masticspoke.decisions.resends import Actions
from _masticspoke.decisions.resends import begin_action
from _masticspoke.decisions.resends import end_action
from _masticspoke.decisions.resends import MAX_ACTIONS
from _masticspoke.model import Call
from _masticspoke.model import Ran
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal

READ = Call("a", "k", "s", 1, 10.0, idempotent=True, allowance=3, key="x")
BOOKING = replace(READ, idempotent=False)


@settings(max_examples=200, derandomize=True)
@given(st.booleans(), st.lists(st.integers(0, 3), max_size=12))
def test_resends_and_retries_share_one_allowance(
    idempotent: bool, used: list[int]
) -> None:
    actions = Actions()
    call = replace(READ, idempotent=idempotent)
    attempts = 0
    for wanted in used:
        begun = begin_action(actions, call, 0.0)
        if isinstance(begun, Refusal):
            continue
        retries = min(wanted, begun.allowance)
        attempts += 1 + retries
        end_action(actions, begun, begun.allowance - retries, refused=True)
    assert attempts <= 1 + call.allowance


def test_refused_resend_of_a_booking_reports_that_it_may_have_run() -> None:
    actions = Actions()
    first = begin_action(actions, BOOKING, 0.0)
    assert isinstance(first, Call)
    end_action(actions, first, 0, refused=True)
    refusal = begin_action(actions, BOOKING, 1.0)
    assert isinstance(refusal, Refusal)
    assert (refusal.reason, refusal.ran) == (Reason.RETRIES_SPENT, Ran.UNKNOWN)
    assert refusal.retry_after_s == 9.0


def test_resend_of_a_running_or_answered_booking_is_accepted() -> None:
    actions = Actions()
    first = begin_action(actions, BOOKING, 0.0)
    again = begin_action(actions, BOOKING, 1.0)
    assert isinstance(first, Call)
    assert isinstance(again, Call)
    assert again.allowance == 0
    end_action(actions, first, 3, refused=False)
    end_action(actions, again, 0, refused=False)
    assert isinstance(begin_action(actions, BOOKING, 2.0), Call)


def test_action_expires_at_its_deadline() -> None:
    actions = Actions()
    begin_action(actions, READ, 0.0)
    again = begin_action(actions, replace(READ, deadline=20.0), 10.0)
    assert isinstance(again, Call)
    assert again.allowance == 3


def test_number_of_known_actions_is_bounded() -> None:
    actions = Actions()
    for number in range(MAX_ACTIONS + 10):
        begin_action(actions, replace(READ, key=str(number)), 0.0)
    assert len(actions.by_id) == MAX_ACTIONS
