from __future__ import annotations

import hashlib

import pytest
from testing.docs.pages import text

SECTIONS = (
    ("The shape", "452b292b82e4c93865be00531abb35f05c0a3bd82938b99ce963df51eb9ffdd1"),
    (
        "The size to design for",
        "86688cfced4d326360558de33536fc29545403095730799cd57b476cba94f95f",
    ),
)


def section(heading: str) -> str:
    return text("DEVELOPERS.md").split(f"## {heading}\n", 1)[1].split("\n## ", 1)[0]


@pytest.mark.parametrize(("heading", "expected"), SECTIONS)
def test_section_given_by_the_users_is_unchanged(heading: str, expected: str) -> None:
    assert hashlib.sha256(section(heading).strip().encode()).hexdigest() == expected
