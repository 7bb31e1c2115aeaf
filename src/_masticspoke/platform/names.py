"""The platform's names for headers, words and keys; nothing outside uses them."""

from __future__ import annotations

from collections.abc import Mapping

from _masticspoke.decisions.fleet.model import NotRun
from _masticspoke.decisions.fleet.model import Phase

# Request headers. The deadline is the time left, in milliseconds.
REQUEST_ID = "X-Attempt-Id"
DEADLINE_MS = "X-Deadline-Ms"
INSTANCE_WANTED = "X-Expected-Instance"
CALLER = "X-Caller-Service"
# Answer headers of backend servers.
INSTANCE = "X-Instance-Id"
NOT_EXECUTED = "X-Not-Executed"
RETRY_AFTER = "Retry-After"

# Set by each node itself, whatever a caller sent.
REPLACED = frozenset({DEADLINE_MS.lower(), INSTANCE_WANTED.lower(), CALLER.lower()})

CONFIGURATION_STREAM = "keyed.op"
CONFIGURATION_KEY = "config"
# A topic of our own; the prefix makes the log keep the newest record of each key.
SERVERS_STREAM = "keyed.masticspoke-servers"

READINESS_PATH = "/readiness"
HEARTBEAT_PREFIX = "/Instances.Heartbeat/"
DEREGISTER_PREFIX = "/Instances.Deregister/"

# Kinds of routes whose requests may run more than once; "download" answers are long.
REPEATABLE_KINDS = frozenset({"idempotent", "download"})
PHASES: Mapping[str, Phase] = {"ready": Phase.READY, "draining": Phase.LEAVING}
# Why a backend server did not run a request, by status.
NOT_RUN_STATUS: Mapping[int, NotRun] = {421: NotRun.MOVED, 400: NotRun.FORBIDDEN}
