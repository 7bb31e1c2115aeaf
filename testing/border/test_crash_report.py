from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from _masticspoke.border.crash_report import decode_report
from _masticspoke.border.crash_report import encode_report
from _masticspoke.border.crash_report import is_report_key
from _masticspoke.border.crash_report import report_key
from _masticspoke.decisions.fleet.suspects import Crash
from _masticspoke.decisions.fleet.suspects import CrashReport
from _masticspoke.decisions.fleet.suspects import Incarnation
from _masticspoke.decisions.fleet.suspects import MAX_CRASHES
from _masticspoke.decisions.fleet.suspects import Survival
from _masticspoke.model import Address

SERVER = Address("10.0.0.1", 8080)
FINGERPRINTS = st.integers(0, 2**64 - 1)
TIMES_MS = st.integers(0, 2**53)
CRASHES = st.builds(
    Crash,
    st.builds(
        Incarnation,
        st.just(SERVER),
        st.text(max_size=5).filter(str.isprintable),
        TIMES_MS,
    ),
    TIMES_MS,
    st.frozensets(FINGERPRINTS, max_size=20),
)
REPORTS = st.builds(
    CrashReport,
    st.just(SERVER),
    st.lists(CRASHES, max_size=MAX_CRASHES).map(tuple),
    st.lists(st.builds(Survival, FINGERPRINTS, TIMES_MS), max_size=5).map(tuple),
)


@given(REPORTS)
def test_report_survives_its_encoding(report: CrashReport) -> None:
    assert decode_report(encode_report(report)) == report


def test_key_of_a_report_is_told_from_that_of_a_state() -> None:
    assert is_report_key(report_key(SERVER))
    assert not is_report_key(str(SERVER))


DIGITS = "0" * 15 + "7"
SOUND = ["10.0.0.1:8080", [["i-1", 1000, 2000, DIGITS]], [[DIGITS, 3000]]]


def odd(*path: int, value: object) -> bytes:
    document = json.loads(json.dumps(SOUND))
    target = document
    for position in path[:-1]:
        target = target[position]
    target[path[-1]] = value
    return json.dumps(document).encode()


ODD = {
    "no json": b"\xff",
    "deeply nested": b"[" * 100_000,
    "no list": b"7",
    "short": b"[]",
    "address": odd(0, value="nowhere"),
    "crashes": odd(1, value=7),
    "too many crashes": odd(1, value=SOUND[1] * (MAX_CRASHES + 1)),  # type: ignore[operator]
    "instance": odd(1, 0, 0, value=None),
    "start": odd(1, 0, 1, value=-1),
    "time": odd(1, 0, 2, value=1e300),
    "digits": odd(1, 0, 3, value="g" * 16),
    "digits in another script": odd(1, 0, 3, value="\u0661" * 16),
    "spaces": odd(1, 0, 3, value=" " * 16),
    "half a fingerprint": odd(1, 0, 3, value=DIGITS[1:]),
    "long survival": odd(2, 0, 0, value=DIGITS * 2),
    "survival": odd(2, 0, value=7),
}


@pytest.mark.parametrize("value", ODD.values(), ids=ODD)
def test_odd_report_is_malformed(value: bytes) -> None:
    assert decode_report(json.dumps(SOUND).encode()) is not None
    assert decode_report(value) is None
