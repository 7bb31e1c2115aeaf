"""Encode the head and the body of an HTTP/1.1 answer."""

from __future__ import annotations

from collections.abc import Mapping
from http import HTTPStatus

from _masticspoke.border.http_head import encode_head

LAST_CHUNK = b"0\r\n\r\n"
_REASON_PHRASES = {status.value: status.phrase for status in HTTPStatus}


def encode_whole(chunk: bytes) -> bytes:
    """Return a part of a body whose length its head gives."""
    return chunk


def encode_chunk(chunk: bytes) -> bytes:
    """Return a part of a body that is sent in chunks."""
    return b"%x\r\n%b\r\n" % (len(chunk), chunk)


def encode_answer_head(
    status: int, headers: Mapping[str, str], length: int | None, closes: bool
) -> bytes:
    """Return the head of an answer.

    :param length: bytes of the body; ``None`` if it has none or is sent in chunks.
    :param closes: whether the connection closes after the answer.
    """
    status_line = f"HTTP/1.1 {status} {_REASON_PHRASES.get(status, '')}"
    return encode_head(status_line, headers, length, closes)
