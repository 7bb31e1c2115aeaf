from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from random import Random

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from _masticspoke.decisions.suspects import all_updates
from _masticspoke.decisions.suspects import apply_updates
from _masticspoke.decisions.suspects import clear_suspect
from _masticspoke.decisions.suspects import DenyTurn
from _masticspoke.decisions.suspects import end_turn
from _masticspoke.decisions.suspects import GrantTurn
from _masticspoke.decisions.suspects import MAX_SUSPECTS
from _masticspoke.decisions.suspects import QUARANTINE_S
from _masticspoke.decisions.suspects import record_crash
from _masticspoke.decisions.suspects import request_turn
from _masticspoke.decisions.suspects import Suspects
from _masticspoke.decisions.suspects import SuspectUpdate
from _masticspoke.refusals import Reason

CRASHER = 666


@dataclass
class Service:
    """The guards of one service and the requests in flight at each.

    A request with the fingerprint ``CRASHER`` crashes the backend server at once.
    """

    random: Random
    guards: list[Suspects]
    in_flight: list[list[int]] = field(default_factory=list)
    crashes_by_crasher: int = 0
    turn: int = 0

    def receive(self, number: int, fingerprint: int) -> None:
        guard = self.guards[number]
        self.turn += 1
        if fingerprint in guard.by_fingerprint:
            effects = request_turn(guard, self.turn, fingerprint, 0, 0.0)
            if effects != (GrantTurn(self.turn),):
                end_turn(guard, self.turn)
                return
        self.in_flight[number].append(fingerprint)
        if fingerprint == CRASHER:
            self.crash(number)
            self.crashes_by_crasher += 1
        end_turn(guard, self.turn)

    def finish(self, number: int) -> None:
        if not self.in_flight[number]:
            return
        fingerprint = self.in_flight[number].pop()
        if clear_suspect(self.guards[number], fingerprint):
            self.send_updates(number, (SuspectUpdate(fingerprint, 0, 0.0),))

    def crash(self, number: int) -> None:
        updates = record_crash(self.guards[number], self.in_flight[number], 0.0)
        self.in_flight[number] = []
        self.send_updates(number, updates)

    def send_updates(self, number: int, updates: tuple[SuspectUpdate, ...]) -> None:
        for guard in self.guards:
            if guard is not self.guards[number]:
                apply_updates(guard, updates, 0.0)


@settings(max_examples=300, derandomize=True)
@given(
    st.integers(2, 8),
    st.lists(
        st.tuples(
            st.sampled_from(["arrive", "arrive", "crasher", "finish", "crash"]),
            st.integers(0, 7),
            st.integers(1, 9),
        ),
        max_size=80,
    ),
)
def test_one_request_crashes_at_most_two_backend_servers(
    size: int, steps: list[tuple[str, int, int]]
) -> None:
    service = Service(
        Random(0), [Suspects() for _ in range(size)], [[] for _ in range(size)]
    )
    for step, number, fingerprint in steps:
        at = number % size
        if step == "crasher":
            service.receive(at, CRASHER)
        elif step == "arrive":
            service.receive(at, fingerprint)
        elif step == "finish":
            service.finish(at)
        else:
            service.crash(at)
        assert service.crashes_by_crasher <= 2


def test_suspect_is_cleared_by_one_success() -> None:
    guard = Suspects()
    record_crash(guard, [1, CRASHER], 0.0)
    assert 1 in guard.by_fingerprint
    assert clear_suspect(guard, 1)
    assert 1 not in guard.by_fingerprint
    assert not clear_suspect(guard, 1)


def test_quarantined_request_is_refused_until_quarantine_ends() -> None:
    guard = Suspects()
    record_crash(guard, [CRASHER], 0.0)
    record_crash(guard, [CRASHER], 1.0)
    (denial,) = request_turn(guard, 1, CRASHER, 0, 2.0)
    assert isinstance(denial, DenyTurn)
    assert denial.refusal.reason is Reason.QUARANTINED
    assert not clear_suspect(guard, CRASHER)
    assert request_turn(guard, 2, CRASHER, 0, 1.0 + QUARANTINE_S) == (GrantTurn(2),)


def test_suspects_run_one_at_a_time() -> None:
    guard = Suspects()
    record_crash(guard, [1, 2, 3], 0.0)
    assert request_turn(guard, 10, 1, 0, 1.0) == (GrantTurn(10),)
    assert request_turn(guard, 11, 2, 0, 1.0) == ()
    assert request_turn(guard, 12, 3, 0, 1.0) == ()
    assert end_turn(guard, 11) == ()
    assert end_turn(guard, 10) == (GrantTurn(12),)
    assert end_turn(guard, 12) == ()
    assert guard.running is None


def test_waiting_suspect_is_refused_when_it_is_quarantined_elsewhere() -> None:
    guard = Suspects()
    record_crash(guard, [1, CRASHER], 0.0)
    request_turn(guard, 10, 1, 0, 1.0)
    request_turn(guard, 11, CRASHER, 0, 1.0)
    (denial,) = apply_updates(guard, [SuspectUpdate(CRASHER, 2, 600.0)], 1.0)
    assert isinstance(denial, DenyTurn)
    assert denial.turn == 11


@pytest.mark.parametrize(("crashes", "refused"), [(0, False), (1, False), (2, True)])
def test_crash_count_sent_by_the_caller_is_applied(crashes: int, refused: bool) -> None:
    (effect,) = request_turn(Suspects(), 1, CRASHER, crashes, 0.0)
    assert isinstance(effect, DenyTurn) is refused


def test_joining_guard_gets_updates_with_the_remaining_time() -> None:
    guard = Suspects()
    record_crash(guard, [CRASHER], 0.0)
    assert all_updates(guard, 100.0) == (SuspectUpdate(CRASHER, 1, 500.0),)
    assert all_updates(guard, 1000.0) == ()


def test_number_of_suspects_is_bounded() -> None:
    guard = Suspects()
    record_crash(guard, [CRASHER], 0.0)
    record_crash(guard, [CRASHER], 0.0)
    record_crash(guard, range(MAX_SUSPECTS + 50), 0.0)
    assert len(guard.by_fingerprint) == MAX_SUSPECTS
    assert CRASHER in guard.by_fingerprint
