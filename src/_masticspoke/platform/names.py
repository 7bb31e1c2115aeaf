"""The platform's names for headers, paths, states and keys.

Only this package uses them.
"""

from __future__ import annotations

from collections.abc import Mapping

from _masticspoke.decisions.fleet.model import NotRun
from _masticspoke.decisions.fleet.model import Phase

# Request headers. The deadline is the time left, in milliseconds.
REQUEST_ID = "X-Attempt-Id"
DEADLINE_MS = "X-Deadline-Ms"
EXPECTED_INSTANCE = "X-Expected-Instance"
CALLER_SERVICE = "X-Caller-Service"
# A client's key, which is not forwarded, and the organisation that it belongs to.
KEY = "X-Api-Key"
ORGANISATION = "X-Tenant"
# Headers of answers: backend servers set all but the last, which a node sets. The rate
# limit is a decimal number of requests a second, from all nodes together.
INSTANCE_ID = "X-Instance-Id"
NOT_EXECUTED = "X-Not-Executed"
RATE_LIMIT = "Server-Limit"
LEAVING = "Server-Leaving"
# Requests that run and wait at the backend server, its slots, and how long work takes
# on its VM now, in percent of the usual time: ``12,0,58,250``.
BACKEND_LOAD = "X-Backend-Load"
RETRY_AFTER = "Retry-After"
# Header of the log's answers: its era.
STORE_ERA = "Store-Era"

# Removed from requests of callers; a guard sets them for its backend server.
REPLACED_HEADERS = frozenset(
    name.lower()
    for name in (DEADLINE_MS, EXPECTED_INSTANCE, CALLER_SERVICE, KEY, ORGANISATION)
)

CONFIGURATION_STREAM = "keyed.op"
CONFIGURATION_KEY = "config"
# Stream that only the nodes write. Its prefix ``keyed.`` makes the log keep the newest
# record of each key.
SERVERS_STREAM = "keyed.masticspoke-servers"

READINESS_PATH = "/readiness"
HEARTBEAT_PREFIX = "/Instances.Heartbeat/"
DEREGISTER_PREFIX = "/Instances.Deregister/"

# Kinds of routes whose requests may run more than once; "download" routes have long
# answers.
IDEMPOTENT_KINDS = frozenset({"idempotent", "download"})
PHASE_BY_STATE: Mapping[str, Phase] = {"ready": Phase.READY, "draining": Phase.LEAVING}
# Why a backend server did not run a request, by status of its answer.
NOT_RUN_BY_STATUS: Mapping[int, NotRun] = {421: NotRun.MOVED, 400: NotRun.FORBIDDEN}
