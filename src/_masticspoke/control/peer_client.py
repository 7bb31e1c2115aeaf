"""Control requests to other nodes; answers are limited in size and validated."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import replace
from enum import Enum
from typing import final
from typing import TypeVar

import aiohttp

from _masticspoke.border.gossip import decode_catalogue_state
from _masticspoke.border.gossip import decode_digest
from _masticspoke.border.gossip import decode_page
from _masticspoke.border.gossip import encode_digest
from _masticspoke.border.gossip import MAX_CATALOGUE_BYTES
from _masticspoke.border.gossip import MAX_DIGEST_BYTES
from _masticspoke.border.gossip import MAX_MEMBERS_BYTES
from _masticspoke.border.gossip import ProbeAnswer
from _masticspoke.border.gossip import ProbeModel
from _masticspoke.border.once import decode_confirmations
from _masticspoke.border.once import encode_confirm_requests
from _masticspoke.border.once import MAX_CONFIRM_BYTES
from _masticspoke.border.paths import CATALOGUE_PATH
from _masticspoke.border.paths import GOSSIP_PATH
from _masticspoke.border.paths import KEEP_PATH
from _masticspoke.border.paths import MEMBERS_PATH
from _masticspoke.border.paths import PING_PATH
from _masticspoke.border.paths import PROBE_PATH
from _masticspoke.border.paths import STATUS_PATH
from _masticspoke.connections import Connections
from _masticspoke.decisions.catalogue import CatalogueState
from _masticspoke.decisions.hints import Hint
from _masticspoke.decisions.once.model import Confirmation
from _masticspoke.decisions.once.model import ConfirmRequest
from _masticspoke.messages.control import Digest
from _masticspoke.model import Address

T = TypeVar("T")
MAX_STATUS_BYTES = 16 * 2**20


@final
class PeerFault(Enum):
    """Why another node gave no usable answer."""

    SILENT = "the node could not be reached or did not answer in time"
    MALFORMED = "the node's answer is malformed or too long"


@final
@dataclass(frozen=True, slots=True)
class PeerClient:
    """Connections to other nodes.

    :param timeout_s: total timeout of one request.
    """

    connections: Connections
    timeout_s: float


async def exchange_digests(
    client: PeerClient, node: Address, digest: Digest
) -> Digest | PeerFault:
    """Send a digest to a node and return the digest of that node."""
    url = f"http://{node}{GOSSIP_PATH}"
    body = await _request(client, "POST", url, MAX_DIGEST_BYTES, encode_digest(digest))
    return _decode_body(body, decode_digest)


async def fetch_catalogue(
    client: PeerClient, node: Address
) -> CatalogueState | PeerFault:
    """Return the newest catalogue that a node has received."""
    url = f"http://{node}{CATALOGUE_PATH}"
    body = await _request(client, "GET", url, MAX_CATALOGUE_BYTES)
    return _decode_body(body, decode_catalogue_state)


async def fetch_members(
    client: PeerClient, node: Address, after: Address | None
) -> tuple[Hint, ...] | PeerFault:
    """Return one page of a node's hints.

    :param after: last node of the previous page; ``None`` for the first page.
    """
    url = f"http://{node}{MEMBERS_PATH}" + (f"?after={after}" if after else "")
    body = await _request(client, "GET", url, MAX_MEMBERS_BYTES)
    return _decode_body(body, decode_page)


async def fetch_status(client: PeerClient, node: Address) -> bytes | PeerFault:
    """Return a node's status as the encoded bytes of its answer."""
    url = f"http://{node}{STATUS_PATH}"
    return await _request(client, "GET", url, MAX_STATUS_BYTES)


async def request_confirmations(
    client: PeerClient, node: Address, requests: Sequence[ConfirmRequest]
) -> tuple[Confirmation, ...] | PeerFault:
    """Ask a node to keep claims of this node's home; return its confirmations."""
    url = f"http://{node}{KEEP_PATH}"
    body = encode_confirm_requests(requests)
    answer = await _request(client, "POST", url, MAX_CONFIRM_BYTES, body)
    return _decode_body(answer, decode_confirmations)


async def ping(client: PeerClient, node: Address) -> bool:
    """Return whether a node answers."""
    url = f"http://{node}{PING_PATH}"
    return not isinstance(await _request(client, "GET", url, 0), PeerFault)


async def confirm_unreachable(
    client: PeerClient, prober: Address, node: Address
) -> bool:
    """Return whether ``prober`` cannot reach ``node`` either.

    The result is ``False`` if the prober gives no usable answer.
    """
    probe = ProbeModel(node=node).model_dump_json().encode()
    url = f"http://{prober}{PROBE_PATH}"
    # The prober itself waits up to timeout_s for an answer from the node.
    probe_client = replace(client, timeout_s=3 * client.timeout_s)
    body = await _request(probe_client, "POST", url, MAX_DIGEST_BYTES, probe)
    if isinstance(body, PeerFault):
        return False
    try:
        return not ProbeAnswer.model_validate_json(body).reached
    except ValueError:
        return False


def _decode_body(
    body: bytes | PeerFault, decode: Callable[[bytes], T | None]
) -> T | PeerFault:
    if isinstance(body, PeerFault):
        return body
    value = decode(body)
    return PeerFault.MALFORMED if value is None else value


async def _request(
    client: PeerClient, method: str, url: str, max_bytes: int, body: bytes = b""
) -> bytes | PeerFault:
    timeout = aiohttp.ClientTimeout(total=client.timeout_s)
    session = client.connections.session
    try:
        async with session.request(
            method, url, data=body or None, timeout=timeout, allow_redirects=False
        ) as response:
            if response.status not in (200, 204):
                return PeerFault.MALFORMED
            return await _read_bounded(response.content, max_bytes)
    except (TimeoutError, aiohttp.ClientError, ConnectionError):
        return PeerFault.SILENT


async def _read_bounded(
    content: aiohttp.StreamReader, max_bytes: int
) -> bytes | PeerFault:
    received = bytearray()
    async for chunk in content.iter_any():
        received += chunk
        if len(received) > max_bytes:
            return PeerFault.MALFORMED
    return bytes(received)
