"""Which version a read of the log confirms."""

from __future__ import annotations

import json
from dataclasses import dataclass
from dataclasses import field

import pytest

from _masticspoke.events import Event
from _masticspoke.fleet.knowledge.followers import KeyedRead
from _masticspoke.fleet.knowledge.followers import OnRead
from _masticspoke.fleet.knowledge.log_values import ConfigurationReads
from _masticspoke.fleet.knowledge.log_values import LogValuesPort
from _masticspoke.fleet.knowledge.log_values import on_configuration
from _masticspoke.fleet.knowledge.messages import ConfigurationReceived
from _masticspoke.fleet.knowledge.registry import RegistryMessage
from _masticspoke.fleet.knowledge.relay_messages import VersionConfirmed
from _masticspoke.fleet.reporting.counts import TrailMessage
from _masticspoke.fleet.reporting.event_record import EventRecord
from _masticspoke.platform.node import DIALECT
from _masticspoke.supervise.mailbox import Mailbox


def raw(version: int) -> bytes:
    return json.dumps({"version": version, "routes": {}}).encode()


BROKEN = b"{"


@dataclass
class Reader:
    registry: Mailbox[RegistryMessage] = field(default_factory=lambda: Mailbox(100))
    trail: Mailbox[TrailMessage] = field(default_factory=lambda: Mailbox(100))
    on_read: OnRead = field(init=False)

    def __post_init__(self) -> None:
        port = LogValuesPort(self.registry, self.trail, DIALECT)
        self.on_read = on_configuration(port, ConfigurationReads())

    def read(
        self,
        *values: bytes,
        anew: bool = False,
        sent_at: float = 5.0,
        reaches_end: bool = True,
    ) -> list[str]:
        """Return what one read tells the registry, in short."""
        pairs = tuple(("config", value) for value in values)
        self.on_read(KeyedRead(pairs, anew, sent_at, reaches_end))
        return [short(message) for message in self.registry.receive_nowait()]


def short(message: RegistryMessage) -> str:
    if isinstance(message, ConfigurationReceived):
        return f"received {message.configuration.version}"
    assert isinstance(message, VersionConfirmed)
    return f"confirmed {message.version} at {message.at}"


def test_read_confirms_the_newest_version_after_it_is_passed_on() -> None:
    """Confirmed first, the version before would count as the newest."""
    reader = Reader()
    assert reader.read(raw(7), anew=True) == ["received 7", "confirmed 7 at 5.0"]
    assert reader.read(sent_at=6.0) == ["confirmed 7 at 6.0"]
    assert reader.read(raw(8), raw(9), sent_at=7.0) == [
        "received 8",
        "received 9",
        "confirmed 9 at 7.0",
    ]


def test_stream_without_a_configuration_confirms_nothing() -> None:
    reader = Reader()
    assert reader.read(anew=True) == []
    assert reader.read() == []
    assert reader.read(b"") == []


@pytest.mark.parametrize("values", [[raw(8), BROKEN], [BROKEN, raw(8)]])
def test_broken_configuration_does_not_hide_the_version_beside_it(
    values: list[bytes],
) -> None:
    """Keys that the hidden version removes would go on being accepted."""
    reader = Reader()
    reader.read(raw(7), anew=True)
    assert reader.read(*values) == ["received 8", "confirmed 8 at 5.0"]
    (record,) = reader.trail.receive_nowait()
    assert isinstance(record, EventRecord)
    assert record.event is Event.CONFIGURATION_UNREADABLE


def test_broken_configuration_leaves_the_version_before_it_the_newest() -> None:
    """An operator's mistake doesn't make the fleet refuse all keys."""
    reader = Reader()
    reader.read(raw(7), anew=True)
    assert reader.read(BROKEN) == ["confirmed 7 at 5.0"]
    assert reader.read(sent_at=6.0) == ["confirmed 7 at 6.0"]


def test_broken_configuration_in_a_new_read_may_hide_a_version() -> None:
    """The log shows only the newest record, and a version before it may be unknown."""
    reader = Reader()
    reader.read(raw(7), anew=True)
    assert reader.read(BROKEN, anew=True) == []
    assert reader.read() == []
    assert reader.read(raw(8)) == ["received 8", "confirmed 8 at 5.0"]


def test_read_of_a_part_of_the_stream_confirms_nothing() -> None:
    """A node that lags behind hasn't read the version that removed a key yet."""
    reader = Reader()
    reader.read(raw(7), anew=True)
    assert reader.read(raw(8), sent_at=6.0, reaches_end=False) == ["received 8"]
    assert reader.read(raw(9), sent_at=7.0) == ["received 9", "confirmed 9 at 7.0"]
