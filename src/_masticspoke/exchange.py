"""Requests to the next process, the connections for them, and refusals."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import final

import aiohttp
from aiohttp import web
from yarl import URL

from _masticspoke.border.forwarding import forwarded_headers
from _masticspoke.border.headers import encode_report
from _masticspoke.border.headers import REFUSED_HEADER
from _masticspoke.border.headers import REPORT_HEADER
from _masticspoke.border.problem import CONTENT_TYPE
from _masticspoke.border.problem import encode_problem
from _masticspoke.border.problem import retry_after
from _masticspoke.metrics.account import RequestAccount
from _masticspoke.model import Address
from _masticspoke.model import LoadReport
from _masticspoke.model import Ran
from _masticspoke.refusals import Reason
from _masticspoke.refusals import REASONS
from _masticspoke.refusals import Refusal

_NOT_WHOLE = "the body did not arrive whole"
ACCOUNT = web.RequestKey("account", RequestAccount)


@final
class Source:
    """The caller's side of a body that is passed on while it arrives."""

    def __init__(self) -> None:
        self._failed = False
        self._waiting = False

    @property
    def failed(self) -> bool:
        """Whether the body arrived malformed or not whole."""
        return self._failed

    @property
    def waiting(self) -> bool:
        """Whether the next part of the body has not arrived."""
        return self._waiting

    async def chunks(self, content: aiohttp.StreamReader) -> AsyncIterator[bytes]:
        """Pass the body on."""
        try:
            while chunk := await self._next(content):
                yield chunk
        except (web.RequestPayloadError, aiohttp.ClientError, ConnectionError):
            self._failed = True
            raise

    async def _next(self, content: aiohttp.StreamReader) -> bytes:
        self._waiting = True
        chunk = await content.readany()
        self._waiting = False
        return chunk


@final
@dataclass(frozen=True, slots=True)
class Outgoing:
    """A request to pass on.

    :param body: the whole body, or an iterator that can be read once.
    :param length: length of a body that is not held in memory, if it is known.
    :param source: where such a body comes from.
    :param account: figures of the request that it is made for.
    """

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes | AsyncIterator[bytes]
    length: str = ""
    source: Source = field(default_factory=Source)
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


def account_of(request: web.BaseRequest) -> RequestAccount:
    """Return the figures of a request; fresh ones when nobody counts it."""
    return request.get(ACCOUNT) or RequestAccount(0.0)


def deadline_refusal(sent: Outgoing) -> Refusal:
    """Return why a request that was passed on is not answered by its deadline.

    The HTTP library does not report a broken chunk that comes in a later segment; the
    body then never ends (issue 3).
    """
    if sent.source.waiting:
        return Refusal(Reason.MALFORMED, Ran.UNKNOWN, detail=_NOT_WHOLE)
    return Refusal(Reason.DEADLINE_PASSED, Ran.UNKNOWN)


async def receive(
    request: web.BaseRequest, buffer_bytes: int, wait_s: float
) -> Outgoing | Refusal:
    """Return a request to pass on; a body up to ``buffer_bytes`` is read whole.

    :param wait_s: time that the body gets to arrive, if it is read here.
    """
    try:
        async with asyncio.timeout(wait_s):
            return await _outgoing(request, buffer_bytes)
    except TimeoutError:
        return Refusal(Reason.DEADLINE_PASSED, detail=_NOT_WHOLE)
    except web.RequestPayloadError as error:
        return Refusal(Reason.MALFORMED, detail=f"request body: {error}")


async def _outgoing(request: web.BaseRequest, buffer_bytes: int) -> Outgoing:
    body: bytes | AsyncIterator[bytes] = b""
    source = Source()
    if request.can_read_body:
        small = request.content_length is not None
        small = small and request.content_length <= buffer_bytes  # type: ignore[operator]
        body = await request.read() if small else source.chunks(request.content)
    headers = forwarded_headers(request.headers)
    length = str(request.content_length or "")
    account = account_of(request)
    return Outgoing(
        request.method, request.raw_path, headers, body, length, source, account
    )


async def read_bounded(request: web.BaseRequest, limit: int) -> bytes | None:
    """Return a request's body, or ``None`` if it has more than ``limit`` bytes."""
    if (request.content_length or 0) > limit:
        return None
    found = bytearray()
    async for chunk in request.content.iter_any():
        found += chunk
        if len(found) > limit:
            return None
    return bytes(found)


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
