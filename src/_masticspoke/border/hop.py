"""Codec for the JSON headers and queries between the nodes of a fleet."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import replace
from typing import final
from urllib.parse import quote
from urllib.parse import unquote

from _masticspoke.border.json_values import finite_number
from _masticspoke.border.json_values import MALFORMED
from _masticspoke.border.json_values import plain_text
from _masticspoke.decisions.fleet.model import GuardLoad
from _masticspoke.decisions.fleet.model import Job
from _masticspoke.decisions.fleet.model import MAX_SLOWDOWN
from _masticspoke.decisions.fleet.model import MIN_SLOWDOWN
from _masticspoke.decisions.fleet.model import NotRun

JOB_HEADER = "Masticspoke-Job"
GUARD_HEADER = "Masticspoke-Guard"
# State of the guard's backend server, with each answer while it is leaving.
LEAVING_HEADER = "Masticspoke-Leaving"
# Name of the organisation that a request runs for, percent-encoded.
ORGANISATION_HEADER = "Masticspoke-Organisation"
# A JSON object with what a guard reports beyond GUARD_HEADER, whose list nodes of an
# earlier build read with a fixed length. Unknown fields are ignored.
LOAD_HEADER = "Masticspoke-Load"
RUN_QUERY_PATH = "/.masticspoke/fate"
# Reasons that a node of an earlier build can't read are sent as one that it can.
_SENT_REASONS: Mapping[NotRun | None, NotRun] = {NotRun.QUARANTINED: NotRun.BUSY}
# Each request takes four conversions of short lists, so the functions behind
# json.dumps and json.loads are called directly, without the cost of the wrappers.
_quote = json.encoder.encode_basestring_ascii
_raw_decode = json.JSONDecoder().raw_decode


@final
@dataclass(frozen=True, slots=True)
class GuardAnswer:
    """What a guard reports with each answer.

    :param not_run: why the request did not run; ``None`` if it ran or may have run.
    :param interrupted: whether the run ended without an answer; the request may have
        run.
    :param arrived: whether the request reached the backend server.
    :param nested_call_failed: whether the run failed after one of its nested calls had
        failed.
    :param retry_s: seconds until a retry may be admitted.
    """

    not_run: NotRun | None
    interrupted: bool
    arrived: bool
    retry_s: float
    load: GuardLoad
    nested_call_failed: bool = False


def encode_job(job: Job, now: float) -> str:
    """Return the value of :data:`JOB_HEADER`; times are sent as remaining time."""
    texts = (job.request_id, job.route, job.service, job.caller)
    numbers = (
        job.rank,
        int(job.idempotent),
        int(job.nested),
        int(job.is_retry),
        int((job.objective_at - now) * 1000),
        int((job.deadline - now) * 1000),
    )
    return f"[{','.join(map(_quote, texts))},{','.join(map(str, numbers))}]"


def decode_job(value: str | None, now: float) -> Job | None:
    """Return the job in a header; ``None`` if it is missing or malformed."""
    try:
        values, _ = _raw_decode(value or "")
        request_id, route, service, caller, *numbers = values
        texts = (request_id, route, service, caller)
        if not all(isinstance(text, str) for text in texts):
            return None
        rank, idempotent, nested, is_retry, objective_ms, deadline_ms = map(
            int, numbers
        )
        objective_at = now + objective_ms / 1000
        deadline = now + deadline_ms / 1000
    except MALFORMED:
        return None
    return Job(
        request_id,
        route,
        service,
        caller,
        rank=rank,
        idempotent=bool(idempotent),
        nested=bool(nested),
        is_retry=bool(is_retry),
        objective_at=objective_at,
        deadline=deadline,
    )


def encode_organisation(name: str) -> str:
    """Return the value of :data:`ORGANISATION_HEADER`."""
    return quote(name)


def decode_organisation(value: str | None) -> str:
    """Return the organisation in a header; empty if it is missing or malformed."""
    try:
        return plain_text(unquote(value or "", errors="strict"))
    except MALFORMED:
        return ""


def encode_guard(answer: GuardAnswer) -> str:
    """Return the value of :data:`GUARD_HEADER`."""
    load = answer.load
    numbers = (
        int(answer.interrupted),
        int(answer.arrived),
        int(answer.nested_call_failed),
        int(answer.retry_s * 1000),
        load.running,
        load.queued,
        load.limit,
        int(load.run_s * 1000),
        int(load.pressure_s * 1000),
    )
    not_run = _SENT_REASONS.get(answer.not_run, answer.not_run)
    reason = "null" if not_run is None else _quote(not_run)
    return f"[{reason},{','.join(map(str, numbers))}]"


def decode_guard(value: str | None) -> GuardAnswer | None:
    """Return the answer in a header; ``None`` if it is missing or malformed."""
    try:
        values, _ = _raw_decode(value or "")
        reason = None if values[0] is None else NotRun(values[0])
        interrupted, arrived, nested_call_failed, retry_ms, *load_values = map(
            int, values[1:]
        )
        running, queued, limit, run_ms, pressure_ms = load_values
        load = GuardLoad(running, queued, limit, run_ms / 1000, pressure_ms / 1000)
        retry_s = retry_ms / 1000
    except MALFORMED:
        return None
    return GuardAnswer(
        reason,
        bool(interrupted),
        bool(arrived),
        retry_s,
        load,
        bool(nested_call_failed),
    )


def encode_load(load: GuardLoad) -> str | None:
    """Return the value of :data:`LOAD_HEADER`; ``None`` if it would say nothing."""
    if load.slowdown == 1.0:
        return None
    return f'{{"v":1,"slowdown":{load.slowdown:.2f}}}'


def decode_load(value: str | None, load: GuardLoad) -> GuardLoad:
    """Return a load with what a header adds; unchanged if it is missing or malformed.

    :param load: load in the :data:`GUARD_HEADER` of the same answer.
    """
    if value is None:
        return load
    try:
        slowdown = finite_number(json.loads(value)["slowdown"])
    except MALFORMED:
        return load
    if slowdown <= 0.0:
        return load
    return replace(load, slowdown=min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, slowdown)))


def encode_run_query(request_id: str, asked_after_s: float) -> bytes:
    """Return the body of a query for the outcome of a request.

    :param asked_after_s: time since the request was sent; it is rounded up, so that
        the receiver never takes the send for later than it was.
    """
    return json.dumps([request_id, int(asked_after_s * 1000) + 1]).encode()


def decode_run_query(body: bytes) -> tuple[str, float] | None:
    """Return the request id and the seconds since the request was sent.

    ``None`` if the query is malformed.
    """
    try:
        request_id, asked_after_ms = json.loads(body)
        if not isinstance(request_id, str):
            return None
        return request_id, int(asked_after_ms) / 1000
    except MALFORMED:
        return None
