"""Settings of a fleet's node."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import final

from _masticspoke.decisions.fleet.budget import BudgetBounds
from _masticspoke.decisions.fleet.learned_limit import LearningMode
from _masticspoke.decisions.fleet.model import QuotaBounds
from _masticspoke.model import Address


@final
@dataclass(frozen=True, slots=True)
class FleetSettings:
    """Settings of one node, read when it starts.

    If they change later, only ``service`` takes effect without a restart.

    :param service: service of the backend server on this VM.
    :param clients: where the node listens for clients and the local backend server.
    :param nodes: where the node listens for other nodes; all nodes use the same port.
    :param readiness: where the node answers the platform's readiness checks.
    :param control_plane: where the node receives heartbeats of the local backend
        server.
    :param backend: address of the local backend server.
    :param metrics: where the node exposes its metrics.
    :param seeds: IP addresses of peers to start with; they may be gone.
    :param log: address of the log service.
    :param budget: retry budget of the whole fleet.
    :param stop_timeout_s: longest time of a planned stop.
    :param revocation_s: time after which a key that was taken away is refused at every
        node, in touch with the log or not; ``None`` if there is no such bound.
    :param memory_limit_bytes: memory that the process may use; ``None`` if unknown.
    :param learned_limit: whether the concurrency limit of the local backend server is
        learned.
    :param quota: bound on the requests of one organisation at all nodes together.
    """

    name: str
    zone: str
    service: str
    clients: Address
    nodes: Address
    readiness: Address
    control_plane: Address
    backend: Address
    metrics: Address
    seeds: tuple[str, ...]
    log: Address
    budget: BudgetBounds
    stop_timeout_s: float
    revocation_s: float | None = None
    learned_limit: LearningMode = LearningMode.AUTO
    quota: QuotaBounds = field(default_factory=QuotaBounds)
    memory_limit_bytes: float | None = None
