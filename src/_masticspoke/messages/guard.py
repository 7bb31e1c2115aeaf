"""Messages between a request's task and the gate."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from _masticspoke.model import Address
from _masticspoke.model import Call
from _masticspoke.model import LoadReport
from _masticspoke.model import Trace
from _masticspoke.refusals import Refusal
from _masticspoke.supervise.mailbox import Reply


@final
@dataclass(frozen=True, slots=True)
class Admitted:
    """Gate's reply: run the call now at this backend server.

    :param ticket: identifies the run in :class:`Finished`.
    :param trace: sent to the backend server to link child calls to this call.
    """

    ticket: int
    backend: Address
    trace: Trace
    report: LoadReport


@final
@dataclass(frozen=True, slots=True)
class NotAdmitted:
    """Gate's reply: the call does not run here."""

    refusal: Refusal
    report: LoadReport


@final
@dataclass(frozen=True, slots=True)
class Admit:
    """Request's task to gate: may this call run? The reply may wait in the queue."""

    call: Call
    fingerprint: int
    reply: Reply[Admitted | NotAdmitted]


@final
@dataclass(frozen=True, slots=True)
class Finished:
    """Request's task to gate: a run ended.

    :param latency_s: seconds from its start to its end.
    :param failed: whether the backend server refused or interrupted it.
    :param head_s: seconds to the head of the answer, if they were measured.
    """

    ticket: int
    latency_s: float
    failed: bool
    head_s: float | None = None


@final
@dataclass(frozen=True, slots=True)
class Withdrawn:
    """Request's task to gate: the caller disconnected before the reply arrived."""

    reply: Reply[Admitted | NotAdmitted]


@final
@dataclass(frozen=True, slots=True)
class AskLoadReport:
    """Any task to gate: what is the current load?"""

    reply: Reply[LoadReport]
