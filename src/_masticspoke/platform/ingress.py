"""Handle requests from clients and the local backend server, and readiness checks."""

from __future__ import annotations

from collections.abc import Mapping

from aiohttp.http_parser import RawRequestMessage

from _masticspoke.border.forwarding import forwarded_headers
from _masticspoke.decisions.fleet.model import Configuration
from _masticspoke.decisions.fleet.model import limits_of
from _masticspoke.decisions.fleet.routing import find_route
from _masticspoke.fleet.dispatch.forwarded_request import ForwardedRequest
from _masticspoke.fleet.dispatch.front import FrontPort
from _masticspoke.fleet.dispatch.front import refuse_unread
from _masticspoke.fleet.dispatch.front import serve_request
from _masticspoke.fleet.dispatch.incoming import IncomingRequest
from _masticspoke.fleet.dispatch.incoming import Outcome
from _masticspoke.fleet.dispatch.incoming import Unanswered
from _masticspoke.fleet.dispatch.sending import AnswerForwarder
from _masticspoke.http_server import Concurrent
from _masticspoke.http_server import Handler
from _masticspoke.http_server import NoBodyMemoryError
from _masticspoke.http_server import Request
from _masticspoke.http_server import Response
from _masticspoke.http_server import Streamed
from _masticspoke.platform.names import DEADLINE_MS
from _masticspoke.platform.names import KEY
from _masticspoke.platform.names import READINESS_PATH
from _masticspoke.platform.names import REPLACED_HEADERS
from _masticspoke.platform.names import REQUEST_ID
from _masticspoke.platform.names import RETRY_AFTER
from _masticspoke.supervise.latest import Latest
from _masticspoke.supervise.planned_stop import PlannedStop

_STATUS_BY_OUTCOME: Mapping[Outcome, int] = {
    Outcome.NOT_READY: 503,
    Outcome.NO_ROUTE: 404,
    Outcome.UNAUTHORISED: 401,
    Outcome.LIMITED: 429,
    Outcome.REFUSED: 503,
    Outcome.FAILED: 502,
    Outcome.EXPIRED: 504,
}
_MAX_DEADLINE_DIGITS = 9
REASON_HEADER = "Masticspoke-Reason"


def ingress_handler(port: FrontPort) -> Handler:
    """Return the handler of requests from clients and from the local backend server."""

    async def handle(request: Request) -> Response | Streamed:
        received_at = port.send.guard.clock()
        target = request.target
        if not target.startswith("/"):
            return Response(400, body=b"the target must be a path\n")
        limits = limits_of(port.configuration.value)
        try:
            body = await request.body(limits.body_bytes)
        except NoBodyMemoryError:
            refused = refuse_unread(port, _incoming_request(request), received_at)
            return _unanswered_response(refused)
        outgoing = ForwardedRequest(
            request.method,
            target,
            forwarded_headers(request.headers, REPLACED_HEADERS),
            body,
        )
        result = await serve_request(
            port,
            _incoming_request(request),
            outgoing,
            AnswerForwarder(request),
            received_at,
        )
        if isinstance(result, Unanswered):
            return _unanswered_response(result)
        if isinstance(result, Streamed):
            return result
        return Response(result.status, result.headers, result.body)

    return handle


def _incoming_request(request: Request) -> IncomingRequest:
    """Return what the entry decides by; ignore a malformed deadline."""
    deadline = request.headers.get(DEADLINE_MS, "")
    valid = deadline.isascii() and deadline.isdigit()
    valid = valid and len(deadline) <= _MAX_DEADLINE_DIGITS
    return IncomingRequest(
        request_id=request.headers.get(REQUEST_ID, ""),
        host=request.headers.get("Host", "").lower(),
        path=request.path,
        caller_timeout_s=int(deadline) / 1000 if valid else None,
        key=request.headers.get(KEY, ""),
    )


def _unanswered_response(result: Unanswered) -> Response:
    headers = {REASON_HEADER: result.reason}
    if result.retry_s is not None:
        headers[RETRY_AFTER] = f"{result.retry_s:.2f}"
    return Response(_STATUS_BY_OUTCOME[result.outcome], headers)


def concurrency(configuration: Latest[Configuration | None]) -> Concurrent:
    """Return the function that tells which requests may run beside others.

    Those are the requests that may run more than once: a client that pipelines them
    doesn't rely on one having run before the next.
    """

    def concurrent(head: RawRequestMessage) -> bool:
        active = configuration.value
        if active is None:
            return False
        host = head.headers.get("Host", "").lower()
        route = find_route(active, host, head.path.partition("?")[0])
        return route is not None and route.idempotent

    return concurrent


def readiness_handler(
    configuration: Latest[Configuration | None], stop: PlannedStop
) -> Handler:
    """Return the handler of the platform's readiness checks."""

    async def handle(request: Request) -> Response:
        if request.path != READINESS_PATH:
            return Response(404)
        ready = configuration.value is not None and not stop.under_way
        return Response(200 if ready else 503)

    return handle
