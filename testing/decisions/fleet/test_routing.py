from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from testing.decisions.fleet.samples import route

from _masticspoke.decisions.fleet.model import Configuration
from _masticspoke.decisions.fleet.model import Share
from _masticspoke.decisions.fleet.routing import choose_service
from _masticspoke.decisions.fleet.routing import find_route
from _masticspoke.decisions.fleet.routing import RouteCounts


def configuration(*prefixes: str) -> Configuration:
    routes = {("a.example", p): route(name=p, prefix=p) for p in prefixes}
    return Configuration(1, routes)


@pytest.mark.parametrize(
    ("path", "prefix"),
    [
        ("/read/7", "/read/"),
        ("/read/old/7", "/read/old/"),
        ("/read/old", "/read/"),
        ("/read", None),
        ("/", None),
        ("", None),
        ("/ready/7", None),
    ],
)
def test_longest_prefix_wins(path: str, prefix: str | None) -> None:
    chosen = find_route(configuration("/read/", "/read/old/"), "a.example", path)

    assert (chosen.name if chosen else None) == prefix


def test_routes_of_another_host_are_ignored() -> None:
    assert find_route(configuration("/read/"), "b.example", "/read/7") is None


def test_root_prefix_matches_all_other_paths() -> None:
    chosen = find_route(configuration("/", "/read/"), "a.example", "/other")

    assert chosen is not None
    assert chosen.name == "/"


@given(
    st.lists(st.integers(1, 20), min_size=2, max_size=4),
    st.floats(0, 1, exclude_max=True),
)
def test_choices_follow_the_weights_over_few_requests(
    weights: list[int], offset: float
) -> None:
    shares = tuple(Share(f"s{i}", w) for i, w in enumerate(weights))
    weighted = route(shares=shares)
    counts = RouteCounts(offset)
    chosen = [choose_service(counts, weighted) for _ in range(200)]

    for share in shares:
        expected = share.weight / sum(weights)
        assert abs(chosen.count(share.service) / 200 - expected) < 0.03
