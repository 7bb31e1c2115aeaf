"""Requests to forward to the next process, and refusals as answers."""

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
from _masticspoke.metrics.measurements import RequestMeasurements
from _masticspoke.model import Address
from _masticspoke.model import LoadReport
from _masticspoke.model import Ran
from _masticspoke.refusals import Reason
from _masticspoke.refusals import REASONS
from _masticspoke.refusals import Refusal

_INCOMPLETE_BODY = "the body did not arrive whole"
MEASUREMENTS = web.RequestKey("measurements", RequestMeasurements)


@final
class BodySource:
    """State of a request body that is forwarded while it arrives from the caller."""

    def __init__(self) -> None:
        self._failed = False
        self._waiting = False

    @property
    def failed(self) -> bool:
        """Whether the body was malformed or ended early."""
        return self._failed

    @property
    def waiting(self) -> bool:
        """Whether the next chunk is awaited, or did not arrive before reading ended."""
        return self._waiting

    async def chunks(self, content: aiohttp.StreamReader) -> AsyncIterator[bytes]:
        """Yield the chunks of the body as they arrive.

        An error of the body sets :attr:`failed` and is raised again.
        """
        try:
            while chunk := await self._read_chunk(content):
                yield chunk
        except (web.RequestPayloadError, aiohttp.ClientError, ConnectionError):
            self._failed = True
            raise

    async def _read_chunk(self, content: aiohttp.StreamReader) -> bytes:
        self._waiting = True
        chunk = await content.readany()
        self._waiting = False
        return chunk


@final
@dataclass(frozen=True, slots=True)
class Outgoing:
    """A request to forward.

    :param body: the whole body, or an iterator that can be read once.
    :param length: value of ``Content-Length``; empty if the length is unknown or zero.
    :param source: state of a body that is read from an iterator.
    :param measurements: measurements of the caller's request that this one serves.
    """

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes | AsyncIterator[bytes]
    length: str = ""
    source: BodySource = field(default_factory=BodySource)
    measurements: RequestMeasurements = field(
        default_factory=lambda: RequestMeasurements(0.0)
    )

    @classmethod
    def empty(cls) -> Outgoing:
        """Return a placeholder for a request that is not read yet."""
        return cls("", "", {}, b"")

    @property
    def resendable(self) -> bool:
        """Whether the body is in memory, so that the request can be sent again."""
        return isinstance(self.body, bytes)

    def url(self, address: Address) -> URL:
        """Return the URL at ``address``; the target is not re-encoded."""
        return URL(f"http://{address}{self.target}", encoded=True)


def measurements_of(request: web.BaseRequest) -> RequestMeasurements:
    """Return the measurements of a request; new ones if it is not measured."""
    return request.get(MEASUREMENTS) or RequestMeasurements(0.0)


def deadline_refusal(request: Outgoing) -> Refusal:
    """Return the refusal for a forwarded request without an answer by its deadline.

    A body that is still awaited then counts as malformed: the HTTP library does not
    report a malformed chunk in a later TCP segment, and such a body never ends.
    """
    if request.source.waiting:
        return Refusal(Reason.MALFORMED, Ran.UNKNOWN, detail=_INCOMPLETE_BODY)
    return Refusal(Reason.DEADLINE_PASSED, Ran.UNKNOWN)


async def receive(
    request: web.BaseRequest, buffer_bytes: int, wait_s: float
) -> Outgoing | Refusal:
    """Return a request to forward, or the refusal if its body cannot be read.

    :param buffer_bytes: a body of a known length up to this is read into memory here.
    :param wait_s: seconds for such a body to arrive.
    """
    try:
        async with asyncio.timeout(wait_s):
            return await _read_request(request, buffer_bytes)
    except TimeoutError:
        return Refusal(Reason.DEADLINE_PASSED, detail=_INCOMPLETE_BODY)
    except web.RequestPayloadError as error:
        return Refusal(Reason.MALFORMED, detail=f"request body: {error}")


async def _read_request(request: web.BaseRequest, buffer_bytes: int) -> Outgoing:
    body: bytes | AsyncIterator[bytes] = b""
    source = BodySource()
    if request.can_read_body:
        fits_buffer = request.content_length is not None
        fits_buffer = fits_buffer and request.content_length <= buffer_bytes  # type: ignore[operator]
        body = await request.read() if fits_buffer else source.chunks(request.content)
    headers = forwarded_headers(request.headers)
    length = str(request.content_length or "")
    measurements = measurements_of(request)
    return Outgoing(
        request.method, request.raw_path, headers, body, length, source, measurements
    )


async def read_bounded(request: web.BaseRequest, limit: int) -> bytes | None:
    """Return a request's body, or ``None`` if it is longer than ``limit`` bytes."""
    if (request.content_length or 0) > limit:
        return None
    body = bytearray()
    async for chunk in request.content.iter_any():
        body += chunk
        if len(body) > limit:
            return None
    return bytes(body)


def refusal_response(
    refusal: Refusal, report: LoadReport | None = None
) -> web.Response:
    """Return the answer for a refusal, with a problem document as its body."""
    headers = {"Content-Type": CONTENT_TYPE, REFUSED_HEADER: refusal.reason.value}
    after = retry_after(refusal)
    if after is not None:
        headers["Retry-After"] = after
    if report is not None:
        headers[REPORT_HEADER] = encode_report(report)
    status = REASONS[refusal.reason].status
    return web.Response(status=status, headers=headers, body=encode_problem(refusal))
