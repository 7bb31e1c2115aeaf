"""``masticspoke catalogue``: check, change and show the catalogue."""

from __future__ import annotations

import argparse
import asyncio
import getpass
import json
import secrets
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import asdict
from typing import TypeVar

import aiohttp

from _masticspoke.border.catalogue_ini import format_catalogue
from _masticspoke.border.catalogue_ini import load_catalogue
from _masticspoke.border.gossip import encode_catalogue
from _masticspoke.cli.log_access import append_change
from _masticspoke.cli.log_access import conflict_error
from _masticspoke.cli.log_access import parse_address_option
from _masticspoke.cli.log_access import require_history
from _masticspoke.cli.log_access import TIMEOUT_S
from _masticspoke.cli.node_access import fetch_node_catalogue
from _masticspoke.decisions.catalogue import CatalogueState
from _masticspoke.decisions.catalogue import Change
from _masticspoke.decisions.history import find_change
from _masticspoke.decisions.history import History
from _masticspoke.decisions.history import HistoryLine
from _masticspoke.errors import ChangeConflictError
from _masticspoke.errors import OutcomeUnknownError
from _masticspoke.model import Address
from _masticspoke.model import Catalogue
from _masticspoke.platform.log import LogClient

T = TypeVar("T")


def check_catalogue(options: argparse.Namespace) -> int:
    """Check a catalogue file.

    :raises SettingsError: when it can't be read or has faults.
    """
    catalogue = load_catalogue(options.file)
    print(f"{options.file}: {len(catalogue.entries)} entries, no faults")
    return 0


def apply_catalogue(options: argparse.Namespace) -> int:
    """Append a catalogue change and print its version once it is accepted.

    :raises SettingsError: when the file or the address of the log is not valid.
    :raises ChangeConflictError: when it was not accepted.
    :raises LogUnavailableError: when the log can't be read, or nothing was appended.
    :raises OutcomeUnknownError: when it is unknown whether it was accepted.
    """
    catalogue = load_catalogue(options.file)
    address = parse_address_option("--log", options.log)
    author = options.author or getpass.getuser()

    async def run(client: LogClient) -> HistoryLine:
        return await _append_catalogue(client, catalogue, options.made_from, author)

    line = _run_with_log(address, run)
    if options.json:
        print(json.dumps(asdict(line)))
    else:
        print(f"catalogue version {line.version} accepted, change {line.change_id}")
    return 0


async def _append_catalogue(
    client: LogClient, catalogue: Catalogue, made_from: int | None, author: str
) -> HistoryLine:
    history = await require_history(client)
    version = history.state.catalogue.version
    if made_from is None:
        made_from = version
    if made_from != version:
        raise conflict_error(made_from, version)
    change = Change(secrets.token_hex(8), made_from, catalogue, author)
    return await append_change(client, change, history.replay.read_through)


def show_catalogue(options: argparse.Namespace) -> int:
    """Print the newest accepted catalogue, as the log or a node has it."""
    state = _read_state(options)
    if options.json:
        print(encode_catalogue(state).decode())
        return 0
    print(f"# version {state.catalogue.version}, change {state.change_id}")
    print(format_catalogue(state.catalogue), end="")
    return 0


def _read_state(options: argparse.Namespace) -> CatalogueState:
    if options.node is not None:
        return fetch_node_catalogue(parse_address_option("--node", options.node))
    address = parse_address_option("--log", options.log)
    return _run_with_log(address, require_history).state


def show_history(options: argparse.Namespace) -> int:
    """Print the changes that the log retains, or the outcome of a single one.

    :raises ChangeConflictError: when the requested change was not accepted.
    :raises OutcomeUnknownError: when the requested change is not in the log.
    """
    address = parse_address_option("--log", options.log)
    history = _run_with_log(address, require_history)
    lines = history.lines
    if options.change is not None:
        lines = (_find_accepted(history, options.change),)
    for line in lines:
        print(json.dumps(asdict(line)) if options.json else _format_line(line))
    return 0


def _find_accepted(history: History, change_id: str) -> HistoryLine:
    line = find_change(history, change_id)
    if line is None:
        raise OutcomeUnknownError(
            f"change {change_id} is not among those that the log retains",
            "it can only be accepted while the version it was made from is in force; "
            "compare that version with catalogue show",
        )
    if line.version is None:
        raise ChangeConflictError(
            f"change {change_id} was not accepted; another one came first",
            "compare your file with catalogue show and apply it again",
        )
    return line


def _format_line(line: HistoryLine) -> str:
    outcome = f"version {line.version}" if line.version else "not accepted"
    return (
        f"{line.offset} {outcome} from {line.made_from} "
        f"change {line.change_id} by {line.author or 'unknown'}"
    )


def _run_with_log(address: Address, run: Callable[[LogClient], Awaitable[T]]) -> T:
    async def main() -> T:
        async with aiohttp.ClientSession() as session:
            return await run(LogClient(session, address, TIMEOUT_S))

    return asyncio.run(main())
