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

KILLER = 666


@dataclass
class Service:
    """Guards of one service; each runs its requests until they finish or crash it."""

    random: Random
    guards: list[Suspects]
    in_flight: list[list[int]] = field(default_factory=list)
    crashes_by_killer: int = 0
    turn: int = 0

    def arrive(self, number: int, fingerprint: int) -> None:
        guard = self.guards[number]
        self.turn += 1
        if fingerprint in guard.by_fingerprint:
            effects = request_turn(guard, self.turn, fingerprint, 0, 0.0)
            if effects != (GrantTurn(self.turn),):
                end_turn(guard, self.turn)
                return
        self.in_flight[number].append(fingerprint)
        if fingerprint == KILLER:
            self.crash(number)
            self.crashes_by_killer += 1
        end_turn(guard, self.turn)

    def finish(self, number: int) -> None:
        if not self.in_flight[number]:
            return
        fingerprint = self.in_flight[number].pop()
        if clear_suspect(self.guards[number], fingerprint):
            self.tell(number, (SuspectUpdate(fingerprint, 0, 0.0),))

    def crash(self, number: int) -> None:
        news = record_crash(self.guards[number], self.in_flight[number], 0.0)
        self.in_flight[number] = []
        self.tell(number, news)

    def tell(self, number: int, news: tuple[SuspectUpdate, ...]) -> None:
        for guard in self.guards:
            if guard is not self.guards[number]:
                apply_updates(guard, news, 0.0)


@settings(max_examples=300, derandomize=True)
@given(
    st.integers(2, 8),
    st.lists(
        st.tuples(
            st.sampled_from(["arrive", "arrive", "kill", "finish", "crash"]),
            st.integers(0, 7),
            st.integers(1, 9),
        ),
        max_size=80,
    ),
)
def test_at_most_two_backend_servers_are_lost_to_one_request(
    size: int, steps: list[tuple[str, int, int]]
) -> None:
    service = Service(
        Random(0), [Suspects() for _ in range(size)], [[] for _ in range(size)]
    )
    for step, number, fingerprint in steps:
        at = number % size
        if step == "kill":
            service.arrive(at, KILLER)
        elif step == "arrive":
            service.arrive(at, fingerprint)
        elif step == "finish":
            service.finish(at)
        else:
            service.crash(at)
        assert service.crashes_by_killer <= 2


def test_innocent_request_is_cleared_by_one_success() -> None:
    guard = Suspects()
    record_crash(guard, [1, KILLER], 0.0)
    assert 1 in guard.by_fingerprint
    assert clear_suspect(guard, 1)
    assert 1 not in guard.by_fingerprint
    assert not clear_suspect(guard, 1)


def test_quarantined_request_is_refused_for_a_time() -> None:
    guard = Suspects()
    record_crash(guard, [KILLER], 0.0)
    record_crash(guard, [KILLER], 1.0)
    (denied,) = request_turn(guard, 1, KILLER, 0, 2.0)
    assert isinstance(denied, DenyTurn)
    assert denied.refusal.reason is Reason.QUARANTINED
    assert not clear_suspect(guard, KILLER)
    assert request_turn(guard, 2, KILLER, 0, 1.0 + QUARANTINE_S) == (GrantTurn(2),)


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


def test_waiting_suspect_is_refused_when_it_crashed_another_server() -> None:
    guard = Suspects()
    record_crash(guard, [1, KILLER], 0.0)
    request_turn(guard, 10, 1, 0, 1.0)
    request_turn(guard, 11, KILLER, 0, 1.0)
    (denied,) = apply_updates(guard, [SuspectUpdate(KILLER, 2, 600.0)], 1.0)
    assert isinstance(denied, DenyTurn)
    assert denied.turn == 11


@pytest.mark.parametrize(("crashes", "refused"), [(0, False), (1, False), (2, True)])
def test_count_that_came_with_the_call_counts(crashes: int, refused: bool) -> None:
    (effect,) = request_turn(Suspects(), 1, KILLER, crashes, 0.0)
    assert isinstance(effect, DenyTurn) is refused


def test_guard_that_joins_is_told_what_is_left() -> None:
    guard = Suspects()
    record_crash(guard, [KILLER], 0.0)
    assert all_updates(guard, 100.0) == (SuspectUpdate(KILLER, 1, 500.0),)
    assert all_updates(guard, 1000.0) == ()


def test_number_of_suspects_is_bounded() -> None:
    guard = Suspects()
    record_crash(guard, [KILLER], 0.0)
    record_crash(guard, [KILLER], 0.0)
    record_crash(guard, range(MAX_SUSPECTS + 50), 0.0)
    assert len(guard.by_fingerprint) == MAX_SUSPECTS
    assert KILLER in guard.by_fingerprint
