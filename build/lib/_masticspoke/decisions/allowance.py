"""The retry allowances of running calls, lent to their child calls and returned.

A node keeps one account for each call that runs at its backend server. What a child
call is lent leaves the account, what it did not use comes back. What is not back when
the account is settled does not reach the caller: the sum over the tree never grows.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import final

from _masticspoke.model import Call
from _masticspoke.model import Loan
from _masticspoke.model import Trace
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal


@final
@dataclass(slots=True)
class Account:
    """What a running call still holds.

    :param left: retries that are neither used nor lent.
    :param refused: fingerprints of child requests whose last attempt was refused.
    """

    call: Call
    left: int
    refused: set[int] = field(default_factory=set)


@final
@dataclass(slots=True)
class Ledger:
    """The accounts of all calls that run at one backend server."""

    accounts: dict[Trace, Account] = field(default_factory=dict)
    by_trace_id: dict[str, set[Trace]] = field(default_factory=dict)


def open_account(ledger: Ledger, trace: Trace, call: Call) -> None:
    """Enter a call that starts to run, with the allowance lent to it."""
    ledger.accounts[trace] = Account(call, call.allowance)
    ledger.by_trace_id.setdefault(trace.trace_id, set()).add(trace)


def settle(ledger: Ledger, trace: Trace) -> int:
    """Return what the call did not use; it goes back to the caller and is gone here."""
    account = ledger.accounts.get(trace)
    if account is None:
        return 0
    left, account.left = account.left, 0
    return left


def close_account(ledger: Ledger, trace: Trace) -> None:
    """Forget a call that no longer runs."""
    ledger.accounts.pop(trace, None)
    same_trace = ledger.by_trace_id.get(trace.trace_id, set())
    same_trace.discard(trace)
    if not same_trace:
        ledger.by_trace_id.pop(trace.trace_id, None)


def lend(ledger: Ledger, trace: Trace, request: int | None) -> Loan | Refusal | None:
    """Lend half of what the parent of a child request holds, rounded up.

    A backend server that sends a refused child request once more uses a retry of
    the user action, as a retry of the node does.

    :param trace: from the child request; backend servers may have put a parent id
        of their own into it.
    :param request: names the child request among those of its parent; ``None`` if a
        second send of it can't be told from another request.
    :return: ``None`` if no running call belongs to the trace.
    """
    owner = _owner(ledger, trace)
    if owner is None:
        return None
    account = ledger.accounts[owner]
    if request in account.refused:
        if account.left < 1:
            return Refusal(Reason.RETRIES_SPENT, detail="sent again after a refusal")
        account.left -= 1
        account.refused.discard(request)
    amount = (account.left + 1) // 2
    account.left -= amount
    return Loan(owner, account.call, amount, request)


def borrow(ledger: Ledger, loan: Loan) -> int:
    """Lend one more retry, if there is one, to a child call that used up its part."""
    account = ledger.accounts.get(loan.account)
    if account is None or account.left < 1:
        return 0
    account.left -= 1
    return 1


def give_back(ledger: Ledger, loan: Loan, unused: int, *, refused: bool) -> None:
    """Take back what a child call did not use.

    :param refused: whether the child call ended with a refusal.
    """
    account = ledger.accounts.get(loan.account)
    if account is None:
        return
    account.left += unused
    if refused and loan.request is not None:
        account.refused.add(loan.request)


def _owner(ledger: Ledger, trace: Trace) -> Trace | None:
    if trace in ledger.accounts:
        return trace
    same_trace = ledger.by_trace_id.get(trace.trace_id)
    if not same_trace:
        return None
    calls = {t: ledger.accounts[t].call for t in same_trace}
    # Calls that share a trace id can't be told apart; the least urgent one is taken,
    # so that a shared id wins nothing (issue 4).
    return max(calls, key=lambda t: (calls[t].rank, calls[t].depth, t.parent_id))
