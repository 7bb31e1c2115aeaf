from __future__ import annotations

from dataclasses import replace

import pytest

from _masticspoke.decisions.resumption import AnswerHead
from _masticspoke.decisions.resumption import is_continuation
from _masticspoke.decisions.resumption import is_resumable
from _masticspoke.model import Call

READ = Call("a", "k", "s", 1, 10.0, idempotent=True)
WHOLE = AnswerHead(200, '"v1"', accepts_ranges=True, length=100)
REST = AnswerHead(
    206, '"v1"', accepts_ranges=True, length=60, content_range="bytes 40-99/100"
)


@pytest.mark.parametrize(
    ("call", "method", "head", "asked_range", "expected"),
    [
        (READ, "GET", WHOLE, False, True),
        (READ, "GET", WHOLE, True, False),
        (READ, "POST", WHOLE, False, False),
        (replace(READ, idempotent=False), "GET", WHOLE, False, False),
        (READ, "GET", replace(WHOLE, etag='W/"v1"'), False, False),
        (READ, "GET", replace(WHOLE, etag=""), False, False),
        (READ, "GET", replace(WHOLE, accepts_ranges=False), False, False),
        (READ, "GET", replace(WHOLE, length=None), False, False),
        (READ, "GET", replace(WHOLE, status=206), False, False),
    ],
)
def test_only_whole_get_answers_with_a_strong_etag_are_resumed(
    call: Call, method: str, head: AnswerHead, asked_range: bool, expected: bool
) -> None:
    assert is_resumable(call, method, head, asked_range=asked_range) is expected


@pytest.mark.parametrize(
    ("part", "expected"),
    [
        (REST, True),
        (replace(REST, length=None), True),
        (replace(REST, etag='"v2"'), False),
        (replace(REST, status=200), False),
        (replace(REST, content_range="bytes 39-99/100"), False),
        (replace(REST, content_range="bytes 40-98/100"), False),
        (replace(REST, content_range="bytes 40-99/101"), False),
        (replace(REST, content_range="bytes 40-99/*"), False),
        (replace(REST, length=59), False),
    ],
)
def test_only_the_exact_rest_is_a_continuation(
    part: AnswerHead, expected: bool
) -> None:
    assert is_continuation(WHOLE, 40, part) is expected
