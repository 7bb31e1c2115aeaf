"""Request objects of a listener.

Requests that are not HTTP are counted: aiohttp's server answers them with status 400
itself, and they never reach the handler.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any
from typing import final

from aiohttp import StreamReader
from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http_parser import RawRequestMessage
from aiohttp.web_protocol import ERROR
from aiohttp.web_protocol import RequestHandler

OnMalformed = Callable[[], None]
Closes = Callable[[web.BaseRequest], bool]


@final
class _Request(web.BaseRequest):
    """A request that tells, when its answer begins, whether the connection closes.

    The head of a streamed answer is written before the handler returns, so that it is
    too late then to announce the close.
    """

    ATTRS = web.BaseRequest.ATTRS | frozenset({"_closes"})

    def __init__(self, closes: Closes, *args: Any) -> None:
        super().__init__(*args)
        self._closes = closes

    @property
    def keep_alive(self) -> bool:
        """Whether the connection may serve another request."""
        return not self._message.should_close and not self._closes(self)


def request_factory(
    on_malformed: OnMalformed, closes: Closes
) -> Callable[..., web.BaseRequest]:
    """Return the factory with which a server creates its request objects.

    :param on_malformed: called for each request that is not HTTP.
    :param closes: returns whether the answer that begins now closes its connection.
    """

    def make(
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: RequestHandler,
        writer: AbstractStreamWriter,
        task: asyncio.Task[None],
    ) -> web.BaseRequest:
        if message is ERROR:
            on_malformed()
        loop = asyncio.get_running_loop()
        return _Request(closes, message, payload, protocol, writer, task, loop)

    return make
