"""Refusals: the reasons, and the HTTP status and remedy of each."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import final

from _masticspoke.model import Call
from _masticspoke.model import Ran


@final
class Reason(StrEnum):
    """Why a request was refused."""

    MALFORMED = "malformed"
    UNKNOWN_KIND = "unknown-kind"
    UNKNOWN_SERVICE = "unknown-service"
    NO_CATALOGUE = "no-catalogue"
    LOOP = "loop"
    DEADLINE_PASSED = "deadline-passed"
    DEADLINE_UNMEETABLE = "deadline-unmeetable"
    NO_BACKEND_SERVER = "no-backend-server"
    LEAVING = "leaving"
    QUEUE_FULL = "queue-full"
    DISPLACED = "displaced"
    RANK_NOT_ADMITTED = "rank-not-admitted"
    ENTRY_LIMIT = "entry-limit"
    RETRIES_SPENT = "retries-spent"
    QUARANTINED = "quarantined"
    BACKEND_UNREACHABLE = "backend-unreachable"
    BACKEND_FAILED = "backend-failed"
    BACKEND_SHED = "backend-shed"
    NODE_UNREACHABLE = "node-unreachable"
    NODE_FAILED = "node-failed"
    OUTCOME_UNKNOWN = "outcome-unknown"
    HOME_UNAVAILABLE = "home-unavailable"
    KEY_REUSED = "key-reused"
    BUSY = "busy"
    STOPPING = "stopping"


@final
@dataclass(frozen=True, slots=True)
class ReasonSpec:
    """HTTP status, retry rule and remedy of a reason.

    :param status: HTTP status of the problem document.
    :param retry_elsewhere: whether the node that sent the call may retry it at
        another guard.
    :param remedy: what the caller or the operator can do.
    """

    status: int
    retry_elsewhere: bool
    remedy: str


_RETRY_LATER = "send it again after the Retry-After time"
_CORRECT_REQUEST = "correct the request; sending it again unchanged fails again"
_REPEAT_WITH_KEY = "send it again with the same Idempotency-Key to learn the outcome"

REASONS: dict[Reason, ReasonSpec] = {
    Reason.MALFORMED: ReasonSpec(400, False, _CORRECT_REQUEST),
    Reason.UNKNOWN_KIND: ReasonSpec(
        404, False, "add an entry for this method and path to the catalogue"
    ),
    Reason.UNKNOWN_SERVICE: ReasonSpec(
        422, False, "correct the service, or add an entry for it to the catalogue"
    ),
    Reason.NO_CATALOGUE: ReasonSpec(
        503, False, "apply a catalogue, or wait until this node has learnt it"
    ),
    Reason.LOOP: ReasonSpec(508, False, "remove the cycle from the call graph"),
    Reason.DEADLINE_PASSED: ReasonSpec(
        504, False, "allow more time in the catalogue's deadline_ms or the header"
    ),
    Reason.DEADLINE_UNMEETABLE: ReasonSpec(503, True, _RETRY_LATER),
    Reason.NO_BACKEND_SERVER: ReasonSpec(503, True, _RETRY_LATER),
    Reason.LEAVING: ReasonSpec(503, True, _RETRY_LATER),
    Reason.QUEUE_FULL: ReasonSpec(503, True, _RETRY_LATER),
    Reason.DISPLACED: ReasonSpec(503, True, _RETRY_LATER),
    Reason.RANK_NOT_ADMITTED: ReasonSpec(503, True, _RETRY_LATER),
    Reason.ENTRY_LIMIT: ReasonSpec(
        429, False, "raise limit_percent of the entry, or send less of this kind"
    ),
    Reason.RETRIES_SPENT: ReasonSpec(503, False, _RETRY_LATER),
    Reason.QUARANTINED: ReasonSpec(
        422, False, "do not repeat this request: it crashed backend servers"
    ),
    Reason.BACKEND_UNREACHABLE: ReasonSpec(503, True, _RETRY_LATER),
    Reason.BACKEND_FAILED: ReasonSpec(502, True, _RETRY_LATER),
    Reason.BACKEND_SHED: ReasonSpec(503, True, _RETRY_LATER),
    Reason.NODE_UNREACHABLE: ReasonSpec(503, True, _RETRY_LATER),
    Reason.NODE_FAILED: ReasonSpec(502, True, _RETRY_LATER),
    Reason.OUTCOME_UNKNOWN: ReasonSpec(
        504, False, "look the result up in the service before booking again"
    ),
    Reason.HOME_UNAVAILABLE: ReasonSpec(503, False, _REPEAT_WITH_KEY),
    Reason.KEY_REUSED: ReasonSpec(
        422, False, "use a fresh Idempotency-Key for a different request"
    ),
    Reason.BUSY: ReasonSpec(503, True, _RETRY_LATER),
    Reason.STOPPING: ReasonSpec(503, True, _RETRY_LATER),
}


@final
@dataclass(frozen=True, slots=True)
class Refusal:
    """The result of a call that was refused or failed.

    :param reason: why it was refused or failed.
    :param ran: ``Ran.NO`` only when the call certainly did not run.
    :param retry_after_s: seconds after which to send it again; 0 for no advice.
    :param detail: the cause, in one sentence.
    :param call: the classified call, if the router refused it before its first
        attempt; otherwise ``None``.
    """

    reason: Reason
    ran: Ran = Ran.NO
    retry_after_s: float = 0.0
    detail: str = ""
    call: Call | None = None
