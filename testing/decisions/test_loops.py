from __future__ import annotations

from dataclasses import replace

from _masticspoke.decisions.loops import add_running
from _masticspoke.decisions.loops import is_loop
from _masticspoke.decisions.loops import remove_running
from _masticspoke.decisions.loops import RunningRequests
from _masticspoke.model import Call

ROOT_CALL = Call("a" * 32, "read", "desk", 0, 9.0, idempotent=True)


def test_deeper_call_of_a_running_request_is_a_loop() -> None:
    running = RunningRequests()
    deeper = replace(ROOT_CALL, depth=2)
    assert not is_loop(running, deeper, 7)
    add_running(running, 1, ROOT_CALL, 7)
    assert is_loop(running, deeper, 7)
    remove_running(running, 1)
    assert not is_loop(running, deeper, 7)
    assert running == RunningRequests()


def test_siblings_other_requests_and_other_actions_are_no_loop() -> None:
    running = RunningRequests()
    add_running(running, 1, replace(ROOT_CALL, depth=1), 7)
    assert not is_loop(running, replace(ROOT_CALL, depth=1), 7)
    assert not is_loop(running, replace(ROOT_CALL, depth=2), 8)
    assert not is_loop(running, replace(ROOT_CALL, depth=2, action="b" * 32), 7)
