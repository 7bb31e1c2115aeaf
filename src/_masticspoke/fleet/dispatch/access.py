"""Find the organisation of an incoming request, or refuse the request at once."""

from __future__ import annotations

from collections.abc import Mapping

from _masticspoke.decisions.fleet.authorisation import authorise
from _masticspoke.decisions.fleet.authorisation import Denial
from _masticspoke.decisions.fleet.lineage import organisation_of_parent
from _masticspoke.decisions.fleet.lineage import Origin
from _masticspoke.decisions.fleet.lineage import Parents
from _masticspoke.decisions.fleet.model import Configuration
from _masticspoke.decisions.fleet.model import Organisation
from _masticspoke.decisions.fleet.model import Route
from _masticspoke.fleet.dispatch.incoming import IncomingRequest
from _masticspoke.fleet.dispatch.incoming import Outcome
from _masticspoke.fleet.dispatch.incoming import Unanswered

# Retry-After by the reason of a refusal, seconds. A stale configuration is usually
# confirmed with the next read of the log.
_RETRY_S: Mapping[Denial, float | None] = {
    Denial.UNAUTHORISED: None,
    Denial.UNKNOWN_PARENT: 1.0,
    Denial.STALE_KEYS: 0.5,
}


def find_organisation(
    configuration: Configuration,
    route: Route,
    incoming: IncomingRequest,
    origin: Origin,
    parents: Parents,
    *,
    fresh: bool,
) -> Organisation | Unanswered | None:
    """Return the organisation of a request, ``None`` if it has none, or its refusal.

    :param fresh: whether the configuration is recent enough to serve a key.
    """
    if origin is not Origin.CLIENT:
        name = organisation_of_parent(parents, incoming.request_id)
        known = configuration.organisation_by_name.get(name)
        # A run may outlive its organisation's entry in the configuration.
        return known if known is not None or not name else Organisation(name)
    result = authorise(
        configuration, route, incoming.key, incoming.request_id, fresh=fresh
    )
    if not isinstance(result, Denial):
        return result
    unauthorised = result is Denial.UNAUTHORISED
    outcome = Outcome.UNAUTHORISED if unauthorised else Outcome.REFUSED
    return Unanswered(outcome, result, _RETRY_S[result])
