"""Find requests that crash each backend server that runs them.

Each guard reports the crashes of its backend server, with the requests that were
running, to all nodes. A request is quarantined, which means that no node sends or runs
it, once it was running at :data:`CRASHES_TO_QUARANTINE` crashes and has not succeeded
since. A popular request may be running at several crashes that it did not cause, but it
succeeds elsewhere meanwhile.

Times are Unix time: the nodes of a fleet compare them. A step of a clock moves the end
of a quarantine by as much and has no other effect.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import final

from _masticspoke.model import Address

CRASHES_TO_QUARANTINE = 3
# Time for which a crash counts, seconds.
CRASH_TTL_S = 600.0
# Bounds of a guard's report, which is one record of the log. The newest crashes and
# survivals are kept.
MAX_CRASHES = 4
MAX_SURVIVALS = 64
# Largest number of requests that are reported with one crash.
MAX_REQUESTS = 1_024
# Largest number of suspects that a node knows; those with the fewest crashes, and of
# them the oldest, are dropped first.
MAX_SUSPECTS = 10_000


@final
@dataclass(frozen=True, slots=True)
class Incarnation:
    """One start of a backend server, which can crash once.

    :param born_ms: Unix time of its start.
    """

    address: Address
    instance: str
    born_ms: int


@final
@dataclass(frozen=True, slots=True)
class Crash:
    """A crash of a backend server.

    :param at_ms: Unix time at which its guard noticed it.
    :param fingerprints: the requests that were running.
    """

    incarnation: Incarnation
    at_ms: int
    fingerprints: frozenset[int]


@final
@dataclass(frozen=True, slots=True)
class Survival:
    """A suspect that succeeded, and thus is none.

    :param at_ms: Unix time of the success.
    """

    fingerprint: int
    at_ms: int


@final
@dataclass(frozen=True, slots=True)
class CrashReport:
    """What the guard of one backend server reports to all nodes.

    :param address: address of the backend server.
    """

    address: Address
    crashes: tuple[Crash, ...] = ()
    survivals: tuple[Survival, ...] = ()


@final
@dataclass(frozen=True, slots=True)
class SuspectView:
    """The requests that a node watches or refuses.

    :param suspected: requests that were running at a crash and have not succeeded
        since, quarantined ones included.
    :param quarantined: Unix time at which each quarantine ends, seconds.
    """

    suspected: frozenset[int] = frozenset()
    quarantined: Mapping[int, float] = field(default_factory=dict)


@final
@dataclass(slots=True)
class Suspects:
    """The reports of all guards, and what they show.

    :param reports: what is known of each guard's report, by its server's address.
    :param crashes: crashes that count, by fingerprint.
    :param expires: Unix time at which a crash ceases to count, seconds.
    """

    reports: dict[Address, CrashReport] = field(default_factory=dict)
    crashes: dict[int, set[Incarnation]] = field(default_factory=dict)
    expires: dict[Incarnation, float] = field(default_factory=dict)


def record_crash(
    suspects: Suspects,
    incarnation: Incarnation,
    fingerprints: Collection[int],
    now_s: float,
) -> CrashReport | None:
    """Record requests that were running when the local backend server crashed.

    :param now_s: Unix time, seconds.
    :return: the guard's new report; ``None`` if it has not changed.
    """
    at_ms = int(now_s * 1000)
    crash = Crash(incarnation, at_ms, frozenset(fingerprints))
    return merge(suspects, CrashReport(incarnation.address, (crash,)), now_s)


def record_success(
    suspects: Suspects, local_backend: Address, fingerprint: int, now_s: float
) -> CrashReport | None:
    """Clear a suspect that succeeded.

    Other nodes are told only of one that could be quarantined at its next crash: most
    suspects are cleared everywhere by time.

    :param local_backend: address of the backend server beside this node.
    :param now_s: Unix time, seconds.
    :return: the guard's new report; ``None`` if other nodes need not know.
    """
    incarnations = suspects.crashes.get(fingerprint)
    if incarnations is None:
        return None
    if len(incarnations) < CRASHES_TO_QUARANTINE - 1:
        del suspects.crashes[fingerprint]
        return None
    survival = Survival(fingerprint, int(now_s * 1000))
    return merge(suspects, CrashReport(local_backend, (), (survival,)), now_s)


def merge(suspects: Suspects, update: CrashReport, now_s: float) -> CrashReport | None:
    """Add what is new in a guard's report.

    Reports may arrive in any order, late and more than once.

    :param now_s: Unix time, seconds.
    :return: the report as this node knows it now; ``None`` if nothing is new.
    """
    _expire(suspects, now_s)
    known = suspects.reports.get(update.address, CrashReport(update.address))
    crashes = {crash.incarnation: crash for crash in known.crashes}
    for crash in update.crashes:
        _merge_crash(suspects, crashes, crash, now_s)
    survivals = set(known.survivals)
    for survival in update.survivals:
        if survival not in survivals and _is_recent(survival.at_ms, now_s):
            survivals.add(survival)
            _clear(suspects, survival)
    merged = CrashReport(
        update.address,
        tuple(sorted(crashes.values(), key=lambda c: c.at_ms)[-MAX_CRASHES:]),
        tuple(sorted(survivals, key=lambda s: s.at_ms)[-MAX_SURVIVALS:]),
    )
    if merged == known:
        return None
    suspects.reports[update.address] = merged
    _drop_excess(suspects)
    return merged


def _drop_excess(suspects: Suspects) -> None:
    excess = len(suspects.crashes) - MAX_SUSPECTS
    if excess > 0:
        by_crashes = sorted(suspects.crashes, key=lambda f: len(suspects.crashes[f]))
        for fingerprint in by_crashes[:excess]:
            del suspects.crashes[fingerprint]


def _merge_crash(
    suspects: Suspects, crashes: dict[Incarnation, Crash], crash: Crash, now_s: float
) -> None:
    if not _is_recent(crash.at_ms, now_s):
        return
    incarnation = crash.incarnation
    known = crashes.get(incarnation)
    before = frozenset[int]() if known is None else known.fingerprints
    added = sorted(
        crash.fingerprints - before,
        key=lambda fingerprint: -len(suspects.crashes.get(fingerprint, ())),
    )[: MAX_REQUESTS - len(before)]
    at_ms = crash.at_ms if known is None else known.at_ms
    crashes[incarnation] = Crash(incarnation, at_ms, before | frozenset(added))
    suspects.expires.setdefault(incarnation, at_ms / 1000 + CRASH_TTL_S)
    for fingerprint in added:
        suspects.crashes.setdefault(fingerprint, set()).add(incarnation)


def _is_recent(at_ms: int, now_s: float) -> bool:
    return abs(now_s - at_ms / 1000) < CRASH_TTL_S


def _clear(suspects: Suspects, survival: Survival) -> None:
    """Forget the crashes before a success; one that is reported late still counts."""
    suspects.crashes.pop(survival.fingerprint, None)


def _expire(suspects: Suspects, now_s: float) -> None:
    expired = {i for i, expires in suspects.expires.items() if expires <= now_s}
    if not expired:
        return
    for incarnation in expired:
        del suspects.expires[incarnation]
    for fingerprint, incarnations in list(suspects.crashes.items()):
        incarnations -= expired
        if not incarnations:
            del suspects.crashes[fingerprint]
    for address, report in list(suspects.reports.items()):
        kept = tuple(c for c in report.crashes if c.incarnation not in expired)
        survivals = tuple(s for s in report.survivals if _is_recent(s.at_ms, now_s))
        if kept or survivals:
            suspects.reports[address] = replace(
                report, crashes=kept, survivals=survivals
            )
        else:
            del suspects.reports[address]


def view(suspects: Suspects) -> SuspectView:
    """Return the requests to watch and to refuse."""
    quarantined = {
        fingerprint: sorted(suspects.expires[i] for i in incarnations)[
            -CRASHES_TO_QUARANTINE
        ]
        for fingerprint, incarnations in suspects.crashes.items()
        if len(incarnations) >= CRASHES_TO_QUARANTINE
    }
    return SuspectView(frozenset(suspects.crashes), quarantined)


def quarantine_left_s(view: SuspectView, fingerprint: int, now_s: float) -> float:
    """Return how long a request is still refused, seconds; 0 if it is not."""
    return max(0.0, view.quarantined.get(fingerprint, 0.0) - now_s)
