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
    """Target of the next attempt of a call.

    :param attempt: the call as it is to be sent, with its earlier attempts.
    :param member: the chosen backend server and its node.
    :param is_local_backend: whether the target is this node's backend server.
    :param wait_s: seconds to wait before the attempt.
    """

    attempt: Attempt
    member: Member
    is_local_backend: bool
    wait_s: float = 0.0

    @property
    def call(self) -> Call:
        """The call as it is to be sent."""
        return self.attempt.call


@final
@dataclass(frozen=True, slots=True)
class BeginCall:
    """Request task to router: classify a request and choose its first target.

    :param loan: retries lent by the parent call; ``None`` for a root call.
    """

    shape: RequestShape
    loan: Loan | None
    reply: Reply[Target | Refusal]


@final
@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """Request task to router: an attempt failed; choose the next target.

    :param report: load report of the guard, if it answered.
    :param returned: number of unused retries that the guard returned with the refusal
        or the interrupted answer, or one retry that the parent call lent afterwards.
    :param waited_s: seconds from sending to the refusal.
    :param resendable: whether the request can be sent again.
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
class RouteCall:
    """Request task to router: choose the first target of a classified call."""

    call: Call
    reply: Reply[Target | Refusal]


@final
@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Request task to router: an attempt was answered or abandoned.

    :param answered_at: when the answer's head arrived; ``None`` if the caller
        disconnected first, or if nothing was sent.
    :param latency_s: seconds from sending to the answer's head or to the end.
    """

    target: Target
    report: LoadReport | None
    answered_at: float | None
    latency_s: float


@final
@dataclass(frozen=True, slots=True)
class CallEnded:
    """Request task to router: a root call with an idempotency key ended.

    :param unused: number of unused retries of its allowance.
    :param refused: whether it ended with a refusal.
    """

    call: Call
    unused: int
    refused: bool
