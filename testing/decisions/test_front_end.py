"""Make all decisions about one call without HTTP, as another front end would."""

from __future__ import annotations

from random import Random

from _masticspoke.decisions import admission
from _masticspoke.decisions import allowance
from _masticspoke.decisions import peers
from _masticspoke.decisions.admission import AdmissionState
from _masticspoke.decisions.admission import Refuse
from _masticspoke.decisions.admission import Run
from _masticspoke.decisions.bucket import RetryBucket
from _masticspoke.decisions.classify import classify
from _masticspoke.decisions.peers import Peers
from _masticspoke.decisions.retry import Attempt
from _masticspoke.decisions.retry import first_attempt
from _masticspoke.decisions.retry import next_attempt
from _masticspoke.decisions.routing import choose_member
from _masticspoke.model import Address
from _masticspoke.model import Call
from _masticspoke.model import Catalogue
from _masticspoke.model import ClassSpec
from _masticspoke.model import Entry
from _masticspoke.model import Loan
from _masticspoke.model import Member
from _masticspoke.model import RequestShape
from _masticspoke.model import Trace

ENTRY = Entry(
    "read", "desk", "line", 1, "s", "GET", "/read/*", 1000, idempotent=True, retries=3
)
CATALOGUE = Catalogue(1, (ClassSpec("line", 1),), (ENTRY,))
TRACE = Trace("a" * 32, "b" * 16)


def member(number: int) -> Member:
    node = Address("10.0.0.1", number)
    return Member("s", Address("10.0.0.1", number + 100), node, "z", "1", 1, 10)


def test_refused_call_runs_elsewhere_and_its_nested_call_is_lent_a_retry() -> None:
    candidates = Peers(Address("10.0.0.9", 9), "z")
    peers.replace_members(candidates, [member(1), member(2)], 0.0)
    random = Random(3)
    guards = {m.node: AdmissionState(0, random) for m in (member(1), member(2))}

    call = classify(CATALOGUE, RequestShape("GET", "/read/7"), None, "a" * 32, 0.0)
    assert isinstance(call, Call)
    attempt = first_attempt(call)
    first = choose_member(candidates, attempt.call, (), 0.0, random)
    assert isinstance(first, Member)
    for ticket in range(100, 100 + first.slots):
        assert admission.arrive(guards[first.node], ticket, call, 0.0) == (Run(ticket),)
    (refused,) = admission.arrive(guards[first.node], 1, attempt.call, 0.0)
    assert isinstance(refused, Refuse)

    again = next_attempt(
        attempt,
        first.node,
        refused.refusal,
        attempt.call.allowance,
        RetryBucket(),
        0.01,
    )
    assert isinstance(again, Attempt)
    second = choose_member(
        candidates, again.call, again.progress.tried_nodes, 0.01, random
    )
    assert isinstance(second, Member)
    assert second.node != first.node
    effects = admission.arrive(guards[second.node], 1, again.call, 0.01)
    assert effects == (Run(1),)

    ledger = allowance.Ledger()
    allowance.open_account(ledger, TRACE, again.call)
    loan = allowance.lend(ledger, TRACE, request=5)
    assert isinstance(loan, Loan)
    shape = RequestShape("GET", "/read/8", trace=TRACE, from_backend=True)
    nested = classify(CATALOGUE, shape, loan, "unused", 0.02)
    assert isinstance(nested, Call)
    assert (nested.depth, nested.action, nested.allowance) == (1, call.action, 1)
    assert nested.deadline <= call.deadline
