"""The registry: owns the configuration and the states of all backend servers."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import final

from _masticspoke.decisions.fleet import members
from _masticspoke.decisions.fleet.members import Members
from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import Configuration
from _masticspoke.events import Event
from _masticspoke.fleet.counts import TrailMessage
from _masticspoke.fleet.gate import GateMessage
from _masticspoke.fleet.messages import AskOwnBackend
from _masticspoke.fleet.messages import AskRegistrySnapshot
from _masticspoke.fleet.messages import ConfigurationReceived
from _masticspoke.fleet.messages import Deregistered
from _masticspoke.fleet.messages import Heartbeat
from _masticspoke.fleet.messages import LogHealth
from _masticspoke.fleet.messages import OwnBackendConfirmed
from _masticspoke.fleet.messages import OwnBackendState
from _masticspoke.fleet.messages import RegistrySnapshot
from _masticspoke.fleet.messages import ServersChanged
from _masticspoke.fleet.messages import ServersReceived
from _masticspoke.fleet.note import Note
from _masticspoke.fleet.placer import PlacerMessage
from _masticspoke.model import Address
from _masticspoke.supervise.latest import Latest
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.server import Handlers
from _masticspoke.supervise.server import serve_at_once
from _masticspoke.supervise.supervisor import Clock

RegistryMessage = (
    Heartbeat
    | Deregistered
    | ServersReceived
    | ConfigurationReceived
    | LogHealth
    | AskRegistrySnapshot
    | AskOwnBackend
    | OwnBackendConfirmed
)
# Changes are told to peers for this long, seconds.
_RECENT_S = 5.0


@final
@dataclass(slots=True)
class RegistryState:
    """What must outlive a crash of the registry's task: versions never go back.

    :param heard: whether the own backend server has sent a heartbeat.
    """

    members: Members = field(default_factory=Members)
    raw: bytes = b""
    faults: dict[str, str] = field(default_factory=dict)
    changed_at: dict[Address, float] = field(default_factory=dict)
    heard: bool = False


@final
@dataclass(frozen=True, slots=True)
class Outlets:
    """Where the registry's news go.

    :param unsaved: states that the log has to keep.
    """

    configuration: Latest[Configuration | None]
    gate: Mailbox[GateMessage]
    placer: Mailbox[PlacerMessage]
    unsaved: Mailbox[BackendServer]
    trail: Mailbox[TrailMessage]


@final
@dataclass(slots=True)
class _TaskState:
    known: RegistryState
    outlets: Outlets
    own: Address


def registry(
    inbox: Mailbox[RegistryMessage],
    known: RegistryState,
    outlets: Outlets,
    own: Address,
    clock: Clock,
) -> ChildBody:
    """Return the body of the registry's task.

    :param own: address of the own backend server.
    """

    async def run(life: Lifecycle) -> None:
        state = _TaskState(known, outlets, own)
        _publish(state, ())
        await serve_at_once(inbox, state, _HANDLERS, clock, life)

    return run


def _heartbeat(state: _TaskState, message: Heartbeat, now: float) -> None:
    state.known.heard = True
    changed = _learn(state, (message.server,), "heartbeat", now)
    known = state.known.members.by_address.get(state.own)
    if known is not None and known.instance == message.server.instance:
        state.outlets.gate.tell(OwnBackendState(known))
    for server in changed:
        state.outlets.unsaved.tell(server)
    message.reply.answer(True)


def _deregistered(state: _TaskState, message: Deregistered, now: float) -> None:
    known = state.known.members.by_address.get(state.own)
    if known is not None and _names(message, known):
        ended = replace(known, phase=max(known.phase, message.phase))
        for server in _learn(state, (ended,), "deregistration", now):
            state.outlets.unsaved.tell(server)
            state.outlets.gate.tell(OwnBackendState(server))
    message.reply.answer(True)


def _ask_own(state: _TaskState, message: AskOwnBackend, now: float) -> None:
    own = state.known.members.by_address.get(state.own)
    message.reply.answer(None if state.known.heard else own)


def _own_confirmed(state: _TaskState, message: OwnBackendConfirmed, now: float) -> None:
    own = state.known.members.by_address.get(state.own)
    if own == message.server and not state.known.heard:
        state.outlets.gate.tell(OwnBackendState(own))


def _names(message: Deregistered, known: BackendServer) -> bool:
    if message.instance != known.instance:
        return False
    return message.born_ms is None or message.born_ms == known.born_ms


def _servers_learnt(state: _TaskState, message: ServersReceived, now: float) -> None:
    # The own backend server's heartbeats are newer than what others know of it.
    known = state.known
    news = (s for s in message.servers if s.address != state.own or not known.heard)
    _learn(state, tuple(news), message.source, now)


def _learn(
    state: _TaskState, servers: tuple[BackendServer, ...], source: str, now: float
) -> tuple[BackendServer, ...]:
    changed = tuple(members.merge(state.known.members, servers))
    for server in changed:
        state.known.changed_at[server.address] = now
        state.outlets.trail.tell(Note(Event.SERVER_CHANGED, _described(server, source)))
    if changed:
        _publish(state, changed)
    return changed


def _described(server: BackendServer, source: str) -> dict[str, object]:
    return {
        "server": str(server.address),
        "service": server.service,
        "instance": server.instance,
        "born_ms": server.born_ms,
        "phase": server.phase.name,
        "slots": server.slots,
        "source": source,
    }


def _publish(state: _TaskState, changed: tuple[BackendServer, ...]) -> None:
    servers = tuple(state.known.members.by_address.values())
    state.outlets.placer.tell(ServersChanged(servers, changed))


def _configuration(
    state: _TaskState, message: ConfigurationReceived, now: float
) -> None:
    before = state.outlets.configuration.value
    if before is not None and before.version >= message.configuration.version:
        return
    state.known.raw = message.raw
    state.outlets.configuration.tell(message.configuration)
    state.outlets.trail.tell(
        Note(
            Event.CONFIGURATION_IN_FORCE,
            {
                "version": message.configuration.version,
                "before": 0 if before is None else before.version,
                "routes": len(message.configuration.routes),
                "source": message.source,
            },
        )
    )


def _store_health(state: _TaskState, message: LogHealth, now: float) -> None:
    before = state.known.faults.get(message.source)
    if message.fault is None:
        state.known.faults.pop(message.source, None)
    else:
        state.known.faults[message.source] = message.fault
    if (before is None) is not (message.fault is None):
        event = Event.LOG_AVAILABLE if message.fault is None else Event.LOG_UNAVAILABLE
        fields = {"source": message.source, "fault": message.fault or ""}
        state.outlets.trail.tell(Note(event, fields))


def _ask_known(state: _TaskState, message: AskRegistrySnapshot, now: float) -> None:
    known = state.known
    configuration = state.outlets.configuration.value
    recent = tuple(
        known.members.by_address[address]
        for address, at in known.changed_at.items()
        if now - at < _RECENT_S
    )
    message.reply.answer(
        RegistrySnapshot(
            version=0 if configuration is None else configuration.version,
            raw=known.raw,
            digest=members.digest(known.members),
            servers=tuple(known.members.by_address.values()),
            recent=recent,
            log_available=not known.faults,
        )
    )


_HANDLERS: Handlers[_TaskState] = {
    Heartbeat: _heartbeat,
    Deregistered: _deregistered,
    ServersReceived: _servers_learnt,
    ConfigurationReceived: _configuration,
    LogHealth: _store_health,
    AskRegistrySnapshot: _ask_known,
    AskOwnBackend: _ask_own,
    OwnBackendConfirmed: _own_confirmed,
}
