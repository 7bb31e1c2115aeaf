from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from _masticspoke.border.records import CATALOGUE_STREAM
from _masticspoke.border.records import encode_record
from _masticspoke.border.records import MEMBERS_STREAM
from _masticspoke.control.keeper import keeper
from _masticspoke.control.keeper import KeeperMessage
from _masticspoke.control.keeper_state import KeeperState
from _masticspoke.control.keeper_state import Published
from _masticspoke.decisions.catalogue import CatalogueState
from _masticspoke.decisions.catalogue import Change
from _masticspoke.decisions.local_backend import LocalBackend
from _masticspoke.decisions.members import Joined
from _masticspoke.decisions.snapshots import SnapshotPolicy
from _masticspoke.messages.control import Announce
from _masticspoke.messages.control import AppendRecord
from _masticspoke.messages.control import AskPosition
from _masticspoke.messages.control import CatalogueChanged
from _masticspoke.messages.control import LogHealth
from _masticspoke.messages.control import LogRecords
from _masticspoke.messages.control import MembersChanged
from _masticspoke.messages.control import NodeStopping
from _masticspoke.messages.control import PeersAsked
from _masticspoke.messages.control import PeerUpdate
from _masticspoke.messages.control import ViewsChanged
from _masticspoke.messages.log import LogRecord
from _masticspoke.model import Address
from _masticspoke.model import Catalogue
from _masticspoke.model import Member
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal
from _masticspoke.supervise.ask import ask
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply

NODE = Address("127.0.0.1", 1)
OTHER = Address("127.0.0.1", 2)
INCARNATION = "0123456789ab-cd-0000"


class RunningKeeper:
    """A keeper's task, and the messages that it published and appended."""

    def __init__(self) -> None:
        self.published: list[Published] = []
        self.inbox: Mailbox[KeeperMessage] = Mailbox(100)
        self.writer: Mailbox[AppendRecord] = Mailbox(100)
        self.now = 0.0
        self.state = KeeperState(
            self.writer,
            self.published.append,
            LocalBackend(NODE, INCARNATION),
            SnapshotPolicy(records=1_000, interval_s=600.0),
        )
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        body = keeper(self.inbox, self.state, lambda: self.now)
        self.task = asyncio.ensure_future(body(Lifecycle()))

    async def tell(self, *messages: KeeperMessage) -> None:
        """Send messages, and wait until the keeper has handled them."""
        for message in messages:
            self.inbox.tell(message)
        reply: Reply[int] = Reply()
        await ask(self.inbox, AskPosition(MEMBERS_STREAM, reply), reply)

    def versions(self) -> list[int]:
        changes = [m for m in self.published if isinstance(m, CatalogueChanged)]
        return [m.catalogue.version for m in changes]


def run(scenario: Callable[[RunningKeeper], Awaitable[None]]) -> RunningKeeper:
    async def main() -> RunningKeeper:
        running = RunningKeeper()
        running.start()
        await scenario(running)
        assert running.task is not None
        running.task.cancel()
        return running

    return asyncio.run(main())


def change(offset: int) -> LogRecord:
    data = encode_record(Change(f"id-{offset}", offset, Catalogue()))
    return LogRecord(CATALOGUE_STREAM, offset, data)


def read(stream: str, *records: LogRecord, at_end: bool = False) -> LogRecords:
    return LogRecords(stream, records, 0, at_end)


def state_of(version: int) -> CatalogueState:
    return CatalogueState(Catalogue(version), f"id-{version - 1}", version - 1)


def test_catalogue_is_published_only_at_end_of_log() -> None:
    async def scenario(running: RunningKeeper) -> None:
        await running.tell(read(CATALOGUE_STREAM, change(0), change(1)))
        await running.tell(read(CATALOGUE_STREAM, change(2)))
        assert running.versions() == []
        await running.tell(read(CATALOGUE_STREAM, at_end=True))

    assert run(scenario).versions() == [3]


def test_without_log_catalogue_is_published_after_peers_were_asked() -> None:
    async def scenario(running: RunningKeeper) -> None:
        await running.tell(PeerUpdate(catalogue=state_of(4)), PeersAsked())
        assert running.versions() == []
        await running.tell(LogHealth("catalogue-reader", "no answer"))
        await running.tell(PeerUpdate(catalogue=state_of(3)))

    assert run(scenario).versions() == [4]


def test_version_survives_crash_of_task() -> None:
    async def scenario(running: RunningKeeper) -> None:
        await running.tell(read(CATALOGUE_STREAM, change(0), change(1)))
        await running.tell(read(CATALOGUE_STREAM, at_end=True))
        assert running.task is not None
        running.task.cancel()
        running.start()
        reply: Reply[int] = Reply()
        message = AskPosition(CATALOGUE_STREAM, reply)
        assert await ask(running.inbox, message, reply) == 2
        await running.tell(PeerUpdate(catalogue=state_of(1)))

    assert run(scenario).versions() == [2]


def test_views_are_published_before_their_records() -> None:
    member = Member("dennik", OTHER, OTHER, "sk-central-a", INCARNATION, 60, 440)
    record = LogRecord(MEMBERS_STREAM, 0, encode_record(Joined(member)))
    claim = LogRecord(MEMBERS_STREAM, 1, b'{"type": "unknown to the keeper"}')

    async def scenario(running: RunningKeeper) -> None:
        await running.tell(read(MEMBERS_STREAM, record, claim))

    published = run(scenario).published
    views, records, members = published
    assert isinstance(views, ViewsChanged)
    assert views.read_through == 1
    assert [(v.number, v.offset, v.members) for v in views.views] == [(1, 0, (member,))]
    assert isinstance(records, LogRecords)
    assert records.records == (record, claim)
    assert members == MembersChanged((member,))


def test_no_record_is_queued_while_log_is_unavailable() -> None:
    member = Member("dennik", NODE, NODE, "sk-central-a", "", 60, 440)

    async def scenario(running: RunningKeeper) -> None:
        await running.tell(LogHealth("members-reader", "no answer"))
        await running.tell(Announce(member, 1_000.0, Reply()))
        for _ in range(50):
            running.now += 10.0
            await running.tell()
        assert running.writer.depth == 0
        await running.tell(LogHealth("members-reader"))
        assert running.writer.depth == 1

    run(scenario)


def test_stopping_node_refuses_announcement() -> None:
    member = Member("dennik", NODE, NODE, "sk-central-a", "", 60, 440)

    async def scenario(running: RunningKeeper) -> None:
        reply: Reply[Refusal | None] = Reply()
        await running.tell(NodeStopping(), Announce(member, 3.0, reply))
        refusal = await reply.value()
        assert refusal is not None
        assert refusal.reason is Reason.STOPPING

    assert run(scenario).state.local_backend.member is None
