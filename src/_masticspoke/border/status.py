"""Codec for the JSON body of a node's status."""

from __future__ import annotations

from typing import final

from pydantic import ValidationError

from _masticspoke.border.fields import BorderModel
from _masticspoke.messages.control import NodeStatus


@final
class StatusModel(BorderModel):
    """Body of a status answer."""

    status: NodeStatus


def encode_status(status: NodeStatus) -> bytes:
    """Return the body of a status answer."""
    return StatusModel(status=status).model_dump_json().encode()


def decode_status(body: bytes) -> NodeStatus | None:
    """Return a node's status, or ``None`` if the body is malformed."""
    try:
        return StatusModel.model_validate_json(body).status
    except ValidationError:
        return None
