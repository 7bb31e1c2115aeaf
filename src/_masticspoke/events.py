"""Numbered log events; ``docs/EVENTS.md`` has the remedy for each."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from enum import Enum
from typing import final

from loguru import logger


@final
@dataclass(frozen=True, slots=True)
class EventSpec:
    """Number, level and text of an event."""

    number: int
    level: str
    text: str


@final
class Event(Enum):
    """All events that a node or tool logs."""

    # Enum.__hash__ is a Python function, called at each dictionary look-up. Members
    # are singletons, so the identity hash is equivalent and faster.
    __hash__ = object.__hash__

    NODE_STARTED = EventSpec(1001, "INFO", "node started")
    NODE_STOPPING = EventSpec(1002, "INFO", "node is stopping")
    NODE_STOPPED = EventSpec(1003, "INFO", "node stopped")
    CHILD_CRASHED = EventSpec(1101, "ERROR", "task crashed and is restarted")
    MAILBOX_FULL = EventSpec(1102, "WARNING", "mailbox full, message refused")
    HANDLER_CRASHED = EventSpec(1103, "ERROR", "request handler crashed")
    SECOND_ANSWER_DROPPED = EventSpec(1104, "WARNING", "second answer dropped")
    REQUESTS_CUT = EventSpec(1201, "WARNING", "requests cut at the stop time limit")
    HEAD_TIMED_OUT = EventSpec(1202, "INFO", "head of a request timed out")
    CATALOGUE_IN_FORCE = EventSpec(2001, "INFO", "catalogue version in force")
    CATALOGUE_REJECTED = EventSpec(2002, "WARNING", "catalogue change not accepted")
    LOG_UNAVAILABLE = EventSpec(2101, "WARNING", "log service does not answer")
    LOG_AVAILABLE = EventSpec(2102, "INFO", "log service answers again")
    BACKEND_ANNOUNCED = EventSpec(3001, "INFO", "backend server announced itself")
    BACKEND_LEAVING = EventSpec(3002, "INFO", "backend server is leaving")
    BACKEND_LAPSED = EventSpec(
        3003, "WARNING", "backend server stopped renewing its announcement"
    )
    ANNOUNCEMENT_REFUSED = EventSpec(3004, "WARNING", "announcement refused")
    CLAIMS_MISSED = EventSpec(3101, "ERROR", "home missed records of the log")
    REQUEST_ENDED = EventSpec(4001, "INFO", "request ended")
    REQUEST_FAILED = EventSpec(4002, "WARNING", "request refused or failed")
    RUN_NOT_STARTED = EventSpec(4003, "INFO", "guard did not run a request")
    RUN_INTERRUPTED = EventSpec(4004, "WARNING", "run ended without an answer")
    RUN_WASTED = EventSpec(4005, "WARNING", "run failed, nested request had no room")
    FOREIGN_BYTES = EventSpec(
        4006, "WARNING", "bytes of a server that no request accounts for"
    )
    RUN_TRIED = EventSpec(4007, "INFO", "request run though expected to be late")
    SERVER_CHANGED = EventSpec(4101, "INFO", "state of a backend server changed")
    SERVER_EJECTED = EventSpec(4102, "WARNING", "backend server temporarily not used")
    ADMISSION_STARTED = EventSpec(4103, "INFO", "local backend server accepts requests")
    ADMISSION_STOPPED = EventSpec(
        4104, "WARNING", "local backend server accepts no requests"
    )
    RATE_LIMIT_CHANGED = EventSpec(
        4105, "WARNING", "rate limit of the local backend server changed"
    )
    RATE_LIMIT_UNREADABLE = EventSpec(
        4106, "WARNING", "rate limit of the local backend server unreadable"
    )
    BACKEND_CRASHED = EventSpec(4107, "WARNING", "local backend server crashed")
    REQUEST_QUARANTINED = EventSpec(
        4108, "WARNING", "request refused that crashed backend servers"
    )
    QUARANTINE_ENDED = EventSpec(4109, "INFO", "request no longer refused")
    LEARNED_LIMIT_CHANGED = EventSpec(
        4111, "INFO", "learned limit of the local backend server changed"
    )
    CONFIGURATION_IN_FORCE = EventSpec(4201, "INFO", "configuration in force")
    CONFIGURATION_UNREADABLE = EventSpec(4202, "WARNING", "configuration unreadable")
    HEARTBEAT_REJECTED = EventSpec(4203, "WARNING", "heartbeat rejected")
    SETTINGS_RELOADED = EventSpec(4204, "INFO", "settings reloaded")
    STATE_UNREADABLE = EventSpec(
        4205, "WARNING", "state of a backend server unreadable"
    )
    LOG_FOLLOWED = EventSpec(4206, "INFO", "log followed through another node or read")
    KEYS_REFUSED = EventSpec(
        4207, "WARNING", "keys refused, configuration not confirmed in time"
    )
    KEYS_ACCEPTED = EventSpec(4208, "INFO", "keys accepted again")
    STATE_REFUSED = EventSpec(4210, "WARNING", "state of a backend server refused")
    STATE_RESTATED = EventSpec(
        4211, "WARNING", "state of the local backend server restated"
    )
    KEEPER_SILENT = EventSpec(4301, "WARNING", "keeper of quotas does not respond")
    KEEPER_RESPONDS = EventSpec(4302, "INFO", "keeper of quotas responds again")
    QUOTA_REACHED = EventSpec(4303, "INFO", "organisation has reached its limit")
    LOG_RESTORED = EventSpec(4209, "WARNING", "log restored from an older copy")
    LINES_DROPPED = EventSpec(4901, "WARNING", "log lines dropped")
    MEMBER_SILENT = EventSpec(3005, "WARNING", "member found silent by two nodes")


def log_event(event: Event, **fields: object) -> None:
    """Log an event with its number and fields."""
    spec = event.value
    details = " ".join(f"{name}={value}" for name, value in fields.items())
    logger.bind(event=spec.number, **fields).log(
        spec.level, "E{} {} {}", spec.number, spec.text, details
    )


@contextmanager
def counted_events(count: Callable[[int], None]) -> Iterator[None]:
    """Call ``count`` with the number of each event logged within the context."""
    sink = logger.add(
        lambda message: count(message.record["extra"]["event"]),
        level="DEBUG",
        format="",
        filter=lambda record: "event" in record["extra"],
    )
    try:
        yield
    finally:
        logger.remove(sink)
