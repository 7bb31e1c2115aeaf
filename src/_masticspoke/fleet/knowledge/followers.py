"""Follow keyed streams of the log.

Each task has a connection of its own to the log. One that has gone silent is closed
when a request times out on it, so that no later request is sent on it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace
from random import Random
from typing import final

from _masticspoke.connections import open_session
from _masticspoke.decisions.backoff import pause_after
from _masticspoke.decisions.fleet.log_era import MAX_SPREAD_S
from _masticspoke.fleet.knowledge.era_watch import EraWatch
from _masticspoke.fleet.knowledge.messages import LogHealth
from _masticspoke.fleet.knowledge.messages import LogNotRead
from _masticspoke.fleet.knowledge.registry import RegistryMessage
from _masticspoke.model import Address
from _masticspoke.platform.log import LogClient
from _masticspoke.platform.log import LogFault
from _masticspoke.platform.log import read
from _masticspoke.platform.log import read_newest
from _masticspoke.platform.log import ReadResult
from _masticspoke.platform.log import split_keyed
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.supervisor import Clock
from _masticspoke.supervise.switch import Switch

# Timeout of one request to the log, except for long polls.
LOG_TIMEOUT_S = 1.5
# A long poll may take this long in addition to the time that it waits for a record.
POLL_MARGIN_S = 0.8
# Connecting within the platform's network takes a few milliseconds.
CONNECT_TIMEOUT_S = 0.4
# Bounds of the exponential backoff while requests to the log fail.
FIRST_RETRY_PAUSE_S = 0.15
MAX_RETRY_PAUSE_S = 1.0


@final
@dataclass(frozen=True, slots=True)
class KeyedRead:
    """Values of a keyed stream, from one read.

    :param pairs: key and value of each record, in the order of the stream; of the
        newest record of each key if ``anew``.
    :param anew: whether earlier records may have been missed.
    :param sent_at: time at which the read was sent; what the log acknowledged before
        is in this read or an earlier one, unless it was missed.
    :param reaches_end: whether that holds. A node that lags behind reads a long stream
        in several parts.
    """

    pairs: tuple[tuple[str, bytes], ...]
    anew: bool
    sent_at: float
    reaches_end: bool


OnRead = Callable[[KeyedRead], None]


@final
@dataclass(frozen=True, slots=True)
class Following:
    """How a stream is followed.

    :param read_wait_s: long poll: returns the time that a read at the end of the stream
        waits for a new record. A read that has gone silent is noticed this much later.
    :param batch_pause_s: returns the pause after a read with records, so that the next
        read returns many.
    :param active: off while the node follows the log through another node.
    :param clock: boot clock.
    """

    stream: str
    read_wait_s: Callable[[], float]
    batch_pause_s: Callable[[], float]
    active: Switch
    clock: Clock


def keyed_follower(
    registry: Mailbox[RegistryMessage],
    log: Address,
    following: Following,
    on_read: OnRead,
    eras: EraWatch,
) -> ChildBody:
    """Return the body of a task that follows a keyed stream.

    After each fault, and after each restore of the log from an older copy, the task
    begins with the newest value of each key, so that it never depends on records that
    the log has dropped.

    :param on_read: gets the values of each read, some of them more than once.
    """

    async def run(life: Lifecycle) -> None:
        life.mark_started()
        async with open_session(CONNECT_TIMEOUT_S) as session:
            client = LogClient(session, log, LOG_TIMEOUT_S, eras.answered)
            await _follow_until_cancelled(registry, client, following, on_read, eras)

    return run


async def _follow_until_cancelled(
    registry: Mailbox[RegistryMessage],
    client: LogClient,
    following: Following,
    on_read: OnRead,
    eras: EraWatch,
) -> None:
    random = Random()
    failures = 0
    changes = eras.changes
    while True:
        if not following.active.is_on:
            registry.tell(LogNotRead(following.stream))
            await following.active.wait_on()
            failures = 0
        if eras.changes != changes:
            changes = eras.changes
            await asyncio.sleep(random.uniform(0.0, MAX_SPREAD_S))
        fault, log_answered = await _follow(registry, client, following, on_read, eras)
        if fault is None:
            continue
        failures = 1 if log_answered else failures + 1
        registry.tell(LogHealth(following.stream, fault.value))
        await asyncio.sleep(
            pause_after(failures, FIRST_RETRY_PAUSE_S, MAX_RETRY_PAUSE_S, random)
        )


async def _follow(
    registry: Mailbox[RegistryMessage],
    client: LogClient,
    following: Following,
    on_read: OnRead,
    eras: EraWatch,
) -> tuple[LogFault | None, bool]:
    """Follow a stream until a fault, a restore, or until it need not be followed.

    :return: the fault, and whether the newest values had been read before it.
    """
    stream = following.stream
    changes = eras.changes
    sent_at = following.clock()
    newest = await read_newest(client, stream)
    if isinstance(newest, LogFault):
        return newest, False
    registry.tell(LogHealth(stream, None))
    poll_client = replace(client, timeout_s=POLL_MARGIN_S)
    on_read(KeyedRead(tuple(newest.values.items()), True, sent_at, True))
    offset = newest.next_offset
    while following.active.is_on:
        wait_s = following.read_wait_s()
        sent_at = following.clock()
        try:
            async with eras.interrupting(changes):
                result = await read(poll_client, stream, offset, wait_s)
        except TimeoutError:
            return None, True  # the log was restored
        if eras.changes != changes:
            return None, True
        if isinstance(result, LogFault):
            return result, True
        if not result.records and result.next_offset != offset:
            # The log no longer retains the records at this offset, or was restored.
            return LogFault.OFFSET_MISMATCH, True
        registry.tell(LogHealth(stream, None))
        on_read(KeyedRead(_pairs(result), False, sent_at, result.reaches_end))
        offset = result.next_offset
        pause_s = following.batch_pause_s() if result.records else 0.0
        if pause_s > 0:
            await asyncio.sleep(pause_s)
    return None, True


def _pairs(result: ReadResult) -> tuple[tuple[str, bytes], ...]:
    pairs = (split_keyed(record.data) for record in result.records)
    return tuple(pair for pair in pairs if pair is not None)
