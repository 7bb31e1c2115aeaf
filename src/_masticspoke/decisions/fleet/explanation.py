"""Explain how a request ended, from the log lines of several nodes."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

# Meaning of each reason in the log, and where to look next.
CAUSES: Mapping[str, str] = {
    "busy": "refused under load: no slot of its service would be free in time; compare"
    " running and limit in the guard's lines, and add capacity or lower the load",
    "pressure": "refused under load: services that it calls were overloaded; look for"
    " the reason busy in the lines of their guards",
    "shed": "refused under load: the backend server itself refused it",
    "too-late": "refused: less time was left than it usually needs to run",
    "leaving": "refused: the backend servers that it was sent to were leaving",
    "absent": "refused: the backend server of the guard did not accept a connection",
    "moved": "refused: another instance was at the address of the backend server",
    "unreachable": "refused: the node of the backend server did not accept a"
    " connection",
    "none-usable": "refused: every backend server of the service was paused or had been"
    " tried; look at the events 4102 of the entry node for the reasons",
    "no-server": "refused: the entry node had no backend server of the service",
    "no-configuration": "refused: the entry node had no configuration yet",
    "stopping": "refused: its node was stopping and had too little time left for it",
    "quarantined": "refused: backend servers crashed while they ran it, and it has not"
    " succeeded since; look at the events 4107 and 4108",
    "budget-spent": "failed: the retry budget was spent after a first failure",
    "broke": "failed with unknown outcome: the run ended without an answer; look at the"
    " backend server and at event 4004 of its node",
    "expired": "ended at its deadline while it ran: the backend server or a nested"
    " request was slow; look at the lines of its nested requests",
}


def related_lines(
    lines: Iterable[Mapping[str, Any]], request_id: str
) -> list[Mapping[str, Any]]:
    """Return the lines of a request and of its nested requests, in order of time."""
    related = [line for line in lines if _belongs(str(line.get("id", "")), request_id)]
    return sorted(related, key=lambda line: float(line.get("t", 0.0)))


def _belongs(line_id: str, request_id: str) -> bool:
    # The id of a nested request extends that of the request that made it.
    return line_id == request_id or line_id.startswith(request_id + ".")


def cause(lines: Sequence[Mapping[str, Any]], request_id: str) -> str:
    """Return why a request ended as it did, according to its lines."""
    ends = [line for line in lines if "outcome" in line and line["id"] == request_id]
    if not ends:
        return "none of the files shows how it ended; add the log of the entry node"
    description = _describe_end(ends[-1])
    if not _failed(ends[-1]):
        return description
    deepest = _deepest_failure(lines, request_id)
    if deepest is None:
        return description
    return f"{description}; its nested request {deepest['id']} {_describe_end(deepest)}"


def _deepest_failure(
    lines: Sequence[Mapping[str, Any]], request_id: str
) -> Mapping[str, Any] | None:
    """Return the outcome line of the most deeply nested failed request, if any.

    The failure is taken to have begun there.
    """
    failed = [
        line
        for line in lines
        if "outcome" in line and line["id"] != request_id and _failed(line)
    ]
    return max(failed, key=lambda line: str(line["id"]).count("."), default=None)


def _failed(end: Mapping[str, Any]) -> bool:
    return "reason" in end or str(end["outcome"]).startswith("5")


def _describe_end(end: Mapping[str, Any]) -> str:
    if "reason" in end:
        reason = str(end["reason"])
        return CAUSES.get(reason, f"ended with reason {reason}")
    sends = end.get("sends", [])
    if str(end["outcome"]).startswith("5"):
        return f"the backend server answered {end['outcome']}; sends: {sends}"
    if isinstance(sends, list) and len(sends) > 1:
        return f"answered {end['outcome']} after {len(sends)} sends: {sends}"
    return f"answered {end['outcome']} in {end.get('took_ms')} ms"
