"""The fates: owns runs that must not happen twice, and remembers how they ended.

Such a run goes on when the connection of its sender breaks, so that the sender can
still fetch the answer.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import final

from _masticspoke.decisions.fleet import run_records
from _masticspoke.decisions.fleet.run_records import RunRecords
from _masticspoke.decisions.fleet.run_records import RunStatus
from _masticspoke.fleet.guarding import Broke
from _masticspoke.fleet.guarding import RunResult
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply
from _masticspoke.supervise.server import Handlers
from _masticspoke.supervise.server import serve_at_once
from _masticspoke.supervise.supervisor import Clock


@final
@dataclass(frozen=True, slots=True)
class RunOnce:
    """Inbound listener to fates: run this, unless it was promised never to run.

    :param run: the run; it is awaited in a task of its own.
    :param reply: the run's end; ``None`` if it may not run.
    """

    request_id: str
    run: Callable[[], Awaitable[RunResult]]
    reply: Reply[RunResult | None]


@final
@dataclass(frozen=True, slots=True)
class RunOnceEnded:
    """A run's task to fates: how it ended."""

    request_id: str
    result: RunResult


@final
@dataclass(frozen=True, slots=True)
class AskFate:
    """Inbound listener to fates: what became of a request?

    :param asked_after_s: time since it was sent.
    :param reply: the run's end, once it has ended; ``None`` if it never came and
        will not run.
    """

    request_id: str
    asked_after_s: float
    reply: Reply[RunResult | None]


FatesMessage = RunOnce | RunOnceEnded | AskFate


@final
@dataclass(slots=True)
class FatesState:
    """What must outlive a crash of the task: promises that were given."""

    fates: RunRecords = field(default_factory=RunRecords)
    results: dict[str, RunResult] = field(default_factory=dict)
    waiting: dict[str, list[Reply[RunResult | None]]] = field(default_factory=dict)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)


@final
@dataclass(slots=True)
class _Served:
    inbox: Mailbox[FatesMessage]
    kept: FatesState


def fates(inbox: Mailbox[FatesMessage], kept: FatesState, clock: Clock) -> ChildBody:
    """Return the body of the fates' task."""

    async def run(life: Lifecycle) -> None:
        await serve_at_once(inbox, _Served(inbox, kept), _HANDLERS, clock, life)

    return run


def _run_once(served: _Served, message: RunOnce, now: float) -> None:
    kept = served.kept
    before = run_records.begin(kept.fates, message.request_id, now)
    if before is not None:
        came_twice = None if before is RunStatus.BARRED else Broke("came twice")
        message.reply.answer(came_twice)
        return
    kept.waiting[message.request_id] = [message.reply]
    task = asyncio.create_task(_run(served.inbox, message))
    kept.tasks.add(task)
    task.add_done_callback(kept.tasks.discard)


async def _run(inbox: Mailbox[FatesMessage], message: RunOnce) -> None:
    result: RunResult = Broke("the run was cut off")
    try:
        result = await message.run()
    finally:
        inbox.tell(RunOnceEnded(message.request_id, result))


def _ended(served: _Served, message: RunOnceEnded, now: float) -> None:
    kept = served.kept
    run_records.end(kept.fates, message.request_id, now)
    kept.results[message.request_id] = message.result
    for request_id in kept.results.keys() - kept.fates.ended.keys():
        del kept.results[request_id]
    for reply in kept.waiting.pop(message.request_id, ()):
        reply.answer(message.result)


def _ask_fate(served: _Served, message: AskFate, now: float) -> None:
    kept = served.kept
    found = run_records.look_up_or_bar(
        kept.fates, message.request_id, message.asked_after_s, now
    )
    _FOUND[found](kept, message)


def _tell_later(kept: FatesState, message: AskFate) -> None:
    kept.waiting.setdefault(message.request_id, []).append(message.reply)


def _tell_end(kept: FatesState, message: AskFate) -> None:
    message.reply.answer(kept.results.get(message.request_id, Broke("forgotten")))


def _tell_never(kept: FatesState, message: AskFate) -> None:
    message.reply.answer(None)


_FOUND: dict[RunStatus, Callable[[FatesState, AskFate], None]] = {
    RunStatus.RUNNING: _tell_later,
    RunStatus.ENDED: _tell_end,
    RunStatus.BARRED: _tell_never,
}
_HANDLERS: Handlers[_Served] = {
    RunOnce: _run_once,
    RunOnceEnded: _ended,
    AskFate: _ask_fate,
}
