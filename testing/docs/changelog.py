"""Build CHANGELOG.md from its fragments: ``python -m testing.docs.changelog``."""

from __future__ import annotations

import re
from pathlib import Path

from testing.docs.pages import ROOT

FRAGMENTS = ROOT / "changelog"
PAGE = ROOT / "CHANGELOG.md"
TYPES = ("added", "changed", "fixed", "removed")
NAME = re.compile(rf"[a-z0-9-]+\.({'|'.join(TYPES)})\.md")
UNRELEASED = "## Unreleased\n"
HEAD = "# Changelog\n\n" + UNRELEASED


def misnamed(folder: Path) -> list[str]:
    return [p.name for p in sorted(folder.iterdir()) if not NAME.fullmatch(p.name)]


def unreleased(folder: Path) -> str:
    parts: list[str] = []
    for kind in TYPES:
        texts = [p.read_text("utf-8") for p in sorted(folder.glob(f"*.{kind}.md"))]
        if texts:
            items = "\n".join(_item(text) for text in texts)
            parts.append(f"\n### {kind.capitalize()}\n\n{items}\n")
    return "".join(parts)


def _item(text: str) -> str:
    return "- " + "\n  ".join(text.strip().splitlines())


def build(page: str, folder: Path) -> str:
    """The page with its unreleased section made anew; releases stay as they are."""
    release = re.search(r"^## (?!Unreleased)", page, re.MULTILINE)
    rest = f"\n{page[release.start() :]}" if release else ""
    return HEAD + unreleased(folder) + rest


if __name__ == "__main__":
    PAGE.write_text(build(PAGE.read_text("utf-8"), FRAGMENTS), "utf-8")
