"""Digests of keys, and the home of a key by rendezvous hashing over a view."""

from __future__ import annotations

from hashlib import blake2b

from _masticspoke.decisions.once.model import Identity
from _masticspoke.decisions.once.model import identity_of
from _masticspoke.model import View

_DIGEST_BYTES = 16


def key_digest(service: str, key: str) -> str:
    """Return the digest under which a key of a service is claimed."""
    text = f"{service}\n{key}".encode()
    return blake2b(text, digest_size=_DIGEST_BYTES).hexdigest()


def home_of(view: View, digest: str) -> Identity | None:
    """Return the member that is a key's home, or ``None`` in an empty view.

    A process that replaces another one at the same address is home of the same keys.
    """
    if not view.members:
        return None
    return identity_of(
        max(view.members, key=lambda m: (_weight(digest, str(m.node)), m.node))
    )


def _weight(digest: str, node: str) -> bytes:
    return blake2b(f"{digest}{node}".encode(), digest_size=8).digest()
