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
    :param trace: sent to the backend server to link nested calls to this call.
    """

    ticket: int
    backend: Address
    trace: Trace
    report: LoadReport


@final
@dataclass(frozen=True, slots=True)
class NotAdmitted:
    """Gate's reply: the call is refused; also the result of a run without an answer.

    :param refusal: the reason, and whether the call may have run.
    """

    refusal: Refusal
    report: LoadReport


@final
@dataclass(frozen=True, slots=True)
class Admit:
    """Request task to gate: admit, queue or refuse a call.

    A queued call gets its reply once it is admitted or refused.

    :param fingerprint: fingerprint of method, target and body, to detect call loops.
    """

    call: Call
    fingerprint: int
    reply: Reply[Admitted | NotAdmitted]


@final
@dataclass(frozen=True, slots=True)
class Finished:
    """Request task to gate: a run ended.

    :param latency_s: seconds from its start to its end.
    :param failed: whether the backend server was unreachable or refused the call, or
        the run was interrupted.
    :param head_s: seconds from its start to the head of the answer; ``None`` if the run
        ended before the head.
    """

    ticket: int
    latency_s: float
    failed: bool
    head_s: float | None = None


@final
@dataclass(frozen=True, slots=True)
class Withdrawn:
    """Request task to gate: the call was cancelled before the reply arrived.

    The gate removes it from the queue, or frees the slot if it was just admitted.

    :param reply: identifies the call.
    """

    reply: Reply[Admitted | NotAdmitted]


@final
@dataclass(frozen=True, slots=True)
class AskLoadReport:
    """Any task to gate: return the current load report."""

    reply: Reply[LoadReport]
