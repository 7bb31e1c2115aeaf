"""Messages to the tasks that own and send the suspects of crashes."""

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
    """How a run ended, as far as suspects of crashes are concerned.

    A ``CANCELLED`` request may still be running at the backend server. ``FAILED``
    covers refused and interrupted runs, which clear no suspect.
    """

    ANSWERED = "answered"
    FAILED = "not-run"
    CANCELLED = "left"


@final
@dataclass(frozen=True, slots=True)
class RequestSent:
    """Guard to suspects: a request is about to be sent to the backend server."""

    trace: Trace
    fingerprint: int


@final
@dataclass(frozen=True, slots=True)
class RequestEnded:
    """Guard to suspects: a run ended."""

    trace: Trace
    end: RunEnd


@final
@dataclass(frozen=True, slots=True)
class RequestInterrupted:
    """Guard to suspects: the backend server closed a request's connection.

    :param down: whether the backend server no longer accepts connections.
    :param reply: answered after the other guards were notified.
    """

    trace: Trace
    down: bool
    reply: Reply[None]


@final
@dataclass(frozen=True, slots=True)
class AskTurn:
    """Guard to suspects: may this suspect run?

    :param crashes: number of backend servers that crashed during the call so far.
    :param reply: ``None`` once the suspect may run.
    """

    fingerprint: int
    crashes: int
    reply: Reply[Refusal | None]


@final
@dataclass(frozen=True, slots=True)
class EndTurn:
    """Guard to suspects: a suspect has run or its caller disconnected."""

    reply: Reply[Refusal | None]


@final
@dataclass(frozen=True, slots=True)
class SuspectsReceived:
    """Entry to suspects: updates from another guard of the service."""

    suspects: tuple[SuspectUpdate, ...]


@final
@dataclass(frozen=True, slots=True)
class SendSuspects:
    """Suspects to their sender: send updates to other guards.

    :param nodes: peer addresses of the guards.
    :param reply: answered after each guard answered or timed out.
    """

    nodes: tuple[Address, ...]
    suspects: tuple[SuspectUpdate, ...]
    reply: Reply[None] | None
