"""Send queries to the keepers of quotas."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import final

import aiohttp

from _masticspoke.border.quota import decode_response
from _masticspoke.border.quota import encode_query
from _masticspoke.border.quota import MAX_QUOTA_BYTES
from _masticspoke.border.quota import QUOTA_PATH
from _masticspoke.decisions.fleet.quota_keeper import QuotaResponse
from _masticspoke.fleet.quota.messages import KeeperAsked
from _masticspoke.fleet.quota.messages import KeeperMessage
from _masticspoke.fleet.quota.messages import QueryEnded
from _masticspoke.fleet.quota.messages import QuotaMessage
from _masticspoke.fleet.quota.messages import SendQuery
from _masticspoke.http_pool import ExpiredError
from _masticspoke.http_pool import HttpPool
from _masticspoke.http_pool import NotConnectedError
from _masticspoke.model import Address
from _masticspoke.supervise.ask import ask
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply

# A keeper that takes longer is silent, seconds.
RESPONSE_TIMEOUT_S = 0.1
# The first try may use a connection that the keeper's restart has closed.
_TRIES = 2


@final
@dataclass(frozen=True, slots=True)
class QueryPort:
    """What the sender of queries needs.

    :param keeper: this node's own keeper, which is queried without a socket.
    :param peer_port: TCP port where each node accepts requests of other nodes.
    """

    quota: Mailbox[QuotaMessage]
    keeper: Mailbox[KeeperMessage]
    connections: HttpPool
    own_host: str
    peer_port: int


def query_sender(inbox: Mailbox[SendQuery], port: QueryPort) -> ChildBody:
    """Return the body of the task that sends queries, to several keepers at a time."""

    async def run(life: Lifecycle) -> None:
        life.mark_started()
        async with asyncio.TaskGroup() as queries:
            while True:
                for message in await inbox.receive():
                    queries.create_task(_query(port, message))

    return run


async def _query(port: QueryPort, message: SendQuery) -> None:
    if message.keeper == port.own_host:
        reply: Reply[QuotaResponse] = Reply()
        response = await ask(port.keeper, KeeperAsked(message.query, reply), reply)
        port.quota.tell(QueryEnded(message.keeper, response))
        return
    port.quota.tell(await _query_node(port, message))


async def _query_node(port: QueryPort, message: SendQuery) -> QueryEnded:
    address = Address(message.keeper, port.peer_port)
    body = encode_query(message.query)
    try:
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            for _ in range(_TRIES):
                try:
                    response = await _post(port, address, body)
                    return QueryEnded(message.keeper, response)
                except (aiohttp.ClientError, ConnectionResetError):
                    continue  # the quota task logs that the keeper is silent
    except NotConnectedError as error:
        refused = isinstance(error.__context__, ConnectionRefusedError)
        return QueryEnded(message.keeper, None, refused)
    except (ExpiredError, TimeoutError, ConnectionError):
        pass  # the quota task logs that the keeper is silent
    return QueryEnded(message.keeper, None)


async def _post(port: QueryPort, address: Address, body: bytes) -> QuotaResponse | None:
    """Return a keeper's response; ``None`` from a node of the previous build."""
    exchange = port.connections.request(
        address, "POST", QUOTA_PATH, {"Host": str(address)}, body, RESPONSE_TIMEOUT_S
    )
    async with exchange as upstream:
        content, ended = await upstream.read_start(MAX_QUOTA_BYTES)
        if upstream.status != 200 or not ended:
            return None
        return decode_response(content)
