"""Why a request ended as it did, from the log lines of several nodes."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

# What each reason means, and where to look next.
CAUSES: Mapping[str, str] = {
    "busy": "refused under load: its service had no room in time; compare running and"
    " limit in the guard's lines, and add capacity or lower the load",
    "pressure": "refused under load: services that it calls had no room; look at the"
    " guards of those for the reason busy",
    "shed": "refused under load: the backend server itself shed it",
    "too-late": "refused: too little time was left for its usual run time",
    "leaving": "refused: the servers that it was sent to were leaving",
    "absent": "refused: the backend server beside the guard took no connection",
    "moved": "refused: another instance was at the address",
    "unreachable": "refused: the node of the server took no connection",
    "none-usable": "refused: every server of the service was paused; look at the events"
    " 4102 of the entry node for why",
    "no-server": "refused: no server of the service was known to the entry node",
    "no-configuration": "refused: the entry node knew no configuration yet",
    "budget-spent": "failed: the retry budget was spent after a first failure",
    "broke": "failed with unknown outcome: the run ended without an answer; look at the"
    " backend server and at event 4004 of its node",
    "expired": "ended at its deadline while it ran: a slow server or slow nested work;"
    " look at the lines of its nested requests",
}


def related_lines(
    lines: Iterable[Mapping[str, Any]], request_id: str
) -> list[Mapping[str, Any]]:
    """Return the lines of one request and of its nested ones, in time order."""
    found = [line for line in lines if _belongs(str(line.get("id", "")), request_id)]
    return sorted(found, key=lambda line: float(line.get("t", 0.0)))


def _belongs(found: str, request_id: str) -> bool:
    # The id of a nested request extends that of the request that made it.
    return found == request_id or found.startswith(request_id + ".")


def cause(lines: Sequence[Mapping[str, Any]], request_id: str) -> str:
    """Return the cause that the lines of one request tell."""
    ends = [line for line in lines if "outcome" in line and line["id"] == request_id]
    if not ends:
        return "its end is in none of the files: the entry node's log is missing"
    why = _why(ends[-1])
    if not _failed(ends[-1]):
        return why
    deepest = _deepest_failure(lines, request_id)
    if deepest is None:
        return why
    return f"{why}; its nested request {deepest['id']} {_why(deepest)}"


def _deepest_failure(
    lines: Sequence[Mapping[str, Any]], request_id: str
) -> Mapping[str, Any] | None:
    """Return the end of the nested request where the failure began, if any."""
    failed = [
        line
        for line in lines
        if "outcome" in line and line["id"] != request_id and _failed(line)
    ]
    return max(failed, key=lambda line: str(line["id"]).count("."), default=None)


def _failed(end: Mapping[str, Any]) -> bool:
    return "reason" in end or str(end["outcome"]).startswith("5")


def _why(last: Mapping[str, Any]) -> str:
    if "reason" in last:
        reason = str(last["reason"])
        return CAUSES.get(reason, f"ended with reason {reason}")
    sends = last.get("sends", [])
    if str(last["outcome"]).startswith("5"):
        return f"the backend server answered {last['outcome']}; sends: {sends}"
    if isinstance(sends, list) and len(sends) > 1:
        return f"answered {last['outcome']} after {len(sends)} sends: {sends}"
    return f"answered {last['outcome']} in {last.get('took_ms')} ms"
