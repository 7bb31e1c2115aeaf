"""``python -m bench.shares``: shares of organisations, and the time of a decision."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from itertools import count
from random import Random
from time import perf_counter
from typing import final

from _masticspoke.decisions.fleet import queueing
from _masticspoke.decisions.fleet.model import Job
from _masticspoke.decisions.fleet.queueing import Queue
from _masticspoke.decisions.fleet.queueing import Start
from _masticspoke.decisions.fleet.queueing import Verdict

SLOTS = 20
RUN_S = 0.1
OBJECTIVE_S = 1.0
CAPACITY_PER_S = Queue(slots=SLOTS).limit / RUN_S
# Waiting requests and organisations with which a decision is measured.
WAITING = 1_000
ORGANISATIONS = 500


def job(number: int, organisation: str, rank: int, now: float) -> Job:
    """Return a request of an organisation."""
    return Job(
        request_id=f"r{number}",
        route="lookup",
        service="head",
        caller="head",
        rank=rank,
        idempotent=True,
        nested=False,
        is_retry=False,
        objective_at=now + OBJECTIVE_S,
        deadline=now + OBJECTIVE_S,
        organisation=organisation,
    )


@final
@dataclass(slots=True)
class Contention:
    """Organisations that ask for more than one server takes.

    :param per_s: requests a second by organisation.
    :param served: served requests by organisation.
    """

    random: Random
    per_s: Mapping[str, float]
    rank: int = 1
    queue: Queue = field(
        default_factory=lambda: Queue(
            slots=SLOTS, refusal_reason=None, overall_run_s=RUN_S
        )
    )
    served: Counter[str] = field(default_factory=Counter)
    organisations: dict[int, str] = field(default_factory=dict)
    events: list[tuple[float, int, str]] = field(default_factory=list)
    numbers: count[int] = field(default_factory=count)

    def run(self, until_s: float) -> Counter[str]:
        """Return the requests that each organisation had served."""
        for organisation in self.per_s:
            self._plan_arrival(organisation, 0.0)
        while self.events[0][0] < until_s:
            now, number, organisation = heapq.heappop(self.events)
            if organisation:
                self._plan_arrival(organisation, now)
                ticket = next(self.numbers)
                self.organisations[ticket] = organisation
                entering = job(ticket, organisation, self.rank, now)
                verdict = queueing.admit(self.queue, ticket, entering, now)
                self._record([verdict] if verdict else [], now)
            else:
                verdicts = queueing.finish(self.queue, number, ran=True, now=now)
                self._record(verdicts, now)
        return self.served

    def _plan_arrival(self, organisation: str, now: float) -> None:
        at = now + self.random.expovariate(self.per_s[organisation])
        heapq.heappush(self.events, (at, -next(self.numbers), organisation))

    def _record(self, verdicts: list[Verdict], now: float) -> None:
        for verdict in verdicts:
            organisation = self.organisations.pop(verdict.ticket)
            if isinstance(verdict, Start):
                self.served[organisation] += 1
                ends_at = now + RUN_S * self.random.uniform(0.5, 1.5)
                heapq.heappush(self.events, (ends_at, verdict.ticket, ""))


def jain_index(values: list[float]) -> float:
    """Return Jain's index of fairness; 1.0 if all values are equal."""
    return float(sum(values) ** 2 / (len(values) * sum(v * v for v in values)))


def flooded_shares(organisations: int = 10, seed: int = 1) -> list[float]:
    """Return what each organisation had served, of which one sends ten shares."""
    share = CAPACITY_PER_S / organisations
    per_s = {str(n): share * (10.0 if n == 0 else 1.2) for n in range(organisations)}
    served = Contention(Random(seed), per_s).run(30.0)
    return [served[organisation] / 30.0 / share for organisation in per_s]


def decision_us(waiting: int = WAITING, organisations: int = ORGANISATIONS) -> float:
    """Return the mean time of an admission with a start, microseconds."""
    queue = Queue(slots=SLOTS, refusal_reason=None, overall_run_s=1e-6)
    tickets = count()
    for _ in range(waiting + queue.limit):
        number = next(tickets)
        entering = job(number, f"o{number % organisations}", 1, 0.0)
        queueing.admit(queue, number, entering, 0.0)
    decisions = 5_000
    entering_jobs = [job(n, f"o{n % organisations}", 1, 0.0) for n in range(decisions)]
    begun = perf_counter()
    for entering in entering_jobs:
        queueing.admit(queue, next(tickets), entering, 0.0)
        queueing.finish(queue, next(iter(queue.running)), ran=False, now=0.0)
    return (perf_counter() - begun) / decisions * 1e6


def main() -> None:
    """Print the figures."""
    shares = flooded_shares()
    print(
        f"Jain's index {jain_index(shares):.3f}, shares {[f'{s:.2f}' for s in shares]}"
    )
    for organisations in (1, ORGANISATIONS):
        figure = decision_us(organisations=organisations)
        print(f"{WAITING} waiting, {organisations} organisations: {figure:.1f} us")


if __name__ == "__main__":
    main()
