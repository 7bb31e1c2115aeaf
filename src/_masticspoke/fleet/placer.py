"""The placer: owns what is known of each server's load, and the retry budget."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from random import Random
from typing import final

from _masticspoke.decisions.fleet.budget import Budget
from _masticspoke.decisions.fleet.budget import BudgetBounds
from _masticspoke.decisions.fleet.budget import record_repeat
from _masticspoke.decisions.fleet.budget import record_send
from _masticspoke.decisions.fleet.budget import take_repeat
from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import Phase
from _masticspoke.decisions.fleet.placing import choose
from _masticspoke.decisions.fleet.placing import mean_pressure_s
from _masticspoke.decisions.fleet.placing import PlacementState
from _masticspoke.decisions.fleet.placing import record_end
from _masticspoke.decisions.fleet.placing import record_sent
from _masticspoke.decisions.fleet.placing import record_unusable
from _masticspoke.decisions.fleet.placing import reset_stats
from _masticspoke.decisions.fleet.routing import choose_service
from _masticspoke.decisions.fleet.routing import RouteCounts
from _masticspoke.events import Event
from _masticspoke.fleet.counts import TrailMessage
from _masticspoke.fleet.gate import GateMessage
from _masticspoke.fleet.messages import Downstream
from _masticspoke.fleet.messages import NoPlace
from _masticspoke.fleet.messages import Place
from _masticspoke.fleet.messages import Placement
from _masticspoke.fleet.messages import SendEnded
from _masticspoke.fleet.messages import ServersChanged
from _masticspoke.fleet.note import Note
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.server import Handlers
from _masticspoke.supervise.server import serve_at_once
from _masticspoke.supervise.supervisor import Clock

PlacerMessage = Place | SendEnded | ServersChanged
# Time between two reports of downstream pressure to the gate, seconds.
_PRESSURE_EVERY_S = 0.05
# A service counts as called from here for this long after the last call, seconds.
_CALLED_S = 2.0


@final
@dataclass(slots=True)
class _PlacerState:
    placing: PlacementState
    turns: RouteCounts
    budget: Budget
    random: Random
    gate: Mailbox[GateMessage]
    trail: Mailbox[TrailMessage]
    by_service: dict[str, tuple[BackendServer, ...]] = field(default_factory=dict)
    nodes: int = 1
    called: dict[str, float] = field(default_factory=dict)
    pressure_told_at: float = 0.0


def placer(
    inbox: Mailbox[PlacerMessage],
    gate: Mailbox[GateMessage],
    trail: Mailbox[TrailMessage],
    zone: str,
    bounds: BudgetBounds,
    clock: Clock,
    random: Random,
) -> ChildBody:
    """Return the body of the placer's task.

    :param zone: availability zone of this node.
    """

    async def run(life: Lifecycle) -> None:
        state = _PlacerState(
            PlacementState(zone),
            RouteCounts(random.random()),
            Budget(bounds),
            random,
            gate,
            trail,
        )
        await serve_at_once(inbox, state, _HANDLERS, clock, life)

    return run


def _place(state: _PlacerState, message: Place, now: float) -> None:
    service = message.service or choose_service(state.turns, message.route)
    servers = state.by_service.get(service, ())
    server = choose(state.placing, servers, message.tried, now, state.random)
    if server is None:
        reason = "no-server" if not servers else "none-usable"
        message.reply.answer(NoPlace(service, reason))
        return
    if message.repeat and not take_repeat(state.budget, service, state.nodes, now):
        message.reply.answer(NoPlace(service, "budget-spent"))
        return
    if not message.repeat and not message.tried:
        record_send(state.budget, service, now)
        if message.of_repeat:
            record_repeat(state.budget, service, now)
    record_sent(state.placing, server.address)
    message.reply.answer(Placement(server))


def _ended(state: _PlacerState, message: SendEnded, now: float) -> None:
    record_end(state.placing, message.address, message.failed, message.load, now)
    if message.unusable is not None and record_unusable(
        state.placing, message.address, message.unusable, now
    ):
        paused_s = state.placing.stats[message.address].pause_s
        state.trail.tell(
            Note(
                Event.SERVER_PAUSED,
                {
                    "server": str(message.address),
                    "service": message.service,
                    "reason": message.unusable,
                    "pause_s": paused_s,
                },
            )
        )
    if message.nested:
        state.called[message.service] = now
        _tell_pressure(state, now)


def _tell_pressure(state: _PlacerState, now: float) -> None:
    if now - state.pressure_told_at < _PRESSURE_EVERY_S:
        return
    state.pressure_told_at = now
    found = 0.0
    for service, called_at in state.called.items():
        if now - called_at < _CALLED_S:
            servers = [s.address for s in state.by_service.get(service, ())]
            found = max(found, mean_pressure_s(state.placing, servers, now))
    state.gate.tell(Downstream(found))


def _servers_changed(state: _PlacerState, message: ServersChanged, now: float) -> None:
    for server in message.changed:
        reset_stats(state.placing, server.address)
    found: dict[str, list[BackendServer]] = {}
    for server in message.servers:
        if server.phase is Phase.READY:
            found.setdefault(server.service, []).append(server)
    state.by_service = {service: tuple(some) for service, some in found.items()}
    state.nodes = max(1, sum(len(some) for some in found.values()))


_HANDLERS: Handlers[_PlacerState] = {
    Place: _place,
    SendEnded: _ended,
    ServersChanged: _servers_changed,
}
