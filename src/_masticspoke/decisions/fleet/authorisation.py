"""Decide for which organisation a request runs, or why it is refused.

The bound on the revocation of keys counts from the time at which a client sent its
request. A check at the entry is never earlier than that, so a request that waits after
the check needs no second one.
"""

from __future__ import annotations

from enum import StrEnum
from typing import final

from _masticspoke.decisions.fleet.lineage import has_parent
from _masticspoke.decisions.fleet.model import Configuration
from _masticspoke.decisions.fleet.model import Organisation
from _masticspoke.decisions.fleet.model import Route


@final
class Denial(StrEnum):
    """Why a request is refused before it is sent to a backend server.

    ``UNKNOWN_PARENT``: it has no key and the id of a nested request, but no such run is
    known here. The node may have restarted, so the request may be legitimate.
    ``STALE_KEYS``: the key may have been removed, or added, since this node last knew
    that its configuration was the newest.
    """

    UNAUTHORISED = "unauthorised"
    UNKNOWN_PARENT = "unknown-parent"
    STALE_KEYS = "stale-keys"


def authorise(
    configuration: Configuration,
    route: Route,
    key: str,
    request_id: str,
    *,
    fresh: bool,
) -> Organisation | Denial | None:
    """Return the organisation of a request of a client, or why it is refused.

    Nested requests don't come here: they run for the organisation of the run that made
    them, whatever key they carry.

    :param key: empty if the request has none.
    :param fresh: whether the configuration is known to be recent enough for keys.
    :return: ``None`` if the request is allowed and has no organisation.
    """
    organisations = configuration.organisations
    if organisations is None:
        return None
    organisation = organisations.get(key) if key else None
    if route.public:
        return organisation if fresh else None
    if key and not fresh:
        return Denial.STALE_KEYS
    if organisation is not None:
        return organisation
    if not key and has_parent(request_id):
        return Denial.UNKNOWN_PARENT
    return Denial.UNAUTHORISED
