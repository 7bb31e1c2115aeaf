"""The log writer: appends queued records in batches, and retries until stored."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
from random import Random

from _masticspoke.connections import Connections
from _masticspoke.decisions.backoff import pause_after
from _masticspoke.messages.control import AppendRecord
from _masticspoke.messages.control import LogHealth
from _masticspoke.model import Address
from _masticspoke.platform.log import append
from _masticspoke.platform.log import LogClient
from _masticspoke.platform.log import LogFault
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox

WriterMessage = AppendRecord
ReportHealth = Callable[[LogHealth], object]

MAX_RETRY_PAUSE_S = 2.0
MAX_BATCH_RECORDS = 500
_SOURCE = "writer"


def log_writer(
    inbox: Mailbox[WriterMessage],
    connections: Connections,
    address: Address,
    timeout_s: float,
    pause_s: float,
    report_health: ReportHealth,
) -> ChildBody:
    """Return the body of the writer's task.

    An append whose answer was lost is repeated, so a record that is appended twice
    must be harmless. One append is in flight at a time; records that arrive meanwhile
    go into the next one.

    :param pause_s: longest pause after the first failed append; it doubles with each
        failure in a row, up to :data:`MAX_RETRY_PAUSE_S`.
    :param report_health: called after each append with its fault, if any.
    """

    async def run(life: Lifecycle) -> None:
        life.mark_started()
        client = LogClient(connections.session, address, timeout_s)
        random = Random()
        while True:
            for stream, records in _batches(await inbox.receive()):
                failures = 0
                while isinstance(
                    fault := await append(client, stream, records), LogFault
                ):
                    failures += 1
                    report_health(LogHealth(_SOURCE, fault.value))
                    retry_pause_s = pause_after(
                        failures, pause_s, MAX_RETRY_PAUSE_S, random
                    )
                    await asyncio.sleep(retry_pause_s)
                report_health(LogHealth(_SOURCE))

    return run


def _batches(messages: Sequence[AppendRecord]) -> Iterator[tuple[str, list[bytes]]]:
    by_stream: dict[str, list[bytes]] = {}
    for message in messages:
        by_stream.setdefault(message.stream, []).append(message.data)
    for stream, records in by_stream.items():
        for start in range(0, len(records), MAX_BATCH_RECORDS):
            yield stream, records[start : start + MAX_BATCH_RECORDS]
