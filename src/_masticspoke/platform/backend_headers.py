"""Headers of requests to the local backend server and of its answers."""

from __future__ import annotations

from collections.abc import Mapping

from multidict import CIMultiDict

from _masticspoke.decisions.fleet.model import Job
from _masticspoke.decisions.fleet.model import NotRun
from _masticspoke.platform.names import CALLER_SERVICE
from _masticspoke.platform.names import DEADLINE_MS
from _masticspoke.platform.names import EXPECTED_INSTANCE
from _masticspoke.platform.names import INSTANCE_ID
from _masticspoke.platform.names import NOT_EXECUTED
from _masticspoke.platform.names import NOT_RUN_BY_STATUS

_OK = 200
_MISDIRECTED = 421


def set_backend_headers(
    headers: CIMultiDict[str], job: Job, instance: str, left_s: float
) -> None:
    """Set the headers that a backend server expects with each request.

    :param left_s: seconds until the deadline.
    """
    headers[DEADLINE_MS] = str(max(1, int(left_s * 1000)))
    headers[EXPECTED_INSTANCE] = instance
    headers[CALLER_SERVICE] = job.caller


def read_not_run(status: int, headers: Mapping[str, str]) -> NotRun | None:
    """Return why a backend server did not run a request; ``None`` if it did."""
    if NOT_EXECUTED not in headers and status != _MISDIRECTED:
        return None
    return NOT_RUN_BY_STATUS.get(status, NotRun.SHED)


def read_health(status: int, headers: Mapping[str, str]) -> str | None:
    """Return the instance that answered a health check.

    ``None`` if it is not healthy, is leaving or does not name itself.
    """
    return headers.get(INSTANCE_ID) if status == _OK else None
