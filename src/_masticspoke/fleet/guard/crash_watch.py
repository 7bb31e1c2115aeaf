"""Report runs that crash the local backend server, and look up suspects."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.suspects import Incarnation
from _masticspoke.decisions.fleet.suspects import quarantine_left_s
from _masticspoke.decisions.fleet.suspects import SuspectView
from _masticspoke.fleet.dispatch.forwarded_request import fingerprint_of
from _masticspoke.fleet.dispatch.forwarded_request import ForwardedRequest
from _masticspoke.fleet.knowledge.crash_messages import BackendCrashed
from _masticspoke.fleet.knowledge.crash_messages import RunAbandoned
from _masticspoke.fleet.knowledge.crash_messages import SuspectSucceeded
from _masticspoke.fleet.knowledge.registry import RegistryMessage
from _masticspoke.http_pool import HttpPool
from _masticspoke.http_pool import NotConnectedError
from _masticspoke.supervise.latest import Latest
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.supervisor import Clock

# Time for the backend server to accept a connection after a run was interrupted.
_CONNECT_TIMEOUT_S = 0.2


@final
@dataclass(frozen=True, slots=True)
class CrashWatch:
    """What a request's task needs to report crashes and to look up suspects.

    :param suspects: requests that were running at crashes.
    :param connections: pool of the local backend server that keeps no connection.
    :param wall_clock: Unix time, seconds.
    """

    registry: Mailbox[RegistryMessage]
    suspects: Latest[SuspectView]
    connections: HttpPool
    wall_clock: Clock


def quarantine_s(watch: CrashWatch, request: ForwardedRequest, caller: str) -> float:
    """Return how long a request is refused for its crashes, seconds; 0 if it is not."""
    view = watch.suspects.value
    if not view.quarantined:
        return 0.0
    fingerprint = fingerprint_of(request, caller)
    return quarantine_left_s(view, fingerprint, watch.wall_clock())


def report_success(watch: CrashWatch, request: ForwardedRequest, caller: str) -> None:
    """Tell the registry that a request succeeded, if it is a suspect."""
    suspected = watch.suspects.value.suspected
    if not suspected:
        return
    fingerprint = fingerprint_of(request, caller)
    if fingerprint in suspected:
        watch.registry.tell(SuspectSucceeded(fingerprint, watch.wall_clock()))


async def report_interrupted(
    watch: CrashWatch, server: BackendServer, request: ForwardedRequest, caller: str
) -> None:
    """Tell the registry of an interrupted run, if the backend server has crashed.

    A server that still accepts connections has only lost one.
    """
    try:
        connection = await watch.connections.acquire(server.address, _CONNECT_TIMEOUT_S)
    except NotConnectedError:
        fingerprint = fingerprint_of(request, caller)
        message = BackendCrashed(_incarnation(server), fingerprint, watch.wall_clock())
        watch.registry.tell(message)
    else:
        watch.connections.release(server.address, connection, reusable=False)


def report_abandoned(
    watch: CrashWatch, server: BackendServer, request: ForwardedRequest, caller: str
) -> None:
    """Tell the registry that a run was cancelled or has timed out."""
    fingerprint = fingerprint_of(request, caller)
    message = RunAbandoned(_incarnation(server), fingerprint, watch.wall_clock())
    watch.registry.tell(message)


def _incarnation(server: BackendServer) -> Incarnation:
    return Incarnation(server.address, server.instance, server.born_ms)
