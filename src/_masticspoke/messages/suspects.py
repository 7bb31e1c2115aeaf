"""Messages to the tasks that track crash suspects and send updates about them.

A crash suspect is a request that was in flight when a backend server crashed.
"""

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
    """How a run ended, as far as crash suspects are concerned.

    ``FAILED`` covers runs that were refused or interrupted, or that did not reach the
    backend server; they clear no suspect. ``CANCELLED`` covers runs that the caller or
    the deadline ended; the request may still be running at the backend server.
    """

    ANSWERED = "answered"
    FAILED = "not-run"
    CANCELLED = "left"


@final
@dataclass(frozen=True, slots=True)
class RequestSent:
    """Request task to suspects: a request is about to be sent to the backend server.

    :param fingerprint: fingerprint of method, target and body.
    """

    trace: Trace
    fingerprint: int


@final
@dataclass(frozen=True, slots=True)
class RequestEnded:
    """Request task to suspects: a run ended."""

    trace: Trace
    end: RunEnd


@final
@dataclass(frozen=True, slots=True)
class RequestInterrupted:
    """Request task to suspects: the connection of a run failed; perhaps a crash.

    :param backend_down: whether the backend server no longer accepts connections.
    :param reply: answered after the other guards were notified.
    """

    trace: Trace
    backend_down: bool
    reply: Reply[None]


@final
@dataclass(frozen=True, slots=True)
class AskTurn:
    """Request task to suspects: wait until this suspect may run.

    :param crashes: number of backend servers that crashed during the call so far.
    :param reply: ``None`` once the suspect may run, or why it is refused.
    """

    fingerprint: int
    crashes: int
    reply: Reply[Refusal | None]


@final
@dataclass(frozen=True, slots=True)
class EndTurn:
    """Request task to suspects: a suspect has ended, or no longer waits to run.

    :param reply: reply of the suspect's :class:`AskTurn`, which identifies it.
    """

    reply: Reply[Refusal | None]


@final
@dataclass(frozen=True, slots=True)
class SuspectsReceived:
    """Peer listener to suspects: updates from another guard of the service."""

    suspects: tuple[SuspectUpdate, ...]


@final
@dataclass(frozen=True, slots=True)
class SendSuspects:
    """Suspects to suspect sender: send updates to other guards.

    :param nodes: peer addresses of the guards.
    :param reply: answered after each guard answered, failed or timed out; ``None`` if
        no task waits for it.
    """

    nodes: tuple[Address, ...]
    suspects: tuple[SuspectUpdate, ...]
    reply: Reply[None] | None
