"""Messages between a request's task and the home of its key."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from _masticspoke.decisions.once.model import Answered
from _masticspoke.decisions.once.model import Confirmation
from _masticspoke.decisions.once.model import ConfirmRequest
from _masticspoke.decisions.once.model import Redirect
from _masticspoke.decisions.once.model import StoredAnswer
from _masticspoke.refusals import Refusal
from _masticspoke.supervise.mailbox import Reply


@final
@dataclass(frozen=True, slots=True)
class Granted:
    """Home's answer: run the request now, and tell :class:`KeyEnded`."""


KeyResult = StoredAnswer | Refusal | Redirect | Granted


@final
@dataclass(frozen=True, slots=True)
class AskKey:
    """Request's task to home: the outcome of a key, or the right to run it.

    :param digest: of service and key.
    :param fingerprint: the same for the same method, path and body.
    """

    service: str
    digest: str
    fingerprint: int
    reply: Reply[KeyResult]


@final
@dataclass(frozen=True, slots=True)
class KeyAbandoned:
    """Request's task to home: nobody waits for this reply; nothing was run for it."""

    reply: Reply[KeyResult]


@final
@dataclass(frozen=True, slots=True)
class KeyEnded:
    """Request's task to home: the run that this reply granted is over."""

    reply: Reply[KeyResult]
    outcome: Answered | Refusal


@final
@dataclass(frozen=True, slots=True)
class KeepClaims:
    """Peer port to home: another home asks to keep its claims."""

    requests: tuple[ConfirmRequest, ...]
    reply: Reply[tuple[Confirmation, ...]]
