"""Which requests run for an organisation, and which are refused at the entry."""

from __future__ import annotations

import pytest
from testing.decisions.fleet.samples import route

from _masticspoke.decisions.fleet.authorisation import authorise
from _masticspoke.decisions.fleet.authorisation import Denial
from _masticspoke.decisions.fleet.model import Configuration
from _masticspoke.decisions.fleet.model import Organisation

NORTH = Organisation("north", rank=0)
CONFIGURATION = Configuration(1, {}, organisations={"k1": NORTH, "k2": NORTH})
CASES = [
    # key, id, public, fresh, result
    ("k1", "r1", False, True, NORTH),
    ("k2", "r1", False, True, NORTH),
    ("k1", "r1.a", False, True, NORTH),
    ("K1", "r1", False, True, Denial.UNAUTHORISED),
    ("", "r1", False, True, Denial.UNAUTHORISED),
    ("", "r1.a", False, True, Denial.UNKNOWN_PARENT),
    ("k3", "r1.a", False, True, Denial.UNAUTHORISED),
    ("k1", "r1", False, False, Denial.STALE_KEYS),
    # A newer version may have added it, so 401 might be wrong.
    ("k3", "r1", False, False, Denial.STALE_KEYS),
    ("", "r1", False, False, Denial.UNAUTHORISED),
    ("", "r1.a", False, False, Denial.UNKNOWN_PARENT),
    ("", "r1", True, True, None),
    ("k1", "r1", True, True, NORTH),
    ("k3", "r1", True, True, None),
    ("", "r1", True, False, None),
    # The key may have been removed, so the request runs for no organisation.
    ("k1", "r1", True, False, None),
]


@pytest.mark.parametrize(("key", "request_id", "public", "fresh", "result"), CASES)
def test_access(
    key: str,
    request_id: str,
    public: bool,
    fresh: bool,
    result: Organisation | Denial | None,
) -> None:
    """A wrong 401 makes a client give up; a wrong organisation serves a stranger."""
    found = authorise(CONFIGURATION, route(public=public), key, request_id, fresh=fresh)

    assert found == result


@pytest.mark.parametrize("fresh", [True, False])
@pytest.mark.parametrize("key", ["", "k1"])
def test_configuration_without_organisations_asks_for_no_key(
    key: str, fresh: bool
) -> None:
    """Earlier deployments have none and are served as before."""
    assert authorise(Configuration(1, {}), route(), key, "r1.a", fresh=fresh) is None


@pytest.mark.parametrize("key", ["", "k1"])
def test_empty_table_of_organisations_allows_no_key(key: str) -> None:
    """An operator who removes the last organisation doesn't open the fleet."""
    configuration = Configuration(1, {}, organisations={})

    found = authorise(configuration, route(), key, "r1", fresh=True)

    assert found is Denial.UNAUTHORISED
