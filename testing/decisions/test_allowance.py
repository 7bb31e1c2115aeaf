from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from random import Random

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from _masticspoke.decisions.allowance import borrow
from _masticspoke.decisions.allowance import close_account
from _masticspoke.decisions.allowance import give_back
from _masticspoke.decisions.allowance import Ledger
from _masticspoke.decisions.allowance import lend
from _masticspoke.decisions.allowance import open_account
from _masticspoke.decisions.allowance import settle
from _masticspoke.decisions.bucket import RetryBucket
from _masticspoke.decisions.retry import first_attempt
from _masticspoke.decisions.retry import next_attempt
from _masticspoke.model import Address
from _masticspoke.model import Call
from _masticspoke.model import Loan
from _masticspoke.model import Ran
from _masticspoke.model import Trace
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal

ROOT = Call("a", "k", "s", rank=1, deadline=100.0, idempotent=True)
NODE = Address("127.0.0.1", 1)
FULL = Refusal(Reason.QUEUE_FULL)
LOST = Refusal(Reason.NODE_FAILED, Ran.UNKNOWN)
TRACE = Trace("a" * 32, "b" * 16)


@dataclass
class Tree:
    """All calls of one user action, served depth first.

    :param refused: probability that a call at a depth is refused.
    :param lost: probability that the answer of a call is lost.
    :param resends: how often a backend server sends refused nested requests again.
    :param budget: number of calls after which no more nested calls are made.
    """

    random: Random
    depth: int
    fan_out: int
    refused: Callable[[int], float]
    lost: float = 0.0
    resends: int = 0
    ledger: Ledger = field(default_factory=Ledger)
    calls: int = 0
    attempts: int = 0
    budget: int = 400

    def serve(self, call: Call, loan: Loan | None) -> tuple[bool, int]:
        """Return whether a call was answered, and its unused retries."""
        step: object = first_attempt(call)
        while not isinstance(step, Refusal):
            self.attempts += 1
            assert self.attempts < 10_000
            refusal, returned = self.attempt(step.call)  # type: ignore[attr-defined]
            unused = step.progress.reserved_retries + returned  # type: ignore[attr-defined]
            if refusal is None:
                return True, unused
            if unused == 0 and loan is not None:
                unused = borrow(self.ledger, loan)
            returned = unused - step.progress.reserved_retries  # type: ignore[attr-defined]
            step = next_attempt(
                step,  # type: ignore[arg-type]
                NODE,
                refusal,
                returned,
                RetryBucket(),
                now=0.0,
            )
        return False, unused

    def attempt(self, call: Call) -> tuple[Refusal | None, int]:
        if self.random.random() < self.refused(call.depth):
            return FULL, call.allowance
        trace = Trace("a" * 32, f"{self.attempts:016x}")
        open_account(self.ledger, trace, call)
        self.serve_nested_calls(trace, call)
        left = settle(self.ledger, trace)
        close_account(self.ledger, trace)
        if self.random.random() < self.lost:
            return LOST, 0
        return None, left

    def serve_nested_calls(self, trace: Trace, call: Call) -> None:
        if call.depth + 1 >= self.depth or self.calls >= self.budget:
            return
        for request in range(self.fan_out):
            self.calls += 1
            self.serve_nested_call(trace, request)
        # Some backend servers send refused nested requests again.
        for request in range(self.fan_out * self.resends):
            if request % self.fan_out in self.ledger.accounts[trace].refused_requests:
                self.serve_nested_call(trace, request % self.fan_out)

    def serve_nested_call(self, trace: Trace, request: int) -> None:
        loan = lend(self.ledger, trace, request)
        if not isinstance(loan, Loan):
            return
        parent = loan.parent
        nested = replace(parent, depth=parent.depth + 1, allowance=loan.amount)
        answered, unused = self.serve(nested, loan)
        give_back(self.ledger, loan, unused, refused=not answered)


def serve_action(tree: Tree, allowance: int) -> None:
    tree.calls = 1
    tree.serve(replace(ROOT, allowance=allowance), None)


@pytest.mark.parametrize("depth", [4, 21])
@pytest.mark.parametrize("allowance", [0, 1, 3, 10])
def test_total_refusal_costs_one_call_and_the_allowance(
    depth: int, allowance: int
) -> None:
    for seed in range(100):
        tree = Tree(Random(seed), depth, 3, lambda _: 1.0)
        serve_action(tree, allowance)
        assert tree.attempts == 1 + allowance


@pytest.mark.parametrize("depth", [4, 21])
def test_total_refusal_of_the_deepest_calls_stays_within_the_allowance(
    depth: int,
) -> None:
    for seed in range(30):
        last = depth - 1
        tree = Tree(Random(seed), depth, 3, lambda d, last=last: float(d == last))
        serve_action(tree, 3)
        assert tree.attempts - tree.calls <= 3


@settings(max_examples=300, derandomize=True, deadline=None)
@given(
    seed=st.integers(0, 2**32),
    depth=st.integers(1, 21),
    fan_out=st.integers(0, 3),
    refused=st.floats(0, 1),
    lost=st.floats(0, 0.5),
    resends=st.integers(0, 2),
    allowance=st.integers(0, 10),
)
def test_attempts_never_exceed_calls_and_allowance(
    seed: int,
    depth: int,
    fan_out: int,
    refused: float,
    lost: float,
    resends: int,
    allowance: int,
) -> None:
    tree = Tree(Random(seed), depth, fan_out, lambda _: refused, lost, resends)
    serve_action(tree, allowance)
    assert tree.attempts - tree.calls <= allowance


@settings(max_examples=200, derandomize=True)
@given(
    st.integers(0, 10),
    st.lists(st.sampled_from(["lend", "borrow", "back", "settle"]), max_size=30),
)
def test_parallel_children_never_hold_more_than_the_parent_had(
    allowance: int, steps: list[str]
) -> None:
    ledger = Ledger()
    open_account(ledger, TRACE, replace(ROOT, allowance=allowance))
    loans: list[Loan] = []
    returned = 0
    for number, step in enumerate(steps):
        if step == "lend":
            loan = lend(ledger, TRACE, number)
            assert isinstance(loan, Loan)
            loans.append(loan)
        elif step == "borrow" and loans:
            loans[-1] = replace(
                loans[-1], amount=loans[-1].amount + borrow(ledger, loans[-1])
            )
        elif step == "back" and loans:
            loan = loans.pop()
            give_back(ledger, loan, loan.amount, refused=False)
        elif step == "settle":
            returned += settle(ledger, TRACE)
        held = ledger.accounts[TRACE].remaining + sum(loan.amount for loan in loans)
        assert held + returned <= allowance


def test_nested_call_with_its_own_parent_id_is_found_by_its_trace_id() -> None:
    ledger = Ledger()
    open_account(ledger, TRACE, replace(ROOT, allowance=4))
    loan = lend(ledger, Trace(TRACE.trace_id, "c" * 16), 1)
    assert isinstance(loan, Loan)
    assert (loan.account, loan.amount) == (TRACE, 2)


def test_nested_call_of_no_running_call_is_lent_nothing() -> None:
    ledger = Ledger()
    open_account(ledger, TRACE, replace(ROOT, allowance=4))
    close_account(ledger, TRACE)
    assert lend(ledger, TRACE, 1) is None
    assert ledger == Ledger()


def test_shared_trace_id_selects_the_least_urgent_parent() -> None:
    ledger = Ledger()
    for rank in (1, 3, 2):
        open_account(ledger, Trace("a" * 32, f"{rank:016x}"), replace(ROOT, rank=rank))
    loan = lend(ledger, Trace("a" * 32, "f" * 16), 1)
    assert isinstance(loan, Loan)
    assert loan.parent.rank == 3


def test_resent_nested_request_uses_a_retry() -> None:
    ledger = Ledger()
    open_account(ledger, TRACE, replace(ROOT, allowance=2))
    for lent in (1, 1):
        loan = lend(ledger, TRACE, 7)
        assert isinstance(loan, Loan)
        assert loan.amount == lent
        give_back(ledger, loan, lent, refused=True)
    assert ledger.accounts[TRACE].remaining == 1


def test_requests_without_a_fingerprint_are_not_resends() -> None:
    ledger = Ledger()
    open_account(ledger, TRACE, replace(ROOT, allowance=0))
    for _ in range(3):
        loan = lend(ledger, TRACE, None)
        assert isinstance(loan, Loan)
        give_back(ledger, loan, 0, refused=True)


def test_resent_nested_request_is_refused_when_nothing_is_left() -> None:
    ledger = Ledger()
    open_account(ledger, TRACE, replace(ROOT, allowance=1))
    loan = lend(ledger, TRACE, 7)
    assert isinstance(loan, Loan)
    give_back(ledger, loan, 0, refused=True)
    refusal = lend(ledger, TRACE, 7)
    assert isinstance(refusal, Refusal)
    assert refusal.reason is Reason.RETRIES_SPENT
