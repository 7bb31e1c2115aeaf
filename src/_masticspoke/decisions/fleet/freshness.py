"""Decide whether the configuration is recent enough to accept the keys in it.

A key that was removed must be refused at every node a fixed time after the log
acknowledged that, also at a node that no longer hears the log. So a node keeps a time
by which it knew every version of the log. The time is that at which a query was sent,
as its answer may have been delayed.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import final

# Share of the bound for which keys are accepted without a newer confirmation. The rest
# covers boot clocks that differ in speed.
_ACCEPTED_SHARE = 0.9


@final
@dataclass(frozen=True, slots=True)
class Confirmation:
    """Every version that the log acknowledged before ``at`` is at most ``version``.

    It holds for each newer configuration as well.

    :param at: minus infinity before the first confirmation.
    """

    version: int = 0
    at: float = -inf


def confirm(
    current: Confirmation, version_in_force: int, version: int, at: float
) -> Confirmation:
    """Return the confirmation after an answer that showed no version after another.

    The answer has no effect if the version is not in force, so that a lost message
    can't confirm the wrong one, nor if it is older than the current confirmation.

    :param version: newest version in the answer.
    :param at: time at which the query was sent, less the age of a relay's knowledge.
    """
    if version != version_in_force or at <= current.at:
        return current
    return Confirmation(version, at)


def accepted_s(revocation_s: float) -> float:
    """Return the largest age of a confirmation at which keys are accepted, seconds."""
    return _ACCEPTED_SHARE * revocation_s


def is_fresh(
    confirmation: Confirmation,
    version_in_force: int,
    revocation_s: float | None,
    now: float,
) -> bool:
    """Return whether keys are accepted.

    :param revocation_s: bound on the revocation of a key; ``None`` if there is none.
    """
    if revocation_s is None:
        return True
    if confirmation.version > version_in_force:
        return False
    return now - confirmation.at < accepted_s(revocation_s)
