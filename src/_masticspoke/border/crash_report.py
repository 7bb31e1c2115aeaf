"""Codec for crash reports in log records and in messages between nodes."""

from __future__ import annotations

import json
from typing import Any

from _masticspoke.border.addresses import parse_address
from _masticspoke.border.json_values import MALFORMED
from _masticspoke.border.json_values import plain_text
from _masticspoke.border.json_values import whole_number
from _masticspoke.decisions.fleet.suspects import Crash
from _masticspoke.decisions.fleet.suspects import CrashReport
from _masticspoke.decisions.fleet.suspects import Incarnation
from _masticspoke.decisions.fleet.suspects import MAX_CRASHES
from _masticspoke.decisions.fleet.suspects import MAX_REQUESTS
from _masticspoke.decisions.fleet.suspects import MAX_SURVIVALS
from _masticspoke.decisions.fleet.suspects import Survival
from _masticspoke.model import Address

# Keys of crash reports in the stream of the states, whose keys are addresses.
_KEY_PREFIX = "crashes "
# Hexadecimal digits of a fingerprint.
_DIGITS = 16


def report_key(address: Address) -> str:
    """Return the key of the report of a backend server's guard."""
    return f"{_KEY_PREFIX}{address}"


def is_report_key(key: str) -> bool:
    """Return whether a key of the stream is that of a crash report."""
    return key.startswith(_KEY_PREFIX)


def report_to_list(report: CrashReport) -> list[Any]:
    """Return a report as a list of JSON values."""
    crashes = [
        [
            crash.incarnation.instance,
            crash.incarnation.born_ms,
            crash.at_ms,
            "".join(f"{f:0{_DIGITS}x}" for f in sorted(crash.fingerprints)),
        ]
        for crash in report.crashes
    ]
    survivals = [[f"{s.fingerprint:0{_DIGITS}x}", s.at_ms] for s in report.survivals]
    return [str(report.address), crashes, survivals]


def report_from_list(values: Any) -> CrashReport | None:
    """Return the report of a decoded JSON list; ``None`` if it is malformed."""
    try:
        text, crashes, survivals = values
        address = parse_address(text)
        if len(crashes) > MAX_CRASHES or len(survivals) > MAX_SURVIVALS:
            return None
        return CrashReport(
            address,
            tuple(_crash(address, crash) for crash in crashes),
            tuple(_survival(survival) for survival in survivals),
        )
    except MALFORMED:
        return None


def _crash(address: Address, values: Any) -> Crash:
    instance, born_ms, at_ms, digits = values
    if len(digits) > MAX_REQUESTS * _DIGITS:
        raise ValueError("too many fingerprints")
    starts = range(0, len(digits), _DIGITS)
    fingerprints = frozenset(_fingerprint(digits[i : i + _DIGITS]) for i in starts)
    incarnation = Incarnation(address, plain_text(instance), whole_number(born_ms))
    return Crash(incarnation, whole_number(at_ms), fingerprints)


def _survival(values: Any) -> Survival:
    digits, at_ms = values
    return Survival(_fingerprint(digits), whole_number(at_ms))


def _fingerprint(digits: str) -> int:
    if len(digits) != _DIGITS:
        raise ValueError("a fingerprint of another length")
    octets = bytes.fromhex(digits)  # skips spaces
    if len(octets) != _DIGITS // 2:
        raise ValueError("a fingerprint with spaces")
    return int.from_bytes(octets)


def encode_report(report: CrashReport) -> bytes:
    """Return the value of a report's log record."""
    return json.dumps(report_to_list(report), separators=(",", ":")).encode()


def decode_report(value: bytes) -> CrashReport | None:
    """Return the report in a log record's value; ``None`` if it is malformed."""
    try:
        return report_from_list(json.loads(value))
    except MALFORMED:
        return None
