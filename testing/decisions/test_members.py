from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from _masticspoke.border.records import decode_membership
from _masticspoke.border.records import encode_record
from _masticspoke.decisions.members import Joined
from _masticspoke.decisions.members import Left
from _masticspoke.decisions.members import MembershipRecord
from _masticspoke.decisions.members import MembersState
from _masticspoke.decisions.members import reduce_membership
from _masticspoke.decisions.replay import advance
from _masticspoke.decisions.replay import MAX_HELD_RECORDS
from _masticspoke.decisions.replay import Replay
from _masticspoke.decisions.replay import Snapshot
from _masticspoke.decisions.replay import start_at
from _masticspoke.decisions.streams import new_members_replay
from _masticspoke.decisions.streams import read_members
from _masticspoke.model import Address
from _masticspoke.model import Member
from _masticspoke.model import View


def incarnation(serial: int) -> str:
    return f"0123456789ab-cd-{serial:04x}"


def member(port: int = 1, serial: int = 0, service: str = "planovac") -> Member:
    node = Address("127.0.0.1", port)
    return Member(service, node, node, "sk-central-a", incarnation(serial), 1, 1)


def left(port: int = 1, serial: int = 0) -> Left:
    return Left(Address("127.0.0.1", port), incarnation(serial))


RECORDS = st.lists(
    st.one_of(
        st.builds(
            lambda port, serial, service: Joined(member(port, serial, service)),
            st.integers(1, 3),
            st.integers(0, 3),
            st.sampled_from(["planovac", "dennik"]),
        ),
        st.builds(left, st.integers(1, 3), st.integers(0, 3)),
    ),
    max_size=30,
)


def reduced(records: list[MembershipRecord]) -> MembersState:
    state = MembersState()
    for offset, record in enumerate(records):
        state = reduce_membership(state, record, offset)
    return state


def test_view_number_counts_accepted_records_of_the_service() -> None:
    records = [
        Joined(member(1)),
        Joined(member(2, service="dennik")),
        Joined(member(1)),
        Joined(member(3)),
        left(1, serial=9),
        left(1),
    ]

    views = reduced(records).views

    assert (views["planovac"].number, views["planovac"].offset) == (3, 5)
    assert views["planovac"].members == (member(3),)
    assert (views["dennik"].number, views["dennik"].offset) == (1, 1)


def test_member_that_changes_service_makes_a_new_view_of_both_services() -> None:
    state = reduced([Joined(member(1)), Joined(member(1, 1, "dennik"))])

    assert state.views["planovac"].members == ()
    assert state.views["planovac"].number == 2
    assert state.views["dennik"].members == (member(1, 1, "dennik"),)


def test_late_record_of_an_ended_incarnation_changes_nothing() -> None:
    state = reduced([Joined(member(1)), left(1)])

    assert reduce_membership(state, Joined(member(1)), 2) is state
    again = reduce_membership(state, Joined(member(1, 1)), 2)
    assert reduce_membership(again, left(1, 0), 3) is again


@given(RECORDS, st.data())
def test_records_appended_twice_change_no_view(
    records: list[MembershipRecord], data: st.DataObject
) -> None:
    repeated: list[MembershipRecord] = []
    for record in records:
        repeated += [record] * data.draw(st.integers(1, 2))

    once, twice = reduced(records), reduced(repeated)

    assert once.by_node == twice.by_node
    assert {s: v.number for s, v in once.views.items()} == {
        s: v.number for s, v in twice.views.items()
    }


Log = list[MembershipRecord | Snapshot[MembersState] | None]


def log_with_snapshots(records: list[MembershipRecord], places: set[int]) -> Log:
    """Return a log with snapshots at these places, each of the state before it.

    A place is the number of the record that follows the snapshot.
    """
    log: Log = []
    replay = new_members_replay()
    for number, record in enumerate(records):
        if number in places:
            earlier = replay
            log += [Snapshot(earlier.read_through, earlier.state)]
            replay = advance(replay, None, len(log) - 1, reduce_membership)
        replay = advance(replay, record, len(log), reduce_membership)
        log.append(record)
    return log


@settings(max_examples=300)
@given(RECORDS, st.sets(st.integers(0, 29)), st.integers(0, 40), st.integers(1, 7))
def test_reader_that_starts_after_a_gap_has_the_state_of_one_that_read_all(
    records: list[MembershipRecord], places: set[int], oldest: int, page: int
) -> None:
    log = log_with_snapshots(records, places)
    oldest = min(oldest, len(log))
    whole = read_members(new_members_replay(), 0, enumerate(log)).replay

    replay = new_members_replay()
    for first in range(oldest, len(log), page):
        numbered = list(enumerate(log))[first : first + page]
        replay = read_members(replay, oldest, numbered).replay

    covered = any(
        isinstance(value, Snapshot) and value.offset >= oldest - 1
        for value in log[oldest:]
    )
    assert replay.complete or (oldest > 0 and not covered)
    if replay.complete and oldest < len(log):
        assert replay.state == whole.state
        assert replay.read_through == whole.read_through


@given(RECORDS, st.integers(1, 5), st.integers(1, 5))
def test_every_reader_gets_the_same_views_in_the_same_order(
    records: list[MembershipRecord], first_page: int, second_page: int
) -> None:
    def views(page: int) -> list[View]:
        found: list[View] = []
        replay = new_members_replay()
        numbered = list(enumerate(records))
        for first in range(0, len(numbered), page):
            step = read_members(replay, 0, numbered[first : first + page])
            replay = step.replay
            found += step.views
        return found

    assert views(first_page) == views(second_page)


def test_record_read_twice_changes_nothing() -> None:
    replay = read_members(new_members_replay(), 0, [(0, Joined(member(1)))]).replay

    assert read_members(replay, 0, [(0, left(1))]).replay is replay


def test_records_held_after_a_gap_are_bounded() -> None:
    replay: Replay[MembersState, MembershipRecord] = Replay(MembersState())
    replay = start_at(replay, 5)
    held = tuple((5 + i, left()) for i in range(MAX_HELD_RECORDS))
    full = Replay(replay.state, 4 + MAX_HELD_RECORDS, False, 5, held)

    after = advance(full, left(), 5 + MAX_HELD_RECORDS, reduce_membership)

    assert len(after.held) == MAX_HELD_RECORDS
    assert after.gap_end == 6


def test_snapshot_record_keeps_number_and_offset() -> None:
    state = reduced([Joined(member(1)), Joined(member(2)), left(2)])
    snapshot = Snapshot(2, state)

    assert decode_membership(encode_record(snapshot)) == snapshot


def test_joined_record_with_a_malformed_incarnation_is_not_decoded() -> None:
    bad = Joined(
        Member(
            "dennik", Address("127.0.0.1", 1), Address("127.0.0.1", 1), "z", "zz", 1, 1
        )
    )

    assert decode_membership(encode_record(bad)) is None
