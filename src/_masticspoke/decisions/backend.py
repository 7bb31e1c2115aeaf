"""Decide whether the local backend server may receive new work."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import final

from _masticspoke.model import Member
from _masticspoke.refusals import Reason


@final
@dataclass(frozen=True, slots=True)
class Backend:
    """The local backend server as it last announced itself, for admission.

    :param member: its last announcement, if any.
    :param available_since: time of the first announcement, or of the first one after
        it left, lapsed or changed its address.
    :param expires: time at which the announcement lapses.
    :param leaving: whether it no longer takes new work.
    """

    member: Member | None = None
    available_since: float = 0.0
    expires: float = 0.0
    leaving: bool = False


def announce(backend: Backend, member: Member, ttl_s: float, now: float) -> Backend:
    """Return the state after an announcement or its renewal.

    A late announcement of an incarnation that has left changes nothing.
    """
    current = backend.member
    if backend.leaving and current is not None and _same_process(current, member):
        return backend
    renewed = (
        current is not None
        and current.backend == member.backend
        and not backend.leaving
        and now < backend.expires
    )
    available_since = backend.available_since if renewed else now
    return Backend(member, available_since, now + ttl_s)


def _same_process(current: Member, member: Member) -> bool:
    return current.incarnation == member.incarnation


def leave(backend: Backend) -> Backend:
    """Return the state after the backend server announced that it leaves."""
    return replace(backend, leaving=True)


def refusal_reason(backend: Backend, now: float) -> Reason | None:
    """Return why new work is refused, or ``None`` if it is accepted."""
    if backend.leaving:
        return Reason.LEAVING
    if backend.member is None or now >= backend.expires:
        return Reason.NO_BACKEND_SERVER
    return None
