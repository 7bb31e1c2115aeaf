"""The log reader: follows one stream and hands its records to the keeper."""

from __future__ import annotations

import asyncio

from _masticspoke.control.keeper import KeeperMessage
from _masticspoke.exchange import Connections
from _masticspoke.messages import LogRecords
from _masticspoke.model import Address
from _masticspoke.platform.log import LogClient
from _masticspoke.platform.log import LogFault
from _masticspoke.platform.log import read
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox


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

    :param wait_s: how long the log may hold a read that has no record yet.
    :param pause_s: pause after a failed read.
    """

    async def run(life: Lifecycle) -> None:
        life.mark_started()
        client = LogClient(connections.session, address, timeout_s)
        offset = 0
        while True:
            result = await read(client, stream, offset, wait_s)
            if isinstance(result, LogFault):
                await asyncio.sleep(pause_s)
                continue
            offset = result.next_offset
            if result.records:
                keeper.tell(LogRecords(result.records))

    return run
