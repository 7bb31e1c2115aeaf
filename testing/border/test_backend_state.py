from __future__ import annotations

import json

from hypothesis import given
from hypothesis import strategies as st
from testing.decisions.fleet.samples import server

from _masticspoke.border.backend_state import decode_state
from _masticspoke.border.backend_state import encode_state
from _masticspoke.border.backend_state import state_to_list
from _masticspoke.decisions.fleet.members import digest
from _masticspoke.decisions.fleet.members import Members
from _masticspoke.decisions.fleet.members import merge

SOUND = state_to_list(server())
# Texts with surrogates and control characters, and numbers of any size.
ODD_TEXTS = st.text(st.characters(), max_size=300)
SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | ODD_TEXTS
    | st.just(10**40)
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(ODD_TEXTS, inner, max_size=3)
    ),
    max_leaves=5,
)


# Fault: an entry that passed the decoder ended every node that merged it.
@given(st.integers(0, len(SOUND) - 1), VALUES)
def test_whatever_is_decoded_can_be_merged_digested_and_encoded(
    position: int, value: object
) -> None:
    document = [*SOUND[:position], value, *SOUND[position + 1 :]]
    state = decode_state(json.dumps(document).encode())
    if state is None:
        return
    members = Members()
    merge(members, [state])
    assert digest(members) >= 0
    assert decode_state(encode_state(state)) == state
    assert state.instance.encode()
    assert state.service.encode() is not None


@given(st.binary(max_size=200))
def test_bytes_of_another_writer_are_no_state(raw: bytes) -> None:
    assert decode_state(raw) is None
