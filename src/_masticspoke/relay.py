"""Forward an answer to the caller, complete or visibly truncated."""

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

MAX_BUFFERED_ANSWER_BYTES = 65_536


@final
@dataclass(slots=True)
class Relayed:
    """Progress of one answer that is forwarded to the caller.

    :param request: the caller's request.
    :param response: the answer to the caller; set once its head may have been sent.
    :param head: head of the first upstream answer.
    :param sent: bytes of the body that were forwarded.
    """

    request: web.BaseRequest
    response: web.StreamResponse | None = None
    head: AnswerHead | None = None
    sent: int = 0

    def abort(self) -> None:
        """Abort the connection, so that the answer does not look complete."""
        if self.request.transport is not None:
            self.request.transport.abort()


@final
@dataclass(frozen=True, slots=True)
class TruncatedAnswer:
    """An answer that ended early, after its head may have been sent.

    :param by_caller: whether the caller disconnected or its deadline passed, rather
        than the server failing.
    """

    response: web.StreamResponse
    by_caller: bool


async def relay(
    relayed: Relayed, upstream: aiohttp.ClientResponse, extra_headers: Mapping[str, str]
) -> web.StreamResponse | TruncatedAnswer:
    """Forward an answer, with back-pressure.

    An answer of known length up to ``MAX_BUFFERED_ANSWER_BYTES`` is read whole before
    it is forwarded.

    :param extra_headers: headers to add to those of the answer.
    :raises aiohttp.ClientError: when the server failed before anything was forwarded.
    """
    headers = forwarded_headers(upstream.headers)
    headers.extend(extra_headers)
    method = relayed.request.method
    length = upstream.content_length
    if length is not None and length <= MAX_BUFFERED_ANSWER_BYTES and method != "HEAD":
        body = await upstream.read()
        return web.Response(status=upstream.status, headers=headers, body=body)
    response = _new_response(upstream, headers, length)
    relayed.response = response
    relayed.head = answer_head(upstream.status, upstream.headers)
    try:
        await response.prepare(relayed.request)
    except ConnectionError:
        return TruncatedAnswer(response, by_caller=True)
    return await relay_body(relayed, response, upstream)


async def relay_body(
    relayed: Relayed, response: web.StreamResponse, upstream: aiohttp.ClientResponse
) -> web.StreamResponse | TruncatedAnswer:
    """Forward the body.

    When the deadline passes or the caller disconnects, the task is cancelled and the
    caller's connection aborted.
    """
    try:
        return await _copy_body(relayed, response, upstream)
    except asyncio.CancelledError:
        relayed.abort()
        raise


def _new_response(
    upstream: aiohttp.ClientResponse, headers: CIMultiDict[str], length: int | None
) -> web.StreamResponse:
    response = web.StreamResponse(status=upstream.status, headers=headers)
    if length is not None:
        response.content_length = length
    elif upstream.version == aiohttp.HttpVersion11:
        response.enable_chunked_encoding()
    return response


async def _copy_body(
    relayed: Relayed, response: web.StreamResponse, upstream: aiohttp.ClientResponse
) -> web.StreamResponse | TruncatedAnswer:
    while True:
        try:
            chunk = await upstream.content.readany()
        except (aiohttp.ClientError, ConnectionError):
            return TruncatedAnswer(response, by_caller=False)
        try:
            if not chunk:
                await response.write_eof()
                return response
            await response.write(chunk)
        except ConnectionError:
            return TruncatedAnswer(response, by_caller=True)
        relayed.sent += len(chunk)
