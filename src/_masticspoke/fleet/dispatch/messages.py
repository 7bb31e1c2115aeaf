"""Messages between a request, the placer and the registry.

The first line of each docstring names the sender, the receiver and the content.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from typing import final

from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import GuardLoad
from _masticspoke.decisions.fleet.model import NotRun
from _masticspoke.decisions.fleet.model import Route
from _masticspoke.model import Address
from _masticspoke.supervise.mailbox import Reply


@final
@dataclass(frozen=True, slots=True)
class PlaceRequest:
    """Request task to placer: choose a backend server for the next send.

    :param service: service chosen for the first send; ``None`` before it.
    :param tried: servers that the request has been sent to.
    :param is_retry: whether an earlier send may have reached a backend server.
    :param parent_is_retry: whether the run that made the request is a retry.
    :param stop_left_s: seconds until the end of this node's planned stop; ``None`` if
        it isn't stopping.
    """

    route: Route
    service: str | None
    tried: Collection[Address]
    is_retry: bool
    parent_is_retry: bool
    stop_left_s: float | None
    reply: Reply[Placement | NoPlacement]


@final
@dataclass(frozen=True, slots=True)
class Placement:
    """Placer's reply: send the request to this server."""

    server: BackendServer


@final
@dataclass(frozen=True, slots=True)
class NoPlacement:
    """Placer's reply: the request can be sent to no server.

    :param reason: text for logs, counters and the caller; used only if the request has
        not been sent before.
    """

    service: str
    reason: str


@final
@dataclass(frozen=True, slots=True)
class SendEnded:
    """Request task to placer: how a send ended.

    :param failed: whether the server failed; ``None`` if the outcome does not show it.
    :param load: load that the server's guard reported; ``None`` if it reported none.
    :param not_run: why the request was declined; ``None`` if it was not.
    :param nested: whether a run at the local backend server made the request.
    :param answered_after_s: seconds from the send until its answer; ``None`` without
        one.
    """

    address: Address
    failed: bool | None
    load: GuardLoad | None
    not_run: NotRun | None
    service: str
    nested: bool
    route: str
    answered_after_s: float | None


@final
@dataclass(frozen=True, slots=True)
class ServersChanged:
    """Registry to placer, quota task and keeper: all backend servers, and the changed.

    Those that are new count as changed.
    """

    servers: tuple[BackendServer, ...]
    changed: tuple[BackendServer, ...]
