"""The run recorder: owns runs that must not happen twice, and keeps their results.

Such a run continues when the connection to its sender breaks, so that the sender can
still fetch the answer. A request that waits then is withdrawn.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import final

from _masticspoke.decisions.fleet import run_records
from _masticspoke.decisions.fleet.model import NotRun
from _masticspoke.decisions.fleet.run_records import RunRecords
from _masticspoke.decisions.fleet.run_records import RunStatus
from _masticspoke.fleet.guard.guarding import Declined
from _masticspoke.fleet.guard.guarding import Interrupted
from _masticspoke.fleet.guard.guarding import RunResult
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
    """Inbound listener to run recorder: run a request unless it is barred.

    A request is barred once the recorder has answered its sender that it has not run
    and never will.

    :param run: runs the request; awaited in a task of its own.
    :param reply: gets the result of the run, :class:`Interrupted` if the request was
        received before, or ``None`` if it is barred.
    """

    request_id: str
    run: Callable[[], Awaitable[RunResult]]
    reply: Reply[RunResult | None]


@final
@dataclass(frozen=True, slots=True)
class RunStarted:
    """Run task to run recorder: the request is sent to the backend server now."""

    request_id: str


@final
@dataclass(frozen=True, slots=True)
class SenderLeft:
    """Inbound listener to run recorder: the connection to a request's sender is closed.

    Its client may have left, or the sender asks for the outcome.
    """

    request_id: str


@final
@dataclass(frozen=True, slots=True)
class RunOnceEnded:
    """Run task to run recorder: the result of the run."""

    request_id: str
    result: RunResult


@final
@dataclass(frozen=True, slots=True)
class AskOutcome:
    """Inbound listener to run recorder: return the result of a request's run.

    :param asked_after_s: time since the request was sent.
    :param reply: gets the result once the run has ended. If there is no record of the
        request, it gets ``None``, and the request is barred from then on.
    """

    request_id: str
    asked_after_s: float
    reply: Reply[RunResult | None]


RunRecorderMessage = RunOnce | RunStarted | SenderLeft | RunOnceEnded | AskOutcome
# Result of a request that was still waiting when its sender left.
_WITHDRAWN = Declined(NotRun.BUSY, 0.0)


@final
@dataclass(slots=True)
class RunRecorderState:
    """State that outlives a crash of the task: barred requests must stay barred.

    :param results: results of ended runs, by request id.
    :param waiting: pending replies, sent when the run ends, by request id.
    :param tasks: tasks of the runs in progress, by request id.
    :param started: requests that were sent to the backend server.
    """

    records: RunRecords = field(default_factory=RunRecords)
    results: dict[str, RunResult] = field(default_factory=dict)
    waiting: dict[str, list[Reply[RunResult | None]]] = field(default_factory=dict)
    tasks: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    started: set[str] = field(default_factory=set)


@final
@dataclass(slots=True)
class _TaskState:
    inbox: Mailbox[RunRecorderMessage]
    recorder: RunRecorderState


def run_recorder(
    inbox: Mailbox[RunRecorderMessage], recorder: RunRecorderState, clock: Clock
) -> ChildBody:
    """Return the body of the run recorder's task."""

    async def run(life: Lifecycle) -> None:
        await serve_at_once(inbox, _TaskState(inbox, recorder), _HANDLERS, clock, life)

    return run


def _run_once(state: _TaskState, message: RunOnce, now: float) -> None:
    recorder = state.recorder
    earlier_status = run_records.begin(recorder.records, message.request_id, now)
    if earlier_status is not None:
        result = (
            None if earlier_status is RunStatus.BARRED else Interrupted("came twice")
        )
        message.reply.answer(result)
        return
    recorder.waiting[message.request_id] = [message.reply]
    recorder.tasks[message.request_id] = asyncio.create_task(_run(state, message))


async def _run(state: _TaskState, message: RunOnce) -> None:
    result: RunResult = Interrupted("the run was cut off")
    try:
        result = await message.run()
    except asyncio.CancelledError:
        if message.request_id not in state.recorder.started:
            result = _WITHDRAWN
        raise
    finally:
        state.inbox.tell(RunOnceEnded(message.request_id, result))


def _run_started(state: _TaskState, message: RunStarted, now: float) -> None:
    state.recorder.started.add(message.request_id)


def _sender_left(state: _TaskState, message: SenderLeft, now: float) -> None:
    """Withdraw a request that still waits; one that runs goes on.

    If its sender asks for the outcome, it hears that the request has not run.
    """
    recorder = state.recorder
    task = recorder.tasks.get(message.request_id)
    if task is not None and message.request_id not in recorder.started:
        task.cancel()


def _run_once_ended(state: _TaskState, message: RunOnceEnded, now: float) -> None:
    recorder = state.recorder
    run_records.end(recorder.records, message.request_id, now)
    recorder.tasks.pop(message.request_id, None)
    recorder.started.discard(message.request_id)
    recorder.results[message.request_id] = message.result
    for request_id in recorder.results.keys() - recorder.records.ended.keys():
        del recorder.results[request_id]
    for reply in recorder.waiting.pop(message.request_id, ()):
        reply.answer(message.result)


def _ask_outcome(state: _TaskState, message: AskOutcome, now: float) -> None:
    recorder = state.recorder
    status = run_records.look_up_or_bar(
        recorder.records, message.request_id, message.asked_after_s, now
    )
    _REPLY_BY_STATUS[status](recorder, message)


def _reply_when_ended(recorder: RunRecorderState, message: AskOutcome) -> None:
    recorder.waiting.setdefault(message.request_id, []).append(message.reply)


def _reply_result(recorder: RunRecorderState, message: AskOutcome) -> None:
    message.reply.answer(
        recorder.results.get(message.request_id, Interrupted("forgotten"))
    )


def _reply_barred(recorder: RunRecorderState, message: AskOutcome) -> None:
    message.reply.answer(None)


_REPLY_BY_STATUS: dict[RunStatus, Callable[[RunRecorderState, AskOutcome], None]] = {
    RunStatus.RUNNING: _reply_when_ended,
    RunStatus.ENDED: _reply_result,
    RunStatus.BARRED: _reply_barred,
}
_HANDLERS: Handlers[_TaskState] = {
    RunOnce: _run_once,
    RunStarted: _run_started,
    SenderLeft: _sender_left,
    RunOnceEnded: _run_once_ended,
    AskOutcome: _ask_outcome,
}
