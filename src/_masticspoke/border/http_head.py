"""Encode the head of an HTTP/1.1 message."""

from __future__ import annotations

from collections.abc import Mapping


def encode_head(
    start: str, headers: Mapping[str, str], length: int | None, closes: bool = False
) -> bytes:
    """Return a message's head, including the empty line at its end.

    :param start: the request line or the status line.
    :param headers: all headers except those that frame the body.
    :param length: bytes of the body; ``None`` if the message has none.
    :param closes: whether the connection is closed after the message.
    """
    lines = [start]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    if closes:
        lines.append("Connection: close")
    lines.append("\r\n")
    return "\r\n".join(lines).encode("utf-8", "surrogateescape")
