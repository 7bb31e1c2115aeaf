from __future__ import annotations

import pytest
from multidict import CIMultiDict
from testing.decisions.fleet.samples import job

from _masticspoke.decisions.fleet.model import NotRun
from _masticspoke.platform.backend_headers import read_health
from _masticspoke.platform.backend_headers import read_not_run
from _masticspoke.platform.backend_headers import set_backend_headers


def test_deadline_handed_down_is_what_is_left() -> None:
    headers: CIMultiDict[str] = CIMultiDict({"x-deadline-ms": "9999"})
    set_backend_headers(headers, job(caller="desk"), "i-1", 0.25)

    assert dict(headers.items())["X-Deadline-Ms"] == "250"
    assert len(headers.getall("X-Deadline-Ms")) == 1
    assert headers["X-Expected-Instance"] == "i-1"
    assert headers["X-Caller-Service"] == "desk"


@pytest.mark.parametrize(
    ("status", "headers", "found"),
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
def test_only_a_servers_own_word_means_not_run(
    status: int, headers: dict[str, str], found: NotRun | None
) -> None:
    assert read_not_run(status, CIMultiDict(headers)) is found


def test_unhealthy_server_is_no_instance() -> None:
    assert read_health(200, {"X-Instance-Id": "i-1"}) == "i-1"
    assert read_health(503, {"X-Instance-Id": "i-1"}) is None
    assert read_health(200, {}) is None
