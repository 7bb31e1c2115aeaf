from __future__ import annotations

from dataclasses import replace

from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import Job
from _masticspoke.decisions.fleet.model import Route
from _masticspoke.decisions.fleet.model import Share
from _masticspoke.model import Address


def server(
    number: int = 1, zone: str = "z1", slots: int = 10, **changes: object
) -> BackendServer:
    default = BackendServer(
        address=Address(f"10.0.0.{number}", 8080),
        service="desk",
        instance=f"i-{number}",
        born_ms=1_000,
        sequence=1,
        zone=zone,
        slots=slots,
    )
    return replace(default, **changes)  # type: ignore[arg-type]


def job(number: int = 1, **changes: object) -> Job:
    default = Job(
        request_id=f"r{number}",
        route="read",
        service="desk",
        caller="desk",
        rank=1,
        idempotent=True,
        nested=False,
        is_retry=False,
        objective_at=1.0,
        deadline=3.0,
    )
    return replace(default, **changes)  # type: ignore[arg-type]


def route(**changes: object) -> Route:
    default = Route(
        name="read",
        host="a.example",
        prefix="/read/",
        idempotent=True,
        timeout_s=3.0,
        objective_s=1.0,
        rank=1,
        max_attempts=2,
        shares=(Share("desk", 1.0),),
    )
    return replace(default, **changes)  # type: ignore[arg-type]
