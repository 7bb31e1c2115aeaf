from __future__ import annotations

from _masticspoke.decisions.departure_records import DepartureClock
from _masticspoke.decisions.departure_records import take_turn
from _masticspoke.decisions.departure_records import unrecorded_departures
from _masticspoke.decisions.hints import Hint
from _masticspoke.decisions.hints import HintsState
from _masticspoke.decisions.hints import member_hint
from _masticspoke.decisions.hints import merge
from _masticspoke.decisions.members import Joined
from _masticspoke.decisions.members import Left
from _masticspoke.decisions.members import MembersState
from _masticspoke.decisions.members import reduce_membership
from _masticspoke.decisions.turns import TURN_S
from _masticspoke.model import Address
from _masticspoke.model import Member

FAILED = 1_500
SURVIVING = 300


def member(number: int) -> Member:
    node = Address("10.0.0.1", 1 + number)
    return Member("planovac", node, node, "sk-central-a", f"{number:012x}-a-0000", 1, 1)


def test_departures_of_a_failed_zone_are_appended_by_one_node_in_one_batch() -> None:
    members = MembersState()
    hints = HintsState()
    all_members = [member(n) for n in range(FAILED + SURVIVING)]
    for offset, each in enumerate(all_members):
        members = reduce_membership(members, Joined(each), offset)
    hints = merge(hints, [member_hint(m) for m in all_members])
    hints = merge(hints, [Hint(m.node, m.incarnation) for m in all_members[:FAILED]])
    survivors = tuple(m.node for m in all_members[FAILED:])
    unrecorded = unrecorded_departures(members, hints, survivors[0])
    assert len(unrecorded) == FAILED

    clocks = dict.fromkeys(survivors, DepartureClock())
    batches: list[tuple[Left, ...]] = []
    now = 0.0
    while not batches:
        for own in survivors:
            clocks[own], records = take_turn(
                clocks[own], unrecorded, own, survivors, now
            )
            batches += [records] if records else []
        now += 0.25

    assert batches == [unrecorded]
    assert now <= TURN_S + 0.5


def test_departure_of_an_older_incarnation_or_of_the_own_node_is_not_recorded() -> None:
    gone = member(1)
    members = reduce_membership(MembersState(), Joined(gone), 0)
    older = merge(HintsState(), [Hint(gone.node, "000000000000-a-0000")])
    same = merge(HintsState(), [Hint(gone.node, gone.incarnation)])

    assert unrecorded_departures(members, older, member(2).node) == ()
    assert unrecorded_departures(members, same, gone.node) == ()
    assert unrecorded_departures(members, same, member(2).node) == (
        Left(gone.node, gone.incarnation),
    )
