from __future__ import annotations

import pytest

from _masticspoke.decisions.fleet.client_timeouts import Awaited
from _masticspoke.decisions.fleet.client_timeouts import became_idle
from _masticspoke.decisions.fleet.client_timeouts import ClientWait
from _masticspoke.decisions.fleet.client_timeouts import overdue
from _masticspoke.decisions.fleet.client_timeouts import received_head
from _masticspoke.decisions.fleet.client_timeouts import received_part_of_head
from _masticspoke.decisions.fleet.model import Limits

LIMITS = Limits(header_timeout_s=3.0, idle_timeout_s=15.0)


def test_idle_connection_is_overdue_after_the_idle_timeout() -> None:
    wait = ClientWait(10.0)
    assert overdue(wait, LIMITS, 25.0, is_serving=False) is None
    assert overdue(wait, LIMITS, 25.1, is_serving=False) is Awaited.REQUEST


def test_head_is_overdue_after_the_header_timeout() -> None:
    wait = ClientWait(10.0)
    received_part_of_head(wait, b"GET", 12.0)
    received_part_of_head(wait, b" /", 14.0)
    assert overdue(wait, LIMITS, 15.0, is_serving=False) is None
    assert overdue(wait, LIMITS, 15.1, is_serving=False) is Awaited.REST_OF_HEAD
    received_head(wait)
    assert overdue(wait, LIMITS, 15.1, is_serving=False) is None


# REFUSED: a request that runs was answered 408.
@pytest.mark.parametrize("part", [b"", b"GET"])
def test_connection_is_never_overdue_while_it_serves_a_request(part: bytes) -> None:
    wait = ClientWait(0.0)
    received_part_of_head(wait, part, 0.0)
    assert overdue(wait, LIMITS, 1e9, is_serving=True) is None


def test_head_behind_a_request_has_its_time_from_the_answer_on() -> None:
    wait = ClientWait(0.0)
    received_part_of_head(wait, b"GET", 1.0)
    became_idle(wait, 20.0)
    assert overdue(wait, LIMITS, 23.0, is_serving=False) is None
    assert overdue(wait, LIMITS, 23.1, is_serving=False) is Awaited.REST_OF_HEAD
