from __future__ import annotations

import re

from testing.docs.pages import column
from testing.docs.pages import ROOT

TARGET = re.compile(r"^([a-z-]+):", re.MULTILINE)


def test_page_lists_each_make_command() -> None:
    page = (ROOT / "CONTRIBUTING.md").read_text("utf-8")
    targets = TARGET.findall((ROOT / "Makefile").read_text("utf-8"))

    assert sorted(column(page, "command")) == sorted(f"make {t}" for t in targets)
