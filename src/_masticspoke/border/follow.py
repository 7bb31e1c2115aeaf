"""Codec for the messages by which a node follows the log through another node."""

from __future__ import annotations

import base64
import json
from dataclasses import dataclass
from typing import final

from _masticspoke.border.backend_state import state_from_list
from _masticspoke.border.backend_state import state_to_list
from _masticspoke.border.crash_report import report_from_list
from _masticspoke.border.crash_report import report_to_list
from _masticspoke.border.era_field import era_field
from _masticspoke.border.era_field import era_of
from _masticspoke.border.json_values import MALFORMED
from _masticspoke.border.json_values import whole_number
from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.suspects import CrashReport

FOLLOW_PATH = "/.masticspoke/follow"
MAX_FOLLOW_BYTES = 8 * 2**20


@final
@dataclass(frozen=True, slots=True)
class FollowRequest:
    """What the asking node has.

    :param relay: identity of the relay's process in its last answer; 0 before it.
    :param change: number of the last change in that answer.
    :param version: version of the configuration in force.
    """

    relay: int
    change: int
    version: int


@final
@dataclass(frozen=True, slots=True)
class FollowAnswer:
    """News for the asking node.

    :param relay: identity of the relay's process.
    :param change: number of the relay's last change.
    :param raw: the encoded configuration if it is newer; empty otherwise.
    :param servers: states that have changed since.
    :param log_age_ms: time since the log last answered the relay, milliseconds;
        ``None`` if it turns the relay away.
    :param crash_reports: crash reports that have changed since; a relay of an earlier
        build sends none.
    :param version: version of the relay's configuration.
    :param confirmed_age_ms: time since that was known to be the newest version, rounded
        up, milliseconds; ``None`` if it never was. A relay of an earlier build does not
        say.
    :param era: newest era of the log that the relay knows; ``None`` if it knows or
        tells none.
    """

    relay: int
    change: int
    raw: bytes
    servers: tuple[BackendServer, ...]
    log_age_ms: int | None
    crash_reports: tuple[CrashReport, ...] = ()
    version: int = 0
    confirmed_age_ms: int | None = None
    era: int | None = None


def encode_follow_request(message: FollowRequest) -> bytes:
    """Return the body of a request."""
    return json.dumps([message.relay, message.change, message.version]).encode()


def decode_follow_request(body: bytes) -> FollowRequest | None:
    """Return a request; ``None`` if it is malformed."""
    try:
        relay, change, version = json.loads(body)
        return FollowRequest(
            whole_number(relay), whole_number(change), whole_number(version)
        )
    except MALFORMED:
        return None


def encode_follow_answer(message: FollowAnswer) -> bytes:
    """Return the body of an answer."""
    return json.dumps(
        {
            "relay": message.relay,
            "change": message.change,
            "configuration": base64.b64encode(message.raw).decode(),
            "servers": [state_to_list(server) for server in message.servers],
            "log_age_ms": message.log_age_ms,
            "crashes": [report_to_list(report) for report in message.crash_reports],
            "version": message.version,
            "confirmed_age_ms": message.confirmed_age_ms,
            **era_field(message.era),
        },
        separators=(",", ":"),
    ).encode()


def decode_follow_answer(body: bytes) -> FollowAnswer | None:
    """Return an answer; ``None`` if it is malformed.

    Malformed states of backend servers and malformed crash reports are left out.
    """
    try:
        document = json.loads(body)
        states = [state_from_list(state) for state in document["servers"]]
        reports = [report_from_list(report) for report in document.get("crashes", ())]
        age_ms = document["log_age_ms"]
        confirmed_age_ms = document.get("confirmed_age_ms")
        return FollowAnswer(
            whole_number(document["relay"]),
            whole_number(document["change"]),
            base64.b64decode(document["configuration"]),
            tuple(state for state in states if state is not None),
            None if age_ms is None else whole_number(age_ms),
            tuple(report for report in reports if report is not None),
            whole_number(document.get("version", 0)),
            None if confirmed_age_ms is None else whole_number(confirmed_age_ms),
            era_of(document),
        )
    except MALFORMED:
        return None
