from __future__ import annotations

from pathlib import Path

from testing.known_red import KNOWN_RED
from testing.known_red import known_red

ROOT = Path(__file__).parents[1]


def test_only_test_lines_are_read() -> None:
    text = "# test: no\n\ntest: testing/a.py::b\nseen: test: c\nbench: d\n"
    assert known_red(text) == {"testing/a.py::b"}


def test_each_listed_test_exists() -> None:
    for name in known_red(KNOWN_RED.read_text("utf-8")):
        path, _, function = name.partition("::")
        assert f"def {function.partition('[')[0]}(" in (ROOT / path).read_text("utf-8")
