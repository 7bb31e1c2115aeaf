"""Field types shared by the border's models."""

from __future__ import annotations

from typing import Annotated

from pydantic import BaseModel
from pydantic import BeforeValidator
from pydantic import ConfigDict
from pydantic import PlainSerializer

from _masticspoke.border.addresses import parse_address
from _masticspoke.model import Address


class BorderModel(BaseModel):
    """Base of all border models: frozen, and unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


AddressField = Annotated[
    Address,
    BeforeValidator(parse_address),
    PlainSerializer(str, return_type=str),
]
