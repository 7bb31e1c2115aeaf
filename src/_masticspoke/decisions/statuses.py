"""Classify the status codes that a server sends."""

from __future__ import annotations

_LOWEST = 100
_LOWEST_FINAL = 200
_HIGHEST = 599
_SWITCHING_PROTOCOLS = 101


def is_invalid(status: int) -> bool:
    """Return whether a message with this status is no answer to any request.

    No request here asks to switch protocols, so 101 is none either.
    """
    return status == _SWITCHING_PROTOCOLS or not _LOWEST <= status <= _HIGHEST


def is_interim(status: int) -> bool:
    """Return whether a final answer follows the message with this valid status."""
    return status < _LOWEST_FINAL
