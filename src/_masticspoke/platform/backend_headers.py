"""Headers of requests to the local backend server and of its answers."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import replace
from functools import lru_cache

from multidict import CIMultiDict
from multidict import MultiMapping

from _masticspoke.decisions.fleet.model import BackendNotice
from _masticspoke.decisions.fleet.model import Job
from _masticspoke.decisions.fleet.model import MAX_SLOWDOWN
from _masticspoke.decisions.fleet.model import MIN_SLOWDOWN
from _masticspoke.decisions.fleet.model import NotRun
from _masticspoke.platform.names import BACKEND_LOAD
from _masticspoke.platform.names import CALLER_SERVICE
from _masticspoke.platform.names import DEADLINE_MS
from _masticspoke.platform.names import EXPECTED_INSTANCE
from _masticspoke.platform.names import INSTANCE_ID
from _masticspoke.platform.names import KEY
from _masticspoke.platform.names import LEAVING
from _masticspoke.platform.names import NOT_EXECUTED
from _masticspoke.platform.names import NOT_RUN_BY_STATUS
from _masticspoke.platform.names import ORGANISATION
from _masticspoke.platform.names import RATE_LIMIT

_OK = 200
_MISDIRECTED = 421
_IS_LEAVING = "1"
_DECIMAL = re.compile(r"\d{1,12}(\.\d{0,12})?", re.ASCII)
# Four whole numbers; the last is the slowdown in percent.
_LOAD = re.compile(r"(?:\d{1,9},[ \t]*){3}(\d{1,6})", re.ASCII)
_NO_NOTICE = BackendNotice()


def set_backend_headers(
    headers: CIMultiDict[str], job: Job, instance: str, left_s: float
) -> None:
    """Set the headers that a backend server expects with each request.

    A node of an earlier build forwards the key and the organisation that a client sent,
    so both are removed here too. A nested request has no key, so it names none.

    :param left_s: seconds until the deadline.
    """
    headers[DEADLINE_MS] = str(max(1, int(left_s * 1000)))
    headers[EXPECTED_INSTANCE] = instance
    headers[CALLER_SERVICE] = job.caller
    headers.popall(KEY, None)
    headers.popall(ORGANISATION, None)
    if job.organisation and not job.nested:
        headers[ORGANISATION] = job.organisation


def read_not_run(status: int, headers: Mapping[str, str]) -> NotRun | None:
    """Return why a backend server did not run a request; ``None`` if it did."""
    if NOT_EXECUTED not in headers and status != _MISDIRECTED:
        return None
    return NOT_RUN_BY_STATUS.get(status, NotRun.SHED)


def read_notice(status: int, headers: MultiMapping[str]) -> BackendNotice:
    """Return what a backend server says of itself with an answer.

    The lowest of several limits holds. An answer of another instance says nothing.
    """
    if status == _MISDIRECTED:
        return _NO_NOTICE
    notice = _load_notice(headers.get(BACKEND_LOAD))
    if RATE_LIMIT not in headers and LEAVING not in headers:
        return notice
    leaving = _IS_LEAVING in map(str.strip, headers.getall(LEAVING, []))
    texts = [
        text.strip()
        for value in headers.getall(RATE_LIMIT, [])
        for text in value.split(",")
    ]
    unreadable = [text for text in texts if not _DECIMAL.fullmatch(text)]
    if unreadable:
        return replace(notice, unreadable=unreadable[0] or "empty", leaving=leaving)
    rate_limit = min(map(float, texts), default=None)
    return replace(notice, rate_limit=rate_limit, leaving=leaving)


def _load_notice(load: str | None) -> BackendNotice:
    """Return the slowdown in a load header; none if it is not four whole numbers."""
    match = None if load is None else _LOAD.fullmatch(load.strip())
    return _NO_NOTICE if match is None else _slowdown_notice(match[1])


# Each answer of a backend server has a load header, and few slowdowns occur.
@lru_cache(maxsize=256)
def _slowdown_notice(percent: str) -> BackendNotice:
    slowdown = int(percent) / 100
    if slowdown == 0.0:
        return _NO_NOTICE
    return BackendNotice(slowdown=min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, slowdown)))


def read_health(status: int, headers: Mapping[str, str]) -> str | None:
    """Return the instance that answered a health check.

    ``None`` if it is not healthy, is leaving or does not name itself.
    """
    if status != _OK or headers.get(LEAVING, "").strip() == _IS_LEAVING:
        return None
    return headers.get(INSTANCE_ID)
