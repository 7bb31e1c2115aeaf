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
    """Guard's answer: run the call now, at this backend server.

    :param ticket: names this run in :class:`Finished`.
    :param trace: given to the backend server, to tie child calls to this one.
    """

    ticket: int
    backend: Address
    trace: Trace
    report: LoadReport


@final
@dataclass(frozen=True, slots=True)
class NotAdmitted:
    """Guard's answer: the call does not run here."""

    refusal: Refusal
    report: LoadReport


@final
@dataclass(frozen=True, slots=True)
class Admit:
    """Listener to gate: may this call run? The reply may come after queueing."""

    call: Call
    fingerprint: int
    reply: Reply[Admitted | NotAdmitted]


@final
@dataclass(frozen=True, slots=True)
class Finished:
    """Listener to gate: a run ended.

    :param crashed: the backend server broke the connection or refused it.
    :param head_s: time to the head of the answer, when it is known apart.
    """

    ticket: int
    latency_s: float
    crashed: bool
    head_s: float | None = None


@final
@dataclass(frozen=True, slots=True)
class Withdrawn:
    """Listener to gate: the caller of a queued call went away."""

    reply: Reply[Admitted | NotAdmitted]


@final
@dataclass(frozen=True, slots=True)
class AskLoadReport:
    """Anyone to gate: the present load."""

    reply: Reply[LoadReport]
