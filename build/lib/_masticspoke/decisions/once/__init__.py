"""At most once per key: claims, confirmations, seals and the key table."""

from __future__ import annotations
