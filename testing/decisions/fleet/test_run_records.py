from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from _masticspoke.decisions.fleet.run_records import begin
from _masticspoke.decisions.fleet.run_records import end
from _masticspoke.decisions.fleet.run_records import look_up_or_bar
from _masticspoke.decisions.fleet.run_records import RunRecords
from _masticspoke.decisions.fleet.run_records import RunStatus
from _masticspoke.decisions.fleet.run_records import started_before_send


def test_request_that_never_came_never_runs_afterwards() -> None:
    fates = RunRecords()

    assert look_up_or_bar(fates, "r", 0.5, 1.0) is RunStatus.BARRED
    assert begin(fates, "r", 1.1) is RunStatus.BARRED


def test_running_and_ended_requests_are_known() -> None:
    fates = RunRecords()
    assert begin(fates, "r", 0.0) is None
    assert look_up_or_bar(fates, "r", 0.5, 0.5) is RunStatus.RUNNING
    end(fates, "r", 1.0)
    assert look_up_or_bar(fates, "r", 1.5, 1.5) is RunStatus.ENDED


def test_second_arrival_does_not_run() -> None:
    fates = RunRecords()
    begin(fates, "r", 0.0)
    assert begin(fates, "r", 0.1) is RunStatus.RUNNING
    end(fates, "r", 1.0)
    assert begin(fates, "r", 1.1) is RunStatus.ENDED


def test_restarted_guard_can_not_promise() -> None:
    assert started_before_send(up_s=10.0, asked_after_s=1.0)
    assert not started_before_send(up_s=0.5, asked_after_s=1.0)


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
    fates = RunRecords()
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
        if (
            what == "settle"
            and look_up_or_bar(fates, request, 0.1, now) is RunStatus.BARRED
        ):
            assert request not in ran
            promised.add(request)
