from __future__ import annotations

import asyncio
from dataclasses import dataclass

from _masticspoke.supervise.ask import ask_or
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply
from _masticspoke.supervise.server import Handlers
from _masticspoke.supervise.server import serve
from _masticspoke.supervise.server import serve_at_once
from _masticspoke.supervise.supervisor import ChildSpec
from _masticspoke.supervise.supervisor import supervisor


@dataclass(frozen=True)
class Divide:
    by: int
    reply: Reply[float]


def _divide(state: list[int], message: Divide, now: float) -> None:
    message.reply.answer(12 / message.by)


HANDLERS: Handlers[list[int]] = {Divide: _divide}


def divider(inbox: Mailbox[Divide]) -> ChildBody:
    async def run(life: Lifecycle) -> None:
        await serve(inbox, [], HANDLERS, lambda: 0.0, life)

    return run


def test_a_crash_drops_the_current_message_and_keeps_the_others() -> None:
    async def scenario() -> list[float | None]:
        inbox: Mailbox[Divide] = Mailbox(10)
        tree = supervisor("root", [ChildSpec("divider", divider(inbox))], lambda: 0.0)
        life = Lifecycle()

        async def ask(by: int) -> float | None:
            message = Divide(by, Reply())
            return await ask_or(inbox, message, message.reply, None)

        requests = [asyncio.create_task(ask(by)) for by in (3, 0, 4, 0, 6)]
        await asyncio.sleep(0)
        running = asyncio.ensure_future(tree(life))
        async with asyncio.timeout(10):
            answers = await asyncio.gather(*requests)
        life.request_stop()
        await running
        return answers

    assert asyncio.run(scenario()) == [4.0, None, 3.0, None, 2.0]


def test_ask_or_returns_the_default_when_the_mailbox_is_full() -> None:
    async def scenario() -> float | None:
        inbox: Mailbox[Divide] = Mailbox(0)
        message = Divide(1, Reply())
        return await ask_or(inbox, message, message.reply, None)

    assert asyncio.run(scenario()) is None


@dataclass(frozen=True)
class Note:
    text: str


@dataclass
class NotesState:
    handled: list[str]
    timer_calls: int = 0


def _handle_note(state: NotesState, message: Note, now: float) -> None:
    if message.text == "crash":
        raise ValueError("injected failure")
    state.handled.append(message.text)


def notes_task(inbox: Mailbox[Note], state: NotesState) -> ChildBody:
    def count_timer_call(state: NotesState, now: float) -> None:
        state.timer_calls += 1

    async def run(life: Lifecycle) -> None:
        await serve_at_once(
            inbox,
            state,
            {Note: _handle_note},
            lambda: 0.0,
            life,
            wait_s=lambda state, now: 0.01 if state.timer_calls == 0 else None,
            on_timer=count_timer_call,
        )

    return run


def send_notes(*texts: str) -> tuple[NotesState, Mailbox[Note]]:
    state, inbox = NotesState([]), Mailbox[Note](10)

    async def scenario() -> None:
        inbox.tell(Note("before"))
        specs = [ChildSpec("notes", notes_task(inbox, state))]
        tree = supervisor("root", specs, lambda: 0.0)
        life = Lifecycle()
        running = asyncio.ensure_future(tree(life))
        await life.started()
        for text in texts:
            inbox.tell(Note(text))
        await asyncio.sleep(0.05)
        life.request_stop()
        await running

    asyncio.run(scenario())
    return state, inbox


def test_messages_are_handled_in_order_whether_queued_or_not() -> None:
    state, _ = send_notes("one", "two")

    assert state.handled == ["before", "one", "two"]


def test_a_crash_loses_the_current_message_and_the_task_restarts() -> None:
    state, inbox = send_notes("one", "crash", "two")

    assert state.handled == ["before", "one", "two"]
    assert inbox.depth == 0


def test_timer_fires_without_a_further_message() -> None:
    state, _ = send_notes("one")

    assert state.timer_calls == 1


def test_message_sent_from_within_a_handler_is_handled_after_it() -> None:
    order: list[str] = []
    inbox: Mailbox[Note] = Mailbox(10)

    def handle(message: Note) -> None:
        order.append(f"begin {message.text}")
        if message.text == "outer":
            inbox.tell(Note("inner"))
        order.append(f"end {message.text}")

    inbox.set_handler(handle)
    inbox.tell(Note("outer"))

    assert order == ["begin outer", "end outer", "begin inner", "end inner"]
