"""Decide whether the own backend server may get new work."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import final

from _masticspoke.model import Member
from _masticspoke.refusals import Reason


@final
@dataclass(frozen=True, slots=True)
class Backend:
    """What the backend server said of itself last.

    :param member: its last announcement, if any.
    :param since: when it was new: at first, or again after it left or lapsed.
    :param expires: when its announcement lapses.
    :param leaving: whether it takes no new work any more.
    """

    member: Member | None = None
    available_since: float = 0.0
    expires: float = 0.0
    leaving: bool = False


def announce(backend: Backend, member: Member, ttl_s: float, now: float) -> Backend:
    """Return the state after an announcement or its renewal.

    One that comes late, under an incarnation that has left, changes nothing.
    """
    known = backend.member
    if backend.leaving and known is not None and _same_process(known, member):
        return backend
    renewed = (
        known is not None
        and known.backend == member.backend
        and not backend.leaving
        and now < backend.expires
    )
    available_since = backend.available_since if renewed else now
    return Backend(member, available_since, now + ttl_s)


def _same_process(known: Member, member: Member) -> bool:
    return known.incarnation == member.incarnation


def leave(backend: Backend) -> Backend:
    """Return the state after the backend server said that it leaves."""
    return replace(backend, leaving=True)


def refusal_reason(backend: Backend, now: float) -> Reason | None:
    """Return why new work is refused, or ``None`` if it is taken."""
    if backend.leaving:
        return Reason.LEAVING
    if backend.member is None or now >= backend.expires:
        return Reason.NO_BACKEND_SERVER
    return None
