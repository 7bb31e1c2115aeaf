"""Detect call loops: a call that repeats the request of one of its ancestors."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import final

from _masticspoke.model import Call


@final
@dataclass(slots=True)
class RunningRequests:
    """Admitted and waiting calls with their depths, by user action and request.

    :param by_request: depth by ticket, for each action id and request fingerprint.
    :param by_ticket: action id and request fingerprint of each ticket.
    """

    by_request: dict[tuple[str, int], dict[int, int]] = field(default_factory=dict)
    by_ticket: dict[int, tuple[str, int]] = field(default_factory=dict)


def is_loop(running: RunningRequests, call: Call, fingerprint: int) -> bool:
    """Return whether the same request of the same action is here at a lower depth.

    That request runs or waits for admission. It is taken for an ancestor, which waits
    for this call, while this call would wait for its slot.
    """
    depths = running.by_request.get((call.action, fingerprint))
    return depths is not None and min(depths.values()) < call.depth


def add_running(
    running: RunningRequests, ticket: int, call: Call, fingerprint: int
) -> None:
    """Add a call that was admitted or waits for admission."""
    request = (call.action, fingerprint)
    running.by_ticket[ticket] = request
    running.by_request.setdefault(request, {})[ticket] = call.depth


def remove_running(running: RunningRequests, ticket: int) -> None:
    """Remove a call that ended or was refused."""
    request = running.by_ticket.pop(ticket, None)
    if request is None:
        return
    depths = running.by_request[request]
    del depths[ticket]
    if not depths:
        del running.by_request[request]
