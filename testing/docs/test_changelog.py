from __future__ import annotations

from pathlib import Path

from testing.docs.changelog import build
from testing.docs.changelog import FRAGMENTS
from testing.docs.changelog import misnamed_fragments
from testing.docs.changelog import PAGE


def test_page_is_built_from_the_fragments() -> None:
    page = PAGE.read_text("utf-8")

    assert page == build(page, FRAGMENTS), "run make changelog"


def test_fragments_are_named_by_the_convention() -> None:
    assert misnamed_fragments(FRAGMENTS) == []


def test_releases_are_kept_and_types_are_ordered(tmp_path: Path) -> None:
    (tmp_path / "b.fixed.md").write_text("Two\nlines.\n")
    (tmp_path / "a.added.md").write_text("One.\n")
    (tmp_path / "c.other.md").write_text("Three.\n")
    page = "# Changelog\n\n## Unreleased\n\nold\n\n## 1.0\n\n- First.\n"

    built = build(page, tmp_path)

    assert built == (
        "# Changelog\n\n## Unreleased\n\n### Added\n\n- One.\n\n### Fixed\n\n"
        "- Two\n  lines.\n\n## 1.0\n\n- First.\n"
    )
    assert build(built, tmp_path) == built
    assert misnamed_fragments(tmp_path) == ["c.other.md"]
