"""The tests of KNOWN-RED.txt: they run, and their failure does not fail CI."""

from __future__ import annotations

from pathlib import Path

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"
_MARK = "test: "


def known_red(text: str) -> frozenset[str]:
    """Return the node ids of the tests that a text in the file's form lists."""
    lines = (line.strip() for line in text.splitlines())
    return frozenset(line.removeprefix(_MARK) for line in lines if _is_test(line))


def _is_test(line: str) -> bool:
    return line.startswith(_MARK)
