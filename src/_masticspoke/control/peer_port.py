"""Handlers of control requests from other nodes and command-line tools."""

from __future__ import annotations

from aiohttp import web

from _masticspoke.border.addresses import parse_address
from _masticspoke.border.gossip import decode_digest
from _masticspoke.border.gossip import encode_catalogue
from _masticspoke.border.gossip import encode_digest
from _masticspoke.border.gossip import encode_page
from _masticspoke.border.gossip import MAX_DIGEST_BYTES
from _masticspoke.border.gossip import ProbeAnswer
from _masticspoke.border.gossip import ProbeModel
from _masticspoke.border.paths import CATALOGUE_PATH
from _masticspoke.border.paths import GOSSIP_PATH
from _masticspoke.border.paths import MEMBERS_PATH
from _masticspoke.border.paths import PING_PATH
from _masticspoke.border.paths import PROBE_PATH
from _masticspoke.border.paths import STATUS_PATH
from _masticspoke.border.status import encode_status
from _masticspoke.control.gossip import GossipMessage
from _masticspoke.control.keeper import KeeperMessage
from _masticspoke.control.peer_client import PeerClient
from _masticspoke.control.peer_client import ping
from _masticspoke.entry.listener import Handler
from _masticspoke.entry.peers import ControlHandlers
from _masticspoke.exchange import read_bounded
from _masticspoke.exchange import refusal_response
from _masticspoke.messages.control import AskDigest
from _masticspoke.messages.control import AskKeeperSnapshot
from _masticspoke.messages.control import AskStatus
from _masticspoke.messages.control import Digest
from _masticspoke.messages.control import KeeperSnapshot
from _masticspoke.messages.control import NodeStatus
from _masticspoke.messages.control import PeerAhead
from _masticspoke.messages.control import PeerUpdate
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal
from _masticspoke.supervise.ask import ask
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply


def control_handlers(
    keeper: Mailbox[KeeperMessage],
    gossip: Mailbox[GossipMessage],
    client: PeerClient,
) -> ControlHandlers:
    """Return the handlers of control requests, by method and path."""
    return {
        ("POST", GOSSIP_PATH): _gossip_handler(keeper, gossip),
        ("GET", CATALOGUE_PATH): _catalogue_handler(keeper),
        ("GET", MEMBERS_PATH): _members_handler(keeper),
        ("GET", PING_PATH): _ping,
        ("POST", PROBE_PATH): _probe_handler(client),
        ("GET", STATUS_PATH): _status_handler(keeper),
    }


def _gossip_handler(
    keeper: Mailbox[KeeperMessage], gossip: Mailbox[GossipMessage]
) -> Handler:
    async def exchange(request: web.BaseRequest) -> web.StreamResponse:
        body = await read_bounded(request, MAX_DIGEST_BYTES)
        received = None if body is None else decode_digest(body)
        if received is None:
            return _malformed()
        keeper.tell(PeerUpdate(received.updates))
        reply: Reply[Digest] = Reply()
        digest = await ask(keeper, AskDigest(reply), reply)
        if digest is None:
            return _busy()
        if received.catalogue_version > digest.catalogue_version:
            gossip.tell(PeerAhead(received.sender))
        return _json(encode_digest(digest))

    return exchange


def _catalogue_handler(keeper: Mailbox[KeeperMessage]) -> Handler:
    async def catalogue(request: web.BaseRequest) -> web.StreamResponse:
        snapshot = await _ask_keeper_snapshot(keeper)
        return (
            _busy() if snapshot is None else _json(encode_catalogue(snapshot.catalogue))
        )

    return catalogue


def _members_handler(keeper: Mailbox[KeeperMessage]) -> Handler:
    async def members(request: web.BaseRequest) -> web.StreamResponse:
        try:
            after = request.query.get("after")
            page_cursor = None if after is None else parse_address(after)
        except ValueError:
            return _malformed()
        snapshot = await _ask_keeper_snapshot(keeper)
        return (
            _busy()
            if snapshot is None
            else _json(encode_page(snapshot.hints, page_cursor))
        )

    return members


def _probe_handler(client: PeerClient) -> Handler:
    async def probe(request: web.BaseRequest) -> web.StreamResponse:
        body = await read_bounded(request, MAX_DIGEST_BYTES)
        try:
            node = ProbeModel.model_validate_json(body or b"").node
        except ValueError:
            return _malformed()
        reached = await ping(client, node)
        return _json(ProbeAnswer(reached=reached).model_dump_json().encode())

    return probe


def _status_handler(keeper: Mailbox[KeeperMessage]) -> Handler:
    async def status(request: web.BaseRequest) -> web.StreamResponse:
        reply: Reply[NodeStatus] = Reply()
        node_status = await ask(keeper, AskStatus(reply), reply)
        return _busy() if node_status is None else _json(encode_status(node_status))

    return status


async def _ping(request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(status=204)


async def _ask_keeper_snapshot(keeper: Mailbox[KeeperMessage]) -> KeeperSnapshot | None:
    reply: Reply[KeeperSnapshot] = Reply()
    return await ask(keeper, AskKeeperSnapshot(reply), reply)


def _json(body: bytes) -> web.Response:
    return web.Response(body=body, content_type="application/json")


def _busy() -> web.Response:
    return refusal_response(Refusal(Reason.BUSY))


def _malformed() -> web.Response:
    return refusal_response(
        Refusal(Reason.MALFORMED, detail="malformed or too long control request")
    )
