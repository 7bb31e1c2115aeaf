"""Codec for the headers between clients, nodes and backend servers."""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import final

from multidict import CIMultiDict
from pydantic import Field
from pydantic import ValidationError
from yarl import URL

from _masticspoke.border.fields import BorderModel
from _masticspoke.decisions.resumption import AnswerHead
from _masticspoke.model import Address
from _masticspoke.model import Call
from _masticspoke.model import LoadReport
from _masticspoke.model import RequestShape
from _masticspoke.model import Trace
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal

CALL_HEADER = "Masticspoke-Call"
REPORT_HEADER = "Masticspoke-Report"
DEADLINE_HEADER = "Masticspoke-Deadline-Ms"
REFUSED_HEADER = "Masticspoke-Refused"
RAN_HEADER = "Masticspoke-Ran"
HOME_HEADER = "Masticspoke-Home"
ELSEWHERE_HEADER = "Masticspoke-Elsewhere"
KEY_HEADER = "Idempotency-Key"
REPLAYED_HEADER = "Idempotency-Replayed"
TRACE_HEADER = "traceparent"
VIA_HEADER = "Via"

_MAX_DEADLINE_MS = 24 * 3_600_000
_MAX_KEY_LENGTH = 255
_TRACEPARENT = re.compile(r"00-([0-9a-f]{32})-([0-9a-f]{16})-[0-9a-f]{2}")


@final
class CallModel(BorderModel):
    """A call sent to another node, with the time that remains until its deadline."""

    action: str = Field(alias="a", max_length=64)
    kind: str = Field(alias="k", max_length=128)
    service: str = Field(alias="s", max_length=128)
    rank: int = Field(alias="r", ge=0, le=1_000)
    remaining_ms: int = Field(alias="d", ge=0, le=_MAX_DEADLINE_MS)
    idempotent: bool = Field(alias="i")
    shed_last: bool = Field(alias="l", default=False)
    depth: int = Field(alias="h", default=0, ge=0, le=1_000)
    attempt: int = Field(alias="n", default=0, ge=0, le=1_000)
    allowance: int = Field(alias="w", default=0, ge=0, le=1_000)
    key: str | None = Field(alias="y", default=None, max_length=_MAX_KEY_LENGTH)
    catalogue_version: int = Field(alias="v", default=0, ge=0)
    crashes: int = Field(alias="c", default=0, ge=0, le=1_000)


@final
class ReportModel(BorderModel):
    """A guard's load, sent to a caller."""

    in_flight: int = Field(alias="f", ge=0)
    limit: int = Field(alias="m", ge=0)
    latency_us: int = Field(alias="t", ge=0)
    admitted_rank: int = Field(alias="r", ge=-1)
    allowance_left: int = Field(alias="w", default=0, ge=0)
    catalogue_version: int = Field(alias="v", default=0, ge=0)
    leaving: bool = Field(alias="x", default=False)


def encode_call(call: Call, now: float) -> str:
    """Return the value of :data:`CALL_HEADER`."""
    return CallModel.model_construct(
        action=call.action,
        kind=call.kind,
        service=call.service,
        rank=call.rank,
        remaining_ms=max(0, int((call.deadline - now) * 1000)),
        idempotent=call.idempotent,
        shed_last=call.shed_last,
        depth=call.depth,
        attempt=call.attempt,
        allowance=call.allowance,
        key=call.key,
        catalogue_version=call.catalogue_version,
        crashes=call.crashes,
    ).model_dump_json(by_alias=True)


def decode_call(value: str | None, now: float) -> Call | Refusal:
    """Return the call that a peer sent, or a refusal if it is malformed."""
    if value is None:
        return Refusal(Reason.MALFORMED, detail=f"{CALL_HEADER} is missing")
    try:
        model = CallModel.model_validate_json(value)
    except ValidationError as error:
        return Refusal(
            Reason.MALFORMED,
            detail=f"{CALL_HEADER}: {error.error_count()} faults",
        )
    return Call(
        action=model.action,
        kind=model.kind,
        service=model.service,
        rank=model.rank,
        deadline=now + model.remaining_ms / 1000,
        idempotent=model.idempotent,
        shed_last=model.shed_last,
        depth=model.depth,
        attempt=model.attempt,
        allowance=model.allowance,
        key=model.key,
        catalogue_version=model.catalogue_version,
        crashes=model.crashes,
    )


def encode_report(report: LoadReport) -> str:
    """Return the value of :data:`REPORT_HEADER`."""
    return ReportModel.model_construct(
        in_flight=report.in_flight,
        limit=report.limit,
        latency_us=int(report.latency_s * 1e6),
        admitted_rank=report.admitted_rank,
        allowance_left=report.allowance_left,
        catalogue_version=report.catalogue_version,
        leaving=report.leaving,
    ).model_dump_json(by_alias=True)


def decode_report(value: str | None) -> LoadReport | None:
    """Return the load of a guard; ``None`` if the header is missing or malformed."""
    if value is None:
        return None
    try:
        model = ReportModel.model_validate_json(value)
    except ValidationError:
        return None
    return LoadReport(
        in_flight=model.in_flight,
        limit=model.limit,
        latency_s=model.latency_us / 1e6,
        admitted_rank=model.admitted_rank,
        allowance_left=model.allowance_left,
        catalogue_version=model.catalogue_version,
        leaving=model.leaving,
    )


def decode_traceparent(value: str | None) -> Trace | None:
    """Return the parts of a ``traceparent`` of version 00.

    ``None`` if it is missing, malformed or of another version.
    """
    match = _TRACEPARENT.fullmatch(value) if value else None
    return Trace(match[1], match[2]) if match else None


def encode_traceparent(trace: Trace) -> str:
    """Return the value of :data:`TRACE_HEADER`."""
    return f"00-{trace.trace_id}-{trace.parent_id}-01"


def request_shape(
    method: str, target: str, headers: Mapping[str, str], *, from_backend: bool
) -> RequestShape | Refusal:
    """Return what is needed to classify a request, or a refusal if it is malformed.

    :param target: path and query, percent-encoded as they arrived.
    :param from_backend: whether the local backend server sent the request.
    """
    if not is_origin_form(target):
        return Refusal(Reason.MALFORMED, detail="the request target must be a path")
    deadline = headers.get(DEADLINE_HEADER)
    if deadline is not None and not _is_deadline(deadline):
        return Refusal(
            Reason.MALFORMED,
            detail=f"{DEADLINE_HEADER} must be 1 to {_MAX_DEADLINE_MS} milliseconds",
        )
    key = headers.get(KEY_HEADER)
    if key is not None and not 0 < len(key) <= _MAX_KEY_LENGTH:
        return Refusal(
            Reason.MALFORMED,
            detail=f"{KEY_HEADER} must have 1 to {_MAX_KEY_LENGTH} characters",
        )
    return RequestShape(
        method=method,
        path=URL(target.partition("?")[0], encoded=True).path,
        key=key,
        deadline_ms=int(deadline) if deadline is not None else None,
        trace=decode_traceparent(headers.get(TRACE_HEADER)),
        from_backend=from_backend,
    )


def _is_deadline(value: str) -> bool:
    return (
        value.isascii()
        and value.isdigit()
        and len(value) < 12
        and 0 < int(value) <= _MAX_DEADLINE_MS
    )


def answer_head(status: int, headers: Mapping[str, str]) -> AnswerHead:
    """Return the parts of an answer's head that describe its body."""
    length = headers.get("Content-Length", "")
    return AnswerHead(
        status=status,
        etag=headers.get("ETag", ""),
        accepts_ranges=headers.get("Accept-Ranges", "").strip().lower() == "bytes",
        length=int(length) if length.isascii() and length.isdigit() else None,
        content_range=headers.get("Content-Range", ""),
    )


def append_via(headers: CIMultiDict[str], node: Address) -> None:
    """Add a node to the ``Via`` header of a request that passes its guard."""
    previous = headers.get(VIA_HEADER)
    own = f"1.1 {node}"
    headers[VIA_HEADER] = own if previous is None else f"{previous}, {own}"


def passed_through(headers: Mapping[str, str], node: Address) -> bool:
    """Return whether the ``Via`` header shows that a request passed a node's guard."""
    hops = headers.get(VIA_HEADER, "").split(",")
    return any(hop.split()[1:2] == [str(node)] for hop in hops)


def is_origin_form(target: str) -> bool:
    """Return whether a request target is a path, so that it names no other server."""
    return target.startswith("/")


def shed_by_backend(status: int, headers: Mapping[str, str]) -> bool:
    """Return whether a backend server's answer says that it did not run the request."""
    return status == 503 and headers.get(RAN_HEADER) == "no"
