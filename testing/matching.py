"""Use testtools matchers in plain test functions."""

from __future__ import annotations

from typing import Any


def assert_that(value: object, matcher: Any) -> None:
    mismatch = matcher.match(value)
    assert mismatch is None, mismatch.describe()
