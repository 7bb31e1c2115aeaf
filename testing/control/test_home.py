from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from testing.decisions.once.test_keys import digest_at
from testing.decisions.once.test_keys import identity
from testing.decisions.once.test_keys import SERVICE
from testing.decisions.once.test_keys import view
from testing.matching import assert_that
from testtools.matchers import Equals
from testtools.matchers import HasLength
from testtools.matchers import IsInstance

from _masticspoke.border.once import decode_once
from _masticspoke.border.records import MEMBERS_STREAM
from _masticspoke.control.home import home
from _masticspoke.control.home import HomeMessage
from _masticspoke.control.home import HomeState
from _masticspoke.decisions.once.model import Answered
from _masticspoke.decisions.once.model import Claim
from _masticspoke.decisions.once.model import SendConfirmRequest
from _masticspoke.decisions.once.model import StoredAnswer
from _masticspoke.decisions.once.state import OnceState
from _masticspoke.decisions.once.state import OUTCOME_UNKNOWN
from _masticspoke.messages.control import AppendRecord
from _masticspoke.messages.control import LogRecords
from _masticspoke.messages.control import ViewsChanged
from _masticspoke.messages.log import LogRecord
from _masticspoke.messages.once import AskKey
from _masticspoke.messages.once import Granted
from _masticspoke.messages.once import KeyAbandoned
from _masticspoke.messages.once import KeyEnded
from _masticspoke.messages.once import KeyResult
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply

V1 = view(1, 1, 2, 3)
KEY = digest_at(1, V1)
ANSWER = StoredAnswer(200, (), b"booked")


class World:
    """A home, and a log that stores each record that the home appends."""

    def __init__(self) -> None:
        self.writer: Mailbox[AppendRecord] = Mailbox(100)
        confirmer: Mailbox[SendConfirmRequest] = Mailbox(100)
        self.inbox: Mailbox[HomeMessage] = Mailbox(100)
        self.state = HomeState(OnceState(identity(1)), self.writer, confirmer)
        self.offset = V1.offset

    def start(self) -> asyncio.Task[None]:
        body = home(self.inbox, self.state, lambda: 0.0)
        return asyncio.ensure_future(body(Lifecycle()))

    def read_view(self) -> None:
        self.inbox.tell(ViewsChanged((V1,), V1.offset))
        self.read(b"joined", offset=0)
        self.read(b"joined", offset=1)

    def read(self, data: bytes, offset: int) -> None:
        record = LogRecord(MEMBERS_STREAM, offset, data)
        self.inbox.tell(ViewsChanged((), offset))
        self.inbox.tell(LogRecords(MEMBERS_STREAM, (record,), at_end=False))

    async def store_appended(self) -> None:
        for message in await self.writer.receive(1.0):
            self.offset += 1
            self.read(message.data, self.offset)

    def ask(self) -> Reply[KeyResult]:
        reply: Reply[KeyResult] = Reply()
        self.inbox.tell(AskKey(SERVICE, KEY, 1, reply))
        return reply

    async def granted(self) -> Reply[KeyResult]:
        reply = self.ask()
        await self.store_appended()
        assert_that(await reply.value(), IsInstance(Granted))
        return reply


def run(scenario: Callable[[World], Awaitable[None]]) -> None:
    async def main() -> None:
        world = World()
        task = world.start()
        world.read_view()
        try:
            async with asyncio.timeout(5.0):
                await scenario(world)
        finally:
            task.cancel()

    asyncio.run(main())


def test_run_answers_all_requests_with_its_key() -> None:
    async def scenario(world: World) -> None:
        first, second = await world.granted(), world.ask()

        world.inbox.tell(KeyEnded(first, Answered(ANSWER)))

        assert_that(await second.value(), Equals(ANSWER))
        assert_that(await world.ask().value(), Equals(ANSWER))

    run(scenario)


def test_abandoned_right_to_run_is_granted_to_next_request() -> None:
    async def scenario(world: World) -> None:
        first = await world.granted()

        world.inbox.tell(KeyAbandoned(first))
        world.inbox.tell(KeyEnded(first, Answered(ANSWER)))

        assert_that(await world.ask().value(), IsInstance(Granted))

    run(scenario)


def test_stored_answer_survives_crash_of_task() -> None:
    async def scenario(world: World) -> None:
        reply = await world.granted()
        world.inbox.tell(KeyEnded(reply, Answered(ANSWER)))
        assert_that(await world.ask().value(), Equals(ANSWER))

        world.inbox.tell("no message")  # type: ignore[arg-type]
        await asyncio.sleep(0)
        restarted = world.start()
        try:
            assert_that(await world.ask().value(), Equals(ANSWER))
        finally:
            restarted.cancel()

    run(scenario)


def test_home_that_missed_records_grants_and_claims_nothing() -> None:
    async def scenario(world: World) -> None:
        world.read(b"other", offset=9)

        result = await world.ask().value()

        assert not isinstance(result, Granted)
        assert_that(await world.writer.receive(0.2), HasLength(0))

    run(scenario)


def test_earlier_kept_claim_of_another_home_prevents_run() -> None:
    async def scenario(world: World) -> None:
        kept = b'{"type":"kept","s":"%s","c":[{"type":"claim","s":"%s","d":"%s",'
        kept += b'"w":{"n":"127.0.0.1:9","p":"p9"},"v":1}]}'
        data = kept % (SERVICE.encode(), SERVICE.encode(), KEY.encode())
        assert decode_once(data) is not None
        world.read(data, offset=2)

        assert_that(await world.ask().value(), Equals(OUTCOME_UNKNOWN))

    run(scenario)


def test_request_that_did_not_run_may_be_granted_again() -> None:
    async def scenario(world: World) -> None:
        refusal = Refusal(Reason.QUEUE_FULL)
        reply = await world.granted()
        second = world.ask()
        world.inbox.tell(KeyEnded(reply, refusal))

        assert_that(await second.value(), Equals(refusal))
        assert_that(await world.ask().value(), IsInstance(Granted))

    run(scenario)


def test_claim_is_appended_to_members_stream() -> None:
    async def scenario(world: World) -> None:
        world.ask()
        (message,) = await world.writer.receive(1.0)

        assert_that(message.stream, Equals(MEMBERS_STREAM))
        claim = Claim(SERVICE, KEY, identity(1), 1)
        assert_that(decode_once(message.data), Equals(claim))

    run(scenario)
