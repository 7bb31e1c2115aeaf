"""Distinguish nested requests, which a running request makes, from those of clients.

Both may arrive from the same VM, so the source address does not distinguish them. A
request is nested if its id is the id of a request that is running at the local backend
server, followed by a dot and one more part.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import final

_SEPARATOR = "."


@final
class Origin(Enum):
    """What made a request: a client, a run, or a run that is a retry.

    A retry makes the nested requests of the run again, so these are retries as well.
    """

    CLIENT = "client"
    RUN = "run"
    RETRIED_RUN = "repeated-run"


@final
@dataclass(slots=True)
class Parents:
    """Requests that run at the local backend server, which may make nested requests.

    :param runs: number of current runs by request id.
    :param retries: ids of requests with a run that is a retry.
    :param with_failed_call: ids of requests whose nested request failed.
    :param organisations: name of the organisation by request id, if there is one.
    :param ranks: rank by request id.
    :param with_call: ids of requests that made a nested request.
    :param with_lost_call: ids of requests whose nested request was refused or ran out
        of time, or itself failed for such a request.
    """

    runs: dict[str, int] = field(default_factory=dict)
    retries: set[str] = field(default_factory=set)
    with_failed_call: set[str] = field(default_factory=set)
    organisations: dict[str, str] = field(default_factory=dict)
    ranks: dict[str, int] = field(default_factory=dict)
    with_call: set[str] = field(default_factory=set)
    with_lost_call: set[str] = field(default_factory=set)


def record_run_start(
    parents: Parents,
    request_id: str,
    is_retry: bool,
    organisation: str = "",
    rank: int | None = None,
) -> None:
    """Record the start of a run.

    :param is_retry: whether an earlier send may have reached a backend server, or the
        run that made the request is a retry.
    :param organisation: name of the organisation that it runs for; empty if none.
    :param rank: rank of the request, which its nested requests inherit.
    """
    parents.runs[request_id] = parents.runs.get(request_id, 0) + 1
    if is_retry:
        parents.retries.add(request_id)
    if organisation:
        parents.organisations[request_id] = organisation
    if rank is not None:
        parents.ranks[request_id] = rank


def record_run_end(parents: Parents, request_id: str) -> None:
    """Record the end of a run; forget the request with its last run."""
    runs_left = parents.runs.get(request_id, 0) - 1
    if runs_left > 0:
        parents.runs[request_id] = runs_left
    else:
        parents.runs.pop(request_id, None)
        parents.retries.discard(request_id)
        parents.with_failed_call.discard(request_id)
        parents.organisations.pop(request_id, None)
        parents.ranks.pop(request_id, None)
        parents.with_call.discard(request_id)
        parents.with_lost_call.discard(request_id)


def record_nested_failure(parents: Parents, request_id: str) -> None:
    """Record that a nested request failed, so that a failed parent isn't retried.

    A retry of the parent run would make all its nested requests again, and the failed
    one has already been retried as far as its route and the budget allow.
    """
    parent = parent_id(request_id)
    if parent in parents.runs:
        parents.with_failed_call.add(parent)


def record_nested_call(parents: Parents, request_id: str) -> None:
    """Record that a run made a nested request with this id."""
    parent = parent_id(request_id)
    if parent in parents.runs:
        parents.with_call.add(parent)


def record_lost_call(parents: Parents, request_id: str) -> None:
    """Record that a nested request was refused or ran out of time.

    If its parent run fails too, its work was wasted for want of room further down.
    """
    parent = parent_id(request_id)
    if parent in parents.runs:
        parents.with_lost_call.add(parent)


def parent_id(request_id: str) -> str:
    """Return the id of the run that makes a nested request with this id."""
    return request_id.rpartition(_SEPARATOR)[0]


def has_parent(request_id: str) -> bool:
    """Return whether the id has the form of a nested request's id."""
    return parent_id(request_id) != ""


def organisation_of_parent(parents: Parents, request_id: str) -> str:
    """Return the organisation of the run that made a request; empty if it has none."""
    return parents.organisations.get(parent_id(request_id), "")


def rank_of_parent(parents: Parents, request_id: str) -> int | None:
    """Return the rank of the run that made a request; ``None`` if it is not known."""
    return parents.ranks.get(parent_id(request_id))


def origin_of(parents: Parents, request_id: str) -> Origin:
    """Return what made the request with this id."""
    parent = parent_id(request_id)
    if parent not in parents.runs:
        return Origin.CLIENT
    return Origin.RETRIED_RUN if parent in parents.retries else Origin.RUN
