"""State of the at-most-once protocol in one process."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import final

from _masticspoke.decisions.once.answers import Answers
from _masticspoke.decisions.once.ledger import Ledger
from _masticspoke.decisions.once.model import Claim
from _masticspoke.decisions.once.model import CONTESTED
from _masticspoke.decisions.once.model import Identity
from _masticspoke.decisions.once.model import OnceEffect
from _masticspoke.decisions.once.model import OnceLimits
from _masticspoke.decisions.once.model import Result
from _masticspoke.decisions.once.model import SendReply
from _masticspoke.decisions.once.rules import RULES
from _masticspoke.decisions.once.rules import Rules
from _masticspoke.model import Ran
from _masticspoke.model import View
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal

OUTCOME_UNKNOWN = Refusal(Reason.OUTCOME_UNKNOWN, Ran.UNKNOWN)
NEVER = float("-inf")


@final
class Phase(Enum):
    """State of a key at its home."""

    WAITING = "the right to run it is not granted yet"
    RUNNING = "handed to a backend server, or about to be"
    GRANTED = "the right to run it is held; it did not run"
    ANSWERED = "ran; the answer may be stored"
    UNKNOWN = "may have run; its answer was lost"


@final
@dataclass(slots=True)
class Key:
    """One key at its home.

    :param tickets: tickets of the requests that wait for a reply.
    :param view: number of the view in which the key is claimed.
    :param confirmed_by: members that keep that claim.
    :param claim_sent_at: when the claim was last appended to the log.
    :param confirm_sent_at: when members were last asked to confirm the claim.
    :param changed_at: when the key was added or last changed its phase.
    """

    service: str
    digest: str
    fingerprint: int
    created_at: float
    phase: Phase = Phase.WAITING
    tickets: tuple[int, ...] = ()
    view: int = 0
    confirmed_by: frozenset[Identity] = frozenset()
    claim_sent_at: float = NEVER
    confirm_sent_at: float = NEVER
    changed_at: float = NEVER


@final
@dataclass(frozen=True, slots=True)
class KeptClaim:
    """A claim of this process or another home, kept until the log has it."""

    claim: Claim
    kept_at: float


@final
@dataclass(slots=True)
class UnreadSeal:
    """A seal of this process that it has not read back from the log yet."""

    through: int
    sent_at: float


@final
@dataclass(slots=True)
class OnceState:
    """State of one process; lost when the process ends.

    :param ledgers: contents of the log, by service.
    :param keys: keys for which this process is or was the home, by digest.
    :param waiting: those of ``keys`` that wait for the right to run.
    :param kept: claims of this process and of other homes that it keeps until the log
        has them, by digest.
    :param unread_seals: seals of this process that it has not read back, by service.
    :param log_stalled: whether a claim was not read back in time and nothing was read
        since; members are then asked to confirm further claims at once.
    :param last_read_at: when records or the end of the log were last read.
    """

    me: Identity
    limits: OnceLimits = field(default_factory=OnceLimits)
    rules: Rules = RULES
    ledgers: dict[str, Ledger] = field(default_factory=dict)
    keys: dict[str, Key] = field(default_factory=dict)
    waiting: dict[str, Key] = field(default_factory=dict)
    kept: dict[str, KeptClaim] = field(default_factory=dict)
    unread_seals: dict[str, UnreadSeal] = field(default_factory=dict)
    answers: Answers = field(default_factory=Answers)
    last_read_at: float = NEVER
    log_stalled: bool = False
    own_claims_sent_at: float = NEVER
    next_expiry_at: float = NEVER


def ledger_of(state: OnceState, service: str) -> Ledger:
    """Return the ledger of a service, which is created empty if it does not exist."""
    ledger = state.ledgers.get(service)
    if ledger is None:
        ledger = state.ledgers[service] = Ledger(View(service))
    return ledger


def known_writer(state: OnceState, ledger: Ledger, digest: str) -> Identity | None:
    """Return who may have run a key, according to the log and the kept claims.

    ``None`` if no claim to the key is known; :data:`CONTESTED` if the known claims are
    of several writers and none of them is valid in the log.
    """
    logged, kept = ledger.claims.get(digest), state.kept.get(digest)
    if kept is None:
        return None if logged is None else logged.writer
    if logged is None or logged.writer == kept.claim.writer:
        return kept.claim.writer
    return logged.writer if logged.valid else CONTESTED


def reply_all(key: Key, result: Result) -> list[OnceEffect]:
    """Return effects that reply with the same result to all waiting requests of a key.

    The requests no longer wait afterwards.
    """
    tickets, key.tickets = key.tickets, ()
    return replies(tickets, result)


def replies(tickets: Iterable[int], result: Result) -> list[OnceEffect]:
    """Return effects that reply with the same result to several tickets."""
    return [SendReply(ticket, result) for ticket in tickets]
