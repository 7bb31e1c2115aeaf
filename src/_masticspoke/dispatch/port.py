"""Types that the modules of this branch share in serving a request."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import final

from aiohttp import web

from _masticspoke.connections import Connections
from _masticspoke.decisions.handling import Handling
from _masticspoke.dispatch.router import RouterMessage
from _masticspoke.exchange import Outgoing
from _masticspoke.guard.run import GuardPort
from _masticspoke.messages.dispatch import Target
from _masticspoke.model import Loan
from _masticspoke.refusals import Refusal
from _masticspoke.relay import Relayed
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.supervisor import Clock

Answer = web.StreamResponse | Refusal


@final
@dataclass(slots=True)
class RequestState:
    """State of one request while it is served.

    :param loan: retries lent by the running call that sent the request, if one did.
    :param relayed: progress of relaying the answer to the caller.
    :param outgoing: the request as it is forwarded.
    :param unused_retries: retries known to be neither used nor lent to an attempt.
    """

    request: web.BaseRequest
    loan: Loan | None
    relayed: Relayed
    outgoing: Outgoing
    unused_retries: int = 0


Serve = Callable[["DispatchPort", RequestState, Target], Awaitable[Answer]]


@final
@dataclass(frozen=True, slots=True)
class DispatchPort:
    """Mailboxes, connections and settings used to serve a request.

    :param buffer_bytes: bodies up to this size are buffered and can be resent.
    :param serve: functions that serve a received request, by the handling of its call.
    """

    router: Mailbox[RouterMessage]
    connections: Connections
    guard: GuardPort
    clock: Clock
    buffer_bytes: int
    serve: Mapping[Handling, Serve] = field(default_factory=dict)
