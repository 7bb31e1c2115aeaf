from __future__ import annotations

import json

import pytest
from testing.decisions.fleet.samples import server

from _masticspoke.border.follow import decode_follow_answer
from _masticspoke.border.follow import encode_follow_answer
from _masticspoke.border.follow import FollowAnswer

ANSWER = FollowAnswer(1, 2, b"raw", (server(),), 40, (), 7, 900)


@pytest.mark.parametrize("age_ms", [0, 900, None])
def test_answer_survives_encoding(age_ms: int | None) -> None:
    answer = FollowAnswer(1, 2, b"raw", (server(),), 40, (), 7, age_ms)

    assert decode_follow_answer(encode_follow_answer(answer)) == answer


def test_answer_of_an_earlier_build_confirms_nothing() -> None:
    """Taken as an age of 0, it would keep removed keys alive."""
    document = json.loads(encode_follow_answer(ANSWER))
    del document["version"]
    del document["confirmed_age_ms"]
    answer = decode_follow_answer(json.dumps(document).encode())

    assert answer is not None
    assert answer.confirmed_age_ms is None
    assert answer.log_age_ms == 40


@pytest.mark.parametrize("age_ms", [-1, 0.5, "1", True, []])
def test_answer_with_an_odd_age_is_malformed(age_ms: object) -> None:
    document = json.loads(encode_follow_answer(ANSWER)) | {"confirmed_age_ms": age_ms}

    assert decode_follow_answer(json.dumps(document).encode()) is None
