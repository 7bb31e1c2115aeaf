from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from _masticspoke.border.quota import decode_query
from _masticspoke.border.quota import decode_response
from _masticspoke.border.quota import encode_query
from _masticspoke.border.quota import encode_response
from _masticspoke.decisions.fleet.quota_keeper import Grant
from _masticspoke.decisions.fleet.quota_keeper import Limit
from _masticspoke.decisions.fleet.quota_keeper import QuotaQuery
from _masticspoke.decisions.fleet.quota_keeper import QuotaResponse
from _masticspoke.decisions.fleet.quota_keeper import Want
from _masticspoke.decisions.fleet.quota_ranking import group_of

NAME = "société été"
QUERY = QuotaQuery(
    "10.0.0.1", 20, 81, {0: 0, 3: 12}, {(group_of(NAME), NAME): Want(3, Limit(1.5, 2))}
)
RESPONSE = QuotaResponse(1234, {NAME: Grant(3), "b": Grant(0, 0.25)})


def test_a_query_is_read_as_it_was_written() -> None:
    assert decode_query(encode_query(QUERY)) == QUERY


def test_a_response_is_read_as_it_was_written() -> None:
    assert decode_response(encode_response(RESPONSE)) == RESPONSE


def test_fields_of_a_later_build_are_ignored() -> None:
    query = json.loads(encode_query(QUERY)) | {"more": 1}

    assert decode_query(json.dumps(query).encode()) == QUERY


@pytest.mark.parametrize(
    "change",
    [
        {"wants": [["a", -1, 1, 1]]},
        {"wants": [["a", 1, -1, 1]]},
        {"wants": [["a", 1, "nan", 1]]},
        {"wants": [["a", 1]]},
        {"wants": [["a\n", 1, 1, 1]]},
        {"wants": [["a", 10**9, 1, 1]]},
        {"seen_ms": [[4, 1]]},
        {"seen_ms": [[0, -1]]},
        {"known": 0},
        {"node": 1},
        {"version": 1.5},
    ],
)
def test_a_malformed_query_is_refused(change: dict[str, object]) -> None:
    """Guards against limits and times that a keeper can't reckon with."""
    query = json.loads(encode_query(QUERY)) | change

    assert decode_query(json.dumps(query).encode()) is None


@pytest.mark.parametrize(
    "change", [{"at_ms": 0}, {"grants": [["a", -1, 0]]}, {"grants": [["a", 1, -5]]}]
)
def test_a_malformed_response_is_no_response(change: dict[str, object]) -> None:
    response = json.loads(encode_response(RESPONSE)) | change

    assert decode_response(json.dumps(response).encode()) is None


@given(st.binary() | st.text().map(str.encode))
def test_any_bytes_are_read_without_an_error(body: bytes) -> None:
    decode_query(body)
    decode_response(body)
