from __future__ import annotations

from collections.abc import Sequence

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from _masticspoke.border.gossip import decode_digest
from _masticspoke.border.gossip import decode_page
from _masticspoke.border.gossip import encode_digest
from _masticspoke.border.gossip import encode_page
from _masticspoke.border.gossip import MAX_DIGEST_BYTES
from _masticspoke.border.gossip import MAX_MEMBERS_BYTES
from _masticspoke.border.gossip import PAGE_HINTS
from _masticspoke.decisions.hints import Hint
from _masticspoke.decisions.hints import HintsState
from _masticspoke.decisions.hints import MAX_ENDED_HINTS
from _masticspoke.decisions.hints import MAX_UPDATES
from _masticspoke.decisions.hints import member_hint
from _masticspoke.decisions.hints import merge
from _masticspoke.decisions.hints import routing_members
from _masticspoke.decisions.hints import take_updates
from _masticspoke.messages.control import Digest
from _masticspoke.model import Address
from _masticspoke.model import Member


def hint(port: int, serial: int, *, ended: bool = False) -> Hint:
    node = Address("127.0.0.1", port)
    incarnation = f"0123456789ab-cd-{serial:04x}"
    member = Member("s" * 40, node, node, "sk-central-a", incarnation, 250, 1600)
    return Hint(node, incarnation) if ended else member_hint(member)


HINTS = st.lists(
    st.builds(
        lambda port, serial, ended: hint(port, serial, ended=ended),
        st.integers(1, 4),
        st.integers(0, 3),
        st.booleans(),
    ),
    max_size=20,
)


@given(HINTS, st.randoms(use_true_random=False))
def test_merge_does_not_depend_on_order_or_repetition(
    hints: list[Hint], random: object
) -> None:
    shuffled = [*hints, *hints]
    random.shuffle(shuffled)  # type: ignore[attr-defined]
    one_by_one = HintsState()
    for each in shuffled:
        one_by_one = merge(one_by_one, (each,))

    together = merge(HintsState(), hints)

    assert together.by_node == one_by_one.by_node
    assert together.checksum == one_by_one.checksum


@given(HINTS)
def test_ended_incarnation_never_takes_work_again(hints: list[Hint]) -> None:
    state = merge(HintsState(), hints)
    for member in routing_members(state):
        assert hint_ended(member, hints) is False


def hint_ended(member: Member, hints: Sequence[Hint]) -> bool:
    return any(
        h.node == member.node
        and h.member is None
        and h.incarnation >= member.incarnation
        for h in hints
    )


@settings(max_examples=50)
@given(st.integers(1, 30))
def test_every_hint_is_sent_in_bounded_messages(count: int) -> None:
    state = merge(HintsState(), [hint(1 + n, 0) for n in range(count)])
    sent: set[Address] = set()
    rounds = 0
    while state.remaining_sends:
        state, updates = take_updates(state)
        rounds += 1
        assert len(updates) <= MAX_UPDATES
        sent |= {h.node for h in updates}

    assert len(sent) == count
    assert rounds <= 12 * count


def test_messages_stay_within_their_bounds() -> None:
    updates = tuple(hint(60_000 + n, 0) for n in range(MAX_UPDATES))
    digest = Digest(Address("127.0.0.1", 65_535), 10**9, 2**32 - 1, updates)
    page = [hint(60_000 + n, 0) for n in range(2 * PAGE_HINTS)]

    body = encode_digest(digest)

    assert decode_digest(body) == digest
    assert len(body) < MAX_DIGEST_BYTES / 4
    first = decode_page(encode_page(page, None))
    assert first is not None
    second = decode_page(encode_page(page, first[-1].node))
    assert [*first, *(second or ())] == page
    assert len(encode_page(page, None)) < MAX_MEMBERS_BYTES / 2


def test_malformed_messages_decode_to_none() -> None:
    assert decode_digest(b"{}") is None
    assert decode_page(b"[1") is None
    encoded = encode_digest(Digest(Address("127.0.0.1", 1), 1, 1, (hint(1, 0),)))
    assert decode_digest(encoded.replace(b"0123456789ab", b"zzzzzzzzzzzz")) is None


def test_ended_hints_are_bounded() -> None:
    state = merge(
        HintsState(), [hint(n, 0, ended=True) for n in range(1, MAX_ENDED_HINTS + 10)]
    )

    assert len(state.by_node) == MAX_ENDED_HINTS
