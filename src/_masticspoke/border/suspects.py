"""Codec for the JSON bodies in which guards of a service exchange suspects.

A suspect is the fingerprint of requests during which a backend server crashed.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import final

from pydantic import Field
from pydantic import ValidationError

from _masticspoke.border.fields import BorderModel
from _masticspoke.decisions.suspects import MAX_SUSPECTS
from _masticspoke.decisions.suspects import QUARANTINE_S
from _masticspoke.decisions.suspects import SuspectUpdate

MAX_SUSPECTS_BYTES = 1024 * 1024


@final
class _SuspectModel(BorderModel):
    fingerprint: int = Field(alias="f", ge=0, lt=2**64)
    crashes: int = Field(alias="c", ge=0, le=1_000)
    ttl_s: float = Field(alias="t", ge=0, le=QUARANTINE_S)


@final
class _SuspectsModel(BorderModel):
    suspects: tuple[_SuspectModel, ...] = Field(alias="s", max_length=MAX_SUSPECTS)


def encode_suspects(suspects: Iterable[SuspectUpdate]) -> bytes:
    """Return the body of a request that reports suspects to another guard."""
    models = tuple(
        _SuspectModel(f=s.fingerprint, c=s.crashes, t=min(QUARANTINE_S, s.ttl_s))
        for s in suspects
    )
    return _SuspectsModel(s=models).model_dump_json(by_alias=True).encode()


def decode_suspects(body: bytes) -> tuple[SuspectUpdate, ...] | None:
    """Return the suspects that a guard reports, or ``None`` if malformed."""
    try:
        model = _SuspectsModel.model_validate_json(body)
    except ValidationError:
        return None
    return tuple(
        SuspectUpdate(s.fingerprint, s.crashes, s.ttl_s) for s in model.suspects
    )
