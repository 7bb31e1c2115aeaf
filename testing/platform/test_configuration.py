from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from testing.standins.platform_operator import COLUMNS

from _masticspoke.decisions.fleet.model import Organisation
from _masticspoke.decisions.fleet.model import Share
from _masticspoke.platform.configuration import decode_configuration

WEIGHTED_CLUSTERS = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
ROWS = [
    [
        "r1",
        "H1.example",
        "/a/",
        "idempotent",
        1200,
        1500,
        1,
        WEIGHTED_CLUSTERS,
        2,
        None,
    ],
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


def test_configuration_is_decoded() -> None:
    decoded = decode_configuration(json.dumps(VALID).encode())
    assert decoded is not None
    weighted, once, long = (decoded.routes[key] for key in decoded.routes)

    assert decoded.version == 7
    assert weighted.host == "h1.example"
    assert weighted.shares == (Share("a", 90.0), Share("b", 10.0))
    assert (weighted.idempotent, once.idempotent, long.idempotent) == (
        True,
        False,
        True,
    )
    assert (weighted.timeout_s, weighted.objective_s, weighted.rank) == (1.2, 1.5, 1)
    assert long.max_attempts == 1
    assert decoded.health_paths == {"c": "/up"}
    assert decoded.limits.body_bytes == 1000
    assert decoded.limits.idle_timeout_s == 2.5


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
def test_malformed_configuration_is_decoded_to_none(broken: bytes) -> None:
    assert decode_configuration(broken) is None


@given(st.binary(max_size=200))
def test_any_bytes_are_decoded_without_an_error(raw: bytes) -> None:
    decode_configuration(raw)


def _with_tenants(rows: list[list[object]]) -> bytes:
    columns = ["name", "api_keys", "priority", "rate_per_s", "burst"]
    table = {"columns": columns, "rows": rows}
    return json.dumps({**VALID, "tenants": table}).encode()


def test_organisations_are_decoded_by_key() -> None:
    decoded = decode_configuration(
        _with_tenants([["o1", ["k1", "k2"], 1, 351, 35.5], ["o2", ["k3"], None, 0, 0]])
    )
    assert decoded is not None
    limited = Organisation("o1", rank=1, rate_per_s=351.0, burst=35.5)
    assert decoded.organisations == {
        "k1": limited,
        "k2": limited,
        "k3": Organisation("o2"),
    }


def test_missing_table_of_organisations_differs_from_an_empty_one() -> None:
    without = decode_configuration(json.dumps(VALID).encode())
    empty = decode_configuration(_with_tenants([]))
    assert without is not None
    assert without.organisations is None
    assert empty is not None
    assert empty.organisations == {}


@pytest.mark.parametrize(
    "rows",
    [
        [["o1", ["k1"], 1, 1, 1], ["o2", ["k1"], 1, 1, 1]],
        [["o1", ["k1"], 1, 1, 1], ["o1", ["k2"], 1, 1, 1]],
        [[None, ["k1"], 1, 1, 1]],
        [["o1", ["k1"], 1, -1, 1]],
        [["o1", [7], 1, 1, 1]],
        [["o1", [""], 1, 1, 1]],
        [["", ["k1"], 1, 1, 1]],
        [["o1", ["k1"], "first", 1, 1]],
        # As a list of characters, it would be three keys that are easy to guess.
        [["o1", "k12", 1, 1, 1]],
        [["o1", {"k1": 1}, 1, 1, 1]],
        [["o1", ["k1"], 1, True, 1]],
        [["o1", ["k1"], 1, 1, "5"]],
    ],
)
def test_malformed_organisations_make_no_configuration(
    rows: list[list[object]],
) -> None:
    assert decode_configuration(_with_tenants(rows)) is None
