from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from _masticspoke.decisions.fleet.fate import begin
from _masticspoke.decisions.fleet.fate import can_know
from _masticspoke.decisions.fleet.fate import end
from _masticspoke.decisions.fleet.fate import Fate
from _masticspoke.decisions.fleet.fate import Fates
from _masticspoke.decisions.fleet.fate import settle


def test_request_that_never_came_never_runs_afterwards() -> None:
    fates = Fates()

    assert settle(fates, "r", 0.5, 1.0) is Fate.NEVER
    assert begin(fates, "r", 1.1) is Fate.NEVER


def test_running_and_ended_requests_are_known() -> None:
    fates = Fates()
    assert begin(fates, "r", 0.0) is None
    assert settle(fates, "r", 0.5, 0.5) is Fate.RUNNING
    end(fates, "r", 1.0)
    assert settle(fates, "r", 1.5, 1.5) is Fate.ENDED


def test_second_arrival_does_not_run() -> None:
    fates = Fates()
    begin(fates, "r", 0.0)
    assert begin(fates, "r", 0.1) is Fate.RUNNING
    end(fates, "r", 1.0)
    assert begin(fates, "r", 1.1) is Fate.ENDED


def test_restarted_guard_can_not_promise() -> None:
    assert can_know(up_s=10.0, asked_after_s=1.0)
    assert not can_know(up_s=0.5, asked_after_s=1.0)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["begin", "end", "settle"]),
            st.sampled_from("abc"),
            st.floats(0, 1),
        ),
        max_size=60,
    )
)
def test_nothing_runs_twice_or_after_a_promise(
    steps: list[tuple[str, str, float]],
) -> None:
    fates = Fates()
    ran: set[str] = set()
    promised: set[str] = set()
    now = 0.0
    for what, request, pause in steps:
        now += pause / 10
        if what == "begin" and begin(fates, request, now) is None:
            assert request not in ran | promised
            ran.add(request)
        if what == "end" and request in fates.running:
            end(fates, request, now)
        if what == "settle" and settle(fates, request, 0.1, now) is Fate.NEVER:
            assert request not in ran
            promised.add(request)
