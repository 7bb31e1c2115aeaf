"""When a node knows that its configuration is recent enough to accept keys."""

from __future__ import annotations

import pytest

from _masticspoke.decisions.fleet.freshness import confirm
from _masticspoke.decisions.fleet.freshness import Confirmation
from _masticspoke.decisions.fleet.freshness import is_fresh

REVOCATION_S = 5.0


@pytest.mark.parametrize("version", [6, 8])
def test_answer_that_names_another_version_confirms_nothing(version: int) -> None:
    """The message with that version may have been lost, or the answer is an old one."""
    current = Confirmation(7, 1.0)

    assert confirm(current, 7, version, 2.0) == current


def test_late_answer_does_not_take_a_confirmation_back() -> None:
    current = Confirmation(7, 2.0)

    assert confirm(current, 7, 7, 1.0) == current
    assert confirm(current, 7, 7, 3.0) == Confirmation(7, 3.0)


@pytest.mark.parametrize(("age_s", "fresh"), [(0.0, True), (4.49, True), (4.5, False)])
def test_keys_are_accepted_for_nine_tenths_of_the_bound(
    age_s: float, fresh: bool
) -> None:
    assert is_fresh(Confirmation(7, 10.0), 7, REVOCATION_S, 10.0 + age_s) is fresh


def test_keys_are_refused_before_the_first_confirmation() -> None:
    """A node that starts without the log may have an old version from a peer."""
    assert not is_fresh(Confirmation(), 7, REVOCATION_S, 0.0)
    assert is_fresh(Confirmation(), 7, None, 0.0)


def test_newer_version_of_a_peer_keeps_the_confirmation() -> None:
    """Else each version that a peer brings first would make the node refuse keys."""
    confirmation = Confirmation(7, 10.0)

    assert is_fresh(confirmation, 8, REVOCATION_S, 11.0)
    assert not is_fresh(confirmation, 6, REVOCATION_S, 11.0)
