"""Requests that the HTTP server receives, and the answers of its handlers."""

from __future__ import annotations

from collections.abc import AsyncIterable
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import final
from typing import TYPE_CHECKING

from aiohttp import ClientPayloadError
from aiohttp import EMPTY_PAYLOAD
from aiohttp import StreamReader
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import RawRequestMessage
from multidict import CIMultiDictProxy

if TYPE_CHECKING:
    from _masticspoke.http_pipeline import Exchange
    from _masticspoke.http_server_connection import ServerConnection


@final
class BodyTooLongError(Exception):
    """The body of a request is longer than its limit."""


@final
class IncompleteBodyError(Exception):
    """The body of a request is malformed, so it can't be read to its end."""


@final
class NoBodyMemoryError(Exception):
    """The node has no memory left for the body of a request."""


@final
@dataclass(frozen=True, slots=True)
class Response:
    """An answer with its whole body.

    :param headers: without ``Content-Length`` and other headers that frame the body.
    """

    status: int
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""


@final
@dataclass(frozen=True, slots=True)
class Streamed:
    """Marks an answer that was already written by :meth:`Request.stream`."""


@final
@dataclass(slots=True)
class Request:
    """A request from a client.

    :param target: path and query as received, not decoded.
    :param content: the body, readable while it arrives.
    """

    method: str
    target: str
    headers: CIMultiDictProxy[str]
    content: StreamReader
    connection: ServerConnection
    exchange: Exchange

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def remote(self) -> str:
        """IP address of the client."""
        return self.connection.remote

    async def body(self, max_bytes: int) -> bytes:
        """Read and return the whole body.

        When the client disconnects before the end, the handler is cancelled.

        :raises BodyTooLongError: when it is longer than ``max_bytes``.
        :raises NoBodyMemoryError: when the bodies of the node's requests fill their
            memory; a body of known length has not been read then.
        :raises IncompleteBodyError: when it is malformed.
        """
        if self.content is EMPTY_PAYLOAD:
            return b""
        length = self.headers.get("Content-Length")
        if length is not None:
            if int(length) > max_bytes:
                raise BodyTooLongError
            self.exchange.hold_body(int(length))
        if "Expect" in self.headers:
            self.connection.send_continue()
        try:
            return await self._read_body(max_bytes, is_held=length is not None)
        except (HttpProcessingError, ClientPayloadError) as error:
            raise IncompleteBodyError from error

    async def _read_body(self, max_bytes: int, *, is_held: bool) -> bytes:
        body = bytearray()
        while chunk := await self.content.readany():
            body += chunk
            if len(body) > max_bytes:
                raise BodyTooLongError
            if not is_held:
                self.exchange.hold_body(len(chunk))
        return bytes(body)

    async def stream(
        self,
        status: int,
        headers: Mapping[str, str],
        length: int | None,
        body: AsyncIterable[bytes],
    ) -> Streamed:
        """Write an answer while it arrives; see :meth:`ServerConnection.stream`."""
        return await self.connection.stream(
            self.exchange, status, headers, length, body
        )


Handler = Callable[[Request], Awaitable[Response | Streamed]]
# Returns whether a request may run at the same time as others of its connection.
Concurrent = Callable[[RawRequestMessage], bool]
