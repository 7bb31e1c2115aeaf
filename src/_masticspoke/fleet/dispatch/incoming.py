"""A request as it arrives, and how it ends without an answer."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import final


@final
class Outcome(StrEnum):
    """How a request ended without an answer from a backend server.

    ``NOT_READY``, ``NO_ROUTE``, ``UNAUTHORISED``, ``LIMITED`` and ``REFUSED`` guarantee
    that the request has not run and never will.
    """

    NOT_READY = "not-ready"
    NO_ROUTE = "no-route"
    UNAUTHORISED = "unauthorised"
    LIMITED = "limited"
    REFUSED = "refused"
    FAILED = "failed"
    EXPIRED = "expired"


@final
@dataclass(frozen=True, slots=True)
class Unanswered:
    """A request that ended without an answer from a backend server.

    :param reason: text for logs, counters and the response to the caller.
    :param retry_s: seconds until the caller may try again; ``None`` to suggest no
        retry.
    """

    outcome: Outcome
    reason: str
    retry_s: float | None = None


@final
@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A request from a client or from a run at the local backend server.

    :param caller_timeout_s: ``None`` if the caller sets no valid deadline.
    :param key: key of an organisation; empty if the request has none.
    """

    request_id: str
    host: str
    path: str
    caller_timeout_s: float | None
    key: str = ""
