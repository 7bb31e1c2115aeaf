"""The log reader: reads one stream and sends its records to the keeper."""

from __future__ import annotations

import asyncio
from random import Random

from _masticspoke.connections import Connections
from _masticspoke.control.keeper import KeeperMessage
from _masticspoke.decisions.backoff import pause_after
from _masticspoke.messages.control import AskPosition
from _masticspoke.messages.control import LogHealth
from _masticspoke.messages.control import LogRecords
from _masticspoke.model import Address
from _masticspoke.platform.log import LogClient
from _masticspoke.platform.log import LogFault
from _masticspoke.platform.log import read
from _masticspoke.platform.log import ReadResult
from _masticspoke.supervise.ask import ask
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Delivery
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply

MAX_RETRY_PAUSE_S = 2.0


def log_reader(
    keeper: Mailbox[KeeperMessage],
    connections: Connections,
    address: Address,
    stream: str,
    timeout_s: float,
    wait_s: float,
    pause_s: float,
) -> ChildBody:
    """Return the body of a reader's task.

    The keeper holds the position, so that no record is skipped when the reader or the
    keeper restarts.

    :param wait_s: how long the log may delay its answer when it has no record yet.
    :param pause_s: longest pause after the first failed read; it doubles with each
        failure in a row, up to :data:`MAX_RETRY_PAUSE_S`.
    """
    source = f"{stream}-reader"

    async def run(life: Lifecycle) -> None:
        life.mark_started()
        client = LogClient(connections.session, address, timeout_s)
        random = Random()
        failures = 0
        # Reads wait only at the end of the stream, so that the first read that reaches
        # the end reports it at once.
        read_wait_s = 0.0
        while True:
            offset = await _ask_position(keeper, stream, pause_s)
            result = await read(client, stream, offset, read_wait_s)
            if isinstance(result, LogFault):
                failures += 1
                keeper.tell(LogHealth(source, result.value))
                await asyncio.sleep(
                    pause_after(failures, pause_s, MAX_RETRY_PAUSE_S, random)
                )
                continue
            failures = 0
            read_wait_s = 0.0 if result.records else wait_s
            keeper.tell(LogHealth(source))
            _forward(keeper, stream, result)

    return run


def _forward(
    keeper: Mailbox[KeeperMessage], stream: str, result: ReadResult
) -> Delivery:
    return keeper.tell(
        LogRecords(stream, result.records, result.oldest_offset, not result.records)
    )


async def _ask_position(
    keeper: Mailbox[KeeperMessage], stream: str, pause_s: float
) -> int:
    while True:
        reply: Reply[int] = Reply()
        offset = await ask(keeper, AskPosition(stream, reply), reply)
        if offset is not None:
            return offset
        await asyncio.sleep(pause_s)
