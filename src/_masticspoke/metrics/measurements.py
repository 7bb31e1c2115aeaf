"""Measurements of one request, which its task sends to the recorder."""

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
    """The listening socket that a request arrived at."""

    CLIENTS = "clients"
    PEERS = "peers"
    BACKEND = "backend"


@final
class Outcome(StrEnum):
    """How a request ended at this node.

    ``CUT`` stands for an answer that was aborted after its head, ``CANCELLED`` for a
    caller that disconnected, ``FAILED`` for an error in this node.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    CUT = "cut"
    CANCELLED = "cancelled"
    FAILED = "failed"


@final
@dataclass(slots=True)
class RequestMeasurements:
    """Measurements of one request, taken by the task that handles it.

    :param arrived: when the request's head was read.
    :param kind: kind of work; empty until it is known.
    :param rank: rank of the root call's class; ``None`` until it is known.
    :param attempts: number of attempts at a node or at the local backend server.
    :param resumptions: how often the rest of an answer was requested from another
        server.
    :param retry_reasons: reasons of the failed attempts that were retried.
    """

    arrived: float
    kind: str = ""
    rank: int | None = None
    attempts: int = 0
    resumptions: int = 0
    retry_reasons: list[Reason] = field(default_factory=list)
    _upstream_s: float = 0.0
    _upstream_since: float | None = None
    _answered_at: float | None = None

    @property
    def added_latency_s(self) -> float | None:
        """Time from arrival to the answer's head, without the time of the next process.

        If every attempt failed, the end of the last one counts as the head. ``None``
        if the request was not forwarded, or only to the home of another node.
        """
        if self._answered_at is None:
            return None
        return max(0.0, self._answered_at - self.arrived - self._upstream_s)

    def record_attempt(self, call: Call) -> None:
        """Record an attempt and the call that it is made for."""
        self.kind = call.kind
        self.rank = call.rank
        self.attempts += 1

    def record_refusal(self, refusal: Refusal) -> None:
        """Record the kind and rank of a request refused before any attempt."""
        if refusal.call is not None:
            self.kind = refusal.call.kind
            self.rank = refusal.call.rank

    def record_upstream_start(self, now: float) -> None:
        """Record that the request is forwarded to the next process."""
        self._upstream_since = now

    def record_upstream_end(self, now: float) -> None:
        """Record the answer's head or a failure; repeated calls change nothing."""
        if self._upstream_since is None:
            return
        self._upstream_s += now - self._upstream_since
        self._upstream_since = None
        self._answered_at = now


@final
@dataclass(frozen=True, slots=True)
class RequestEnded:
    """Request task to recorder: a request ended.

    The sender no longer changes the measurements.

    :param reason: why it was refused; ``None`` when it was not.
    :param latency_s: seconds from its arrival until its handler ended. An answer that
        is not streamed is written to the caller after that.
    """

    port: Port
    measurements: RequestMeasurements
    outcome: Outcome
    reason: Reason | None
    latency_s: float
