"""Task that owns the retry allowances of the calls running at the backend server."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import final

from _masticspoke.decisions import allowance
from _masticspoke.decisions.allowance import Ledger
from _masticspoke.messages.runs import Borrow
from _masticspoke.messages.runs import GiveBack
from _masticspoke.messages.runs import Lend
from _masticspoke.messages.runs import RunEnded
from _masticspoke.messages.runs import RunStarted
from _masticspoke.messages.runs import Settle
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.server import Handlers
from _masticspoke.supervise.server import serve
from _masticspoke.supervise.supervisor import Clock

RunsMessage = RunStarted | Settle | RunEnded | Lend | Borrow | GiveBack


@final
@dataclass(slots=True)
class _RunsState:
    ledger: Ledger = field(default_factory=Ledger)


def runs(inbox: Mailbox[RunsMessage], clock: Clock) -> ChildBody:
    """Return the body of the task that owns the retry accounts of running calls."""

    async def run(life: Lifecycle) -> None:
        await serve(inbox, _RunsState(), _HANDLERS, clock, life)

    return run


def _run_started(state: _RunsState, message: RunStarted, now: float) -> None:
    allowance.open_account(state.ledger, message.trace, message.call)


def _settle(state: _RunsState, message: Settle, now: float) -> None:
    message.reply.answer(allowance.settle(state.ledger, message.trace))


def _run_ended(state: _RunsState, message: RunEnded, now: float) -> None:
    allowance.close_account(state.ledger, message.trace)


def _lend(state: _RunsState, message: Lend, now: float) -> None:
    loan = allowance.lend(state.ledger, message.trace, message.request)
    message.reply.answer(loan)


def _borrow(state: _RunsState, message: Borrow, now: float) -> None:
    message.reply.answer(allowance.borrow(state.ledger, message.loan))


def _give_back(state: _RunsState, message: GiveBack, now: float) -> None:
    allowance.give_back(
        state.ledger, message.loan, message.unused, refused=message.refused
    )


_HANDLERS: Handlers[_RunsState] = {
    RunStarted: _run_started,
    Settle: _settle,
    RunEnded: _run_ended,
    Lend: _lend,
    Borrow: _borrow,
    GiveBack: _give_back,
}
