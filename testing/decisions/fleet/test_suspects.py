from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from _masticspoke.decisions.fleet.suspects import Crash
from _masticspoke.decisions.fleet.suspects import CRASH_TTL_S
from _masticspoke.decisions.fleet.suspects import CRASHES_TO_QUARANTINE
from _masticspoke.decisions.fleet.suspects import CrashReport
from _masticspoke.decisions.fleet.suspects import Incarnation
from _masticspoke.decisions.fleet.suspects import MAX_REQUESTS
from _masticspoke.decisions.fleet.suspects import MAX_SUSPECTS
from _masticspoke.decisions.fleet.suspects import merge
from _masticspoke.decisions.fleet.suspects import quarantine_left_s
from _masticspoke.decisions.fleet.suspects import record_crash
from _masticspoke.decisions.fleet.suspects import record_success
from _masticspoke.decisions.fleet.suspects import Suspects
from _masticspoke.decisions.fleet.suspects import view
from _masticspoke.model import Address

NOW_S = 1_800_000_000.0
POISON = 13


def address(number: int) -> Address:
    return Address(f"10.0.0.{number}", 8080)


def crash(number: int, *fingerprints: int, at_s: float = NOW_S) -> CrashReport:
    """Return the report of one crash, at the server with this number."""
    incarnation = Incarnation(address(number), f"i-{number}", 1_000)
    at_ms = int(at_s * 1000)
    return CrashReport(
        address(number), (Crash(incarnation, at_ms, frozenset(fingerprints)),)
    )


def quarantined(suspects: Suspects, fingerprint: int, now_s: float = NOW_S) -> bool:
    return quarantine_left_s(view(suspects), fingerprint, now_s) > 0


def test_request_is_quarantined_after_its_third_crash() -> None:
    suspects = Suspects()
    for number in range(CRASHES_TO_QUARANTINE):
        assert not quarantined(suspects, POISON)
        merge(suspects, crash(number, POISON, 100 + number), NOW_S)
    assert quarantined(suspects, POISON)
    assert not quarantined(suspects, 100)


def test_crashes_of_one_server_count_by_incarnation() -> None:
    suspects = Suspects()
    for born_ms in (1, 1, 2, 2):
        record_crash(suspects, Incarnation(address(1), "i", born_ms), {POISON}, NOW_S)
    assert not quarantined(suspects, POISON)
    record_crash(suspects, Incarnation(address(1), "i", 3), {POISON}, NOW_S)
    assert quarantined(suspects, POISON)


def test_request_that_succeeds_after_each_crash_is_never_quarantined() -> None:
    suspects = Suspects()
    for number in range(10):
        merge(suspects, crash(number, POISON), NOW_S)
        record_success(suspects, address(99), POISON, NOW_S)
        assert not quarantined(suspects, POISON)


def test_success_near_a_quarantine_is_reported_to_other_nodes() -> None:
    here, elsewhere = Suspects(), Suspects()
    for number in range(CRASHES_TO_QUARANTINE):
        for suspects in (here, elsewhere):
            merge(suspects, crash(number, POISON), NOW_S)
    report = record_success(here, address(99), POISON, NOW_S)
    assert report is not None
    assert not quarantined(here, POISON)
    merge(elsewhere, report, NOW_S)
    assert not quarantined(elsewhere, POISON)


def test_report_that_arrives_again_brings_no_suspect_back() -> None:
    suspects = Suspects()
    reports = [crash(number, POISON) for number in range(CRASHES_TO_QUARANTINE)]
    for report in reports:
        merge(suspects, report, NOW_S)
    record_success(suspects, address(99), POISON, NOW_S)
    assert [merge(suspects, report, NOW_S) for report in reports] == [None] * 3
    assert not quarantined(suspects, POISON)


def test_success_that_is_reported_again_clears_no_later_crash() -> None:
    suspects = Suspects()
    for number in range(2):
        merge(suspects, crash(number, POISON), NOW_S)
    report = record_success(suspects, address(99), POISON, NOW_S)
    assert report is not None
    for number in range(2, 2 + CRASHES_TO_QUARANTINE):
        merge(suspects, crash(number, POISON), NOW_S)
        merge(suspects, report, NOW_S)
    assert quarantined(suspects, POISON)


def test_quarantine_ends_when_its_crashes_are_old() -> None:
    suspects = Suspects()
    for number in range(CRASHES_TO_QUARANTINE):
        merge(suspects, crash(number, POISON, at_s=NOW_S + number), NOW_S + number)
    assert quarantined(suspects, POISON, NOW_S + CRASH_TTL_S - 1)
    assert not quarantined(suspects, POISON, NOW_S + CRASH_TTL_S)
    later_s = NOW_S + CRASH_TTL_S + 10
    merge(suspects, crash(50, 1, at_s=later_s), later_s)
    assert set(suspects.crashes) == {1}
    assert set(suspects.reports) == {address(50)}


def test_entry_of_another_time_is_no_crash() -> None:
    suspects = Suspects()
    for at_s in (0.0, NOW_S - CRASH_TTL_S - 1, NOW_S + CRASH_TTL_S + 1):
        assert merge(suspects, crash(1, POISON, at_s=at_s), NOW_S) is None
    assert view(suspects).suspected == frozenset()


def test_known_suspect_is_reported_first_if_too_many_requests_were_running() -> None:
    suspects = Suspects()
    for number in range(CRASHES_TO_QUARANTINE):
        others = range(1_000 * number, 1_000 * number + 2 * MAX_REQUESTS)
        merge(suspects, crash(number, 10**9, *(others if number else ())), NOW_S)
    assert quarantined(suspects, 10**9)


def test_number_of_suspects_is_bounded_and_the_worst_are_kept() -> None:
    suspects = Suspects()
    for number in range(CRASHES_TO_QUARANTINE):
        merge(suspects, crash(number, POISON), NOW_S)
    for number in range(3, 3 + MAX_SUSPECTS // MAX_REQUESTS + 2):
        start = number * MAX_REQUESTS + 1_000
        merge(suspects, crash(number, *range(start, start + MAX_REQUESTS)), NOW_S)
    assert len(suspects.crashes) == MAX_SUSPECTS
    assert quarantined(suspects, POISON)


@given(
    st.lists(
        st.tuples(st.integers(0, 5), st.frozensets(st.integers(0, 3), min_size=1)),
        max_size=12,
    ),
    st.randoms(use_true_random=False),
)
def test_nodes_agree_whatever_the_order_and_repetition_of_reports(
    crashes: list[tuple[int, frozenset[int]]], random: object
) -> None:
    reports = [crash(number, *fingerprints) for number, fingerprints in crashes]
    again = reports * 2
    random.shuffle(again)  # type: ignore[attr-defined]
    first, second = Suspects(), Suspects()
    for report in reports:
        merge(first, report, NOW_S)
    for report in again:
        merge(second, report, NOW_S)
    assert view(first) == view(second)
    assert first.reports == second.reports
