"""The guard and its baselines, each as the same set of functions."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import final

from _masticspoke.decisions import admission
from _masticspoke.decisions import baselines
from _masticspoke.decisions.baselines import BaselineState
from _masticspoke.decisions.baselines import Order
from _masticspoke.decisions.effects import Effect
from _masticspoke.decisions.limit import LimitState
from _masticspoke.decisions.occupancy import AdmissionState
from _masticspoke.decisions.occupancy import admitted_rank
from _masticspoke.decisions.shares import Shares
from _masticspoke.model import Call
from _masticspoke.model import LoadReport

Effects = tuple[Effect, ...]
MakePolicy = Callable[[int, Random, Shares], "Policy"]
QUEUE_LENGTH = 100


@final
@dataclass(frozen=True, slots=True)
class Policy:
    """The decisions of a guard that the simulation calls.

    :param cancels_runs: whether a run is cancelled when its caller stops waiting.
    """

    arrive: Callable[[int, Call, float], Effects]
    finish: Callable[[int, float, float], Effects]
    withdraw: Callable[[int, float], None]
    expire: Callable[[float], Effects]
    report: Callable[[float], LoadReport]
    cancels_runs: bool = True


def baseline(order: Order, *, limited: bool) -> MakePolicy:
    """Return a factory for a baseline's guards.

    :param limited: whether concurrency is limited to the announced slots, and a run is
        cancelled when its caller stops waiting.
    """

    def make(slots: int, random: Random, shares: Shares) -> Policy:
        state = BaselineState(slots if limited else None, QUEUE_LENGTH, order)
        return Policy(
            arrive=lambda ticket, call, now: baselines.arrive(state, ticket, call, now),
            finish=lambda ticket, held_s, now: baselines.finish(state, now),
            withdraw=lambda ticket, now: baselines.withdraw(state, ticket),
            expire=lambda now: (),
            report=lambda now: LoadReport(state.running + len(state.waiting), slots),
            cancels_runs=limited,
        )

    return make


NO_CONTROL = baseline(baselines.fifo, limited=False)
FIFO = baseline(baselines.fifo, limited=True)
STRICT = baseline(baselines.strict_priority, limited=True)


def guard(slots: int, random: Random, shares: Shares) -> Policy:
    """Return a guard with the production decisions, after its cold start."""
    warm = LimitState(ceiling=slots, value=slots, starting=False)
    state = AdmissionState(QUEUE_LENGTH, random, warm, shares)

    def report(now: float) -> LoadReport:
        return LoadReport(
            in_flight=len(state.running) + len(state.waiting),
            limit=state.concurrency.limit,
            admitted_rank=admitted_rank(state, now),
        )

    return Policy(
        arrive=lambda ticket, call, now: admission.arrive(state, ticket, call, now),
        finish=lambda ticket, held_s, now: admission.finish(state, ticket, held_s, now),
        withdraw=lambda ticket, now: admission.withdraw(state, ticket),
        expire=lambda now: admission.expire(state, now),
        report=report,
    )


GUARD: MakePolicy = guard
