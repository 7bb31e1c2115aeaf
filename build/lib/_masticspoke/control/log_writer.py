"""The log writer: appends what waits, in batches, until the log takes it."""

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
TellHealth = Callable[[LogHealth], object]

MAX_PAUSE_S = 2.0
MAX_BATCH_RECORDS = 500
_SOURCE = "writer"


def log_writer(
    inbox: Mailbox[WriterMessage],
    connections: Connections,
    address: Address,
    timeout_s: float,
    pause_s: float,
    tell_health: TellHealth,
) -> ChildBody:
    """Return the body of the writer's task.

    Records must be harmless when they are appended twice: an append whose answer
    was lost is repeated. One append is in flight; what waits goes into the next.

    :param pause_s: pause after a first failed append; longer after further ones.
    :param tell_health: told after each append whether the log answered.
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
                    tell_health(LogHealth(_SOURCE, fault.value))
                    pause = pause_after(failures, pause_s, MAX_PAUSE_S, random)
                    await asyncio.sleep(pause)
                tell_health(LogHealth(_SOURCE))

    return run


def _batches(messages: Sequence[AppendRecord]) -> Iterator[tuple[str, list[bytes]]]:
    streams: dict[str, list[bytes]] = {}
    for message in messages:
        streams.setdefault(message.stream, []).append(message.data)
    for stream, records in streams.items():
        for first in range(0, len(records), MAX_BATCH_RECORDS):
            yield stream, records[first : first + MAX_BATCH_RECORDS]
