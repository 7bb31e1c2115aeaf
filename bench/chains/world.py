"""Play a chain of calls on the decisions of the guards.

A request runs at a head, which makes calls to a middle service one after the other.
Each of them makes calls to the last service, which is short of slots. A run fails with
any of its calls. The figures are those of a fleet for employment screening, at a
quarter of its size.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from itertools import count
from random import Random
from typing import final

from _masticspoke.decisions.fleet import queueing
from _masticspoke.decisions.fleet.model import Job
from _masticspoke.decisions.fleet.queueing import Queue
from _masticspoke.decisions.fleet.queueing import Refuse
from _masticspoke.decisions.fleet.queueing import Verdict
from _masticspoke.decisions.fleet.run_outcomes import RunOutcome
from bench.chains.rules import Rule

HEADS = 9
HEAD_SLOTS = 36
MIDDLES = 3
MIDDLE_SLOTS = 119
LAST_SLOTS = 69
MIDDLE_CALLS = 2
MIDDLE_RUN_S = 0.02
MIDDLE_TIMEOUT_S = 0.702
LAST_CALLS = 4
LAST_RUN_S = 0.039
CLIENT_RETRY_S = 0.7
PRESSURE_REPORT_INTERVAL_S = 0.05
HOP_S = 0.001
# Requests a second that the last service has room for.
CAPACITY_PER_S = Queue(slots=LAST_SLOTS).limit / LAST_RUN_S / MIDDLE_CALLS / LAST_CALLS

OnVerdict = Callable[[Verdict], None]
# Told whether a call was answered, and the pressure that its guard reports.
OnAnswer = Callable[[bool], None]


@final
@dataclass(frozen=True, slots=True)
class RequestKind:
    """Requests of one route.

    :param part: part of the demand.
    :param run_s: own time of a run, without its calls.
    """

    route: str
    rank: int
    part: float
    run_s: float
    timeout_s: float


LOOKUP = RequestKind("lookup", 1, 1.0, 0.16, 1.0)


@final
@dataclass(slots=True)
class Server:
    """A backend server with its guard.

    :param waiting: who is told the verdict on each waiting request, by ticket.
    :param called: guards that it calls.
    :param pressure_s: pressure that those reported last.
    """

    queue: Queue
    rule: Rule
    called: list[Server] = field(default_factory=list)
    waiting: dict[int, OnVerdict] = field(default_factory=dict)
    reported_s: dict[int, float] = field(default_factory=dict)
    reported_at: float = 0.0
    pressure_s: float = 0.0


@final
@dataclass(slots=True)
class World:
    """The chain, its clients and its clock.

    :param make_rule: makes the rule by which one head admits requests.
    :param demand_per_s: requests a second at a time.
    :param last_slowdown: how many times longer runs at the last service take at a time.
    :param counted_from_s: outcomes count from this time on.
    :param lost_at: when requests were refused or failed.
    """

    random: Random
    make_rule: Callable[[], Rule]
    demand_per_s: Callable[[float], float]
    kinds: tuple[RequestKind, ...] = (LOOKUP,)
    last_slowdown: Callable[[float], float] = lambda now: 1.0
    counted_from_s: float = 0.0
    now: float = 0.0
    numbers: count[int] = field(default_factory=count)
    events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    lost_at: list[float] = field(default_factory=list)
    run_time_s: float = 0.0
    wasted_time_s: float = 0.0
    heads: list[Server] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Connect the servers."""
        last = [self._server(LAST_SLOTS, LAST_RUN_S, [])]
        middles = [
            self._server(MIDDLE_SLOTS, MIDDLE_RUN_S, last) for _ in range(MIDDLES)
        ]
        self.heads = [
            self._server(HEAD_SLOTS, self.kinds[0].run_s, middles) for _ in range(HEADS)
        ]

    def _server(self, slots: int, run_s: float, called: list[Server]) -> Server:
        queue = Queue(slots=slots, refusal_reason=None, overall_run_s=run_s)
        return Server(queue, self.make_rule(), called)

    def run(self, until_s: float) -> None:
        """Play to a time."""
        self._arrive()
        while self.events[0][0] < until_s:
            self.now, _, event = heapq.heappop(self.events)
            event()

    def _after(self, delay_s: float, event: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.now + delay_s, next(self.numbers), event))

    def _count(self, outcome: str) -> None:
        if self.now >= self.counted_from_s:
            self.counts[outcome] += 1

    def _arrive(self) -> None:
        self._after(self.random.expovariate(self.demand_per_s(self.now)), self._arrive)
        parts = [kind.part for kind in self.kinds]
        kind = self.random.choices(self.kinds, parts)[0]
        self._count("asked")
        self._count("asked " + kind.route)
        self._request(kind, tries_left=1)

    def _request(self, kind: RequestKind, tries_left: int) -> None:
        head = self.random.choice(self.heads)
        deadline = self.now + kind.timeout_s
        job = Job(
            request_id=f"r{next(self.numbers)}",
            route=kind.route,
            service="head",
            caller="",
            rank=kind.rank,
            idempotent=True,
            nested=False,
            is_retry=False,
            objective_at=deadline,
            deadline=deadline,
        )

        def fail() -> None:
            self.lost_at.append(self.now)
            if tries_left:
                delay_s = CLIENT_RETRY_S * self.random.uniform(1.0, 1.5)
                self._after(delay_s, lambda: self._request(kind, tries_left - 1))

        def on_verdict(verdict: Verdict) -> None:
            if isinstance(verdict, Refuse):
                self._count("refused")
                head.rule.record_end(verdict.ticket, RunOutcome.OTHER, 0.0, self.now)
                fail()
            else:
                self._run_head(head, job, kind, verdict.ticket, fail)

        if head.rule.admits(job, self.now):
            self._enter(head, job, on_verdict)
        else:
            self._count("refused")
            fail()

    def _run_head(
        self,
        head: Server,
        job: Job,
        kind: RequestKind,
        ticket: int,
        fail: Callable[[], None],
    ) -> None:
        started = self.now

        def end(served: bool) -> None:
            served = served and self.now <= job.deadline
            run_s = self.now - started
            outcome = RunOutcome.SUCCEEDED if served else RunOutcome.WASTED
            head.rule.record_end(ticket, outcome, run_s, self.now)
            self._leave(head, ticket, served)
            if self.now >= self.counted_from_s:
                self.run_time_s += run_s
                self.wasted_time_s += 0.0 if served else run_s
            if served:
                self._count("served")
                self._count("served " + kind.route)
            else:
                self._count("wasted")
                fail()

        def call() -> None:
            self._call_all(
                head, job, MIDDLE_CALLS, MIDDLE_TIMEOUT_S, self._run_middle, end
            )

        self._after(kind.run_s * self.random.uniform(0.5, 1.5), call)

    def _run_middle(self, server: Server, job: Job, on_end: OnAnswer) -> None:
        def call() -> None:
            left_s = job.deadline - self.now
            self._call_all(server, job, LAST_CALLS, left_s, self._run_last, on_end)

        self._after(MIDDLE_RUN_S * self.random.uniform(0.5, 1.5), call)

    def _run_last(self, server: Server, job: Job, on_end: OnAnswer) -> None:
        run_s = LAST_RUN_S * self.random.uniform(0.5, 1.5)
        run_s *= self.last_slowdown(self.now)
        self._after(run_s, lambda: on_end(True))

    def _call_all(
        self,
        caller: Server,
        parent: Job,
        calls: int,
        timeout_s: float,
        run: Callable[[Server, Job, OnAnswer], None],
        end: OnAnswer,
    ) -> None:
        """Make calls one after the other; end with the first that fails."""

        def call_next(number: int) -> None:
            def on_answer(answered: bool) -> None:
                if not answered or self.now > parent.deadline:
                    end(False)
                elif number + 1 == calls:
                    end(True)
                else:
                    call_next(number + 1)

            self._call(caller, parent, number, timeout_s, run, on_answer)

        call_next(0)

    def _call(
        self,
        caller: Server,
        parent: Job,
        number: int,
        timeout_s: float,
        run: Callable[[Server, Job, OnAnswer], None],
        on_answer: OnAnswer,
    ) -> None:
        called = self.random.choice(caller.called)
        deadline = min(self.now + timeout_s, parent.deadline)
        job = Job(
            request_id=f"{parent.request_id}.{number}",
            route="call",
            service="called",
            caller="head",
            rank=parent.rank,
            idempotent=True,
            nested=True,
            is_retry=False,
            objective_at=deadline,
            deadline=deadline,
        )
        answered_already = False

        def answer(answered: bool) -> None:
            nonlocal answered_already
            if not answered_already:
                answered_already = True
                self._report(caller, called)
                on_answer(answered)

        def on_verdict(verdict: Verdict) -> None:
            if isinstance(verdict, Refuse):
                self._after(HOP_S, lambda: answer(False))
                return

            def on_end(answered: bool) -> None:
                self._leave(called, verdict.ticket, answered)
                self._after(HOP_S, lambda: answer(answered))

            run(called, job, on_end)

        self._after(deadline - self.now, lambda: answer(False))
        self._after(HOP_S, lambda: self._enter(called, job, on_verdict))

    def _enter(self, server: Server, job: Job, on_verdict: OnVerdict) -> None:
        ticket = next(self.numbers)
        verdict = queueing.admit(server.queue, ticket, job, self.now)
        if not isinstance(verdict, Refuse):
            server.rule.record_admitted(ticket, job, self.now)
        if verdict is not None:
            on_verdict(verdict)
            return
        server.waiting[ticket] = on_verdict
        expiry = queueing.next_expiry(server.queue)
        if expiry is not None:
            self._after(expiry - self.now, lambda: self._advance(server))

    def _advance(self, server: Server) -> None:
        self._tell(server, queueing.advance(server.queue, self.now))

    def _leave(self, server: Server, ticket: int, answered: bool) -> None:
        self._tell(server, queueing.finish(server.queue, ticket, answered, self.now))

    def _tell(self, server: Server, verdicts: list[Verdict]) -> None:
        for verdict in verdicts:
            server.waiting.pop(verdict.ticket)(verdict)

    def _report(self, caller: Server, called: Server) -> None:
        pressure_s = queueing.nested_wait_s(called.queue, self.now) + called.pressure_s
        caller.reported_s[id(called)] = pressure_s
        if self.now - caller.reported_at >= PRESSURE_REPORT_INTERVAL_S:
            caller.reported_at = self.now
            reported = caller.reported_s.values()
            caller.pressure_s = sum(reported) / len(reported)
            caller.rule.adjust(caller.pressure_s, self.now)
