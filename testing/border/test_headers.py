from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from multidict import CIMultiDict

from _masticspoke.border.forwarding import forwarded_headers
from _masticspoke.border.headers import append_via
from _masticspoke.border.headers import decode_call
from _masticspoke.border.headers import decode_report
from _masticspoke.border.headers import encode_call
from _masticspoke.border.headers import encode_report
from _masticspoke.border.headers import passed_through
from _masticspoke.border.headers import request_shape
from _masticspoke.border.headers import shed_by_backend
from _masticspoke.model import Address
from _masticspoke.model import Call
from _masticspoke.model import LoadReport
from _masticspoke.model import RequestShape
from _masticspoke.refusals import Refusal

NODE = Address("10.0.0.1", 80)


def test_hop_by_hop_and_own_headers_are_not_forwarded() -> None:
    headers = CIMultiDict(
        [
            ("Accept", "a"),
            ("accept", "b"),
            ("Connection", "close, X-Hop"),
            ("X-Hop", "1"),
            ("Transfer-Encoding", "chunked"),
            ("masticspoke-call", "{}"),
            ("MASTICSPOKE-ANYTHING", "1"),
            ("traceparent", "x"),
        ]
    )
    assert list(forwarded_headers(headers).items()) == [
        ("Accept", "a"),
        ("accept", "b"),
    ]


@given(
    st.builds(
        Call,
        action=st.text(max_size=64),
        kind=st.text(max_size=128),
        service=st.text(max_size=128),
        rank=st.integers(0, 1000),
        deadline=st.integers(1, 80_000).map(float),
        idempotent=st.booleans(),
        allowance=st.integers(0, 1000),
        crashes=st.integers(0, 1000),
        key=st.none() | st.text(max_size=255),
    )
)
@settings(max_examples=100, derandomize=True)
def test_decoded_call_equals_the_encoded_one(call: Call) -> None:
    assert decode_call(encode_call(call, 0.0), 0.0) == call


@given(st.text(max_size=200))
@settings(max_examples=100, derandomize=True)
def test_text_that_is_neither_call_nor_report_is_rejected(text: str) -> None:
    assert isinstance(decode_call(text, 0.0), Refusal)
    assert decode_report(text) is None


def test_decoded_report_equals_the_encoded_one() -> None:
    report = LoadReport(3, 50, 0.0125, 2, 1, 7, leaving=True)
    assert decode_report(encode_report(report)) == report


@pytest.mark.parametrize("target", ["*", "@10.0.0.1/", "http://10.0.0.1/a", ""])
def test_target_that_is_not_a_path_is_refused(target: str) -> None:
    shape = request_shape("GET", target, {}, from_backend=False)
    assert isinstance(shape, Refusal)


def test_shape_has_the_path_decoded_and_without_query() -> None:
    shape = request_shape("GET", "/a%20b?c=/d", {}, from_backend=False)
    assert isinstance(shape, RequestShape)
    assert shape.path == "/a b"


def test_via_header_identifies_nodes_that_a_request_passed() -> None:
    headers = CIMultiDict({"Via": "1.1 proxy"})
    assert not passed_through(headers, NODE)
    append_via(headers, NODE)
    append_via(headers, Address("10.0.0.2", 80))
    assert passed_through(headers, NODE)
    assert not passed_through(headers, Address("10.0.0.1", 8080))


@pytest.mark.parametrize(
    ("status", "headers", "shed"),
    [
        (503, {"Masticspoke-Ran": "no"}, True),
        (503, {}, False),
        (503, {"Masticspoke-Ran": "unknown"}, False),
        (200, {"Masticspoke-Ran": "no"}, False),
    ],
)
def test_request_was_shed_only_if_status_and_header_say_so(
    status: int, headers: dict[str, str], shed: bool
) -> None:
    assert shed_by_backend(status, headers) is shed
