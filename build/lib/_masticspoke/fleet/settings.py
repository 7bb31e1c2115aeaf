"""Settings of a fleet's node."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from _masticspoke.decisions.fleet.budget import BudgetBounds
from _masticspoke.model import Address


@final
@dataclass(frozen=True, slots=True)
class FleetSettings:
    """What a node learns about itself when it starts.

    :param service: service of the backend server on this VM.
    :param clients: where clients and the own backend server send requests.
    :param nodes: where other nodes send requests; the same port at each node.
    :param backend: address of the own backend server.
    :param seeds: IP addresses of some nodes; they may be gone.
    :param stop_timeout_s: time that a planned stop may take.
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
