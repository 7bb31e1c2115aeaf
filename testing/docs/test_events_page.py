from __future__ import annotations

from testing.docs.pages import rows
from testing.docs.pages import text

from _masticspoke.events import Event


def test_page_and_code_list_the_same_events() -> None:
    documented = [(int(n), level, words) for n, level, words, _ in events()]
    defined = [(e.value.number, e.value.level, e.value.text) for e in Event]

    assert documented == sorted(defined)


def test_each_event_says_what_to_do() -> None:
    assert [number for number, *_, remedy in events() if not remedy] == []


def test_numbers_are_unique() -> None:
    numbers = [event.value.number for event in Event]

    assert len(numbers) == len(set(numbers))


def events() -> list[list[str]]:
    return rows(text("EVENTS.md"), "number")
