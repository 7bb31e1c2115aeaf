"""``masticspoke status``: show what a node knows."""

from __future__ import annotations

import argparse
import asyncio

import aiohttp

from _masticspoke.border.fields import parse_address
from _masticspoke.border.paths import STATUS_PATH
from _masticspoke.border.status import decode_status
from _masticspoke.errors import NodeUnavailableError
from _masticspoke.errors import SettingsError
from _masticspoke.model import Address

_TIMEOUT = aiohttp.ClientTimeout(total=5.0)
_REMEDY = "check the address and that the node runs"


def show_status(options: argparse.Namespace) -> int:
    """Print a node's status."""
    try:
        address = parse_address(options.node)
    except ValueError as error:
        raise SettingsError(f"{options.node}: {error}", "correct it") from None
    body = asyncio.run(_fetch(address))
    if options.json:
        print(body.decode())
        return 0
    status = decode_status(body)
    if status is None:
        raise NodeUnavailableError(f"{address} sent no status", _REMEDY)
    print(f"catalogue version {status.catalogue_version}")
    for member in status.members:
        print(f"{member.service} {member.backend} node {member.node} {member.zone}")
    return 0


async def _fetch(address: Address) -> bytes:
    try:
        async with (
            aiohttp.ClientSession(timeout=_TIMEOUT) as session,
            session.get(f"http://{address}{STATUS_PATH}") as response,
        ):
            return await response.read()
    except (aiohttp.ClientError, TimeoutError) as error:
        raise NodeUnavailableError(f"{address}: {error!r}", _REMEDY) from error
