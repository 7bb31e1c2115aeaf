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
    """Guard to runs: a call was answered; how much of its allowance is left?"""

    trace: Trace
    reply: Reply[int]


@final
@dataclass(frozen=True, slots=True)
class RunEnded:
    """Guard to runs: a call does not run any more."""

    trace: Trace


@final
@dataclass(frozen=True, slots=True)
class Lend:
    """Entry to runs: which running call sent this request, and what may it use?

    :param request: names the child request, if a second send can be told.
    """

    trace: Trace
    request: int | None
    reply: Reply[Loan | Refusal | None]


@final
@dataclass(frozen=True, slots=True)
class Borrow:
    """Entry to runs: one more retry for a child call, if there is one."""

    loan: Loan
    reply: Reply[int]


@final
@dataclass(frozen=True, slots=True)
class GiveBack:
    """Entry to runs: a child call is over, and this is what it did not use."""

    loan: Loan
    unused: int
    refused: bool
