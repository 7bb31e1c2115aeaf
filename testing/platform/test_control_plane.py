from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from _masticspoke.decisions.fleet.model import Phase
from _masticspoke.platform.control_plane import decode_heartbeat

HEARTBEAT: dict[str, object] = {
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


def decode_changed(**changes: object) -> object:
    body = json.dumps({**HEARTBEAT, **changes}).encode()
    return decode_heartbeat("i-1", body, 1_000.0)


def test_heartbeat_is_decoded() -> None:
    server = decode_heartbeat("i-1", json.dumps(HEARTBEAT).encode(), 1_000.0)

    assert not isinstance(server, str)
    assert (server.instance, server.slots, server.sequence) == ("i-1", 8, 4)
    assert server.phase is Phase.READY
    assert server.warm_ms == 1_000_000 + 1500


def test_draining_is_decoded_as_leaving() -> None:
    server = decode_changed(state="draining")

    assert not isinstance(server, str)
    assert getattr(server, "phase", None) is Phase.LEAVING


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
def test_malformed_heartbeat_is_rejected(
    changes: dict[str, object],
) -> None:
    assert isinstance(decode_changed(**changes), str)


@given(st.binary(max_size=100))
def test_any_bytes_without_a_heartbeat_are_rejected(body: bytes) -> None:
    assert isinstance(decode_heartbeat("i-1", body, 0.0), str)
