from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from _masticspoke.decisions.fleet.model import Phase
from _masticspoke.platform.control_plane import decode_heartbeat

BEAT: dict[str, object] = {
    "service": "desk",
    "address": "10.0.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "warmup_left_ms": 1500,
    "sequence": 4,
    "born": 1_700_000_000_000,
}


def decoded(**changes: object) -> object:
    body = json.dumps({**BEAT, **changes}).encode()
    return decode_heartbeat("i-1", body, 1_000.0)


def test_heartbeat_is_decoded_into_what_it_means() -> None:
    found = decode_heartbeat("i-1", json.dumps(BEAT).encode(), 1_000.0)

    assert not isinstance(found, str)
    assert (found.instance, found.slots, found.sequence) == ("i-1", 8, 4)
    assert found.phase is Phase.READY
    assert found.warm_ms == 1_000_000 + 1500


def test_draining_is_leaving() -> None:
    found = decoded(state="draining")

    assert not isinstance(found, str)
    assert getattr(found, "phase", None) is Phase.LEAVING


@pytest.mark.parametrize(
    "changes",
    [
        {"service": None},
        {"service": 7},
        {"zone": ""},
        {"address": "not an address"},
        {"address": ["10.0.0.9", 8080]},
        {"slots": 0},
        {"slots": "8"},
        {"slots": True},
        {"sequence": None},
        {"born": "yesterday"},
        {"state": "thinking"},
        {"state": None},
    ],
)
def test_heartbeat_of_another_writer_names_no_server(
    changes: dict[str, object],
) -> None:
    assert isinstance(decoded(**changes), str)


@given(st.binary(max_size=100))
def test_unreadable_heartbeat_names_no_server(body: bytes) -> None:
    assert isinstance(decode_heartbeat("i-1", body, 0.0), str)
