from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from testing.decisions.fleet.samples import job
from testing.decisions.fleet.samples import server

from _masticspoke.border.backend_state import decode_state
from _masticspoke.border.backend_state import encode_state
from _masticspoke.border.hop import decode_guard
from _masticspoke.border.hop import decode_job
from _masticspoke.border.hop import decode_run_query
from _masticspoke.border.hop import encode_guard
from _masticspoke.border.hop import encode_job
from _masticspoke.border.hop import encode_run_query
from _masticspoke.border.hop import GuardAnswer
from _masticspoke.border.sync import decode_sync
from _masticspoke.border.sync import encode_sync
from _masticspoke.border.sync import SyncMessage
from _masticspoke.decisions.fleet.model import GuardLoad
from _masticspoke.decisions.fleet.model import NotRun


def test_job_travels_with_the_time_that_is_left() -> None:
    sent = job(nested=True, objective_at=11.0, deadline=13.0)
    found = decode_job(encode_job(sent, 10.0), 500.0)

    assert found == job(nested=True, objective_at=501.0, deadline=503.0)


def test_guard_answer_travels_whole() -> None:
    load = GuardLoad(3, 4, 5, 0.25, 0.125)
    answer = GuardAnswer(NotRun.BUSY, False, True, 0.5, load)

    assert decode_guard(encode_guard(answer)) == answer


def test_state_and_news_travel_whole() -> None:
    state = server(7, warm_ms=9)
    news = SyncMessage(3, 99, b"raw", (state,))

    assert decode_state(encode_state(state)) == state
    assert decode_sync(encode_sync(news)) == news


def test_question_for_a_fate_never_understates_the_time() -> None:
    found = decode_run_query(encode_run_query("r1", 0.4567))

    assert found is not None
    assert found[0] == "r1"
    assert found[1] >= 0.4567


@given(st.text(max_size=60))
def test_malformed_headers_are_none(text: str) -> None:
    decode_job(text, 0.0)
    decode_guard(text)
    decode_run_query(text.encode())
    decode_state(text.encode())
    decode_sync(text.encode())


def test_half_a_job_is_none() -> None:
    whole = encode_job(job(), 0.0)

    for length in range(len(whole)):
        assert decode_job(whole[:length], 0.0) is None
