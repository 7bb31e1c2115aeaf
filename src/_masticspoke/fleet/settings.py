"""Settings of a fleet's node."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from _masticspoke.decisions.fleet.budget import BudgetBounds
from _masticspoke.model import Address


@final
@dataclass(frozen=True, slots=True)
class FleetSettings:
    """Settings of one node, read when it starts.

    :param service: service of the backend server on this VM.
    :param clients: where the node listens for clients and the own backend server.
    :param nodes: where it listens for other nodes; the same port at each node.
    :param backend: address of the own backend server.
    :param seeds: IP addresses of some nodes; they may be gone.
    :param log: address of the log service.
    :param stop_timeout_s: longest time of a planned stop.
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
