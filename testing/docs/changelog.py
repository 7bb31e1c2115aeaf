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


def misnamed_fragments(folder: Path) -> list[str]:
    return [p.name for p in sorted(folder.iterdir()) if not NAME.fullmatch(p.name)]


def unreleased_section(folder: Path) -> str:
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
    """Return the page with its unreleased section rebuilt, its releases unchanged."""
    release = re.search(r"^## (?!Unreleased)", page, re.MULTILINE)
    releases = f"\n{page[release.start() :]}" if release else ""
    return HEAD + unreleased_section(folder) + releases


if __name__ == "__main__":
    PAGE.write_text(build(PAGE.read_text("utf-8"), FRAGMENTS), "utf-8")
