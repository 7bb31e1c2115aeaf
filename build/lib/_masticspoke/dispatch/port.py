"""What the modules of this branch share about one request."""

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
class Conduct:
    """One request on its way.

    :param loan: from the running call that sent it, if one did.
    :param relayed: the answer, as far as it was passed on.
    :param sent: the request as it is passed on.
    :param unused: retries that are certainly not used, nor lent.
    """

    request: web.BaseRequest
    loan: Loan | None
    relayed: Relayed
    sent: Outgoing
    unused: int = 0


Serve = Callable[["DispatchPort", Conduct, Target], Awaitable[Answer]]


@final
@dataclass(frozen=True, slots=True)
class DispatchPort:
    """What a request's task needs in order to have a request served.

    :param buffer_bytes: bodies up to this size can be sent a second time.
    :param serve: how each kind of handling is done.
    """

    router: Mailbox[RouterMessage]
    connections: Connections
    guard: GuardPort
    clock: Clock
    buffer_bytes: int
    serve: Mapping[Handling, Serve] = field(default_factory=dict)
