from __future__ import annotations

import pytest
from multidict import CIMultiDict
from testing.decisions.fleet.samples import job

from _masticspoke.border.forwarding import forwarded_headers
from _masticspoke.decisions.fleet.model import BackendNotice
from _masticspoke.decisions.fleet.model import NotRun
from _masticspoke.platform.backend_headers import read_health
from _masticspoke.platform.backend_headers import read_not_run
from _masticspoke.platform.backend_headers import read_notice
from _masticspoke.platform.backend_headers import set_backend_headers
from _masticspoke.platform.names import REPLACED_HEADERS


def test_deadline_header_is_replaced_by_the_time_left() -> None:
    headers: CIMultiDict[str] = CIMultiDict({"x-deadline-ms": "9999"})
    set_backend_headers(headers, job(caller="desk"), "i-1", 0.25)

    assert dict(headers.items())["X-Deadline-Ms"] == "250"
    assert len(headers.getall("X-Deadline-Ms")) == 1
    assert headers["X-Expected-Instance"] == "i-1"
    assert headers["X-Caller-Service"] == "desk"


@pytest.mark.parametrize(
    ("organisation", "nested", "sent"),
    [("north", False, ["north"]), ("", False, []), ("north", True, []), ("", True, [])],
)
def test_organisation_is_set_or_removed_and_the_key_removed(
    organisation: str, nested: bool, sent: list[str]
) -> None:
    """An entry node of an earlier build forwards what the client sent."""
    headers: CIMultiDict[str] = CIMultiDict(
        [("x-tenant", "south"), ("X-Tenant", "east"), ("x-api-key", "secret")]
    )
    set_backend_headers(
        headers, job(organisation=organisation, nested=nested), "i-1", 0.25
    )

    assert headers.getall("X-Tenant", []) == sent
    assert "X-Api-Key" not in headers


@pytest.mark.parametrize(
    ("status", "headers", "reason"),
    [
        (200, {}, None),
        (500, {}, None),
        (503, {}, None),
        (503, {"X-Not-Executed": "1"}, NotRun.SHED),
        (429, {"X-Not-Executed": "1"}, NotRun.SHED),
        (421, {}, NotRun.MOVED),
        (400, {"X-Not-Executed": "1"}, NotRun.FORBIDDEN),
    ],
)
def test_not_run_needs_the_header_or_status_421(
    status: int, headers: dict[str, str], reason: NotRun | None
) -> None:
    assert read_not_run(status, CIMultiDict(headers)) is reason


def test_health_answer_gives_the_instance_only_if_healthy() -> None:
    assert read_health(200, {"X-Instance-Id": "i-1"}) == "i-1"
    assert read_health(503, {"X-Instance-Id": "i-1"}) is None
    assert read_health(200, {}) is None


def test_key_and_organisation_of_a_client_are_not_forwarded_to_other_nodes() -> None:
    """The node that receives them removes them too, which would hide the leak."""
    received = {"x-aPi-key": "secret", "X-TENANT": "north", "X-Other": "1"}

    assert dict(forwarded_headers(received, REPLACED_HEADERS)) == {"X-Other": "1"}


@pytest.mark.parametrize(
    ("load", "slowdown"),
    [
        ("3,0,58,250", 2.5),
        ("3, 0, 58, 100", 1.0),
        ("3,0,58,9", 0.25),
        ("3,0,58,999999", 20.0),
        ("3,0,58", None),
        ("3,0,58,", None),
        ("3,0,58,0", None),
        ("3,0,58,-250", None),
        ("3,0,58,2.5", None),
        ("3,0,58,nan", None),
        ("3,0,58,\u0662\u0665\u0660", None),
        ("3,0,58,10000000", None),
        ("3,0,x,250", None),
        ("3,0,58,250,1", None),
        ("", None),
    ],
)
def test_slowdown_is_read_only_from_four_whole_numbers(
    load: str, slowdown: float | None
) -> None:
    headers = CIMultiDict({"X-Backend-Load": load})

    assert read_notice(200, headers).slowdown == slowdown


def test_slowdown_comes_with_a_rate_limit_but_not_from_another_instance() -> None:
    headers = CIMultiDict({"X-Backend-Load": "1,0,9,150", "Server-Limit": "7"})

    assert read_notice(200, headers) == BackendNotice(rate_limit=7.0, slowdown=1.5)
    assert read_notice(421, headers) == BackendNotice()
