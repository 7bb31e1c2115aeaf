"""Decode what the log holds, and pass it on to the registry."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import final

from _masticspoke.border.backend_state import decode_state
from _masticspoke.border.crash_report import decode_report
from _masticspoke.border.crash_report import is_report_key
from _masticspoke.decisions.fleet.log_rate_limit import Importance
from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.suspects import CrashReport
from _masticspoke.events import Event
from _masticspoke.fleet.dialect import Dialect
from _masticspoke.fleet.knowledge.crash_messages import CrashReportsReceived
from _masticspoke.fleet.knowledge.followers import KeyedRead
from _masticspoke.fleet.knowledge.followers import OnRead
from _masticspoke.fleet.knowledge.messages import ConfigurationReceived
from _masticspoke.fleet.knowledge.messages import ServersReceived
from _masticspoke.fleet.knowledge.registry import RegistryMessage
from _masticspoke.fleet.knowledge.registry_restore import LOG_SOURCE
from _masticspoke.fleet.knowledge.relay_messages import VersionConfirmed
from _masticspoke.fleet.reporting.counts import TrailMessage
from _masticspoke.fleet.reporting.event_record import EventRecord
from _masticspoke.supervise.mailbox import Mailbox


@final
@dataclass(frozen=True, slots=True)
class LogValuesPort:
    """Where decoded values are sent, and the names and formats of the platform."""

    registry: Mailbox[RegistryMessage]
    trail: Mailbox[TrailMessage]
    dialect: Dialect


@final
@dataclass(slots=True)
class ConfigurationReads:
    """What the reads of the configuration have shown so far.

    :param newest: newest usable version since the stream was read anew; ``None`` if
        there is none, or if one may have been missed.
    """

    newest: int | None = None


def on_configuration(port: LogValuesPort, reads: ConfigurationReads) -> OnRead:
    """Return what passes on each version, and confirms the newest one.

    A configuration that can't be used makes no version: the one before it stays the
    newest, unless a version before it may have been missed.
    """

    def on_read(read: KeyedRead) -> None:
        if read.anew:
            reads.newest = None
        for key, raw in read.pairs:
            if key != port.dialect.configuration_key or not raw:
                continue
            configuration = port.dialect.decode_configuration(raw)
            if configuration is None:
                fields = {"bytes": len(raw)}
                record = EventRecord(
                    Event.CONFIGURATION_UNREADABLE, fields, Importance.CHANGE
                )
                port.trail.tell(record)
                continue
            reads.newest = max(reads.newest or 0, configuration.version)
            port.registry.tell(ConfigurationReceived(configuration, raw, LOG_SOURCE))
        if reads.newest is not None and read.reaches_end:
            # The registry handles it after the version itself.
            port.registry.tell(VersionConfirmed(reads.newest, read.sent_at, True))

    return on_read


def on_states(port: LogValuesPort) -> OnRead:
    """Return what passes on states of backend servers and crash reports."""

    def on_read(read: KeyedRead) -> None:
        values = dict(read.pairs)
        entries = {key: _decode_entry(key, value) for key, value in values.items()}
        for key in (key for key, entry in entries.items() if entry is None):
            if values[key]:
                fields = {"key": key, "bytes": len(values[key])}
                record = EventRecord(Event.STATE_UNREADABLE, fields, Importance.FAILURE)
                port.trail.tell(record)
        servers = tuple(e for e in entries.values() if isinstance(e, BackendServer))
        port.registry.tell(ServersReceived(servers, LOG_SOURCE))
        reports = tuple(e for e in entries.values() if isinstance(e, CrashReport))
        if reports:
            port.registry.tell(CrashReportsReceived(reports, time.time()))

    return on_read


def _decode_entry(key: str, value: bytes) -> BackendServer | CrashReport | None:
    return decode_report(value) if is_report_key(key) else decode_state(value)
