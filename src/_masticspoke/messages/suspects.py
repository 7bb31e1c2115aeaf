"""Messages to the task that owns the suspects of crashes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import final

from _masticspoke.decisions.suspects import SuspectUpdate
from _masticspoke.model import Address
from _masticspoke.model import Trace
from _masticspoke.refusals import Refusal
from _masticspoke.supervise.mailbox import Reply


@final
class RunEnd(Enum):
    """How a run ended, as far as suspicion goes.

    ``LEFT`` runs were cancelled: the backend server may still work on them. Nothing
    is learnt of ``NOT_RUN`` ones, nor of those that broke off.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    CANCELLED = "left"


@final
@dataclass(frozen=True, slots=True)
class RequestSent:
    """Guard to suspects: the backend server is about to get a request."""

    trace: Trace
    fingerprint: int


@final
@dataclass(frozen=True, slots=True)
class RequestEnded:
    """Guard to suspects: the backend server is done with a request."""

    trace: Trace
    end: RunEnd


@final
@dataclass(frozen=True, slots=True)
class RequestInterrupted:
    """Guard to suspects: the backend server broke a request's connection.

    :param down: whether it accepts no connection any more.
    :param reply: answered when the other guards were told.
    """

    trace: Trace
    down: bool
    reply: Reply[None]


@final
@dataclass(frozen=True, slots=True)
class AskTurn:
    """Guard to suspects: may this suspect run?

    :param crashes: backend servers that the caller saw crash.
    :param reply: ``None`` when it may run, perhaps after a wait.
    """

    fingerprint: int
    crashes: int
    reply: Reply[Refusal | None]


@final
@dataclass(frozen=True, slots=True)
class EndTurn:
    """Guard to suspects: a suspect has run, or its caller went away."""

    reply: Reply[Refusal | None]


@final
@dataclass(frozen=True, slots=True)
class SuspectsReceived:
    """From another guard of the service; ``ttl_s`` of each is what is left of it."""

    suspects: tuple[SuspectUpdate, ...]


@final
@dataclass(frozen=True, slots=True)
class SendSuspects:
    """Suspects to their sender: tell these guards.

    :param reply: answered when each was told or did not answer in time.
    """

    nodes: tuple[Address, ...]
    suspects: tuple[SuspectUpdate, ...]
    reply: Reply[None] | None
