"""Detect requests that are not HTTP.

aiohttp's server answers them with status 400 itself; they never reach the handler.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from aiohttp import StreamReader
from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http_parser import RawRequestMessage
from aiohttp.web_protocol import ERROR
from aiohttp.web_protocol import RequestHandler

OnMalformed = Callable[[], None]


def request_factory(on_malformed: OnMalformed) -> Callable[..., web.BaseRequest]:
    """Return the factory with which a server creates its request objects.

    :param on_malformed: called for each request that is not HTTP.
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
        return web.BaseRequest(message, payload, protocol, writer, task, loop)

    return make
