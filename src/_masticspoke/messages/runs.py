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
    """Guard to runs: a call is about to be sent to the backend server."""

    trace: Trace
    call: Call


@final
@dataclass(frozen=True, slots=True)
class Settle:
    """Guard to runs: empty the account of a call; how many retries are unused?"""

    trace: Trace
    reply: Reply[int]


@final
@dataclass(frozen=True, slots=True)
class RunEnded:
    """Guard to runs: a call no longer runs."""

    trace: Trace


@final
@dataclass(frozen=True, slots=True)
class Lend:
    """Entry to runs: lend retries of the running call that sent this request.

    :param request: fingerprint of the child request; ``None`` if a repeated send
        can't be distinguished from another request.
    :param reply: ``None`` if no running call belongs to the trace.
    """

    trace: Trace
    request: int | None
    reply: Reply[Loan | Refusal | None]


@final
@dataclass(frozen=True, slots=True)
class Borrow:
    """Request's task to runs: lend one more retry to a child call, if any is left.

    :param reply: the number of retries lent, 0 or 1.
    """

    loan: Loan
    reply: Reply[int]


@final
@dataclass(frozen=True, slots=True)
class GiveBack:
    """Request's task to runs: a child call ended; take back its unused retries.

    :param refused: whether the child call ended with a refusal.
    """

    loan: Loan
    unused: int
    refused: bool
