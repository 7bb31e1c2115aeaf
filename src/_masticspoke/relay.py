"""Pass an answer on to the caller, whole or visibly broken."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from typing import final

import aiohttp
from aiohttp import web
from multidict import CIMultiDict

from _masticspoke.border.forwarding import forwarded_headers
from _masticspoke.border.headers import answer_head
from _masticspoke.decisions.resumption import AnswerHead

ONE_WRITE_BYTES = 65_536


@final
@dataclass(slots=True)
class Relayed:
    """One answer on its way to the caller.

    :param response: set as soon as its head may have been sent.
    :param head: of the answer that it began with.
    :param sent: bytes of the body that were passed on.
    """

    request: web.BaseRequest
    response: web.StreamResponse | None = None
    head: AnswerHead | None = None
    sent: int = 0

    def abort(self) -> None:
        """Break the connection, so that the answer can't be taken for a whole one."""
        if self.request.transport is not None:
            self.request.transport.abort()


@final
@dataclass(frozen=True, slots=True)
class Cut:
    """An answer that broke off after its head.

    :param by_caller: whether the caller went away.
    """

    response: web.StreamResponse
    by_caller: bool


async def relay(
    relayed: Relayed, upstream: aiohttp.ClientResponse, extra: Mapping[str, str]
) -> web.StreamResponse | Cut:
    """Pass an answer on, with back-pressure.

    :param extra: headers of its head.
    :raises aiohttp.ClientError: when it broke before anything was passed on.
    """
    headers = forwarded_headers(upstream.headers)
    headers.extend(extra)
    method = relayed.request.method
    length = upstream.content_length
    if length is not None and length <= ONE_WRITE_BYTES and method != "HEAD":
        body = await upstream.read()
        return web.Response(status=upstream.status, headers=headers, body=body)
    response = _head(upstream, headers, length)
    relayed.response = response
    relayed.head = answer_head(upstream.status, upstream.headers)
    try:
        await response.prepare(relayed.request)
    except ConnectionError:
        return Cut(response, by_caller=True)
    return await relay_body(relayed, response, upstream)


async def relay_body(
    relayed: Relayed, response: web.StreamResponse, upstream: aiohttp.ClientResponse
) -> web.StreamResponse | Cut:
    """Pass the body on; a deadline or a caller that goes away breaks the answer."""
    try:
        return await _copy(relayed, response, upstream)
    except asyncio.CancelledError:
        relayed.abort()
        raise


def _head(
    upstream: aiohttp.ClientResponse, headers: CIMultiDict[str], length: int | None
) -> web.StreamResponse:
    response = web.StreamResponse(status=upstream.status, headers=headers)
    if length is not None:
        response.content_length = length
    elif upstream.version == aiohttp.HttpVersion11:
        response.enable_chunked_encoding()
    return response


async def _copy(
    relayed: Relayed, response: web.StreamResponse, upstream: aiohttp.ClientResponse
) -> web.StreamResponse | Cut:
    while True:
        try:
            chunk = await upstream.content.readany()
        except (aiohttp.ClientError, ConnectionError):
            return Cut(response, by_caller=False)
        try:
            if not chunk:
                await response.write_eof()
                return response
            await response.write(chunk)
        except ConnectionError:
            return Cut(response, by_caller=True)
        relayed.sent += len(chunk)
