"""Which requests are suspected of crashing backend servers.

At a crash every request in flight there becomes a suspect. Suspects run one at a time
at each guard. A second crash puts a request into quarantine; a success clears it.
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
    """One request that was in flight at crashes.

    :param fingerprint: of method, path and body.
    :param crashes: crashes that it was in flight at.
    :param expires: when it is forgotten.
    """

    fingerprint: int
    crashes: int
    expires: float

    @property
    def quarantined(self) -> bool:
        """Whether it is refused everywhere."""
        return self.crashes >= CRASHES_TO_QUARANTINE


@final
@dataclass(frozen=True, slots=True)
class SuspectUpdate:
    """What one guard tells another about a request.

    :param crashes: 0 when it was cleared.
    :param ttl_s: time that is left until it is forgotten.
    """

    fingerprint: int
    crashes: int
    ttl_s: float


@final
@dataclass(slots=True)
class Suspects:
    """What one guard knows of suspects, its own and those that others told.

    :param running: the suspect that runs here at present, by its turn.
    :param waiting: turns that wait, with their fingerprints, first come first.
    """

    by_fingerprint: dict[int, Suspect] = field(default_factory=dict)
    running: int | None = None
    waiting: deque[tuple[int, int]] = field(default_factory=deque)


@final
@dataclass(frozen=True, slots=True)
class GrantTurn:
    """Effect: the suspect that holds this turn may run now."""

    turn: int


@final
@dataclass(frozen=True, slots=True)
class DenyTurn:
    """Effect: the suspect that holds this turn is refused."""

    turn: int
    refusal: Refusal


TurnEffect = GrantTurn | DenyTurn


def record_crash(
    suspects: Suspects, in_flight: Collection[int], now: float
) -> tuple[SuspectUpdate, ...]:
    """Suspect all requests in flight at a crash; return what others are to be told."""
    found = [_after_crash(suspects, f, now) for f in sorted(set(in_flight))]
    for suspect in found:
        suspects.by_fingerprint[suspect.fingerprint] = suspect
    _forget_old(suspects, now)
    return tuple(_news(suspect, now) for suspect in found)


def all_updates(suspects: Suspects, now: float) -> tuple[SuspectUpdate, ...]:
    """Return what a guard that joins is to be told."""
    return tuple(
        _news(s, now) for s in suspects.by_fingerprint.values() if now < s.expires
    )


def apply_updates(
    suspects: Suspects, told: Iterable[SuspectUpdate], now: float
) -> tuple[TurnEffect, ...]:
    """Take over what another guard tells; the higher number of crashes counts.

    Without a crash it was cleared there.
    """
    for news in told:
        if news.crashes == 0:
            clear_suspect(suspects, news.fingerprint)
            continue
        known = suspects.by_fingerprint.get(news.fingerprint)
        if known is None or news.crashes > known.crashes:
            suspects.by_fingerprint[news.fingerprint] = Suspect(
                news.fingerprint, news.crashes, now + news.ttl_s
            )
    return _deny_quarantined(suspects)


def clear_suspect(suspects: Suspects, fingerprint: int) -> bool:
    """Clear a suspect that succeeded; return whether there was one."""
    known = suspects.by_fingerprint.get(fingerprint)
    if known is None or known.quarantined:
        return False
    del suspects.by_fingerprint[fingerprint]
    return True


def request_turn(
    suspects: Suspects, turn: int, fingerprint: int, crashes: int, now: float
) -> tuple[TurnEffect, ...]:
    """Let a suspect run, wait for its turn, or refuse it.

    :param crashes: backend servers that its caller saw crash.
    """
    _learn_from_caller(suspects, fingerprint, crashes, now)
    known = suspects.by_fingerprint.get(fingerprint)
    if known is not None and now >= known.expires:
        del suspects.by_fingerprint[fingerprint]
        known = None
    if known is not None and known.quarantined:
        return (_deny(turn, known),)
    if suspects.running is None:
        suspects.running = turn
        return (GrantTurn(turn),)
    suspects.waiting.append((turn, fingerprint))
    return ()


def end_turn(suspects: Suspects, turn: int) -> tuple[TurnEffect, ...]:
    """Let the next suspect run, when one has run or its caller went away."""
    suspects.waiting = deque(w for w in suspects.waiting if w[0] != turn)
    if suspects.running != turn:
        return ()
    suspects.running = None
    denied = _deny_quarantined(suspects)
    if not suspects.waiting:
        return denied
    suspects.running, _ = suspects.waiting.popleft()
    return (*denied, GrantTurn(suspects.running))


def _news(suspect: Suspect, now: float) -> SuspectUpdate:
    ttl_s = max(0.0, suspect.expires - now)
    return SuspectUpdate(suspect.fingerprint, suspect.crashes, ttl_s)


def _after_crash(suspects: Suspects, fingerprint: int, now: float) -> Suspect:
    known = suspects.by_fingerprint.get(fingerprint)
    before = known.crashes if known is not None and now < known.expires else 0
    crashes = before + 1
    ttl_s = QUARANTINE_S if crashes >= CRASHES_TO_QUARANTINE else SUSPECT_TTL_S
    return Suspect(fingerprint, crashes, now + ttl_s)


def _learn_from_caller(
    suspects: Suspects, fingerprint: int, crashes: int, now: float
) -> None:
    if crashes > 0:
        apply_updates(
            suspects, (SuspectUpdate(fingerprint, crashes, SUSPECT_TTL_S),), now
        )


def _deny_quarantined(suspects: Suspects) -> tuple[TurnEffect, ...]:
    denied = [
        _deny(turn, suspects.by_fingerprint[fingerprint])
        for turn, fingerprint in suspects.waiting
        if fingerprint in suspects.by_fingerprint
        and suspects.by_fingerprint[fingerprint].quarantined
    ]
    gone = {d.turn for d in denied}
    suspects.waiting = deque(w for w in suspects.waiting if w[0] not in gone)
    return tuple(denied)


def _deny(turn: int, suspect: Suspect) -> DenyTurn:
    detail = f"{suspect.crashes} backend servers crashed while they ran it"
    return DenyTurn(turn, Refusal(Reason.QUARANTINED, detail=detail))


def _forget_old(suspects: Suspects, now: float) -> None:
    if len(suspects.by_fingerprint) <= MAX_SUSPECTS:
        return
    alive = sorted(
        (s for s in suspects.by_fingerprint.values() if now < s.expires),
        key=lambda s: (s.crashes, s.expires),
    )
    suspects.by_fingerprint = {s.fingerprint: s for s in alive[-MAX_SUSPECTS:]}
