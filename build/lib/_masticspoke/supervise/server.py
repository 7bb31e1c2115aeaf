"""The loop of a task that owns state and is reached through its mailbox."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import TypeVar

from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply
from _masticspoke.supervise.supervisor import Clock

S = TypeVar("S")
M = TypeVar("M")
Handlers = Mapping[type[Any], Callable[[S, Any, float], None]]


async def serve(
    inbox: Mailbox[M],
    state: S,
    handlers: Handlers[S],
    clock: Clock,
    life: Lifecycle,
    *,
    tick_s: float | None = None,
    on_tick: Callable[[S, float], None] | None = None,
    wait_s: Callable[[S, float], float | None] | None = None,
) -> None:
    """Handle each message by its type, with the present time, until cancelled.

    A crash costs the message in hand: its question is dropped, the others of the
    batch wait for the restarted task.

    :param state: what the task owns; handlers change it.
    :param handlers: the handler of each message type.
    :param tick_s: call ``on_tick`` when no message came for that many seconds,
        and after each batch.
    :param wait_s: returns ``tick_s`` anew before each wait.
    """
    life.mark_started()
    while True:
        if wait_s is not None:
            tick_s = wait_s(state, clock())
        batch = await inbox.receive(tick_s)
        for position, message in enumerate(batch, 1):
            try:
                handlers[type(message)](state, message, clock())
            except Exception:
                _drop_question(message)
                inbox.give_back(batch[position:])
                raise
        if on_tick is not None:
            on_tick(state, clock())


def _drop_question(message: Any) -> None:
    reply = getattr(message, "reply", None)
    if isinstance(reply, Reply):
        reply.drop()
