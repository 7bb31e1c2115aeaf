"""Messages about crashes of backend servers and the requests that they were running.

The first line of each docstring names the sender, the receiver and the content.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from _masticspoke.decisions.fleet.suspects import CrashReport
from _masticspoke.decisions.fleet.suspects import Incarnation


@final
@dataclass(frozen=True, slots=True)
class BackendCrashed:
    """Request task to registry: the local backend server crashed during this run.

    :param at_s: Unix time, seconds.
    """

    incarnation: Incarnation
    fingerprint: int
    at_s: float


@final
@dataclass(frozen=True, slots=True)
class RunAbandoned:
    """Request task to registry: a run was cancelled, and may still go on.

    :param at_s: Unix time, seconds.
    """

    incarnation: Incarnation
    fingerprint: int
    at_s: float


@final
@dataclass(frozen=True, slots=True)
class SuspectSucceeded:
    """Request task to registry: a request that was running at a crash succeeded.

    :param at_s: Unix time, seconds.
    """

    fingerprint: int
    at_s: float


@final
@dataclass(frozen=True, slots=True)
class CrashReportsReceived:
    """Log follower, sync task or inbound listener to registry: reports of guards.

    :param at_s: Unix time, seconds.
    """

    reports: tuple[CrashReport, ...]
    at_s: float
