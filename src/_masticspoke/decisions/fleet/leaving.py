"""Record that a backend server leaves, also one that nothing is known of yet.

A server may leave before its first heartbeat has arrived, or after it has started again
under its old id. Its leave is recorded as a state of its own incarnation then, so that
the heartbeats that it has sent are older, whenever and wherever they arrive.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import final

from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import Phase
from _masticspoke.model import Address


@final
@dataclass(frozen=True, slots=True)
class Leave:
    """What a backend server says of its leaving.

    :param born_ms: Unix time of the instance's start; ``None`` if it is not given.
    :param sequence: number of the message among those of the instance; 0 if it is not
        given.
    :param phase: phase of the instance from now on, unless it is in a later one.
    """

    instance: str
    born_ms: int | None
    sequence: int
    phase: Phase


def concerns(leave: Leave, known: BackendServer | None) -> bool:
    """Return whether ``known`` is the incarnation that leaves."""
    if known is None or leave.instance != known.instance:
        return False
    return leave.born_ms is None or leave.born_ms == known.born_ms


def state_after(
    leave: Leave, known: BackendServer | None, address: Address
) -> BackendServer:
    """Return the state of the incarnation that leaves, to be merged.

    :param known: the state known at its address.
    """
    if known is not None and concerns(leave, known):
        return replace(
            known,
            phase=max(known.phase, leave.phase),
            sequence=max(known.sequence, leave.sequence),
        )
    return BackendServer(
        address=address,
        service="",
        instance=leave.instance,
        born_ms=leave.born_ms or 0,
        sequence=leave.sequence,
        zone="",
        slots=1,
        phase=leave.phase,
    )


def is_binding(leave: Leave, known: BackendServer | None) -> bool:
    """Return whether no earlier message of the server can undo its leave any more.

    :param known: the state known at its address, with the leave merged into it.
    """
    if known is None:
        return False
    if concerns(leave, known):
        return known.phase >= leave.phase
    if leave.born_ms is None or leave.sequence == 0:
        return False
    return (known.born_ms, known.sequence) >= (leave.born_ms, leave.sequence)
