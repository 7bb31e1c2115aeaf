"""Codec for the queries of nodes to the keepers of quotas."""

from __future__ import annotations

import json
from typing import Any

from _masticspoke.border.json_values import finite_number
from _masticspoke.border.json_values import MALFORMED
from _masticspoke.border.json_values import plain_text
from _masticspoke.border.json_values import whole_number
from _masticspoke.decisions.fleet.quota_keeper import Grant
from _masticspoke.decisions.fleet.quota_keeper import Limit
from _masticspoke.decisions.fleet.quota_keeper import QuotaQuery
from _masticspoke.decisions.fleet.quota_keeper import QuotaResponse
from _masticspoke.decisions.fleet.quota_keeper import Want
from _masticspoke.decisions.fleet.quota_ranking import group_of
from _masticspoke.decisions.fleet.quota_ranking import GROUPS
from _masticspoke.decisions.fleet.quota_tokens import MAX_ORGANISATIONS
from _masticspoke.decisions.fleet.quota_tokens import MAX_WANTED

QUOTA_PATH = "/.masticspoke/quota"
# Enough for wants of all organisations that a node knows at once.
MAX_QUOTA_BYTES = 4 * 2**20
# A reader that knows only later formats tells them by this number.
_FORMAT = 1
_MAX_NODES = 1_000_000
_MAX_MS = 3_600_000


def encode_query(query: QuotaQuery) -> bytes:
    """Return the body of a query."""
    return _encode(
        {
            "v": _FORMAT,
            "node": query.node,
            "version": query.version,
            "known": query.known,
            "seen_ms": [[group, at] for group, at in query.seen_ms.items()],
            "wants": [
                [name, want.tokens, want.limit.rate_per_s, want.limit.burst]
                for (_, name), want in query.wants.items()
            ],
        }
    )


def decode_query(body: bytes) -> QuotaQuery | None:
    """Return a node's query; ``None`` if it is malformed."""
    try:
        document = json.loads(body)
        wants = dict(map(_want, document["wants"][:MAX_ORGANISATIONS]))
        return QuotaQuery(
            node=plain_text(document["node"]),
            version=whole_number(document["version"]),
            known=whole_number(document["known"], 1, _MAX_NODES),
            seen_ms={
                whole_number(group, 0, GROUPS - 1): whole_number(at)
                for group, at in document["seen_ms"]
            },
            wants={(group_of(name), name): want for name, want in wants.items()},
        )
    except MALFORMED:
        return None


def _want(row: Any) -> tuple[str, Want]:
    name, tokens, rate_per_s, burst = row
    limit = Limit(_not_negative(rate_per_s), _not_negative(burst))
    return plain_text(name), Want(whole_number(tokens, 0, MAX_WANTED), limit)


def _not_negative(value: Any) -> float:
    number = finite_number(value)
    if number < 0:
        raise ValueError("negative")
    return number


def encode_response(response: QuotaResponse) -> bytes:
    """Return the body of a keeper's response."""
    return _encode(
        {
            "v": _FORMAT,
            "at_ms": response.at_ms,
            "grants": [
                [name, grant.tokens, round(grant.next_s * 1000)]
                for name, grant in response.grants.items()
            ],
        }
    )


def decode_response(body: bytes) -> QuotaResponse | None:
    """Return a keeper's response; ``None`` if it is malformed."""
    try:
        document = json.loads(body)
        return QuotaResponse(
            whole_number(document["at_ms"], 1),
            dict(map(_grant, document["grants"][:MAX_ORGANISATIONS])),
        )
    except MALFORMED:
        return None


def _grant(row: Any) -> tuple[str, Grant]:
    name, tokens, next_ms = row
    next_s = whole_number(next_ms, 0, _MAX_MS) / 1000
    return plain_text(name), Grant(whole_number(tokens, 0, MAX_WANTED), next_s)


def _encode(document: dict[str, Any]) -> bytes:
    return json.dumps(document, separators=(",", ":")).encode()
