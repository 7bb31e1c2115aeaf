"""Classify requests by kind, rank, deadline and retry allowance."""

from __future__ import annotations

from _masticspoke.model import Call
from _masticspoke.model import Catalogue
from _masticspoke.model import Entry
from _masticspoke.model import Loan
from _masticspoke.model import RequestShape
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal

MAX_DEPTH = 32


def classify(
    catalogue: Catalogue,
    shape: RequestShape,
    loan: Loan | None,
    action: str,
    now: float,
) -> Call | Refusal:
    """Return the call for a request, or the reason why it is refused.

    A nested call takes its rank and action from its parent. Its deadline is no later
    than the parent's, and it is shed last if its parent or its own entry is.

    :param loan: retries lent by the parent call; ``None`` for a root call.
    :param action: id of the user action of a root call.
    """
    if catalogue.version == 0:
        return Refusal(Reason.NO_CATALOGUE)
    entry = match_entry(catalogue, shape.method, shape.path)
    if entry is None:
        return Refusal(
            Reason.UNKNOWN_KIND, detail=f"no entry matches {shape.method} {shape.path}"
        )
    deadline = now + _deadline_ms(entry, shape) / 1000
    if loan is None:
        return _root_call(catalogue, entry, shape, action, deadline)
    parent = loan.parent
    if parent.depth + 1 > MAX_DEPTH:
        return Refusal(Reason.LOOP, detail=f"more than {MAX_DEPTH} calls deep")
    return _nested_call(catalogue, entry, shape, loan, min(deadline, parent.deadline))


def match_entry(catalogue: Catalogue, method: str, path: str) -> Entry | None:
    """Return the first entry that matches a method and path."""
    for entry in catalogue.entries:
        if entry.method == method and _path_matches(entry.path, path):
            return entry
    return None


def _path_matches(pattern: str, path: str) -> bool:
    if pattern.endswith("*"):
        return path.startswith(pattern[:-1])
    return path == pattern


def _deadline_ms(entry: Entry, shape: RequestShape) -> int:
    if shape.deadline_ms is None:
        return entry.deadline_ms
    return min(entry.deadline_ms, shape.deadline_ms)


def _root_call(
    catalogue: Catalogue,
    entry: Entry,
    shape: RequestShape,
    action: str,
    deadline: float,
) -> Call:
    return Call(
        action=action,
        kind=entry.kind,
        service=entry.service,
        rank=entry.rank,
        deadline=deadline,
        idempotent=entry.idempotent,
        shed_last=entry.shed_last,
        allowance=0 if shape.from_backend else entry.retries,
        key=shape.key,
        catalogue_version=catalogue.version,
    )


def _nested_call(
    catalogue: Catalogue,
    entry: Entry,
    shape: RequestShape,
    loan: Loan,
    deadline: float,
) -> Call:
    parent = loan.parent
    return Call(
        action=parent.action,
        kind=entry.kind,
        service=entry.service,
        rank=parent.rank,
        deadline=deadline,
        idempotent=entry.idempotent,
        shed_last=parent.shed_last or entry.shed_last,
        depth=parent.depth + 1,
        allowance=loan.amount,
        key=shape.key,
        catalogue_version=catalogue.version,
    )
