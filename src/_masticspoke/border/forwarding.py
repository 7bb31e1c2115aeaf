"""Which headers of a message go on to the next process."""

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
# Header names repeat; unknown ones must not take memory without bound.
_NAMES_KNOWN = 256
_REPLACED = frozenset({"traceparent", "host"})


def forwarded_headers(
    headers: Mapping[str, str], replaced: frozenset[str] = _REPLACED
) -> CIMultiDict[str]:
    """Return the headers that go on to the next process, repeated ones included.

    Headers of this system end here, so that no client or backend server can put
    one in.

    :param replaced: names in lower case of headers that each node sets itself.
    """
    connection = headers.get("Connection")
    dropped = HOP_BY_HOP | replaced
    if connection is not None:
        dropped |= {name.strip().lower() for name in connection.split(",")}
    found: CIMultiDict[str] = CIMultiDict()
    for name, value in headers.items():
        lower = _lower(name)
        if lower not in dropped and not lower.startswith(_OWN_PREFIX):
            found.add(name, value)
    return found


@functools.lru_cache(maxsize=_NAMES_KNOWN)
def _lower(name: str) -> str:
    return name.lower()
