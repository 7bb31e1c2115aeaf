"""The placer: chooses a backend server for each send, within the retry budget.

It owns the load and failures of each server, as seen from this node, and this node's
part of the budget.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from random import Random
from typing import final

from _masticspoke.decisions.fleet.budget import Budget
from _masticspoke.decisions.fleet.budget import BudgetBounds
from _masticspoke.decisions.fleet.budget import record_first_send
from _masticspoke.decisions.fleet.budget import record_retry
from _masticspoke.decisions.fleet.budget import take_retry
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
from _masticspoke.decisions.fleet.stopping import AnswerTimes
from _masticspoke.decisions.fleet.stopping import ends_in_time
from _masticspoke.decisions.fleet.stopping import record_answer
from _masticspoke.events import Event
from _masticspoke.fleet.dispatch.messages import NoPlacement
from _masticspoke.fleet.dispatch.messages import Placement
from _masticspoke.fleet.dispatch.messages import PlaceRequest
from _masticspoke.fleet.dispatch.messages import SendEnded
from _masticspoke.fleet.dispatch.messages import ServersChanged
from _masticspoke.fleet.guard.gate import GateMessage
from _masticspoke.fleet.guard.messages import DownstreamPressure
from _masticspoke.fleet.reporting.counts import TrailMessage
from _masticspoke.fleet.reporting.event_record import EventRecord
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.server import Handlers
from _masticspoke.supervise.server import serve_at_once
from _masticspoke.supervise.supervisor import Clock

PlacerMessage = PlaceRequest | SendEnded | ServersChanged
# Shortest time between two reports of downstream pressure to the gate.
_MIN_PRESSURE_REPORT_INTERVAL_S = 0.05
# A service's pressure counts for this long after the end of the last nested call to it.
_RECENT_CALL_S = 2.0


@final
@dataclass(slots=True)
class PlacerState:
    """State of the placer's task, which outlives a crash of the task.

    The registry sends the servers only when they change, so a restarted task needs
    those that it was sent before.

    :param ready_by_service: backend servers that accept requests, by service.
    :param learns: whether the deployment calls for learned limits, by which servers are
        then chosen too.
    :param node_count: number of nodes that share the retry budget: one for each backend
        server that accepts requests, and at least 1.
    :param last_called_at: time at which the last nested call ended, by service.
    """

    placing: PlacementState
    route_counts: RouteCounts
    budget: Budget
    random: Random
    gate: Mailbox[GateMessage]
    trail: Mailbox[TrailMessage]
    learns: Callable[[bool], bool] = lambda named: False
    ready_by_service: dict[str, tuple[BackendServer, ...]] = field(default_factory=dict)
    node_count: int = 1
    last_called_at: dict[str, float] = field(default_factory=dict)
    answer_times: AnswerTimes = field(default_factory=AnswerTimes)
    pressure_reported_at: float = 0.0


def new_placer_state(
    zone: str,
    bounds: BudgetBounds,
    random: Random,
    gate: Mailbox[GateMessage],
    trail: Mailbox[TrailMessage],
    learns: Callable[[bool], bool],
    unix_offset_s: float,
) -> PlacerState:
    """Return the state of a node's placer before it knows any server.

    :param zone: availability zone of this node.
    :param bounds: retry budget of the whole fleet.
    :param learns: whether the deployment calls for learned limits; takes whether a
        report named a slowdown.
    :param unix_offset_s: Unix time less the time of the boot clock.
    """
    return PlacerState(
        PlacementState(zone, unix_offset_s=unix_offset_s),
        RouteCounts(random.random()),
        Budget(bounds),
        random,
        gate,
        trail,
        learns,
    )


def placer(
    inbox: Mailbox[PlacerMessage], state: PlacerState, clock: Clock
) -> ChildBody:
    """Return the body of the placer's task."""

    async def run(life: Lifecycle) -> None:
        await serve_at_once(inbox, state, _HANDLERS, clock, life)

    return run


def _place_request(state: PlacerState, message: PlaceRequest, now: float) -> None:
    route = message.route
    service = message.service or choose_service(state.route_counts, route)
    if not ends_in_time(
        state.answer_times, route.name, route.objective_s, message.stop_left_s
    ):
        message.reply.answer(NoPlacement(service, "stopping"))
        return
    servers = state.ready_by_service.get(service, ())
    placing = state.placing
    placing.weighs_speed = state.learns(placing.slowdown_named)
    server = choose(placing, servers, message.tried, now, state.random, route.name)
    if server is None:
        reason = "no-server" if not servers else "none-usable"
        message.reply.answer(NoPlacement(service, reason))
        return
    if message.is_retry and not take_retry(
        state.budget, service, state.node_count, now
    ):
        message.reply.answer(NoPlacement(service, "budget-spent"))
        return
    if not message.is_retry and not message.tried:
        record_first_send(state.budget, service, now)
        if message.parent_is_retry:
            record_retry(state.budget, service, now)
    record_sent(state.placing, server.address)
    message.reply.answer(Placement(server))


def _send_ended(state: PlacerState, message: SendEnded, now: float) -> None:
    record_end(
        state.placing,
        message.address,
        message.failed,
        message.load,
        now,
        message.route,
        message.answered_after_s,
    )
    if message.answered_after_s is not None:
        record_answer(state.answer_times, message.route, message.answered_after_s)
    if message.not_run is not None and record_unusable(
        state.placing, message.address, message.not_run, now
    ):
        ejection_s = state.placing.stats[message.address].ejection_s
        state.trail.tell(
            EventRecord(
                Event.SERVER_EJECTED,
                {
                    "server": str(message.address),
                    "service": message.service,
                    "reason": message.not_run,
                    "pause_s": ejection_s,
                },
            )
        )
    if message.nested:
        state.last_called_at[message.service] = now
        _report_pressure(state, now)


def _report_pressure(state: PlacerState, now: float) -> None:
    if now - state.pressure_reported_at < _MIN_PRESSURE_REPORT_INTERVAL_S:
        return
    state.pressure_reported_at = now
    highest_s = 0.0
    for service, called_at in state.last_called_at.items():
        if now - called_at < _RECENT_CALL_S:
            servers = [s.address for s in state.ready_by_service.get(service, ())]
            highest_s = max(highest_s, mean_pressure_s(state.placing, servers, now))
    state.gate.tell(DownstreamPressure(highest_s))


def _servers_changed(state: PlacerState, message: ServersChanged, now: float) -> None:
    for server in message.changed:
        reset_stats(state.placing, server.address)
    ready: dict[str, list[BackendServer]] = {}
    for server in message.servers:
        if server.phase is Phase.READY:
            ready.setdefault(server.service, []).append(server)
    state.ready_by_service = {
        service: tuple(servers) for service, servers in ready.items()
    }
    state.node_count = max(1, sum(len(servers) for servers in ready.values()))


_HANDLERS: Handlers[PlacerState] = {
    PlaceRequest: _place_request,
    SendEnded: _send_ended,
    ServersChanged: _servers_changed,
}
