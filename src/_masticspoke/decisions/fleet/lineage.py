"""Tell requests that a running request made from those of clients.

Both come from the same VM. A nested request's id extends its parent's, and its parent
runs at the own backend server just then.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import final

_SEPARATOR = "."


@final
class Origin(Enum):
    """Where a request comes from.

    A run that is itself a repeat makes its calls again: these are repeats as well.
    """

    CLIENT = "client"
    RUN = "run"
    REPEATED_RUN = "repeated-run"


@final
@dataclass(slots=True)
class Parents:
    """Ids of the requests that run at the own backend server, with their runs.

    :param repeats: those among them that ran elsewhere before.
    :param with_failed_call: those among them that had a nested call fail.
    """

    runs: dict[str, int] = field(default_factory=dict)
    repeats: set[str] = field(default_factory=set)
    with_failed_call: set[str] = field(default_factory=set)


def record_run_start(parents: Parents, request_id: str, repeat: bool) -> None:
    """Note a run."""
    parents.runs[request_id] = parents.runs.get(request_id, 0) + 1
    if repeat:
        parents.repeats.add(request_id)


def record_run_end(parents: Parents, request_id: str) -> None:
    """Note the end of a run."""
    left = parents.runs.get(request_id, 0) - 1
    if left > 0:
        parents.runs[request_id] = left
    else:
        parents.runs.pop(request_id, None)
        parents.repeats.discard(request_id)
        parents.with_failed_call.discard(request_id)


def record_nested_failure(parents: Parents, request_id: str) -> None:
    """Note that a nested request failed: so will the run that made it.

    To repeat that run would make all its calls again, where the one that failed has
    been repeated already as far as the budget allows.
    """
    parent = request_id.rpartition(_SEPARATOR)[0]
    if parent in parents.runs:
        parents.with_failed_call.add(parent)


def origin_of(parents: Parents, request_id: str) -> Origin:
    """Return whether a request running here made the one with this id."""
    parent = request_id.rpartition(_SEPARATOR)[0]
    if parent not in parents.runs:
        return Origin.CLIENT
    return Origin.REPEATED_RUN if parent in parents.repeats else Origin.RUN
