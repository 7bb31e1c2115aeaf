"""Guards against a second run by a claim of an older view that reaches the log late.

By then, the home of a view in between has run the key, and the writer of the claim is
the key's home again. The explorer found this schedule.
"""

from __future__ import annotations

from dataclasses import replace

import pytest
from testing.decisions.once.test_keys import identity
from testing.decisions.once.test_keys import LIMITS
from testing.decisions.once.test_keys import Node
from testing.decisions.once.test_keys import of_type
from testing.decisions.once.test_keys import SERVICE
from testing.decisions.once.test_keys import view
from testing.explorer.faults import claim_of_older_view_is_valid
from testing.matching import assert_that
from testtools.matchers import Equals

from _masticspoke.decisions.once.model import Claim
from _masticspoke.decisions.once.model import Confirmation
from _masticspoke.decisions.once.model import ConfirmRequest
from _masticspoke.decisions.once.model import Run
from _masticspoke.decisions.once.model import Seal
from _masticspoke.decisions.once.model import SendConfirmation
from _masticspoke.decisions.once.placement import home_of
from _masticspoke.decisions.once.placement import key_digest
from _masticspoke.decisions.once.rules import RULES
from _masticspoke.decisions.once.rules import Rules
from _masticspoke.decisions.once.state import OnceState

V1, V2, V3 = view(1, 1, 2, 3), view(2, 2, 3), view(3, 1, 2, 3)
KEY = next(
    d
    for d in (key_digest(SERVICE, f"k{n}") for n in range(1_000))
    if home_of(V1, d) == identity(1) and home_of(V2, d) == identity(2)
)


def node(port: int, rules: Rules) -> Node:
    return Node(OnceState(identity(port), LIMITS, rules))


@pytest.mark.parametrize(
    ("rules", "runs"),
    [(RULES, 1), (replace(RULES, claim_is_valid=claim_of_older_view_is_valid), 2)],
    ids=["real", "injected"],
)
def test_late_claim_of_older_view_does_not_run_key_again(
    rules: Rules, runs: int
) -> None:
    first, second, third = (node(port, rules) for port in (1, 2, 3))
    first.read(V1)
    # The claim of the first home is in flight when that home is paused.
    (claim,) = (e.record for e in first.ask(KEY))  # type: ignore[union-attr]
    assert_that(claim, Equals(Claim(SERVICE, KEY, identity(1), 1)))
    third.read(V1, V2)
    sealed = Seal(SERVICE, 1, identity(3))
    second.read(V1, V2, sealed)
    second.ask(KEY)
    second.tick(1.0)
    request = ConfirmRequest(Claim(SERVICE, KEY, identity(2), 2))
    assert_that(len(of_type(SendConfirmation, third.handle(request))), Equals(1))
    ran = of_type(Run, second.handle(Confirmation(request.claim, identity(3))))

    # The first node is the home again when its claim reaches the log.
    ran += of_type(Run, first.read(V2, sealed, V3, claim))

    assert_that(len(ran), Equals(runs))
