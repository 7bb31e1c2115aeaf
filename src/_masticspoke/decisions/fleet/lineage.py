"""Tell requests that a running request made from those of clients.

Both come from the same VM. A nested request's id extends its parent's, and its parent
runs at the own backend server just then.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import final

_SEPARATOR = "."


@final
@dataclass(slots=True)
class Parents:
    """Ids of the requests that run at the own backend server, with their runs."""

    runs: dict[str, int] = field(default_factory=dict)


def run_began(parents: Parents, request_id: str) -> None:
    """Note a run."""
    parents.runs[request_id] = parents.runs.get(request_id, 0) + 1


def run_ended(parents: Parents, request_id: str) -> None:
    """Note the end of a run."""
    left = parents.runs.get(request_id, 0) - 1
    if left > 0:
        parents.runs[request_id] = left
    else:
        parents.runs.pop(request_id, None)


def is_nested(parents: Parents, request_id: str) -> bool:
    """Return whether a request running here made the one with this id."""
    return request_id.rpartition(_SEPARATOR)[0] in parents.runs
