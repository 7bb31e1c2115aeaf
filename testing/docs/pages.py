"""Read the tables of the pages."""

from __future__ import annotations

from pathlib import Path

ROOT = Path(__file__).parents[2]
DOCS = ROOT / "docs"


def text(name: str) -> str:
    return (DOCS / name).read_text(encoding="utf-8")


def rows(page: str, first_heading: str) -> list[list[str]]:
    """Cells of all rows of the tables whose first column has this heading."""
    found: list[list[str]] = []
    inside = False
    for line in page.splitlines():
        cells = [cell.strip().strip("`") for cell in line.strip().strip("|").split("|")]
        if not line.startswith("|"):
            inside = False
        elif cells[0] == first_heading:
            inside = True
        elif inside and set(cells[0]) != {"-"}:
            found.append(cells)
    return found


def column(page: str, first_heading: str) -> list[str]:
    return [cells[0] for cells in rows(page, first_heading)]
