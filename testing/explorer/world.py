"""Check the at-most-once decisions against random schedules, in virtual time.

A world has a log, nodes, messages in flight and backend servers that count runs. Each
step takes one random action: it delivers up to four messages, loses or repeats one,
lets a node read the log or append to it, makes the log unavailable, disconnects nodes
from it, pauses or restarts a node, changes the view, sends a client's request with a
new or an earlier key, withdraws a request, or advances the time.
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
PHASE_COUNT = 8
MEAN_STEPS_PER_PHASE = 50
Item = View | OnceRecord
Delivery = Callable[[], None]


@dataclass(frozen=True)
class Faults:
    """Faults to inject: broken rules, and broken behaviour around the decisions.

    :param rules: safety rules of the decisions.
    :param keep_incarnation: a restarted node loses all its state but its incarnation.
    :param apply_peer_views: a node applies views that it has not read from the log.
    :param trust_append: a node that gets the answer to an append treats the records as
        read back from the log.
    :param seal_without_kept: a node appends seals without the claims that it keeps.
    :param only_latest_view: a home waits for seals of the latest earlier view only.
    :param confirm_by_address: a home counts the confirmation of any process at a
        member's address.
    """

    rules: Rules = RULES
    keep_incarnation: bool = False
    apply_peer_views: bool = False
    trust_append: bool = False
    seal_without_kept: bool = False
    only_latest_view: bool = False
    confirm_by_address: bool = False


@dataclass(eq=False)
class Node:
    """One process of a node.

    :param clock_offset: with ``clock_rate``, maps virtual time to the node's clock.
    :param next_offset: offset from which the node reads the log next.
    :param unsent: records that are not appended yet, or whose append was not answered.
    :param paused: whether the process is paused, which delays its events.
    :param disconnected: whether the node can't reach the log.
    """

    address: Address
    start_number: int
    state: OnceState
    clock_offset: float
    clock_rate: float
    next_offset: int = 0
    unsent: list[OnceRecord] = field(default_factory=list)
    paused: bool = False
    disconnected: bool = False


class GuaranteeViolationError(AssertionError):
    """A guarantee of the protocol was violated."""


class World:
    def __init__(self, seed: int, faults: Faults) -> None:
        self.random = Random(seed)
        self.faults = faults
        self.log: list[Item] = []
        self.log_up = True
        self.now = 0.0
        self.in_flight: list[Delivery] = []
        self.runs: dict[str, int] = {}
        self.pending_runs: dict[str, int] = {}
        self.confirmed_runs = 0
        self.last_ticket = 0
        self.requests: dict[int, RequestArrived] = {}
        self.start_count = 0
        self.keys = [
            key_digest(SERVICE, f"k{i}")
            for i in range(self.random.choice((1, 1, 2, 3)))
        ]
        member_count = self.random.choice((2, 3, 3, 4, 4, 5))
        self.nodes = [
            self.start_node(Address("10.0.0.1", 1 + i)) for i in range(member_count + 1)
        ]
        self.members = {n.address: n.state.me for n in self.nodes[:member_count]}
        self.append_view()

    def run(self) -> None:
        """Run phases, each with one set of action weights, so that faults coincide."""
        for _ in range(PHASE_COUNT):
            action_weights = self.random.choice(_PHASES)
            if self.random.random() < 0.5:
                self.log_up = action_weights is not _OUTAGE
            steps = self.random.randint(10, 2 * MEAN_STEPS_PER_PHASE - 10)
            for action in self.random.choices(_ACTIONS, action_weights, k=steps):
                action(self)

    # Nodes

    def start_node(self, address: Address, incarnation: str | None = None) -> Node:
        self.start_count += 1
        identity = Identity(address, incarnation or f"i{self.start_count}")
        state = OnceState(identity, LIMITS, self.faults.rules)
        random = self.random
        return Node(
            address,
            self.start_count,
            state,
            random.uniform(-99, 99),
            random.uniform(0.7, 1.4),
        )

    def toggle_group_connection(self) -> None:
        """Disconnect only a random half of the nodes from the log, or reconnect all."""
        group = self.random.sample(self.nodes, len(self.nodes) // 2)
        reconnect = (
            any(n.disconnected for n in self.nodes) and self.random.random() < 0.6
        )
        for node in self.nodes:
            node.disconnected = not reconnect and node in group

    def restart(self) -> None:
        index = self.random.randrange(len(self.nodes))
        old = self.nodes[index]
        kept_incarnation = (
            old.state.me.process if self.faults.keep_incarnation else None
        )
        self.nodes[index] = self.start_node(old.address, kept_incarnation)

    def node_at(self, address: Address) -> Node:
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
            _EFFECT_HANDLERS[type(effect)](self, node, effect)

    def send(self, node: Node, event: OnceEvent) -> None:
        """Deliver an event later, to this process only; a pause delays the delivery."""

        def deliver() -> None:
            if node not in self.nodes:
                return
            if node.paused:
                self.in_flight.append(deliver)
                return
            self.handle(node, event)

        self.in_flight.append(deliver)

    # Actions of a step

    def pop_random_delivery(self) -> Delivery | None:
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
            deliver = self.pop_random_delivery()
            if deliver is not None:
                deliver()

    def lose_message(self) -> None:
        deliver = self.pop_random_delivery()
        if deliver is not None and getattr(deliver, "reliable", False):
            self.in_flight.append(deliver)

    def repeat_message(self) -> None:
        deliver = self.pop_random_delivery()
        if deliver is None:
            return
        self.in_flight.append(deliver)
        if not getattr(deliver, "reliable", False):
            self.in_flight.append(deliver)

    def random_active_node(self) -> Node | None:
        node = self.random.choice(self.nodes)
        return None if node.paused else node

    def random_node_with_log(self) -> Node | None:
        node = self.random_active_node()
        return node if node and self.log_up and not node.disconnected else None

    def read_some(self) -> None:
        node = self.random_node_with_log()
        if node is None:
            return
        end = len(self.log)
        if self.random.random() < 0.2:
            end = self.random.randint(node.next_offset, end)
        items = tuple(self.log[node.next_offset : end])
        node.next_offset = end
        self.handle(node, RecordsRead(items))

    def append_some(self) -> None:
        node = self.random_node_with_log()
        if node is None or not node.unsent:
            return
        batch = list(node.unsent)
        draw = self.random.random()
        if draw < 0.15:
            self.in_flight.append(lambda: self.append(batch))
            return
        self.append(batch)
        if draw < 0.3:
            return
        node.unsent = node.unsent[len(batch) :]
        if self.faults.trust_append:
            self.handle(node, RecordsRead(tuple(batch)))

    def append(self, batch: list[OnceRecord]) -> None:
        if self.log_up:
            self.log += batch

    def send_client_request(self) -> None:
        digest = self.random.choice(self.keys)
        self.send_request(self.random.choice(self.nodes), digest)

    def send_request(self, node: Node, digest: str) -> None:
        self.last_ticket += 1
        event = RequestArrived(self.last_ticket, SERVICE, digest, fingerprint=1)
        self.requests[event.ticket] = event
        self.send(node, event)

    def withdraw_random_request(self) -> None:
        if self.requests:
            event = self.requests[self.random.choice(list(self.requests))]
            for node in self.nodes:
                if not node.paused:
                    self.handle(node, RequestWithdrawn(event.ticket, event.digest))

    def pass_time(self) -> None:
        self.now += self.random.choice((0.1, 0.6, 1.1, 1.1, 500.0))
        for node in self.nodes:
            if not node.paused:
                self.handle(node, Tick())

    def toggle_log(self) -> None:
        self.log_up = not self.log_up

    def toggle_pause(self) -> None:
        paused = [n for n in self.nodes if n.paused]
        node = self.random.choice(paused or self.nodes)
        node.paused = not node.paused

    def toggle_connection(self) -> None:
        disconnected = [n for n in self.nodes if n.disconnected]
        reconnect = disconnected and self.random.random() < 0.6
        node = self.random.choice(disconnected if reconnect else self.nodes)
        node.disconnected = not node.disconnected

    def change_view(self) -> None:
        """Add, replace or remove a member, whether its node is reachable or not."""
        if not self.log_up:
            return
        unreachable = [n for n in self.nodes if n.paused or n.disconnected]
        choose_unreachable = unreachable and self.random.random() < 0.6
        node = self.random.choice(unreachable if choose_unreachable else self.nodes)
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
        if self.faults.apply_peer_views:
            receiver = self.random.choice(self.nodes)
            self.handle(receiver, RecordsRead((view,)))

    # Effects

    def handle_reply(self, node: Node, effect: SendReply) -> None:
        request = self.requests.pop(effect.ticket, None)
        if request is None:
            return
        if isinstance(effect.result, Redirect):
            self.send_request(self.node_at(effect.result.node), request.digest)
        elif isinstance(effect.result, StoredAnswer):
            self.check(
                effect.result.body == request.digest.encode(), "answer of another key"
            )
            self.check(
                self.runs.get(request.digest) == 1,
                "answer, but the key did not run exactly once",
            )
        elif effect.result.ran is Ran.NO:
            self.check(request.digest not in self.runs, "'not run', but it ran")
            self.check(
                not self.pending_runs.get(request.digest),
                "'not run', but it may yet run",
            )

    def queue_append(self, node: Node, effect: Append) -> None:
        if not (self.faults.seal_without_kept and _is_kept_claims(effect.record)):
            node.unsent.append(effect.record)

    def send_confirm_request(self, node: Node, effect: SendConfirmRequest) -> None:
        self.send_to_address(effect.to.node, effect.request)

    def send_confirmation(self, node: Node, effect: SendConfirmation) -> None:
        confirmation = effect.confirmation
        home = self.node_at(confirmation.claim.writer.node)
        if self.faults.confirm_by_address and SERVICE in home.state.ledgers:
            for member in home.state.ledgers[SERVICE].view.members:
                if member.node == confirmation.member.node:
                    confirmation = replace(confirmation, member=identity_of(member))
        self.send_to_address(confirmation.claim.writer.node, confirmation)

    def send_to_address(
        self, address: Address, event: ConfirmRequest | Confirmation
    ) -> None:
        """Deliver an event later, to the process that has the address by then."""

        def deliver() -> None:
            node = self.node_at(address)
            if node.paused:
                self.in_flight.append(deliver)
                return
            self.handle(node, event)

        self.in_flight.append(deliver)

    def forward_run(self, node: Node, effect: Run) -> None:
        """Forward a request to a guard; HTTP neither repeats nor silently loses it."""
        self.pending_runs[effect.digest] = self.pending_runs.get(effect.digest, 0) + 1

        def handle_at_guard() -> None:
            self.pending_runs[effect.digest] -= 1
            if self.random.random() < 0.3:
                send_outcome(Refusal(Reason.QUEUE_FULL, Ran.NO))
                return
            self.runs[effect.digest] = self.runs.get(effect.digest, 0) + 1
            self.check(self.runs[effect.digest] == 1, "key ran a second time")
            if self.random.random() < 0.3:
                send_outcome(Refusal(Reason.NODE_FAILED, Ran.UNKNOWN))
                return
            send_outcome(Answered(StoredAnswer(200, (), effect.digest.encode())))

        def send_outcome(outcome: Answered | Refusal) -> None:
            def deliver_outcome() -> None:
                if node in self.nodes and not node.paused:
                    self.handle(node, RunEnded(effect.digest, outcome))
                elif node in self.nodes:
                    self.in_flight.append(deliver_outcome)

            deliver_outcome.reliable = True  # type: ignore[attr-defined]
            self.in_flight.append(deliver_outcome)

        handle_at_guard.reliable = True  # type: ignore[attr-defined]
        self.in_flight.append(handle_at_guard)

    def check(self, condition: bool, violation: str) -> None:
        if not condition:
            raise GuaranteeViolationError(violation)


def members_of(members: dict[Address, Identity]) -> tuple[Member, ...]:
    return tuple(
        Member(SERVICE, i.node, i.node, "kochi-a", i.process, 10, 10)
        for i in members.values()
    )


def _is_kept_claims(record: OnceRecord) -> bool:
    return type(record).__name__ == "KeptClaims"


_EFFECT_HANDLERS: dict[type, Callable[..., None]] = {
    SendReply: World.handle_reply,
    Append: World.queue_append,
    SendConfirmRequest: World.send_confirm_request,
    SendConfirmation: World.send_confirmation,
    Run: World.forward_run,
}

_ACTIONS = (
    World.deliver_some,
    World.lose_message,
    World.repeat_message,
    World.read_some,
    World.append_some,
    World.send_client_request,
    World.pass_time,
    World.withdraw_random_request,
    World.toggle_log,
    World.toggle_pause,
    World.toggle_connection,
    World.toggle_group_connection,
    World.restart,
    World.change_view,
)
# Weights of the actions in each kind of phase, in the order of ``_ACTIONS``.
_CALM = (30, 1, 2, 20, 15, 8, 10, 1, 0, 1, 1, 0.5, 0, 0.3)
_OUTAGE = (40, 1, 3, 3, 3, 8, 10, 0, 0.2, 2, 2, 0, 0.5, 0)
_DISCONNECTIONS = (40, 2, 3, 12, 8, 6, 8, 1, 0.3, 3, 3, 3, 0.5, 2.5)
_CHURN = (25, 2, 3, 20, 15, 8, 8, 1, 0.5, 3, 2, 1, 2, 6)
_PHASES = (_CALM, _OUTAGE, _DISCONNECTIONS, _CHURN)
