"""The simulated deployments: services, kinds of work and catalogues."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from _masticspoke.model import Catalogue
from _masticspoke.model import ClassSpec
from _masticspoke.model import Entry

HOP_S = 0.001  # in each direction


@final
@dataclass(frozen=True, slots=True)
class Service:
    """A service and its backend servers.

    :param slots: requests that one backend server runs at once.
    """

    name: str
    servers: int
    slots: int


@final
@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of work.

    :param work_s: mean time of a run, without its nested request.
    :param child: kind of the nested request that each run sends, if any.
    :param share: part of its service's slots that it demands at load 1; 0 for
        kinds that only occur as nested requests.
    """

    name: str
    rank: int
    service: str
    work_s: float
    deadline_s: float
    share: float = 0.0
    child: str | None = None
    shed_last: bool = False


@final
@dataclass(frozen=True, slots=True)
class Workload:
    """A deployment: its services, kinds of work and the floors of its classes."""

    name: str
    services: tuple[Service, ...]
    kinds: tuple[Kind, ...]
    floors: tuple[float, ...]

    def kind(self, name: str) -> Kind:
        """Return the kind with a name."""
        return next(k for k in self.kinds if k.name == name)

    def slots(self, service: str) -> int:
        """Return the slots of all backend servers of a service."""
        spec = next(s for s in self.services if s.name == service)
        return spec.servers * spec.slots


KERALA = Workload(
    "kerala-south",
    (
        Service("inspect-desk", 4, 50),
        Service("tooling-desk", 3, 60),
        Service("audit-vault", 3, 60),
        Service("batch-board", 3, 30),
    ),
    (
        Kind("booking", 0, "tooling-desk", 0.60, 5.0, 1.0, "stock", True),
        Kind("inspection", 1, "inspect-desk", 0.40, 2.0, 0.8, "batch-lookup"),
        Kind("archive", 2, "audit-vault", 2.0, 20.0, 1.0),
        Kind("batch-status", 3, "batch-board", 0.20, 1.5, 0.6),
        Kind("stock", 0, "inspect-desk", 0.12, 5.0),
        Kind("batch-lookup", 1, "batch-board", 0.10, 2.0),
    ),
    (0.20, 0.30, 0.15, 0.10),
)

SLOVAKIA = Workload(
    "sk-central",
    (
        Service("planovac", 5, 200),
        Service("rezervacie", 4, 250),
        Service("videoteka", 4, 250),
        Service("dennik", 4, 60),
    ),
    (
        Kind("slot-booking", 0, "rezervacie", 1.0, 5.0, 1.0, "plan-check", True),
        Kind("log-lift", 1, "dennik", 0.3, 4.0, 1.0, None, True),
        Kind("programme", 2, "planovac", 0.6, 2.0, 0.8, "thumbnails"),
        Kind("video", 3, "videoteka", 2.0, 20.0, 0.9),
        Kind("plan-check", 0, "planovac", 0.2, 5.0),
        Kind("thumbnails", 2, "videoteka", 0.1, 2.0),
    ),
    (0.20, 0.20, 0.20, 0.10),
)


def single_service(
    work_s: float = 0.20, ranks: tuple[float, ...] = (0.2, 0.3, 0.2, 0.3)
) -> Workload:
    """Return a workload of one service with one kind per class.

    :param ranks: the share of slots that the kind of each rank demands.
    """
    kinds = tuple(
        Kind(f"kind-{rank}", rank, "inspect-desk", work_s, 2.0, share)
        for rank, share in enumerate(ranks)
    )
    floors = (0.20, 0.20, 0.20, 0.10)[: len(ranks)]
    return Workload("inspect-desk", (Service("inspect-desk", 4, 50),), kinds, floors)


def catalogue_of(workload: Workload) -> Catalogue:
    """Return the catalogue of a workload."""
    classes = tuple(
        ClassSpec(f"class-{rank}", rank, 100 * floor)
        for rank, floor in enumerate(workload.floors)
    )
    entries = tuple(
        Entry(
            kind=kind.name,
            owner="bench",
            class_name=f"class-{kind.rank}",
            rank=kind.rank,
            service=kind.service,
            method="GET",
            path=f"/{kind.name}",
            deadline_ms=int(kind.deadline_s * 1000),
            idempotent=not kind.shed_last,
            shed_last=kind.shed_last,
        )
        for kind in workload.kinds
    )
    return Catalogue(1, classes, entries)


def hold_s(workload: Workload, kind: Kind) -> float:
    """Return how long a run of a kind holds its slot without other load."""
    if kind.child is None:
        return kind.work_s
    child = hold_s(workload, workload.kind(kind.child))
    return kind.work_s + 2 * HOP_S + child


def rates(workload: Workload) -> dict[str, float]:
    """Return the calls a second of each root kind at load 1."""
    return {
        kind.name: kind.share * workload.slots(kind.service) / hold_s(workload, kind)
        for kind in workload.kinds
        if kind.share > 0
    }
