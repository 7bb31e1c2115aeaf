from __future__ import annotations

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from _masticspoke.border.records import INCARNATION
from _masticspoke.decisions import local_backend
from _masticspoke.decisions.hints import Hint
from _masticspoke.decisions.hints import member_hint
from _masticspoke.decisions.incarnation import first_incarnation
from _masticspoke.decisions.incarnation import next_incarnation
from _masticspoke.decisions.local_backend import LocalBackend
from _masticspoke.decisions.members import Joined
from _masticspoke.decisions.members import Left
from _masticspoke.decisions.members import MembersState
from _masticspoke.decisions.members import reduce_membership
from _masticspoke.model import Address
from _masticspoke.model import Catalogue
from _masticspoke.model import Entry
from _masticspoke.model import Member
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal

NODE = Address("127.0.0.1", 1)
MEMBER = Member("dennik", Address("127.0.0.1", 2), NODE, "sk-central-a", "", 60, 440)
FIRST = first_incarnation(1_000, "ab")


def announced() -> LocalBackend:
    return local_backend.announce(LocalBackend(NODE, FIRST), MEMBER, 3.0, now=0.0)


def test_renewal_keeps_the_incarnation_and_a_restart_gets_a_newer_one() -> None:
    backend = announced()
    renewed = local_backend.announce(backend, MEMBER, 3.0, now=2.0)
    restarted = local_backend.announce(
        renewed, replace(MEMBER, incarnation="next"), 3.0, now=2.5
    )

    assert renewed.incarnation == backend.incarnation > FIRST
    assert restarted.incarnation > renewed.incarnation
    assert not local_backend.has_lapsed(renewed, 4.9)
    assert local_backend.has_lapsed(renewed, 5.0)
    assert not local_backend.has_lapsed(local_backend.leave(renewed), 99.0)


def test_record_is_repeated_until_it_is_in_the_log() -> None:
    backend, first = local_backend.next_record(announced(), MembersState(), 0.0)
    backend, soon = local_backend.next_record(backend, MembersState(), 1.0)
    backend, later = local_backend.next_record(
        backend, MembersState(), local_backend.RECORD_REPEAT_S
    )
    assert backend.member is not None
    assert first == later == Joined(backend.member)
    assert soon is None

    state = reduce_membership(MembersState(), first, 0)
    assert local_backend.next_record(backend, state, 99.0)[1] is None
    left = local_backend.leave(backend)
    assert local_backend.next_record(left, state, 99.0)[1] == Left(
        NODE, backend.incarnation
    )


def test_node_considered_failed_joins_again_under_a_newer_incarnation() -> None:
    backend = announced()

    again = local_backend.reconcile(backend, Hint(NODE, backend.incarnation))

    assert again.incarnation > backend.incarnation
    assert again.member is not None
    assert local_backend.own_hint(again) == member_hint(again.member)
    assert local_backend.reconcile(backend, local_backend.own_hint(backend)) is backend
    left = local_backend.leave(backend)
    assert local_backend.reconcile(left, local_backend.own_hint(left)) is left


@given(st.integers(0, 2**47), st.integers(0, 2**47), st.integers(0, 2**16 - 1))
def test_next_incarnation_is_newer_than_its_own_and_the_received_one(
    own_ms: int, received_ms: int, serial: int
) -> None:
    own = first_incarnation(own_ms, "cd")
    received = f"{received_ms:012x}-ef-{serial:04x}"

    following = next_incarnation(own, received)

    assert following > own
    assert following > received
    assert INCARNATION.fullmatch(following)


def test_announcement_for_a_service_without_an_entry_is_refused() -> None:
    entry = Entry("r", "o", "line", 1, "planovac", "GET", "/r", 1, True)
    catalogue = Catalogue(version=3, entries=(entry,))
    refuse = local_backend.announcement_refusal

    unknown = refuse(catalogue, MEMBER, stopping=False)
    assert isinstance(unknown, Refusal)
    assert unknown.reason is Reason.UNKNOWN_SERVICE
    assert refuse(Catalogue(), MEMBER, stopping=False) is None
    planovac = replace(MEMBER, service="planovac")
    assert refuse(catalogue, planovac, stopping=False) is None
    stopping = refuse(catalogue, planovac, stopping=True)
    assert isinstance(stopping, Refusal)
    assert stopping.reason is Reason.STOPPING


def test_renewal_that_arrives_after_its_sender_left_changes_nothing() -> None:
    left = local_backend.leave(announced())
    assert local_backend.announce(left, MEMBER, 3.0, now=0.1) == left


def test_next_process_of_the_backend_server_takes_work_at_once() -> None:
    left = local_backend.leave(announced())
    again = local_backend.announce(
        left, replace(MEMBER, incarnation="process-2"), 3.0, now=0.1
    )
    assert again.member is not None
    assert again.incarnation > left.incarnation


def test_lapsed_backend_server_takes_work_after_a_renewal() -> None:
    backend = announced()
    assert local_backend.has_lapsed(backend, now=3.0)
    assert (
        local_backend.announce(
            local_backend.leave(backend), MEMBER, 3.0, now=3.0
        ).member
        is not None
    )
