"""Supervisors: start children in order, restart crashed ones, stop in reverse order."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from typing import final

from loguru import logger

from _masticspoke.decisions.restart import decide_restart
from _masticspoke.decisions.restart import Intensity
from _masticspoke.decisions.restart import RestartDecision
from _masticspoke.errors import TooManyRestartsError
from _masticspoke.events import Event
from _masticspoke.events import log_event
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle

Clock = Callable[[], float]


@final
@dataclass(frozen=True, slots=True)
class ChildSpec:
    """One child of a supervisor.

    :param name: unique among the siblings.
    :param body: runs until it is cancelled or asked to stop.
    :param stop_timeout_s: seconds to complete its work after a stop request; with 0 the
        child is cancelled immediately.
    """

    name: str
    body: ChildBody
    stop_timeout_s: float = 0.0


@final
@dataclass(slots=True)
class _RunningChild:
    spec: ChildSpec
    life: Lifecycle
    task: asyncio.Task[None]


def supervisor(
    name: str,
    children: Sequence[ChildSpec],
    clock: Clock,
    intensity: Intensity | None = None,
) -> ChildBody:
    """Return a child body that supervises ``children`` with the one-for-one strategy.

    A child that ends before it is asked to stop counts as crashed. It is restarted
    alone; its siblings keep running. When children crash more often than ``intensity``
    allows, the body raises :class:`TooManyRestartsError`, which the parent supervisor
    handles as a crash.

    :param intensity: ``None`` for the default restart intensity.
    """
    effective_intensity = intensity or Intensity()

    async def run(life: Lifecycle) -> None:
        running: dict[str, _RunningChild] = {}
        try:
            for spec in children:
                running[spec.name] = await _start(name, spec)
            life.mark_started()
            await _restart_crashed_children(
                name, running, life, clock, effective_intensity
            )
        finally:
            await _stop_all(running)

    return run


async def _start(parent_name: str, spec: ChildSpec) -> _RunningChild:
    """Start a child, and wait until it signals that it has started or its task ends."""
    life = Lifecycle()
    task = asyncio.create_task(
        _run_child(spec, life), name=f"{parent_name}/{spec.name}"
    )
    started = asyncio.create_task(life.started())
    await asyncio.wait({task, started}, return_when=asyncio.FIRST_COMPLETED)
    started.cancel()
    return _RunningChild(spec, life, task)


async def _run_child(spec: ChildSpec, life: Lifecycle) -> None:
    """Await the body in a coroutine: a body may return any awaitable."""
    await spec.body(life)


async def _restart_crashed_children(
    parent_name: str,
    running: dict[str, _RunningChild],
    life: Lifecycle,
    clock: Clock,
    intensity: Intensity,
) -> None:
    crashes: tuple[float, ...] = ()
    stopping = asyncio.create_task(life.stopping())
    try:
        while not life.is_stopping:
            tasks = {child.task for child in running.values()}
            await asyncio.wait({stopping, *tasks}, return_when=asyncio.FIRST_COMPLETED)
            for child in [c for c in running.values() if c.task.done()]:
                if life.is_stopping:
                    return
                decision, crashes = decide_restart(crashes, intensity, clock())
                _log_crash(parent_name, child)
                if decision is RestartDecision.ESCALATE:
                    raise TooManyRestartsError(
                        f"child {child.spec.name} of {parent_name} crashed too often",
                        "look at its logged errors and restart the node",
                    ) from _exception_of(child)
                running[child.spec.name] = await _start(parent_name, child.spec)
    finally:
        stopping.cancel()


def _exception_of(child: _RunningChild) -> BaseException | None:
    """Return what a child raised; ``None`` if it returned or was cancelled."""
    return None if child.task.cancelled() else child.task.exception()


def _log_crash(parent_name: str, child: _RunningChild) -> None:
    exception = _exception_of(child)
    log_event(
        Event.CHILD_CRASHED,
        supervisor=parent_name,
        child=child.spec.name,
        error=repr(exception),
    )
    if exception is not None:
        logger.opt(exception=exception).debug("child crashed")


async def _stop_all(running: dict[str, _RunningChild]) -> None:
    for child in reversed(list(running.values())):
        await _stop(child)


async def _stop(child: _RunningChild) -> None:
    """Ask a child to stop, and cancel it if it exceeds its stop timeout."""
    child.life.request_stop()
    if not child.task.done() and child.spec.stop_timeout_s > 0:
        await asyncio.wait({child.task}, timeout=child.spec.stop_timeout_s)
    if not child.task.done():
        child.task.cancel()
    await asyncio.gather(child.task, return_exceptions=True)
