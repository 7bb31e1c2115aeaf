from __future__ import annotations

import hashlib

import pytest
from testing.docs.pages import text

SECTIONS = (
    ("The shape", "452b292b82e4c93865be00531abb35f05c0a3bd82938b99ce963df51eb9ffdd1"),
    (
        "The size to design for",
        "2b7f46f9358e4f0eb51b3cc616de50afd3a8112bdb4b8458d74b40cb9d10416f",
    ),
)


def section(heading: str) -> str:
    return text("DEVELOPERS.md").split(f"## {heading}\n", 1)[1].split("\n## ", 1)[0]


@pytest.mark.parametrize(("heading", "expected"), SECTIONS)
def test_section_given_by_the_users_is_unchanged(heading: str, expected: str) -> None:
    assert hashlib.sha256(section(heading).strip().encode()).hexdigest() == expected
