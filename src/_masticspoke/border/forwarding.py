"""Select the headers of a message that are forwarded to the next process."""

from __future__ import annotations

import functools
from collections.abc import Mapping

from multidict import CIMultiDict

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
_OWN_PREFIX = "masticspoke-"
# Lower-case names are cached because header names repeat. The limit keeps a sender
# of many different names from filling the memory.
_MAX_CACHED_NAMES = 256
_REPLACED_NAMES = frozenset({"traceparent", "host"})


def forwarded_headers(
    headers: Mapping[str, str], replaced: frozenset[str] = _REPLACED_NAMES
) -> CIMultiDict[str]:
    """Return the headers that are forwarded, with repeated ones.

    Headers named ``Masticspoke-...`` are dropped, so that no client or backend
    server can inject one.

    :param replaced: lower-case names of headers that each node sets itself.
    """
    connection = headers.get("Connection")
    dropped = HOP_BY_HOP | replaced
    if connection is not None:
        dropped |= {name.strip().lower() for name in connection.split(",")}
    kept: CIMultiDict[str] = CIMultiDict()
    for name, value in headers.items():
        lower = _lower(name)
        if lower not in dropped and not lower.startswith(_OWN_PREFIX):
            kept.add(name, value)
    return kept


@functools.lru_cache(maxsize=_MAX_CACHED_NAMES)
def _lower(name: str) -> str:
    return name.lower()
