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
# Decisions on names are cached because header names repeat. The limit keeps a sender
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
    if connection is not None:
        replaced |= {name.strip().lower() for name in connection.split(",")}
    return CIMultiDict(
        [pair for pair in headers.items() if _is_forwarded(pair[0], replaced)]
    )


@functools.lru_cache(maxsize=_MAX_CACHED_NAMES)
def _is_forwarded(name: str, replaced: frozenset[str]) -> bool:
    lower = name.lower()
    if lower in HOP_BY_HOP or lower in replaced:
        return False
    return not lower.startswith(_OWN_PREFIX)
