"""Messages to the task that owns the retry allowances of running calls."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from _masticspoke.model import Call
from _masticspoke.model import Loan
from _masticspoke.model import Trace
from _masticspoke.refusals import Refusal
from _masticspoke.supervise.mailbox import Reply


@final
@dataclass(frozen=True, slots=True)
class RunStarted:
    """Request task to runs: a call is about to be sent to the backend server.

    :param trace: trace sent with the call; identifies its account.
    """

    trace: Trace
    call: Call


@final
@dataclass(frozen=True, slots=True)
class Settle:
    """Request task to runs: a call was answered or failed; empty its account.

    :param reply: the number of unused retries that the account held.
    """

    trace: Trace
    reply: Reply[int]


@final
@dataclass(frozen=True, slots=True)
class RunEnded:
    """Request task to runs: a call no longer runs, so its account is closed."""

    trace: Trace


@final
@dataclass(frozen=True, slots=True)
class Lend:
    """Request task to runs: lend retries of the running call that sent this request.

    :param trace: trace of the nested request, by which the running call is found.
    :param request: fingerprint of the nested request; ``None`` if a repeated send
        can't be distinguished from another request.
    :param reply: the loan, a refusal if no retries are left for a repeated send, or
        ``None`` if no running call belongs to the trace.
    """

    trace: Trace
    request: int | None
    reply: Reply[Loan | Refusal | None]


@final
@dataclass(frozen=True, slots=True)
class Borrow:
    """Request task to runs: lend one more retry to a nested call, if any is left.

    :param reply: the number of retries lent, 0 or 1.
    """

    loan: Loan
    reply: Reply[int]


@final
@dataclass(frozen=True, slots=True)
class GiveBack:
    """Request task to runs: a nested call ended; take back its unused retries.

    :param unused: number of unused retries.
    :param refused: whether the nested call ended with a refusal.
    """

    loan: Loan
    unused: int
    refused: bool
