"""Random schedules over the real at-most-once decisions, in virtual time.

A world has a log, nodes, messages in flight and backend servers that count runs.
Each step does one random thing: it delivers, loses or repeats a message, lets a node
read or append, cuts the log off, pauses or restarts a node, changes the view, lets a
client send a key (again), or lets time pass.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from random import Random

from _masticspoke.decisions.once.decide import decide
from _masticspoke.decisions.once.model import Answered
from _masticspoke.decisions.once.model import Append
from _masticspoke.decisions.once.model import Confirmation
from _masticspoke.decisions.once.model import ConfirmRequest
from _masticspoke.decisions.once.model import Identity
from _masticspoke.decisions.once.model import identity_of
from _masticspoke.decisions.once.model import OnceEvent
from _masticspoke.decisions.once.model import OnceLimits
from _masticspoke.decisions.once.model import OnceRecord
from _masticspoke.decisions.once.model import RecordsRead
from _masticspoke.decisions.once.model import Redirect
from _masticspoke.decisions.once.model import RequestArrived
from _masticspoke.decisions.once.model import RequestWithdrawn
from _masticspoke.decisions.once.model import Run
from _masticspoke.decisions.once.model import RunEnded
from _masticspoke.decisions.once.model import SendConfirmation
from _masticspoke.decisions.once.model import SendConfirmRequest
from _masticspoke.decisions.once.model import SendReply
from _masticspoke.decisions.once.model import StoredAnswer
from _masticspoke.decisions.once.model import Tick
from _masticspoke.decisions.once.placement import key_digest
from _masticspoke.decisions.once.rules import RULES
from _masticspoke.decisions.once.rules import Rules
from _masticspoke.decisions.once.state import OnceState
from _masticspoke.model import Address
from _masticspoke.model import Member
from _masticspoke.model import Ran
from _masticspoke.model import View
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal

SERVICE = "tooling-desk"
LIMITS = OnceLimits(key_lifetime_s=1e9, outage_limit_s=1e9)
PHASES = 8
STEPS_A_PHASE = 50
Item = View | OnceRecord
Deliver = Callable[[], None]


@dataclass(frozen=True)
class Faults:
    """Broken variants of what surrounds the decisions.

    :param rules: the decisions' rules.
    :param keep_incarnation: a restarted node forgets all but its incarnation.
    :param hear_views: a node takes views from anyone, ahead of its log.
    :param trust_append: an append's answer passes for the claim read back.
    :param seal_without_kept: a node seals without its kept claims.
    :param only_latest_view: a home waits for seals of the latest earlier view only.
    :param namesakes_confirm: a home counts whoever answers at a member's address.
    """

    rules: Rules = RULES
    keep_incarnation: bool = False
    hear_views: bool = False
    trust_append: bool = False
    seal_without_kept: bool = False
    only_latest_view: bool = False
    namesakes_confirm: bool = False


@dataclass(eq=False)
class Node:
    address: Address
    born: int
    state: OnceState
    clock_offset: float
    clock_rate: float
    read_to: int = 0
    unsent: list[OnceRecord] = field(default_factory=list)
    paused: bool = False
    cut_off: bool = False


class BrokenPromiseError(AssertionError):
    """A promise was broken."""


class World:
    def __init__(self, seed: int, faults: Faults) -> None:
        self.random = Random(seed)
        self.faults = faults
        self.log: list[Item] = []
        self.log_up = True
        self.now = 0.0
        self.in_flight: list[Deliver] = []
        self.runs: dict[str, int] = {}
        self.handed: dict[str, int] = {}
        self.confirmed_runs = 0
        self.last_ticket = 0
        self.asked: dict[int, RequestArrived] = {}
        self.born = 0
        self.keys = [
            key_digest(SERVICE, f"k{i}")
            for i in range(self.random.choice((1, 1, 2, 3)))
        ]
        size = self.random.choice((2, 3, 3, 4, 4, 5))
        self.nodes = [self.start(Address("10.0.0.1", 1 + i)) for i in range(size + 1)]
        self.members = {n.address: n.state.me for n in self.nodes[:size]}
        self.append_view()

    def run(self) -> None:
        """Go through phases; each favours some actions, so that faults meet."""
        for _ in range(PHASES):
            phase = self.random.choice(_PHASES)
            if self.random.random() < 0.5:
                self.log_up = phase is not _OUTAGE
            steps = self.random.randint(10, 2 * STEPS_A_PHASE - 10)
            for action in self.random.choices(_ACTIONS, phase, k=steps):
                action(self)

    # Nodes

    def start(self, address: Address, incarnation: str | None = None) -> Node:
        self.born += 1
        me = Identity(address, incarnation or f"i{self.born}")
        state = OnceState(me, LIMITS, self.faults.rules)
        random = self.random
        return Node(
            address, self.born, state, random.uniform(-99, 99), random.uniform(0.7, 1.4)
        )

    def cut_group(self) -> None:
        """Cut a random half of the nodes off the log, or heal all."""
        group = self.random.sample(self.nodes, len(self.nodes) // 2)
        heal = any(n.cut_off for n in self.nodes) and self.random.random() < 0.6
        for node in self.nodes:
            node.cut_off = not heal and node in group

    def restart(self) -> None:
        index = self.random.randrange(len(self.nodes))
        old = self.nodes[index]
        kept = old.state.me.process if self.faults.keep_incarnation else None
        self.nodes[index] = self.start(old.address, kept)

    def at(self, address: Address) -> Node:
        return next(n for n in self.nodes if n.address == address)

    def handle(self, node: Node, event: OnceEvent) -> None:
        now = self.now * node.clock_rate + node.clock_offset
        if self.faults.only_latest_view:
            for ledger in node.state.ledgers.values():
                ledger.open_views = ledger.open_views[-1:]
        effects = decide(node.state, event, now)
        if isinstance(event, Confirmation):
            self.confirmed_runs += sum(isinstance(e, Run) for e in effects)
        for effect in effects:
            _APPLY[type(effect)](self, node, effect)

    def send(self, node: Node, event: OnceEvent) -> None:
        """Deliver an event to this very process later; a pause only delays it."""

        def deliver() -> None:
            if node not in self.nodes:
                return
            if node.paused:
                self.in_flight.append(deliver)
                return
            self.handle(node, event)

        self.in_flight.append(deliver)

    # What a step may do

    def taken(self) -> Deliver | None:
        if not self.in_flight:
            return None
        index = self.random.randrange(len(self.in_flight))
        self.in_flight[index], self.in_flight[-1] = (
            self.in_flight[-1],
            self.in_flight[index],
        )
        return self.in_flight.pop()

    def deliver_some(self) -> None:
        for _ in range(self.random.randint(1, 4)):
            deliver = self.taken()
            if deliver is not None:
                deliver()

    def lose_one(self) -> None:
        deliver = self.taken()
        if deliver is not None and getattr(deliver, "reliable", False):
            self.in_flight.append(deliver)

    def repeat_one(self) -> None:
        deliver = self.taken()
        if deliver is None:
            return
        self.in_flight.append(deliver)
        if not getattr(deliver, "reliable", False):
            self.in_flight.append(deliver)

    def awake(self) -> Node | None:
        node = self.random.choice(self.nodes)
        return None if node.paused else node

    def reaching_log(self) -> Node | None:
        node = self.awake()
        return node if node and self.log_up and not node.cut_off else None

    def read_some(self) -> None:
        node = self.reaching_log()
        if node is None:
            return
        end = len(self.log)
        if self.random.random() < 0.2:
            end = self.random.randint(node.read_to, end)
        items = tuple(self.log[node.read_to : end])
        node.read_to = end
        self.handle(node, RecordsRead(items))

    def append_some(self) -> None:
        node = self.reaching_log()
        if node is None or not node.unsent:
            return
        batch = list(node.unsent)
        fate = self.random.random()
        if fate < 0.15:
            self.in_flight.append(lambda: self.append(batch))
            return
        self.append(batch)
        if fate < 0.3:
            return
        node.unsent = node.unsent[len(batch) :]
        if self.faults.trust_append:
            self.handle(node, RecordsRead(tuple(batch)))

    def append(self, batch: list[OnceRecord]) -> None:
        if self.log_up:
            self.log += batch

    def client_sends(self) -> None:
        digest = self.random.choice(self.keys)
        self.ask(self.random.choice(self.nodes), digest)

    def ask(self, node: Node, digest: str) -> None:
        self.last_ticket += 1
        event = RequestArrived(self.last_ticket, SERVICE, digest, fingerprint=1)
        self.asked[event.ticket] = event
        self.send(node, event)

    def withdraw_one(self) -> None:
        if self.asked:
            event = self.asked[self.random.choice(list(self.asked))]
            for node in self.nodes:
                if not node.paused:
                    self.handle(node, RequestWithdrawn(event.ticket, event.digest))

    def pass_time(self) -> None:
        self.now += self.random.choice((0.1, 0.6, 1.1, 1.1, 500.0))
        for node in self.nodes:
            if not node.paused:
                self.handle(node, Tick())

    def switch_log(self) -> None:
        self.log_up = not self.log_up

    def switch_pause(self) -> None:
        paused = [n for n in self.nodes if n.paused]
        node = self.random.choice(paused or self.nodes)
        node.paused = not node.paused

    def switch_cut(self) -> None:
        cut_off = [n for n in self.nodes if n.cut_off]
        heal = cut_off and self.random.random() < 0.6
        node = self.random.choice(cut_off if heal else self.nodes)
        node.cut_off = not node.cut_off

    def change_view(self) -> None:
        """Somebody's record on a member is accepted, whether it is right or not."""
        if not self.log_up:
            return
        silent = [n for n in self.nodes if n.paused or n.cut_off]
        suspect = silent and self.random.random() < 0.6
        node = self.random.choice(silent if suspect else self.nodes)
        if self.members.get(node.address) == node.state.me:
            del self.members[node.address]
        else:
            self.members[node.address] = node.state.me
        self.append_view()

    @property
    def log_views(self) -> int:
        return sum(isinstance(item, View) for item in self.log)

    def append_view(self) -> None:
        number = self.log_views + 1
        view = View(SERVICE, number, len(self.log), members_of(self.members))
        self.log.append(view)
        if self.faults.hear_views:
            hearer = self.random.choice(self.nodes)
            self.handle(hearer, RecordsRead((view,)))

    # Effects

    def replied(self, node: Node, effect: SendReply) -> None:
        ask = self.asked.pop(effect.ticket, None)
        if ask is None:
            return
        if isinstance(effect.result, Redirect):
            self.ask(self.at(effect.result.node), ask.digest)
        elif isinstance(effect.result, StoredAnswer):
            self.check(effect.result.body == ask.digest.encode(), "another's answer")
            self.check(self.runs.get(ask.digest) == 1, "answer without one run")
        elif effect.result.ran is Ran.NO:
            self.check(ask.digest not in self.runs, "'not run', but it ran")
            self.check(not self.handed.get(ask.digest), "'not run', but it may yet run")

    def appended(self, node: Node, effect: Append) -> None:
        if not (self.faults.seal_without_kept and _is_kept(effect.record)):
            node.unsent.append(effect.record)

    def confirm_asked(self, node: Node, effect: SendConfirmRequest) -> None:
        self.to_address(effect.to.node, effect.request)

    def confirm_sent(self, node: Node, effect: SendConfirmation) -> None:
        answer = effect.confirmation
        home = self.at(answer.claim.writer.node)
        if self.faults.namesakes_confirm and SERVICE in home.state.ledgers:
            for member in home.state.ledgers[SERVICE].view.members:
                if member.node == answer.member.node:
                    answer = replace(answer, member=identity_of(member))
        self.to_address(answer.claim.writer.node, answer)

    def to_address(
        self, address: Address, event: ConfirmRequest | Confirmation
    ) -> None:
        """Deliver to whatever process has the address by then."""

        def deliver() -> None:
            node = self.at(address)
            if node.paused:
                self.in_flight.append(deliver)
                return
            self.handle(node, event)

        self.in_flight.append(deliver)

    def run_begun(self, node: Node, effect: Run) -> None:
        """Hand the request to a guard; HTTP neither repeats nor drops it silently."""
        self.handed[effect.digest] = self.handed.get(effect.digest, 0) + 1

        def guard() -> None:
            self.handed[effect.digest] -= 1
            if self.random.random() < 0.3:
                ended(Refusal(Reason.QUEUE_FULL, Ran.NO))
                return
            self.runs[effect.digest] = self.runs.get(effect.digest, 0) + 1
            self.check(self.runs[effect.digest] == 1, "second run")
            if self.random.random() < 0.3:
                ended(Refusal(Reason.NODE_FAILED, Ran.UNKNOWN))
                return
            ended(Answered(StoredAnswer(200, (), effect.digest.encode())))

        def ended(outcome: Answered | Refusal) -> None:
            def back() -> None:
                if node in self.nodes and not node.paused:
                    self.handle(node, RunEnded(effect.digest, outcome))
                elif node in self.nodes:
                    self.in_flight.append(back)

            back.reliable = True  # type: ignore[attr-defined]
            self.in_flight.append(back)

        guard.reliable = True  # type: ignore[attr-defined]
        self.in_flight.append(guard)

    def check(self, holds: bool, what: str) -> None:
        if not holds:
            raise BrokenPromiseError(what)


def members_of(members: dict[Address, Identity]) -> tuple[Member, ...]:
    return tuple(
        Member(SERVICE, i.node, i.node, "kochi-a", i.process, 10, 10)
        for i in members.values()
    )


def _is_kept(record: OnceRecord) -> bool:
    return type(record).__name__ == "KeptClaims"


_APPLY: dict[type, Callable[..., None]] = {
    SendReply: World.replied,
    Append: World.appended,
    SendConfirmRequest: World.confirm_asked,
    SendConfirmation: World.confirm_sent,
    Run: World.run_begun,
}

_ACTIONS = (
    World.deliver_some,
    World.lose_one,
    World.repeat_one,
    World.read_some,
    World.append_some,
    World.client_sends,
    World.pass_time,
    World.withdraw_one,
    World.switch_log,
    World.switch_pause,
    World.switch_cut,
    World.cut_group,
    World.restart,
    World.change_view,
)
_CALM = (30, 1, 2, 20, 15, 8, 10, 1, 0, 1, 1, 0.5, 0, 0.3)
_OUTAGE = (40, 1, 3, 3, 3, 8, 10, 0, 0.2, 2, 2, 0, 0.5, 0)
_CUTS = (40, 2, 3, 12, 8, 6, 8, 1, 0.3, 3, 3, 3, 0.5, 2.5)
_CHURN = (25, 2, 3, 20, 15, 8, 8, 1, 0.5, 3, 2, 1, 2, 6)
_PHASES = (_CALM, _OUTAGE, _CUTS, _CHURN)
