"""Parse and check ``IP:PORT`` addresses."""

from __future__ import annotations

from functools import lru_cache
from ipaddress import ip_address

from _masticspoke.model import Address


def parse_address(value: object) -> Address:
    """Return the address given as ``IP:PORT``.

    :raises ValueError: unless it is an IP address and a port from 1 to 65535.
    """
    if isinstance(value, Address):
        return value
    host, colon, port = str(value).rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit():
        raise ValueError("expected IP:PORT, for example 10.0.0.7:8080")
    if not 0 < int(port) < 65536:
        raise ValueError("expected a port from 1 to 65535")
    return Address(_checked_ip(host), int(port))


# Nodes read the same addresses again and again, in states of backend servers.
@lru_cache(maxsize=32_768)
def _checked_ip(host: str) -> str:
    try:
        return str(ip_address(host.strip("[]")))
    except ValueError:
        raise ValueError(
            "expected IP:PORT with an IP number, for example 10.0.0.7:8080"
        ) from None
