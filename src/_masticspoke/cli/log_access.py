"""Read and change the catalogue in the log."""

from __future__ import annotations

import asyncio

from _masticspoke.border.addresses import parse_address
from _masticspoke.border.records import CATALOGUE_STREAM
from _masticspoke.border.records import decode_catalogue
from _masticspoke.border.records import encode_record
from _masticspoke.decisions.catalogue import Change
from _masticspoke.decisions.history import change_outcome
from _masticspoke.decisions.history import ChangeOutcome
from _masticspoke.decisions.history import extend_history
from _masticspoke.decisions.history import find_change
from _masticspoke.decisions.history import History
from _masticspoke.decisions.history import HistoryLine
from _masticspoke.errors import ChangeConflictError
from _masticspoke.errors import LogUnavailableError
from _masticspoke.errors import OutcomeUnknownError
from _masticspoke.errors import SettingsError
from _masticspoke.model import Address
from _masticspoke.platform.log import append
from _masticspoke.platform.log import LogClient
from _masticspoke.platform.log import LogFault
from _masticspoke.platform.log import read

TIMEOUT_S = 5.0
MAX_ATTEMPTS = 4
RETRY_PAUSE_S = 0.5
_LOG_REMEDY = "check --log and that the log service is up, then run it again"


def parse_address_option(name: str, text: str) -> Address:
    """Return the address in the value of an option.

    :raises SettingsError: when the value is not IP:PORT.
    """
    try:
        return parse_address(text)
    except ValueError as error:
        raise SettingsError(f"{name} {text}: {error}", "correct it") from None


async def read_history(client: LogClient) -> History | LogFault:
    """Return the history of the whole stream ``catalogue``, or why a read failed."""
    history = History()
    while True:
        start = history.replay.read_through + 1
        result = await read(client, CATALOGUE_STREAM, start, 0.0)
        if isinstance(result, LogFault):
            return result
        records = [(r.offset, decode_catalogue(r.data)) for r in result.records]
        history = extend_history(history, result.oldest_offset, records)
        if not result.records:
            return history


async def require_history(client: LogClient) -> History:
    """Return the history of the catalogue.

    :raises LogUnavailableError: when the log does not answer, or has dropped
        records that no retained snapshot covers.
    """
    history = await _read_with_retries(client)
    if isinstance(history, LogFault):
        raise LogUnavailableError(history.value, _LOG_REMEDY)
    if not history.replay.complete:
        raise LogUnavailableError(
            "the log retains no snapshot of the catalogue",
            "start a node that has the catalogue and wait for its snapshot",
        )
    return history


async def append_change(
    client: LogClient, change: Change, read_through: int
) -> HistoryLine:
    """Append a change and return its line in the history.

    After a lost answer the same record is appended again. At most one of the copies
    is accepted: the others were then made from a version that is no longer in force.

    :param read_through: offset up to which the log was read before.
    :raises ChangeConflictError: when another change was accepted first.
    :raises LogUnavailableError: when nothing was appended.
    :raises OutcomeUnknownError: when it is unknown whether the change was accepted.
    """
    may_be_appended = False
    for attempt in range(MAX_ATTEMPTS):
        await asyncio.sleep(RETRY_PAUSE_S * attempt)
        fault = await append(client, CATALOGUE_STREAM, [encode_record(change)])
        may_be_appended = may_be_appended or fault is not LogFault.NOT_DONE
        if fault is LogFault.NOT_DONE:
            continue
        line = await _find_accepted(client, change, read_through)
        if line is not None:
            return line
    if may_be_appended:
        raise _unknown_error(client, change)
    raise LogUnavailableError(LogFault.NOT_DONE.value, _LOG_REMEDY)


async def _find_accepted(
    client: LogClient, change: Change, read_through: int
) -> HistoryLine | None:
    history = await read_history(client)
    if isinstance(history, LogFault):
        return None
    outcome = change_outcome(history, change, read_through)
    if outcome is ChangeOutcome.REJECTED:
        raise conflict_error(change.made_from, history.state.catalogue.version)
    if outcome is ChangeOutcome.ACCEPTED:
        return find_change(history, change.change_id)
    return None


async def _read_with_retries(client: LogClient) -> History | LogFault:
    history = await read_history(client)
    for attempt in range(1, MAX_ATTEMPTS):
        if not isinstance(history, LogFault):
            return history
        await asyncio.sleep(RETRY_PAUSE_S * attempt)
        history = await read_history(client)
    return history


def conflict_error(made_from: int, version: int) -> ChangeConflictError:
    """Return the error for a change made from a version that is not in force."""
    return ChangeConflictError(
        f"the change was made from version {made_from}, but version {version} is in "
        "force; it was not accepted",
        "compare your file with catalogue show, then apply it with "
        f"--made-from {version}",
    )


def _unknown_error(client: LogClient, change: Change) -> OutcomeUnknownError:
    return OutcomeUnknownError(
        f"the log's answers were lost; change {change.change_id} may have been "
        "accepted",
        "look up its outcome with: masticspoke catalogue history "
        f"--log {client.address} --change {change.change_id}",
    )
