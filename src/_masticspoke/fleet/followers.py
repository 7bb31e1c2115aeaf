"""Follow keyed streams of the log, and keep what this node adds to them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
from random import Random

from _masticspoke.border.backend_state import encode_state
from _masticspoke.connections import Connections
from _masticspoke.decisions.backoff import pause_after
from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.fleet.messages import LogHealth
from _masticspoke.fleet.registry import RegistryMessage
from _masticspoke.model import Address
from _masticspoke.platform.log import append
from _masticspoke.platform.log import keyed_record
from _masticspoke.platform.log import LogClient
from _masticspoke.platform.log import LogFault
from _masticspoke.platform.log import newest
from _masticspoke.platform.log import read
from _masticspoke.platform.log import ReadResult
from _masticspoke.platform.log import split_keyed
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox

# Time for one request to the log, besides the wait that it is asked for, seconds.
TIMEOUT_S = 1.5
# Time that the log holds a read at the end of a stream, seconds.
_HOLD_S = 20.0
FIRST_PAUSE_S = 0.15
MAX_PAUSE_S = 1.0

OnValues = Callable[[Mapping[str, bytes]], None]


def keyed_follower(
    registry: Mailbox[RegistryMessage],
    connections: Connections,
    log: Address,
    stream: str,
    gather_s: float,
    on_values: OnValues,
) -> ChildBody:
    """Return the body of a task that follows a keyed stream.

    After each fault it begins with the newest value of each key, so that it never
    depends on history that the log has dropped.

    :param gather_s: pause after news, so that what comes at once is read at once.
    :param on_values: gets the newest values, some of them again.
    """

    async def run(life: Lifecycle) -> None:
        life.mark_started()
        client = LogClient(connections.session, log, TIMEOUT_S)
        random = Random()
        failures = 0
        while True:
            fault, heard = await _follow(registry, client, stream, gather_s, on_values)
            failures = 1 if heard else failures + 1
            registry.tell(LogHealth(stream, fault.value))
            await asyncio.sleep(
                pause_after(failures, FIRST_PAUSE_S, MAX_PAUSE_S, random)
            )

    return run


async def _follow(
    registry: Mailbox[RegistryMessage],
    client: LogClient,
    stream: str,
    gather_s: float,
    on_values: OnValues,
) -> tuple[LogFault, bool]:
    """Follow until a fault; return it and whether the log answered before."""
    known = await newest(client, stream)
    if isinstance(known, LogFault):
        return known, False
    registry.tell(LogHealth(stream, None))
    on_values(known.values)
    offset = known.next_offset
    while True:
        found = await read(client, stream, offset, _HOLD_S)
        if isinstance(found, LogFault):
            return found, True
        if not found.records and found.next_offset != offset:
            return LogFault.MOVED_ON, True
        on_values(_newest_values(found))
        offset = found.next_offset
        if found.records and gather_s > 0:
            await asyncio.sleep(gather_s)


def _newest_values(found: ReadResult) -> dict[str, bytes]:
    pairs = (split_keyed(record.data) for record in found.records)
    return dict(pair for pair in pairs if pair is not None)


def states_writer(
    inbox: Mailbox[BackendServer],
    registry: Mailbox[RegistryMessage],
    connections: Connections,
    log: Address,
    stream: str,
) -> ChildBody:
    """Return the body of the task that keeps states of the own backend server.

    It repeats what may not have been appended: a record that is there twice is
    harmless.
    """

    async def run(life: Lifecycle) -> None:
        life.mark_started()
        client = LogClient(connections.session, log, TIMEOUT_S)
        random = Random()
        waiting: dict[Address, BackendServer] = {}
        failures = 0
        while True:
            pause_s = pause_after(failures, FIRST_PAUSE_S, MAX_PAUSE_S, random)
            timeout_s = pause_s if waiting else None
            for server in await inbox.receive(timeout_s):
                waiting[server.address] = server
            records = [_state_record(server) for server in waiting.values()]
            done = await append(client, stream, records)
            if isinstance(done, LogFault):
                failures += 1
                registry.tell(LogHealth("writer", done.value))
                continue
            failures = 0
            waiting.clear()
            registry.tell(LogHealth("writer", None))

    return run


def _state_record(server: BackendServer) -> bytes:
    return keyed_record(str(server.address), encode_state(server))
