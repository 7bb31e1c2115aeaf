"""Recognize a call that came back to a backend server where its ancestor runs."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import final

from _masticspoke.model import Call


@final
@dataclass(slots=True)
class RunningRequests:
    """Depths of the calls that run, by user action and request.

    :param by_request: depth by ticket, for each action and fingerprint.
    :param by_ticket: action and fingerprint of each ticket.
    """

    by_request: dict[tuple[str, int], dict[int, int]] = field(default_factory=dict)
    by_ticket: dict[int, tuple[str, int]] = field(default_factory=dict)


def is_loop(running: RunningRequests, call: Call, fingerprint: int) -> bool:
    """Whether the same request of the same user action runs here, less deep.

    It waits for the new call, which would wait for its slot (issue 3).
    """
    depths = running.by_request.get((call.action, fingerprint))
    return depths is not None and min(depths.values()) < call.depth


def add_running(
    running: RunningRequests, ticket: int, call: Call, fingerprint: int
) -> None:
    """Note a call that was admitted, or waits to be."""
    request = (call.action, fingerprint)
    running.by_ticket[ticket] = request
    running.by_request.setdefault(request, {})[ticket] = call.depth


def remove_running(running: RunningRequests, ticket: int) -> None:
    """Forget a call that ended or was refused."""
    request = running.by_ticket.pop(ticket, None)
    if request is None:
        return
    depths = running.by_request[request]
    del depths[ticket]
    if not depths:
        del running.by_request[request]
