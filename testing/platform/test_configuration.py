from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from testing.standins.platform_operator import COLUMNS

from _masticspoke.decisions.fleet.model import Share
from _masticspoke.platform.configuration import decode_configuration

SPLIT = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
ROWS = [
    ["r1", "H1.example", "/a/", "idempotent", 1200, 1500, 1, SPLIT, 2, None],
    ["r2", "h2.example", "/b/", "non_idempotent", 1500, 2000, 0, None, 2, "c"],
    ["r3", "h2.example", "/c/", "download", None, None, None, None, None, "c"],
]
VALID = {
    "version": 7,
    "routes": {"columns": COLUMNS, "rows": ROWS},
    "services": {
        "columns": ["name", "health_check_path", "max_connections"],
        "rows": [["c", "/up", 10]],
    },
    "limits": {"max_body_bytes": 1000, "idle_timeout_ms": 2500},
}


def test_routes_are_decoded_into_what_they_mean() -> None:
    found = decode_configuration(json.dumps(VALID).encode())
    assert found is not None
    split, once, long = (found.routes[key] for key in found.routes)

    assert found.version == 7
    assert split.host == "h1.example"
    assert split.shares == (Share("a", 90.0), Share("b", 10.0))
    assert (split.repeatable, once.repeatable, long.repeatable) == (True, False, True)
    assert (split.timeout_s, split.objective_s, split.rank) == (1.2, 1.5, 1)
    assert long.max_attempts == 1
    assert found.health_paths == {"c": "/up"}
    assert found.limits.body_bytes == 1000
    assert found.limits.idle_timeout_s == 2.5


@pytest.mark.parametrize(
    "broken",
    [
        b"",
        b"[]",
        b"null",
        b'{"version": 7}',
        json.dumps(VALID).encode()[:-20],
        json.dumps({**VALID, "version": "x"}).encode(),
        json.dumps({**VALID, "routes": {"columns": COLUMNS, "rows": [[1]]}}).encode(),
    ],
)
def test_broken_configuration_is_none(broken: bytes) -> None:
    assert decode_configuration(broken) is None


@given(st.binary(max_size=200))
def test_any_bytes_are_decoded_or_refused(raw: bytes) -> None:
    decode_configuration(raw)
