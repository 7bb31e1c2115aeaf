"""The log writer: appends what waits, in batches, until the log takes it."""

from __future__ import annotations

import asyncio

from _masticspoke.events import Event
from _masticspoke.events import log_event
from _masticspoke.exchange import Connections
from _masticspoke.messages import AppendRecord
from _masticspoke.model import Address
from _masticspoke.platform.log import append
from _masticspoke.platform.log import LogClient
from _masticspoke.platform.log import LogFault
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox

WriterMessage = AppendRecord


def log_writer(
    inbox: Mailbox[WriterMessage],
    connections: Connections,
    address: Address,
    timeout_s: float,
    pause_s: float,
) -> ChildBody:
    """Return the body of the writer's task.

    Records must be harmless when they are appended twice: an append whose answer
    was lost is repeated.

    :param pause_s: pause after a failed append.
    """

    async def run(life: Lifecycle) -> None:
        life.mark_started()
        client = LogClient(connections.session, address, timeout_s)
        while True:
            for stream, records in _by_stream(await inbox.receive()).items():
                await _append_until_done(client, stream, records, pause_s)

    return run


def _by_stream(messages: list[AppendRecord]) -> dict[str, list[bytes]]:
    streams: dict[str, list[bytes]] = {}
    for message in messages:
        streams.setdefault(message.stream, []).append(message.data)
    return streams


async def _append_until_done(
    client: LogClient, stream: str, records: list[bytes], pause_s: float
) -> None:
    while isinstance(fault := await append(client, stream, records), LogFault):
        log_event(Event.LOG_UNAVAILABLE, stream=stream, fault=fault.value)
        await asyncio.sleep(pause_s)
