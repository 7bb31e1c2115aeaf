"""The outcomes: owns runs that must not happen twice, and remembers how they ended.

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

from _masticspoke.decisions.fleet import fate
from _masticspoke.decisions.fleet.fate import Fate
from _masticspoke.decisions.fleet.fate import Fates
from _masticspoke.fleet.guarding import Interrupted
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
    """Inbound listener to outcomes: run this, unless it was promised never to run.

    :param run: the run; it is awaited in a task of its own.
    :param reply: the run's end; ``None`` if it may not run.
    """

    request_id: str
    run: Callable[[], Awaitable[RunResult]]
    reply: Reply[RunResult | None]


@final
@dataclass(frozen=True, slots=True)
class RunOnceEnded:
    """A run's task to outcomes: how it ended."""

    request_id: str
    result: RunResult


@final
@dataclass(frozen=True, slots=True)
class AskOutcome:
    """Inbound listener to outcomes: what became of a request?

    :param asked_after_s: time since it was sent.
    :param reply: the run's end, once it has ended; ``None`` if it never came and
        will not run.
    """

    request_id: str
    asked_after_s: float
    reply: Reply[RunResult | None]


RunRecorderMessage = RunOnce | RunOnceEnded | AskOutcome


@final
@dataclass(slots=True)
class RunRecorderState:
    """What must outlive a crash of the task: promises that were given."""

    requests: Fates = field(default_factory=Fates)
    results: dict[str, RunResult] = field(default_factory=dict)
    waiting: dict[str, list[Reply[RunResult | None]]] = field(default_factory=dict)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)


@final
@dataclass(slots=True)
class _Served:
    inbox: Mailbox[RunRecorderMessage]
    kept: RunRecorderState


def run_recorder(
    inbox: Mailbox[RunRecorderMessage], kept: RunRecorderState, clock: Clock
) -> ChildBody:
    """Return the body of the fates' task."""

    async def run(life: Lifecycle) -> None:
        await serve_at_once(inbox, _Served(inbox, kept), _HANDLERS, clock, life)

    return run


def _run_once(served: _Served, message: RunOnce, now: float) -> None:
    kept = served.kept
    before = fate.begin(kept.requests, message.request_id, now)
    if before is not None:
        came_twice = None if before is Fate.NEVER else Interrupted("came twice")
        message.reply.answer(came_twice)
        return
    kept.waiting[message.request_id] = [message.reply]
    task = asyncio.create_task(_run(served.inbox, message))
    kept.tasks.add(task)
    task.add_done_callback(kept.tasks.discard)


async def _run(inbox: Mailbox[RunRecorderMessage], message: RunOnce) -> None:
    result: RunResult = Interrupted("the run was cut off")
    try:
        result = await message.run()
    finally:
        inbox.tell(RunOnceEnded(message.request_id, result))


def _ended(served: _Served, message: RunOnceEnded, now: float) -> None:
    kept = served.kept
    fate.end(kept.requests, message.request_id, now)
    kept.results[message.request_id] = message.result
    for request_id in kept.results.keys() - kept.requests.ended.keys():
        del kept.results[request_id]
    for reply in kept.waiting.pop(message.request_id, ()):
        reply.answer(message.result)


def _ask_fate(served: _Served, message: AskOutcome, now: float) -> None:
    kept = served.kept
    found = fate.settle(kept.requests, message.request_id, message.asked_after_s, now)
    _FOUND[found](kept, message)


def _tell_later(kept: RunRecorderState, message: AskOutcome) -> None:
    kept.waiting.setdefault(message.request_id, []).append(message.reply)


def _tell_end(kept: RunRecorderState, message: AskOutcome) -> None:
    message.reply.answer(kept.results.get(message.request_id, Interrupted("forgotten")))


def _tell_never(kept: RunRecorderState, message: AskOutcome) -> None:
    message.reply.answer(None)


_FOUND: dict[Fate, Callable[[RunRecorderState, AskOutcome], None]] = {
    Fate.RUNNING: _tell_later,
    Fate.ENDED: _tell_end,
    Fate.NEVER: _tell_never,
}
_HANDLERS: Handlers[_Served] = {
    RunOnce: _run_once,
    RunOnceEnded: _ended,
    AskOutcome: _ask_fate,
}
