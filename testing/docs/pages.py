"""Read the tables of the documentation pages."""

from __future__ import annotations

from pathlib import Path

ROOT = Path(__file__).parents[2]
DOCS = ROOT / "docs"


def text(name: str) -> str:
    return (DOCS / name).read_text(encoding="utf-8")


def rows(page: str, first_heading: str) -> list[list[str]]:
    """Return the cells of all rows in tables whose first column has this heading."""
    matching_rows: list[list[str]] = []
    in_table = False
    for line in page.splitlines():
        cells = [cell.strip().strip("`") for cell in line.strip().strip("|").split("|")]
        if not line.startswith("|"):
            in_table = False
        elif cells[0] == first_heading:
            in_table = True
        elif in_table and set(cells[0]) != {"-"}:
            matching_rows.append(cells)
    return matching_rows


def column(page: str, first_heading: str) -> list[str]:
    return [cells[0] for cells in rows(page, first_heading)]
