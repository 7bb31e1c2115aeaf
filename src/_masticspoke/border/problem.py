"""Codec for refusals as problem documents (RFC 9457)."""

from __future__ import annotations

import math
from typing import final
from typing import Literal

from pydantic import BaseModel
from pydantic import ValidationError

from _masticspoke.model import Ran
from _masticspoke.refusals import Reason
from _masticspoke.refusals import REASONS
from _masticspoke.refusals import Refusal

CONTENT_TYPE = "application/problem+json"


@final
class ProblemModel(BaseModel):
    """Body of a refusal."""

    type: str
    title: str
    status: int
    detail: str = ""
    reason: Reason
    ran: Literal["no", "unknown"]
    remedy: str = ""
    retry_after_s: float = 0.0


def encode_problem(refusal: Refusal) -> bytes:
    """Return the body of a refusal."""
    spec = REASONS[refusal.reason]
    return (
        ProblemModel(
            type=f"urn:masticspoke:refusal:{refusal.reason.value}",
            title=refusal.reason.value.replace("-", " "),
            status=spec.status,
            detail=refusal.detail,
            reason=refusal.reason,
            ran=refusal.ran.value,
            remedy=spec.remedy,
            retry_after_s=refusal.retry_after_s,
        )
        .model_dump_json()
        .encode()
    )


def decode_problem(body: bytes) -> Refusal | None:
    """Return the refusal in an answer's body, or ``None`` if there is none."""
    try:
        model = ProblemModel.model_validate_json(body)
    except ValidationError:
        return None
    return Refusal(model.reason, Ran(model.ran), model.retry_after_s, model.detail)


def retry_after(refusal: Refusal) -> str | None:
    """Return the value of ``Retry-After`` in whole seconds, rounded up.

    ``None`` if the refusal states no time.
    """
    if refusal.retry_after_s <= 0:
        return None
    return str(max(1, math.ceil(refusal.retry_after_s)))
