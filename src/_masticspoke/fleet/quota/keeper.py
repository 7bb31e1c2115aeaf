"""Grant tokens to other nodes, as the keeper of some groups of organisations."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import final

from _masticspoke.border.quota import decode_query
from _masticspoke.border.quota import encode_response
from _masticspoke.border.quota import MAX_QUOTA_BYTES
from _masticspoke.decisions.fleet.model import Configuration
from _masticspoke.decisions.fleet.model import Phase
from _masticspoke.decisions.fleet.quota_keeper import advance
from _masticspoke.decisions.fleet.quota_keeper import answer_query
from _masticspoke.decisions.fleet.quota_keeper import KeeperState
from _masticspoke.decisions.fleet.quota_keeper import Limit
from _masticspoke.decisions.fleet.quota_keeper import QuotaResponse
from _masticspoke.decisions.fleet.quota_keeper import shares
from _masticspoke.decisions.fleet.quota_keeper import tick_s
from _masticspoke.fleet.dispatch.messages import ServersChanged
from _masticspoke.fleet.quota.messages import AskShares
from _masticspoke.fleet.quota.messages import KeeperAsked
from _masticspoke.fleet.quota.messages import KeeperMessage
from _masticspoke.http_server import Handler
from _masticspoke.http_server import Request
from _masticspoke.http_server import Response
from _masticspoke.supervise.ask import ask
from _masticspoke.supervise.latest import Latest
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply
from _masticspoke.supervise.server import Handlers
from _masticspoke.supervise.server import serve_at_once
from _masticspoke.supervise.supervisor import Clock


@final
@dataclass(slots=True)
class KeeperTask:
    """State of the keeper's task, which outlives a crash of the task.

    :param limits: limits in the configuration of ``version``; ``None`` without one.
    """

    configuration: Latest[Configuration | None]
    keeper: KeeperState = field(default_factory=KeeperState)
    version: int = 0
    limits: Mapping[str, Limit] | None = None


def quota_keeper(
    inbox: Mailbox[KeeperMessage], state: KeeperTask, clock: Clock
) -> ChildBody:
    """Return the body of the keeper's task."""

    async def run(life: Lifecycle) -> None:
        await serve_at_once(
            inbox,
            state,
            HANDLERS,
            clock,
            life,
            wait_s=lambda state, now: tick_s(state.keeper),
            on_timer=lambda state, now: advance(state.keeper, now),
        )

    return run


def _asked(state: KeeperTask, message: KeeperAsked, now: float) -> None:
    _read_limits(state)
    response = answer_query(
        state.keeper, message.query, state.version, state.limits, now
    )
    message.reply.answer(response)


def _read_limits(state: KeeperTask) -> None:
    configuration = state.configuration.value
    if configuration is None or configuration.version == state.version:
        return
    state.version = configuration.version
    state.limits = {
        organisation.name: Limit(organisation.rate_per_s, organisation.burst)
        for organisation in (configuration.organisations or {}).values()
    }


def _servers_changed(state: KeeperTask, message: ServersChanged, now: float) -> None:
    state.keeper.nodes = frozenset(
        server.address.host for server in message.servers if server.phase is Phase.READY
    )


def _ask_shares(state: KeeperTask, message: AskShares, now: float) -> None:
    message.reply.answer(shares(state.keeper, now))


HANDLERS: Handlers[KeeperTask] = {
    AskShares: _ask_shares,
    KeeperAsked: _asked,
    ServersChanged: _servers_changed,
}


def quota_handler(keeper: Mailbox[KeeperMessage]) -> Handler:
    """Return the handler of other nodes' queries."""

    async def handle(request: Request) -> Response:
        query = decode_query(await request.body(MAX_QUOTA_BYTES))
        if query is None:
            return Response(400, body=b"malformed quota query\n")
        reply: Reply[QuotaResponse] = Reply()
        response = await ask(keeper, KeeperAsked(query, reply), reply)
        if response is None:
            return Response(503)
        return Response(200, body=encode_response(response))

    return handle
