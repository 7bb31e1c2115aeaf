"""Messages between a request's task and the router."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from _masticspoke.decisions.retry import Attempt
from _masticspoke.model import Call
from _masticspoke.model import LoadReport
from _masticspoke.model import Loan
from _masticspoke.model import Member
from _masticspoke.model import RequestShape
from _masticspoke.refusals import Refusal
from _masticspoke.supervise.mailbox import Reply


@final
@dataclass(frozen=True, slots=True)
class Target:
    """Where the next attempt of a call goes.

    :param attempt: the call as it is to be sent, and what came before.
    :param member: the chosen backend server and its node.
    :param own: whether it is the own backend server.
    :param wait_s: pause before it is sent.
    """

    attempt: Attempt
    member: Member
    own: bool
    wait_s: float = 0.0

    @property
    def call(self) -> Call:
        """The call as it is to be sent."""
        return self.attempt.call


@final
@dataclass(frozen=True, slots=True)
class BeginCall:
    """Entry to router: classify a request and choose its first target.

    :param loan: from the running call that it is a child of.
    """

    shape: RequestShape
    loan: Loan | None
    reply: Reply[Target | Refusal]


@final
@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """Entry to router: an attempt was refused; retry or give up?

    :param report: from the guard, if it answered.
    :param returned: retries that came back with the refusal.
    :param waited_s: time from sending to the refusal.
    :param resendable: whether the request can be sent a second time.
    """

    target: Target
    refusal: Refusal
    report: LoadReport | None
    returned: int
    waited_s: float
    resendable: bool
    reply: Reply[Target | Refusal]


@final
@dataclass(frozen=True, slots=True)
class ResumeCall:
    """Home to router: choose the first target of a call classified elsewhere."""

    call: Call
    reply: Reply[Target | Refusal]


@final
@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Entry to router: an attempt was answered, or abandoned.

    :param answered_at: when the answer's head came; ``None`` when the caller went
        away first.
    :param latency_s: time from sending to the answer's head or to the end.
    """

    target: Target
    report: LoadReport | None
    answered_at: float | None
    latency_s: float


@final
@dataclass(frozen=True, slots=True)
class CallEnded:
    """Entry to router: a root call is over.

    :param unused: retries of its allowance that are left.
    :param refused: whether it ended with a refusal.
    """

    call: Call
    unused: int
    refused: bool
