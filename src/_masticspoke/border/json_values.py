"""Check JSON values that other processes wrote."""

from __future__ import annotations

from math import isfinite
from typing import Any

# What a decoder raises on malformed JSON or on values of another type or range. JSON
# that is nested too deeply is a RecursionError, and 1e999 an OverflowError in int().
MALFORMED = (
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
    OverflowError,
    RecursionError,
)
# Longest name in UTF-8; a key of the log can't be longer.
MAX_TEXT_BYTES = 255
# Largest whole number that every JSON implementation represents exactly.
MAX_WHOLE = 2**53


def whole_number(value: Any, low: int = 0, high: int = MAX_WHOLE) -> int:
    """Return a JSON value that must be a whole number.

    :raises ValueError: if it is of another type, or not from ``low`` to ``high``.
    """
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError("not a whole number")
    if not low <= value <= high:
        raise ValueError(f"not from {low} to {high}")
    return value


def plain_text(value: Any) -> str:
    """Return a JSON value that must be a name: printable, and not too long.

    It can be encoded, so it may stand in a header, a log record or a log line. Half of
    a surrogate pair, which JSON can hold, can't.

    :raises TypeError: if it is of another type.
    :raises ValueError: if it is longer than :data:`MAX_TEXT_BYTES`, or not printable.
    """
    if not isinstance(value, str):
        raise TypeError("not a text")
    if not value.isprintable() or len(value.encode()) > MAX_TEXT_BYTES:
        raise ValueError("not a printable text of a name's length")
    return value


def finite_number(value: Any) -> float:
    """Return a JSON value as a number.

    :raises TypeError: if it can't be converted.
    :raises ValueError: if it is a text of another kind, infinite or not a number.
    """
    number = float(value)
    if not isfinite(number):
        raise ValueError("not finite")
    return number
