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
    :param deaf_until: announcements before then were sent before it left.
    """

    member: Member | None = None
    since: float = 0.0
    expires: float = 0.0
    leaving: bool = False
    deaf_until: float = 0.0


def announced(backend: Backend, member: Member, ttl_s: float, now: float) -> Backend:
    """Return the state after an announcement or its renewal."""
    if backend.leaving and now < backend.deaf_until:
        return backend
    known = backend.member
    renewed = (
        known is not None
        and known.backend == member.backend
        and not backend.leaving
        and now < backend.expires
    )
    since = backend.since if renewed else now
    return Backend(member, since, now + ttl_s)


def left(backend: Backend) -> Backend:
    """Return the state after the backend server said that it leaves."""
    return replace(backend, leaving=True, deaf_until=backend.expires)


def why_no_work(backend: Backend, now: float) -> Reason | None:
    """Return why new work is refused, or ``None`` if it is taken."""
    if backend.leaving:
        return Reason.LEAVING
    if backend.member is None or now >= backend.expires:
        return Reason.NO_BACKEND_SERVER
    return None
