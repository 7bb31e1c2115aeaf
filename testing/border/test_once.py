from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from testing.matching import assert_that
from testtools.matchers import Equals

from _masticspoke.border.once import decode_confirm_requests
from _masticspoke.border.once import decode_confirmations
from _masticspoke.border.once import decode_once
from _masticspoke.border.once import encode_confirm_requests
from _masticspoke.border.once import encode_confirmations
from _masticspoke.border.once import encode_once
from _masticspoke.decisions.once.model import Claim
from _masticspoke.decisions.once.model import Confirmation
from _masticspoke.decisions.once.model import ConfirmRequest
from _masticspoke.decisions.once.model import Identity
from _masticspoke.decisions.once.model import KeptClaims
from _masticspoke.decisions.once.model import Seal
from _masticspoke.decisions.once.placement import key_digest
from _masticspoke.model import Address

IDENTITIES = st.builds(
    Identity,
    st.builds(Address, st.just("10.0.0.1"), st.integers(1, 65_535)),
    st.text("0123456789abcdef", min_size=8, max_size=8),
)
CLAIMS = st.builds(
    Claim,
    st.just("planovac"),
    st.builds(key_digest, st.just("planovac"), st.text()),
    IDENTITIES,
    st.integers(1, 2**40),
)
RECORDS = st.one_of(
    CLAIMS,
    st.builds(KeptClaims, st.just("planovac"), st.lists(CLAIMS, max_size=3).map(tuple)),
    st.builds(Seal, st.just("planovac"), st.integers(0, 2**40), IDENTITIES),
)


@given(RECORDS)
def test_decoded_record_equals_the_encoded_one(
    record: Claim | KeptClaims | Seal,
) -> None:
    assert_that(decode_once(encode_once(record)), Equals(record))


@given(st.lists(st.builds(ConfirmRequest, CLAIMS), max_size=3))
def test_decoded_confirm_requests_equal_the_encoded_ones(
    requests: list[ConfirmRequest],
) -> None:
    assert_that(
        decode_confirm_requests(encode_confirm_requests(requests)),
        Equals(tuple(requests)),
    )


@given(IDENTITIES, CLAIMS)
def test_decoded_confirmations_equal_the_encoded_ones(
    member: Identity, claim: Claim
) -> None:
    confirmations = (Confirmation(claim, member),)
    assert_that(
        decode_confirmations(encode_confirmations(member, confirmations)),
        Equals(confirmations),
    )


def test_malformed_records_and_those_of_another_kind_are_none() -> None:
    for data in (b"", b"{}", b'{"type":"joined"}', b'{"type":"claim","s":1}', b"\xff"):
        assert decode_once(data) is None
