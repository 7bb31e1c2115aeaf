"""Lend the retry allowances of running calls to their nested calls.

A node keeps one account for each call that runs at its backend server. A loan to a
nested call is taken from the account, and unused retries are returned to it. Retries
that are still lent when the account is settled are lost to the caller, so the total
over a call tree never grows.
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
    """Retries of a running call.

    :param remaining: retries that are neither used nor lent.
    :param refused_requests: fingerprints of the nested requests whose last attempt was
        refused.
    """

    call: Call
    remaining: int
    refused_requests: set[int] = field(default_factory=set)


@final
@dataclass(slots=True)
class Ledger:
    """Accounts of all calls that run at one backend server."""

    accounts: dict[Trace, Account] = field(default_factory=dict)
    by_trace_id: dict[str, set[Trace]] = field(default_factory=dict)


def open_account(ledger: Ledger, trace: Trace, call: Call) -> None:
    """Open the account of a call that starts to run, with the call's allowance."""
    ledger.accounts[trace] = Account(call, call.allowance)
    ledger.by_trace_id.setdefault(trace.trace_id, set()).add(trace)


def settle(ledger: Ledger, trace: Trace) -> int:
    """Empty an account and return its unused retries, which the caller gets back."""
    account = ledger.accounts.get(trace)
    if account is None:
        return 0
    remaining, account.remaining = account.remaining, 0
    return remaining


def close_account(ledger: Ledger, trace: Trace) -> None:
    """Remove the account of a call that no longer runs."""
    ledger.accounts.pop(trace, None)
    traces = ledger.by_trace_id.get(trace.trace_id, set())
    traces.discard(trace)
    if not traces:
        ledger.by_trace_id.pop(trace.trace_id, None)


def lend(ledger: Ledger, trace: Trace, request: int | None) -> Loan | Refusal | None:
    """Lend half of the parent's remaining retries to a nested request, rounded up.

    If a backend server sends a refused nested request again, this uses up a retry of
    the user action, just as a retry by the node does.

    :param trace: from the nested request; backend servers may have put a parent id
        of their own into it.
    :param request: fingerprint of the nested request; ``None`` if a repeated send
        can't be distinguished from another request.
    :return: the loan; a refusal if no retry is left for a repeated send; ``None`` if
        no running call belongs to the trace.
    """
    parent_trace = _find_parent(ledger, trace)
    if parent_trace is None:
        return None
    account = ledger.accounts[parent_trace]
    if request in account.refused_requests:
        if account.remaining < 1:
            return Refusal(Reason.RETRIES_SPENT, detail="sent again after a refusal")
        account.remaining -= 1
        account.refused_requests.discard(request)
    amount = (account.remaining + 1) // 2
    account.remaining -= amount
    return Loan(parent_trace, account.call, amount, request)


def borrow(ledger: Ledger, loan: Loan) -> int:
    """Lend one more retry to a nested call that used up its loan.

    :return: the number of retries lent, 0 or 1.
    """
    account = ledger.accounts.get(loan.account)
    if account is None or account.remaining < 1:
        return 0
    account.remaining -= 1
    return 1


def give_back(ledger: Ledger, loan: Loan, unused: int, *, refused: bool) -> None:
    """Return the unused retries of a nested call to its parent's account.

    :param refused: whether the nested call ended with a refusal.
    """
    account = ledger.accounts.get(loan.account)
    if account is None:
        return
    account.remaining += unused
    if refused and loan.request is not None:
        account.refused_requests.add(loan.request)


def _find_parent(ledger: Ledger, trace: Trace) -> Trace | None:
    if trace in ledger.accounts:
        return trace
    traces = ledger.by_trace_id.get(trace.trace_id)
    if not traces:
        return None
    calls = {t: ledger.accounts[t].call for t in traces}
    # Running calls that share a trace id can't be distinguished. The least urgent one
    # is taken, so that sharing an id gains no urgency.
    return max(calls, key=lambda t: (calls[t].rank, calls[t].depth, t.parent_id))
