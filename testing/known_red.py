"""Read KNOWN-RED.txt, the list of tests whose failure does not fail CI."""

from __future__ import annotations

from pathlib import Path

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"
_TEST_PREFIX = "test: "


def known_red(text: str) -> frozenset[str]:
    """Return the node ids of the tests listed in a text of the file's format."""
    lines = (line.strip() for line in text.splitlines())
    return frozenset(
        line.removeprefix(_TEST_PREFIX) for line in lines if _is_test(line)
    )


def _is_test(line: str) -> bool:
    return line.startswith(_TEST_PREFIX)
