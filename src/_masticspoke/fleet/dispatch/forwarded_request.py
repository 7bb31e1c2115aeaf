"""A request as nodes forward it, and the fingerprint by which it is recognised."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from typing import final

from multidict import CIMultiDict

# Bytes of a fingerprint.
_FINGERPRINT_BYTES = 8


@final
@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A request as it is forwarded to a guard or backend server.

    :param target: path and query, unchanged.
    """

    method: str
    target: str
    headers: CIMultiDict[str]
    body: bytes


def fingerprint_of(request: ForwardedRequest, caller: str) -> int:
    """Return a number that is equal for equal caller, method, host, target and body.

    Each attempt of a client has an id of its own, so the id does not count.

    :param caller: service of the backend server on the entry node's VM.
    """
    host = request.headers.get("Host", "").lower()
    head = "\n".join((caller, request.method, host, request.target, ""))
    digest = blake2b(
        head.encode(errors="surrogateescape"), digest_size=_FINGERPRINT_BYTES
    )
    digest.update(request.body)
    return int.from_bytes(digest.digest())
