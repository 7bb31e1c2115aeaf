"""Decode the announcement that a backend server sends to its node."""

from __future__ import annotations

from typing import final

from pydantic import Field

from _masticspoke.border.fields import AddressField
from _masticspoke.border.fields import BorderModel
from _masticspoke.model import Address
from _masticspoke.model import Member


@final
class AnnouncementModel(BorderModel):
    """Body of an announcement, which has to be renewed within ``ttl_ms``.

    ``incarnation`` distinguishes successive processes of the backend server.
    """

    service: str = Field(pattern="^[a-z0-9-]+$", max_length=128)
    address: AddressField
    slots: int = Field(gt=0, le=100_000)
    connections: int = Field(gt=0, le=1_000_000)
    ttl_ms: int = Field(default=3_000, ge=100, le=600_000)
    incarnation: str = Field(default="", max_length=64)


def decode_announcement(body: bytes, node: Address, zone: str) -> tuple[Member, float]:
    """Return ``node``'s backend server and the announcement's lifetime in seconds.

    The member has the incarnation that the backend server announced; the keeper
    replaces it with the node's incarnation.

    :raises pydantic.ValidationError: when the body is malformed.
    """
    model = AnnouncementModel.model_validate_json(body)
    member = Member(
        service=model.service,
        backend=model.address,
        node=node,
        zone=zone,
        incarnation=model.incarnation,
        slots=model.slots,
        connections=model.connections,
    )
    return member, model.ttl_ms / 1000
