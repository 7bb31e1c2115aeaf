"""Track requests that are suspected of crashing backend servers.

When a backend server crashes, every request in flight at it becomes a suspect. Each
guard runs its suspects one at a time. A suspect that succeeds is cleared; one that was
in flight at a second crash is quarantined, which means that every guard refuses it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from typing import final

from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal

CRASHES_TO_QUARANTINE = 2
SUSPECT_TTL_S = 600.0
QUARANTINE_S = 600.0
MAX_SUSPECTS = 10_000


@final
@dataclass(frozen=True, slots=True)
class Suspect:
    """A request that was in flight when a backend server crashed.

    :param fingerprint: fingerprint of method, target and body.
    :param crashes: number of crashes during which it was in flight.
    :param expires: when the suspicion or quarantine ends.
    """

    fingerprint: int
    crashes: int
    expires: float

    @property
    def quarantined(self) -> bool:
        """Whether every guard refuses the request until ``expires``."""
        return self.crashes >= CRASHES_TO_QUARANTINE


@final
@dataclass(frozen=True, slots=True)
class SuspectUpdate:
    """The state of one suspect, as a guard sends it to the others.

    :param crashes: 0 if the suspect was cleared.
    :param ttl_s: seconds until it expires.
    """

    fingerprint: int
    crashes: int
    ttl_s: float


@final
@dataclass(slots=True)
class Suspects:
    """All suspects known to one guard, its own and those of other guards.

    :param running: turn of the suspect that runs here, if any.
    :param waiting: waiting turns with their fingerprints, oldest first.
    """

    by_fingerprint: dict[int, Suspect] = field(default_factory=dict)
    running: int | None = None
    waiting: deque[tuple[int, int]] = field(default_factory=deque)


@final
@dataclass(frozen=True, slots=True)
class GrantTurn:
    """Effect: let the suspect with this turn run now."""

    turn: int


@final
@dataclass(frozen=True, slots=True)
class DenyTurn:
    """Effect: refuse the suspect with this turn."""

    turn: int
    refusal: Refusal


TurnEffect = GrantTurn | DenyTurn


def record_crash(
    suspects: Suspects, in_flight: Collection[int], now: float
) -> tuple[SuspectUpdate, ...]:
    """Make suspects of all requests in flight at a crash.

    :return: updates for the other guards.
    """
    suspected = [_count_crash(suspects, f, now) for f in sorted(set(in_flight))]
    for suspect in suspected:
        suspects.by_fingerprint[suspect.fingerprint] = suspect
    _drop_excess(suspects, now)
    return tuple(_to_update(suspect, now) for suspect in suspected)


def all_updates(suspects: Suspects, now: float) -> tuple[SuspectUpdate, ...]:
    """Return the updates for a guard that joins."""
    return tuple(
        _to_update(s, now) for s in suspects.by_fingerprint.values() if now < s.expires
    )


def apply_updates(
    suspects: Suspects, updates: Iterable[SuspectUpdate], now: float
) -> tuple[TurnEffect, ...]:
    """Apply updates from another guard; the higher number of crashes wins.

    An update with 0 crashes clears the suspect, unless it is quarantined here.
    """
    for update in updates:
        if update.crashes == 0:
            clear_suspect(suspects, update.fingerprint)
            continue
        existing = suspects.by_fingerprint.get(update.fingerprint)
        if existing is None or update.crashes > existing.crashes:
            suspects.by_fingerprint[update.fingerprint] = Suspect(
                update.fingerprint, update.crashes, now + update.ttl_s
            )
    return _deny_quarantined_waiting(suspects)


def clear_suspect(suspects: Suspects, fingerprint: int) -> bool:
    """Clear a suspect that succeeded; return whether one was cleared.

    A quarantined one stays.
    """
    existing = suspects.by_fingerprint.get(fingerprint)
    if existing is None or existing.quarantined:
        return False
    del suspects.by_fingerprint[fingerprint]
    return True


def request_turn(
    suspects: Suspects, turn: int, fingerprint: int, crashes: int, now: float
) -> tuple[TurnEffect, ...]:
    """Run a suspect now, queue its turn, or refuse it.

    :param turn: identifies the request in the effects and in :func:`end_turn`.
    :param crashes: number of backend servers that crashed during the call so far, as
        its caller counted them.
    """
    _apply_caller_count(suspects, fingerprint, crashes, now)
    existing = suspects.by_fingerprint.get(fingerprint)
    if existing is not None and now >= existing.expires:
        del suspects.by_fingerprint[fingerprint]
        existing = None
    if existing is not None and existing.quarantined:
        return (_denial(turn, existing),)
    if suspects.running is None:
        suspects.running = turn
        return (GrantTurn(turn),)
    suspects.waiting.append((turn, fingerprint))
    return ()


def end_turn(suspects: Suspects, turn: int) -> tuple[TurnEffect, ...]:
    """End a turn after its run, or when its caller disconnects.

    If the turn was running, the next suspect starts.
    """
    suspects.waiting = deque(w for w in suspects.waiting if w[0] != turn)
    if suspects.running != turn:
        return ()
    suspects.running = None
    denied = _deny_quarantined_waiting(suspects)
    if not suspects.waiting:
        return denied
    suspects.running, _ = suspects.waiting.popleft()
    return (*denied, GrantTurn(suspects.running))


def _to_update(suspect: Suspect, now: float) -> SuspectUpdate:
    ttl_s = max(0.0, suspect.expires - now)
    return SuspectUpdate(suspect.fingerprint, suspect.crashes, ttl_s)


def _count_crash(suspects: Suspects, fingerprint: int, now: float) -> Suspect:
    existing = suspects.by_fingerprint.get(fingerprint)
    earlier = existing.crashes if existing is not None and now < existing.expires else 0
    crashes = earlier + 1
    ttl_s = QUARANTINE_S if crashes >= CRASHES_TO_QUARANTINE else SUSPECT_TTL_S
    return Suspect(fingerprint, crashes, now + ttl_s)


def _apply_caller_count(
    suspects: Suspects, fingerprint: int, crashes: int, now: float
) -> None:
    if crashes > 0:
        apply_updates(
            suspects, (SuspectUpdate(fingerprint, crashes, SUSPECT_TTL_S),), now
        )


def _deny_quarantined_waiting(suspects: Suspects) -> tuple[TurnEffect, ...]:
    denied = [
        _denial(turn, suspects.by_fingerprint[fingerprint])
        for turn, fingerprint in suspects.waiting
        if fingerprint in suspects.by_fingerprint
        and suspects.by_fingerprint[fingerprint].quarantined
    ]
    denied_turns = {d.turn for d in denied}
    suspects.waiting = deque(w for w in suspects.waiting if w[0] not in denied_turns)
    return tuple(denied)


def _denial(turn: int, suspect: Suspect) -> DenyTurn:
    detail = f"{suspect.crashes} backend servers crashed while they ran it"
    return DenyTurn(turn, Refusal(Reason.QUARANTINED, detail=detail))


def _drop_excess(suspects: Suspects, now: float) -> None:
    if len(suspects.by_fingerprint) <= MAX_SUSPECTS:
        return
    unexpired = sorted(
        (s for s in suspects.by_fingerprint.values() if now < s.expires),
        key=lambda s: (s.crashes, s.expires),
    )
    suspects.by_fingerprint = {s.fingerprint: s for s in unexpired[-MAX_SUSPECTS:]}
