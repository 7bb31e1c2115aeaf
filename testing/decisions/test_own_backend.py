from __future__ import annotations

from dataclasses import replace

from _masticspoke.decisions.own_backend import announce
from _masticspoke.decisions.own_backend import has_lapsed
from _masticspoke.decisions.own_backend import leave
from _masticspoke.decisions.own_backend import OwnBackend
from _masticspoke.model import Address
from _masticspoke.model import Member

NODE = Address("10.0.0.1", 8081)
SENT = Member("desk", Address("10.0.0.1", 80), NODE, "z", "process-1", 5, 10)


def announced() -> OwnBackend:
    return announce(OwnBackend(NODE, "0123456789ab-00-0000"), SENT, 3.0, now=0.0)


def test_a_renewal_that_comes_after_its_sender_left_changes_nothing() -> None:
    left = leave(announced())
    assert announce(left, SENT, 3.0, now=0.1) == left


def test_the_next_process_of_the_backend_server_takes_work_at_once() -> None:
    left = leave(announced())
    again = announce(left, replace(SENT, incarnation="process-2"), 3.0, now=0.1)
    assert again.member is not None
    assert again.incarnation > left.incarnation


def test_a_backend_server_that_lapsed_takes_work_when_it_renews() -> None:
    own = announced()
    assert has_lapsed(own, now=3.0)
    assert announce(leave(own), SENT, 3.0, now=3.0).member is not None
