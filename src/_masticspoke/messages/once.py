"""Messages between a request's task and the home.

The home is the task that decides whether a request with an idempotency key may run.
"""

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
    """Home's reply: run the request now, and send :class:`KeyEnded` after it."""


KeyResult = StoredAnswer | Refusal | Redirect | Granted


@final
@dataclass(frozen=True, slots=True)
class AskKey:
    """Request task to home: return the outcome of a key, or grant its run.

    :param digest: digest of service and key.
    :param fingerprint: fingerprint of method, target and body.
    :param reply: the grant, the stored answer, a refusal, or the node to ask instead.
    """

    service: str
    digest: str
    fingerprint: int
    reply: Reply[KeyResult]


@final
@dataclass(frozen=True, slots=True)
class KeyAbandoned:
    """Request task to home: the request was cancelled before it ran.

    :param reply: identifies the request.
    """

    reply: Reply[KeyResult]


@final
@dataclass(frozen=True, slots=True)
class KeyEnded:
    """Request task to home: the run that was granted through this reply ended."""

    reply: Reply[KeyResult]
    outcome: Answered | Refusal


@final
@dataclass(frozen=True, slots=True)
class KeepClaims:
    """Peer listener to home: the home of another node asks to confirm its claims."""

    requests: tuple[ConfirmRequest, ...]
    reply: Reply[tuple[Confirmation, ...]]
