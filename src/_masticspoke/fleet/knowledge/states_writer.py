"""Append this node's states and crash reports to the log."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from random import Random
from typing import final

from _masticspoke.border.backend_state import encode_state
from _masticspoke.border.crash_report import encode_report
from _masticspoke.border.crash_report import report_key
from _masticspoke.connections import open_session
from _masticspoke.decisions.backoff import pause_after
from _masticspoke.decisions.fleet.append_epochs import next_epoch
from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.suspects import CrashReport
from _masticspoke.fleet.knowledge.era_watch import EraWatch
from _masticspoke.fleet.knowledge.followers import CONNECT_TIMEOUT_S
from _masticspoke.fleet.knowledge.followers import FIRST_RETRY_PAUSE_S
from _masticspoke.fleet.knowledge.followers import LOG_TIMEOUT_S
from _masticspoke.fleet.knowledge.followers import MAX_RETRY_PAUSE_S
from _masticspoke.fleet.knowledge.messages import LogHealth
from _masticspoke.fleet.knowledge.messages import Unsaved
from _masticspoke.fleet.knowledge.registry import RegistryMessage
from _masticspoke.model import Address
from _masticspoke.platform.log import append
from _masticspoke.platform.log import Fence
from _masticspoke.platform.log import keyed_record
from _masticspoke.platform.log import LogClient
from _masticspoke.platform.log import LogFault
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply


@final
@dataclass(slots=True)
class WriterState:
    """State of the writer, which outlives a crash of the task.

    :param unsaved: values that are not in the log yet, by key.
    :param waiting: replies that are answered once all of them are.
    :param epoch: epoch of the last append; 0 before the first.
    :param refusals: appends that the log has refused in a row for their epoch.
    """

    unsaved: dict[str, bytes] = field(default_factory=dict)
    waiting: list[Reply[bool]] = field(default_factory=list)
    epoch: int = 0
    refusals: int = 0


def states_writer(
    inbox: Mailbox[Unsaved],
    state: WriterState,
    registry: Mailbox[RegistryMessage],
    log: Address,
    stream: str,
    eras: EraWatch,
    producer: str,
) -> ChildBody:
    """Return the body of the task that appends this node's states and crash reports.

    An append that failed or whose answer was lost is repeated; a second equal record is
    harmless. An earlier append is never done after a later one.

    :param producer: name of this node among the writers to the stream, for the log; it
        outlives the process.
    """

    async def run(life: Lifecycle) -> None:
        life.mark_started()
        async with open_session(CONNECT_TIMEOUT_S) as session:
            client = LogClient(session, log, LOG_TIMEOUT_S, eras.answered)
            await _append_until_cancelled(
                inbox, state, registry, client, stream, producer
            )

    return run


async def _append_until_cancelled(
    inbox: Mailbox[Unsaved],
    state: WriterState,
    registry: Mailbox[RegistryMessage],
    client: LogClient,
    stream: str,
    producer: str,
) -> None:
    random = Random()
    failures = 0
    while True:
        pause_s = pause_after(failures, FIRST_RETRY_PAUSE_S, MAX_RETRY_PAUSE_S, random)
        for message in await inbox.receive(pause_s if state.unsaved else None):
            _accept(state, message)
        if state.unsaved:
            values = state.unsaved.items()
            records = [keyed_record(key, value) for key, value in values]
            wall_ms = int(time.time() * 1000)
            state.epoch = next_epoch(state.epoch, wall_ms, state.refusals)
            fence = Fence(producer, state.epoch)
            result = await append(client, stream, records, fence=fence)
            is_fenced = result is LogFault.FENCED
            state.refusals = state.refusals + 1 if is_fenced else 0
            if isinstance(result, LogFault):
                failures += 1
                registry.tell(LogHealth("writer", result.value))
                continue
            failures = 0
            state.unsaved.clear()
            registry.tell(LogHealth("writer", None))
        waiting, state.waiting = state.waiting, []
        for reply in waiting:
            reply.answer(True)


def _accept(state: WriterState, message: Unsaved) -> None:
    if message.entry is not None:
        key, value = _ENCODERS[type(message.entry)](message.entry)
        state.unsaved[key] = value
    if message.saved is not None:
        state.waiting = [reply for reply in state.waiting if not reply.abandoned]
        state.waiting.append(message.saved)


def _encode_server(server: BackendServer) -> tuple[str, bytes]:
    return str(server.address), encode_state(server)


def _encode_crashes(report: CrashReport) -> tuple[str, bytes]:
    return report_key(report.address), encode_report(report)


_ENCODERS: dict[type, Callable[..., tuple[str, bytes]]] = {
    BackendServer: _encode_server,
    CrashReport: _encode_crashes,
}
