"""``masticspoke catalogue``: check and change the catalogue."""

from __future__ import annotations

import argparse
import asyncio
import getpass
import secrets

import aiohttp

from _masticspoke.border.catalogue_ini import load_catalogue
from _masticspoke.border.fields import parse_address
from _masticspoke.border.records import CATALOGUE_STREAM
from _masticspoke.border.records import decode_record
from _masticspoke.border.records import encode_record
from _masticspoke.decisions.catalogue import CatalogueState
from _masticspoke.decisions.catalogue import Change
from _masticspoke.decisions.catalogue import reduce_change
from _masticspoke.errors import ChangeConflictError
from _masticspoke.errors import LogUnavailableError
from _masticspoke.errors import SettingsError
from _masticspoke.model import Address
from _masticspoke.model import Catalogue
from _masticspoke.platform.log import append
from _masticspoke.platform.log import LogClient
from _masticspoke.platform.log import LogFault
from _masticspoke.platform.log import read

_TIMEOUT_S = 5.0
_LOG_REMEDY = "check --log and that the log service is up, then run it again"


def check_catalogue(options: argparse.Namespace) -> int:
    """Check a catalogue file."""
    catalogue = load_catalogue(options.file)
    print(f"{options.file}: {len(catalogue.entries)} entries, no faults")
    return 0


def apply_catalogue(options: argparse.Namespace) -> int:
    """Append a catalogue change and report whether it was accepted."""
    catalogue = load_catalogue(options.file)
    try:
        address = parse_address(options.log)
    except ValueError as error:
        raise SettingsError(f"--log {options.log}: {error}", "correct it") from None
    version = asyncio.run(_apply(address, catalogue))
    print(f"catalogue version {version} accepted")
    return 0


async def _apply(address: Address, catalogue: Catalogue) -> int:
    async with aiohttp.ClientSession() as session:
        client = LogClient(session, address, _TIMEOUT_S)
        state = await _read_state(client)
        made_from = state.catalogue.version
        change = Change(secrets.token_hex(8), made_from, catalogue, getpass.getuser())
        fault = await append(client, CATALOGUE_STREAM, [encode_record(change)])
        if fault is LogFault.NOT_DONE:
            raise LogUnavailableError(fault.value, _LOG_REMEDY)
        state = await _read_state(client)
    if state.change_id != change.change_id:
        raise ChangeConflictError(
            f"another change made version {state.catalogue.version} first",
            "look at it and apply yours again",
        )
    return state.catalogue.version


async def _read_state(client: LogClient) -> CatalogueState:
    state = CatalogueState()
    offset = 0
    while True:
        result = await read(client, CATALOGUE_STREAM, offset, 0.0)
        if isinstance(result, LogFault):
            raise LogUnavailableError(result.value, _LOG_REMEDY)
        if not result.records:
            return state
        offset = result.next_offset
        for record in result.records:
            value = decode_record(record.data)
            if isinstance(value, Change):
                state = reduce_change(state, value, record.offset)
