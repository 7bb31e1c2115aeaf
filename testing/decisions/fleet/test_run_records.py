from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from _masticspoke.decisions.fleet.run_records import begin
from _masticspoke.decisions.fleet.run_records import end
from _masticspoke.decisions.fleet.run_records import look_up_or_bar
from _masticspoke.decisions.fleet.run_records import RunRecords
from _masticspoke.decisions.fleet.run_records import RunStatus
from _masticspoke.decisions.fleet.run_records import started_before_send


def test_request_looked_up_before_it_arrives_never_runs() -> None:
    records = RunRecords()

    assert look_up_or_bar(records, "r", 0.5, 1.0) is RunStatus.BARRED
    assert begin(records, "r", 1.1) is RunStatus.BARRED


def test_running_and_ended_requests_are_recorded() -> None:
    records = RunRecords()
    assert begin(records, "r", 0.0) is None
    assert look_up_or_bar(records, "r", 0.5, 0.5) is RunStatus.RUNNING
    end(records, "r", 1.0)
    assert look_up_or_bar(records, "r", 1.5, 1.5) is RunStatus.ENDED


def test_request_that_arrives_twice_runs_once() -> None:
    records = RunRecords()
    begin(records, "r", 0.0)
    assert begin(records, "r", 0.1) is RunStatus.RUNNING
    end(records, "r", 1.0)
    assert begin(records, "r", 1.1) is RunStatus.ENDED


def test_guard_restarted_after_the_send_has_no_record() -> None:
    assert started_before_send(uptime_s=10.0, asked_after_s=1.0)
    assert not started_before_send(uptime_s=0.5, asked_after_s=1.0)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["begin", "end", "look up"]),
            st.sampled_from("abc"),
            st.floats(0, 1),
        ),
        max_size=60,
    )
)
def test_no_request_runs_twice_or_after_it_was_barred(
    steps: list[tuple[str, str, float]],
) -> None:
    records = RunRecords()
    started: set[str] = set()
    barred: set[str] = set()
    now = 0.0
    for step, request, pause in steps:
        now += pause / 10
        if step == "begin" and begin(records, request, now) is None:
            assert request not in started | barred
            started.add(request)
        if step == "end" and request in records.running:
            end(records, request, now)
        if (
            step == "look up"
            and look_up_or_bar(records, request, 0.1, now) is RunStatus.BARRED
        ):
            assert request not in started
            barred.add(request)
