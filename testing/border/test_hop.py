from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from testing.decisions.fleet.samples import job
from testing.decisions.fleet.samples import server

from _masticspoke.border.backend_state import decode_state
from _masticspoke.border.backend_state import encode_state
from _masticspoke.border.hop import decode_guard
from _masticspoke.border.hop import decode_job
from _masticspoke.border.hop import decode_load
from _masticspoke.border.hop import decode_run_query
from _masticspoke.border.hop import encode_guard
from _masticspoke.border.hop import encode_job
from _masticspoke.border.hop import encode_load
from _masticspoke.border.hop import encode_run_query
from _masticspoke.border.hop import GuardAnswer
from _masticspoke.border.sync import decode_sync
from _masticspoke.border.sync import encode_sync
from _masticspoke.border.sync import SyncMessage
from _masticspoke.decisions.fleet.model import GuardLoad
from _masticspoke.decisions.fleet.model import NotRun


def test_job_is_sent_with_the_time_that_remains() -> None:
    sent = job(nested=True, objective_at=11.0, deadline=13.0)
    received = decode_job(encode_job(sent, 10.0), 500.0)

    assert received == job(nested=True, objective_at=501.0, deadline=503.0)


def test_decoded_guard_answer_equals_the_encoded_one() -> None:
    load = GuardLoad(3, 4, 5, 0.25, 0.125)
    answer = GuardAnswer(NotRun.BUSY, False, True, 0.5, load)

    assert decode_guard(encode_guard(answer)) == answer


def test_decoded_state_and_sync_message_equal_the_encoded_ones() -> None:
    state = server(7, warm_ms=9)
    message = SyncMessage(3, 99, b"raw", (state,))

    assert decode_state(encode_state(state)) == state
    assert decode_sync(encode_sync(message)) == message


def test_run_query_never_understates_the_time_since_the_send() -> None:
    query = decode_run_query(encode_run_query("r1", 0.4567))

    assert query is not None
    assert query[0] == "r1"
    assert query[1] >= 0.4567


@given(st.text(max_size=60))
def test_decoders_accept_any_text_without_an_exception(text: str) -> None:
    decode_job(text, 0.0)
    decode_guard(text)
    decode_run_query(text.encode())
    assert decode_load(text, GuardLoad()) == GuardLoad()
    decode_state(text.encode())
    decode_sync(text.encode())


def test_truncated_job_is_none() -> None:
    whole = encode_job(job(), 0.0)

    for length in range(len(whole)):
        assert decode_job(whole[:length], 0.0) is None


def test_load_header_is_sent_only_for_another_slowdown_than_1() -> None:
    load = GuardLoad(3, 4, 5, slowdown=2.5)

    assert encode_load(GuardLoad(3, 4, 5)) is None
    assert decode_load(encode_load(load), GuardLoad(3, 4, 5)) == load


@pytest.mark.parametrize(
    ("header", "slowdown"),
    [
        (None, 1.0),
        ('{"v":1}', 1.0),
        ('{"v":1,"slowdown":-1}', 1.0),
        ('{"v":1,"slowdown":1e999}', 1.0),
        ('{"v":1,"slowdown":"x"}', 1.0),
        ("[1]", 1.0),
        ('{"v":2,"slowdown":2.0,"later":[1]}', 2.0),
        ('{"v":1,"slowdown":1e9}', 20.0),
    ],
)
def test_malformed_load_header_leaves_the_slowdown_unknown(
    header: str | None, slowdown: float
) -> None:
    assert decode_load(header, GuardLoad()).slowdown == slowdown
