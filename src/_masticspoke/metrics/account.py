"""What one request did at this node, on its way to the recorder."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from typing import final

from _masticspoke.model import Call
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal


@final
class Port(StrEnum):
    """The listening socket that a request came in at."""

    CLIENTS = "clients"
    PEERS = "peers"
    BACKEND = "backend"


@final
class Outcome(StrEnum):
    """How a request ended at this node.

    ``CUT`` stands for an answer that broke off after its head, ``CANCELLED`` for a
    caller that went away, ``FAILED`` for an error in this node.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    CUT = "cut"
    CANCELLED = "cancelled"
    FAILED = "failed"


@final
@dataclass(slots=True)
class RequestAccount:
    """Figures of one request, kept by the task that handles it.

    :param arrived: when the request's head was read.
    :param kind: kind of work; empty until it is known.
    :param rank: rank of the root action's class; ``None`` until it is known.
    :param attempts: how often it was sent to a node or to the own backend server.
    :param resumptions: how often the rest of an answer was fetched elsewhere.
    :param retried: why each attempt that was followed by another one failed.
    """

    arrived: float
    kind: str = ""
    rank: int | None = None
    attempts: int = 0
    resumptions: int = 0
    retry_reasons: list[Reason] = field(default_factory=list)
    _upstream_s: float = 0.0
    _waiting_since: float | None = None
    _answered_at: float | None = None

    @property
    def added_latency_s(self) -> float | None:
        """Time up to the answer's head that the next process did not take.

        ``None`` when there was no answer.
        """
        if self._answered_at is None:
            return None
        return max(0.0, self._answered_at - self.arrived - self._upstream_s)

    def record_attempt(self, call: Call) -> None:
        """Note an attempt and the call that it is made for."""
        self.kind = call.kind
        self.rank = call.rank
        self.attempts += 1

    def record_refusal(self, refusal: Refusal) -> None:
        """Note what a request refused before any attempt was."""
        if refusal.call is not None:
            self.kind = refusal.call.kind
            self.rank = refusal.call.rank

    def record_upstream_start(self, now: float) -> None:
        """Note that the request was passed to the next process."""
        self._waiting_since = now

    def record_upstream_end(self, now: float) -> None:
        """Note the answer's head, or its failure; later calls change nothing."""
        if self._waiting_since is None:
            return
        self._upstream_s += now - self._waiting_since
        self._waiting_since = None
        self._answered_at = now


@final
@dataclass(frozen=True, slots=True)
class RequestEnded:
    """Request's task to recorder: the account, handed over for good.

    :param reason: why it was refused, if it was.
    :param latency_s: time from its arrival until its whole answer was passed on.
    """

    port: Port
    account: RequestAccount
    outcome: Outcome
    reason: Reason | None
    latency_s: float
