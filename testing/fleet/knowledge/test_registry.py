from __future__ import annotations

import asyncio

from testing.decisions.fleet.samples import server

from _masticspoke.decisions.fleet.freshness import Confirmation
from _masticspoke.decisions.fleet.model import Configuration
from _masticspoke.decisions.fleet.model import Organisation
from _masticspoke.decisions.fleet.suspects import SuspectView
from _masticspoke.events import Event
from _masticspoke.fleet.guard.gate import GateMessage
from _masticspoke.fleet.knowledge.era_watch import EraWatch
from _masticspoke.fleet.knowledge.messages import ConfigurationReceived
from _masticspoke.fleet.knowledge.messages import LogHealth
from _masticspoke.fleet.knowledge.messages import Unsaved
from _masticspoke.fleet.knowledge.registry import registry
from _masticspoke.fleet.knowledge.registry import RegistryMessage
from _masticspoke.fleet.knowledge.registry_state import RegistryPort
from _masticspoke.fleet.knowledge.registry_state import RegistryState
from _masticspoke.fleet.knowledge.relay_messages import AskNews
from _masticspoke.fleet.knowledge.relay_messages import News
from _masticspoke.fleet.knowledge.relay_messages import VersionConfirmed
from _masticspoke.fleet.reporting.counts import TrailMessage
from _masticspoke.fleet.reporting.event_record import EventRecord
from _masticspoke.supervise.latest import Latest
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply
from _masticspoke.supervise.switch import Switch


class RunningRegistry:
    """A registry's task and its mailboxes; ``now`` is its clock's time."""

    def __init__(self, revocation_s: float | None = None) -> None:
        self.now = 0.0
        self.confirmation = Latest(Confirmation())
        self.inbox: Mailbox[RegistryMessage] = Mailbox(100)
        self.trail: Mailbox[TrailMessage] = Mailbox(100)
        self.gate: Mailbox[GateMessage] = Mailbox(100)
        self.unsaved: Mailbox[Unsaved] = Mailbox(100)
        self.local_service = Latest("desk")
        self.state = RegistryState()
        self.eras = EraWatch(lambda: self.now)
        port = RegistryPort(
            Latest(None),
            self.gate,
            Mailbox(100),
            Mailbox(100),
            Mailbox(100),
            self.unsaved,
            Latest(SuspectView()),
            self.trail,
            "keyed.op",
            "keyed.servers",
            self.eras,
            Switch(),
            self.confirmation,
            revocation_s,
            self.local_service,
        )
        body = registry(
            self.inbox, self.state, port, server(1).address, lambda: self.now
        )
        self.life = Lifecycle()
        self.task = asyncio.create_task(body(self.life))  # type: ignore[arg-type]

    def events(self, event: Event) -> list[dict[str, object]]:
        records = self.trail.receive_nowait()
        return [
            dict(record.fields)
            for record in records
            if isinstance(record, EventRecord) and record.event is event
        ]


def test_line_of_a_configuration_gives_its_source_and_the_logs_last_answer() -> None:
    async def scenario() -> None:
        running = RunningRegistry()
        await running.life.started()
        running.inbox.tell(LogHealth("keyed.op", None))
        running.now = 8.25
        running.inbox.tell(ConfigurationReceived(Configuration(7, {}), b"7", "peer"))
        (fields,) = running.events(Event.CONFIGURATION_IN_FORCE)
        running.task.cancel()

        assert fields["source"] == "peer"
        assert fields["log_answer_age_ms"] == {"keyed.op": 8250}

    asyncio.run(scenario())


def test_line_of_a_lost_log_gives_the_age_of_its_last_answer() -> None:
    async def scenario() -> None:
        running = RunningRegistry()
        await running.life.started()
        running.inbox.tell(LogHealth("keyed.op", None))
        running.now = 21.5
        running.inbox.tell(LogHealth("keyed.op", "no answer"))
        (fields,) = running.events(Event.LOG_UNAVAILABLE)
        running.task.cancel()

        assert fields["log_answer_age_ms"] == 21_500

    asyncio.run(scenario())


def test_fresh_node_waits_for_the_log_before_it_takes_a_version_of_a_peer() -> None:
    """The peer may have missed that the version was replaced."""

    async def scenario() -> None:
        running = RunningRegistry()
        await running.life.started()
        running.inbox.tell(ConfigurationReceived(Configuration(7, {}), b"7", "peer"))
        assert not running.events(Event.CONFIGURATION_IN_FORCE)
        running.inbox.tell(LogHealth("keyed.op", None))
        running.inbox.tell(ConfigurationReceived(Configuration(9, {}), b"9", "log"))
        (fields,) = running.events(Event.CONFIGURATION_IN_FORCE)
        running.task.cancel()

        assert (fields["version"], fields["before"]) == (9, 0)

    asyncio.run(scenario())


def test_fresh_node_takes_the_newest_version_of_its_peers_without_the_log() -> None:
    async def scenario() -> None:
        running = RunningRegistry()
        await running.life.started()
        for version in (7, 8, 6):
            configuration = Configuration(version, {})
            running.inbox.tell(ConfigurationReceived(configuration, b"", "peer"))
        running.inbox.tell(LogHealth("keyed.op", "down"))
        (fields,) = running.events(Event.CONFIGURATION_IN_FORCE)
        running.task.cancel()

        assert fields["version"] == 8

    asyncio.run(scenario())


KEYS = {"k1": Organisation("north")}


def test_lines_tell_once_that_keys_are_refused_and_accepted_again() -> None:
    """Without the first line an operator sees refusals without a cause."""

    async def scenario() -> None:
        running = RunningRegistry(revocation_s=0.1)
        await running.life.started()
        configuration = Configuration(7, {}, organisations=KEYS)
        running.inbox.tell(ConfigurationReceived(configuration, b"7", "log"))
        running.inbox.tell(VersionConfirmed(7, 0.0))
        running.inbox.tell(LogHealth("keyed.op", "no answer"))
        assert not running.events(Event.KEYS_REFUSED)
        running.now = 0.2
        await asyncio.sleep(0.2)
        running.inbox.tell(VersionConfirmed(7, 0.05))
        await asyncio.sleep(0.05)
        (fields,) = running.events(Event.KEYS_REFUSED)
        assert fields["confirmed_age_ms"] == 200
        assert fields["log_faults"] == {"keyed.op": "no answer"}
        running.now = 0.5
        running.inbox.tell(VersionConfirmed(7, 0.45))
        running.inbox.tell(VersionConfirmed(7, 0.46))
        (fields,) = running.events(Event.KEYS_ACCEPTED)
        assert fields["stale_ms"] == 300
        running.task.cancel()

    asyncio.run(scenario())


def test_lost_version_is_not_confirmed_by_the_message_after_it() -> None:
    async def scenario() -> None:
        running = RunningRegistry(revocation_s=5.0)
        await running.life.started()
        running.inbox.tell(ConfigurationReceived(Configuration(7, {}), b"7", "log"))
        running.inbox.tell(VersionConfirmed(7, 1.0))
        running.inbox.tell(VersionConfirmed(9, 2.0))
        assert running.confirmation.value == Confirmation(7, 1.0)
        running.inbox.tell(ConfigurationReceived(Configuration(9, {}), b"9", "peer"))
        assert running.confirmation.value == Confirmation(7, 1.0)
        running.inbox.tell(VersionConfirmed(9, 3.0))
        assert running.confirmation.value == Confirmation(9, 3.0)
        running.task.cancel()

    asyncio.run(scenario())


def test_relay_answers_with_its_version_and_the_age_of_its_confirmation() -> None:
    async def scenario() -> None:
        running = RunningRegistry(revocation_s=5.0)
        await running.life.started()
        running.inbox.tell(ConfigurationReceived(Configuration(7, {}), b"7", "log"))
        running.inbox.tell(VersionConfirmed(7, 1.0))
        running.now = 1.75
        reply: Reply[News] = Reply()
        running.inbox.tell(AskNews("keyed.op", 0, 0, 7, False, reply))
        news = await reply.value()
        assert (news.version, news.confirmed_age_s) == (7, 0.75)
        running.task.cancel()

    asyncio.run(scenario())


# A node confirmed its keys by a log that had lost their revocation, or refused all keys
# until the configuration was published again.
def test_restored_log_confirms_the_version_once_peers_were_asked() -> None:
    async def scenario() -> None:
        running = RunningRegistry(5.0)
        await running.life.started()
        running.inbox.tell(LogHealth("keyed.op", None))
        running.inbox.tell(ConfigurationReceived(Configuration(9, {}), b"9", "log"))
        running.inbox.tell(VersionConfirmed(9, 1.0, True))
        running.eras.answered(1, 1.0)
        running.eras.answered(2, 1.0)
        running.inbox.tell(VersionConfirmed(8, 2.0, True))
        assert running.confirmation.value.at == 1.0
        running.eras.peers_asked(running.eras.changes)
        running.inbox.tell(VersionConfirmed(8, 3.0))  # a relay that is behind
        assert running.confirmation.value.at == 1.0
        running.inbox.tell(VersionConfirmed(8, 4.0, True))
        running.task.cancel()

        assert running.confirmation.value == Confirmation(9, 4.0)

    asyncio.run(scenario())


def test_first_configuration_is_confirmed_by_the_read_that_showed_it() -> None:
    """It may be held until peers were asked, and a ready node would refuse all keys."""

    async def scenario() -> None:
        running = RunningRegistry(revocation_s=5.0)
        await running.life.started()
        running.inbox.tell(VersionConfirmed(7, 1.0))
        running.inbox.tell(VersionConfirmed(7, 1.5))
        running.inbox.tell(LogHealth("keyed.op", None))
        running.inbox.tell(ConfigurationReceived(Configuration(7, {}), b"7", "log"))
        assert running.confirmation.value == Confirmation(7, 1.5)
        running.task.cancel()

    asyncio.run(scenario())
