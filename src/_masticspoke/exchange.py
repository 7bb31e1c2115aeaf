"""One HTTP exchange with the next process, and the relay of its answer."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import final

import aiohttp
from aiohttp import web
from multidict import CIMultiDict
from yarl import URL

from _masticspoke.border.headers import encode_report
from _masticspoke.border.headers import forwarded
from _masticspoke.border.headers import REFUSED_HEADER
from _masticspoke.border.headers import REPORT_HEADER
from _masticspoke.border.problem import CONTENT_TYPE
from _masticspoke.border.problem import encode_problem
from _masticspoke.border.problem import retry_after
from _masticspoke.metrics.account import RequestAccount
from _masticspoke.model import Address
from _masticspoke.model import LoadReport
from _masticspoke.refusals import REASONS
from _masticspoke.refusals import Refusal

ACCOUNT = web.RequestKey("account", RequestAccount)
_ONE_WRITE_BYTES = 65_536
# Below the idle time-outs usual in servers, which are 5 s and more.
_KEEP_IDLE_S = 4.0
_SKIPPED = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


@final
@dataclass(frozen=True, slots=True)
class Outgoing:
    """A request to pass on.

    :param body: the whole body, or an iterator that can be read once.
    :param length: length of a body that is not held in memory, if it is known.
    :param account: figures of the request that it is made for.
    """

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes | AsyncIterator[bytes]
    length: str = ""
    account: RequestAccount = field(default_factory=lambda: RequestAccount(0.0))

    @classmethod
    def empty(cls) -> Outgoing:
        """Return a request that is not read yet."""
        return cls("", "", {}, b"")

    @property
    def resendable(self) -> bool:
        """Whether the request can be sent a second time."""
        return isinstance(self.body, bytes)

    def url(self, address: Address) -> URL:
        """Return where it goes; the target stays as it was written."""
        return URL(f"http://{address}{self.target}", encoded=True)


Deliver = Callable[[aiohttp.ClientResponse], Awaitable[web.StreamResponse]]


@final
class Connections:
    """Client connections of one branch; open while their task runs."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    @property
    def session(self) -> aiohttp.ClientSession:
        """The open session.

        :raises RuntimeError: when the owning task is not running.
        """
        if self._session is None:
            raise RuntimeError("connections are closed; their task is not running")
        return self._session

    async def open(self, connect_timeout_s: float) -> None:
        """Open the session."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0, use_dns_cache=False, keepalive_timeout=_KEEP_IDLE_S
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=_SKIPPED,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_timeout_s),
            read_bufsize=_ONE_WRITE_BYTES,
        )
        # The library's own second send runs a request twice unseen (issue 4).
        self._session._retry_connection = False

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None


async def outgoing(request: web.BaseRequest, buffer_bytes: int) -> Outgoing:
    """Return a request to pass on; a body up to ``buffer_bytes`` is read whole."""
    body: bytes | AsyncIterator[bytes] = b""
    if request.can_read_body:
        small = request.content_length is not None
        small = small and request.content_length <= buffer_bytes  # type: ignore[operator]
        body = await request.read() if small else request.content.iter_any()
    headers = forwarded(request.headers)
    length = str(request.content_length or "")
    account = request.get(ACCOUNT) or RequestAccount(0.0)
    return Outgoing(request.method, request.raw_path, headers, body, length, account)


async def relay(
    request: web.BaseRequest,
    upstream: aiohttp.ClientResponse,
    extra: Mapping[str, str],
) -> web.StreamResponse:
    """Pass an answer on, with back-pressure; a broken one never looks complete."""
    headers = forwarded(upstream.headers)
    headers.extend(extra)
    length = upstream.content_length
    if length is not None and length <= _ONE_WRITE_BYTES and request.method != "HEAD":
        body = await upstream.read()
        return web.Response(status=upstream.status, headers=headers, body=body)
    return await _relay_stream(request, upstream, headers, length)


async def _relay_stream(
    request: web.BaseRequest,
    upstream: aiohttp.ClientResponse,
    headers: CIMultiDict[str],
    length: int | None,
) -> web.StreamResponse:
    response = web.StreamResponse(status=upstream.status, headers=headers)
    if length is not None:
        response.content_length = length
    elif upstream.version == aiohttp.HttpVersion11:
        response.enable_chunked_encoding()
    await response.prepare(request)
    try:
        async for chunk in upstream.content.iter_any():
            await response.write(chunk)
    except (aiohttp.ClientError, ConnectionError):
        abort(request)
        return response
    except asyncio.CancelledError:
        abort(request)
        raise
    await response.write_eof()
    return response


def abort(request: web.BaseRequest) -> None:
    """Break the connection, so that the answer can't be taken for a whole one."""
    if request.transport is not None:
        request.transport.abort()


def refusal_response(
    refusal: Refusal, report: LoadReport | None = None
) -> web.Response:
    """Return a refusal as a problem document."""
    headers = {"Content-Type": CONTENT_TYPE, REFUSED_HEADER: refusal.reason.value}
    after = retry_after(refusal)
    if after is not None:
        headers["Retry-After"] = after
    if report is not None:
        headers[REPORT_HEADER] = encode_report(report)
    status = REASONS[refusal.reason].status
    return web.Response(status=status, headers=headers, body=encode_problem(refusal))
