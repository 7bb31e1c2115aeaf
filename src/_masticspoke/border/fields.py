"""Field types shared by the border's models."""

from __future__ import annotations

from ipaddress import ip_address
from typing import Annotated

from pydantic import BaseModel
from pydantic import BeforeValidator
from pydantic import ConfigDict
from pydantic import PlainSerializer

from _masticspoke.model import Address


class BorderModel(BaseModel):
    """Base of all border models: frozen, and unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


def parse_address(value: object) -> Address:
    """Return the address that ``HOST:PORT`` stands for.

    :raises ValueError: when it is not an IP address and a port from 1 to 65535.
    """
    if isinstance(value, Address):
        return value
    host, colon, port = str(value).rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit():
        raise ValueError("expected IP:PORT, for example 10.0.0.7:8080")
    if not 0 < int(port) < 65536:
        raise ValueError("expected a port from 1 to 65535")
    return Address(_checked_ip(host), int(port))


def _checked_ip(host: str) -> str:
    try:
        return str(ip_address(host.strip("[]")))
    except ValueError:
        raise ValueError(
            "expected IP:PORT with an IP number, for example 10.0.0.7:8080"
        ) from None


AddressField = Annotated[
    Address,
    BeforeValidator(parse_address),
    PlainSerializer(str, return_type=str),
]
