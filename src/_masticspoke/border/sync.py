"""Codec for messages in which nodes exchange configuration and backend servers."""

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

SYNC_PATH = "/.masticspoke/sync"
MAX_SYNC_BYTES = 8 * 2**20


@final
@dataclass(frozen=True, slots=True)
class SyncMessage:
    """Request or answer of an exchange between two nodes.

    :param version: version of the sender's configuration.
    :param digest: digest of the states of backend servers that the sender has.
    :param raw: the encoded configuration, in the answer to a node with an older one;
        empty otherwise.
    :param servers: states that the receiver may lack.
    :param crash_reports: crash reports that the receiver may lack; a node of an earlier
        build sends none.
    :param era: newest era of the log that the sender knows; ``None`` if it knows or
        tells none.
    """

    version: int
    digest: int
    raw: bytes
    servers: tuple[BackendServer, ...]
    crash_reports: tuple[CrashReport, ...] = ()
    era: int | None = None


def encode_sync(message: SyncMessage) -> bytes:
    """Return the body of a request or answer."""
    return json.dumps(
        {
            "version": message.version,
            "digest": message.digest,
            "configuration": base64.b64encode(message.raw).decode(),
            "servers": [state_to_list(server) for server in message.servers],
            "crashes": [report_to_list(report) for report in message.crash_reports],
            **era_field(message.era),
        },
        separators=(",", ":"),
    ).encode()


def decode_sync(body: bytes) -> SyncMessage | None:
    """Return a node's message; ``None`` if it is malformed.

    Malformed states of backend servers and malformed crash reports are left out.
    """
    try:
        document = json.loads(body)
        states = [state_from_list(state) for state in document["servers"]]
        reports = [report_from_list(report) for report in document.get("crashes", ())]
        return SyncMessage(
            whole_number(document["version"]),
            whole_number(document["digest"]),
            base64.b64decode(document["configuration"]),
            tuple(state for state in states if state is not None),
            tuple(report for report in reports if report is not None),
            era_of(document),
        )
    except MALFORMED:
        return None
