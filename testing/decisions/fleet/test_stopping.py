from __future__ import annotations

from random import Random

import pytest

from _masticspoke.decisions.fleet.stopping import AnswerTimes
from _masticspoke.decisions.fleet.stopping import ends_in_time
from _masticspoke.decisions.fleet.stopping import latest_deadline
from _masticspoke.decisions.fleet.stopping import record_answer


def test_every_request_ends_in_time_while_the_node_is_not_stopping() -> None:
    assert ends_in_time(AnswerTimes(), "read", 30.0, None)


def test_objective_is_assumed_until_the_first_answer() -> None:
    times = AnswerTimes()
    assert ends_in_time(times, "read", 1.0, 1.2)
    assert not ends_in_time(times, "read", 1.0, 1.0)
    record_answer(times, "read", 0.2)
    assert ends_in_time(times, "read", 1.0, 0.4)
    assert not ends_in_time(times, "book", 1.0, 0.4)


@pytest.mark.parametrize("seed", range(5))
def test_at_most_one_in_twenty_that_is_sent_outlasts_the_stop(seed: int) -> None:
    """Times that vary by a factor of four around their mean."""
    random = Random(seed)
    times = AnswerTimes()
    sent = cut = 0
    for _ in range(4_000):
        took_s = 0.3 * random.uniform(0.4, 1.6)
        left_s = random.uniform(0.0, 1.0)
        if ends_in_time(times, "read", 1.0, left_s):
            sent += 1
            cut += took_s > left_s
        record_answer(times, "read", took_s)
    assert sent > 500
    assert cut <= sent / 20


def test_deadline_lies_before_the_end_of_the_stop() -> None:
    assert latest_deadline(8.0, 5.0, None) == 8.0
    assert latest_deadline(8.0, 5.0, 1.0) < 6.0
    assert latest_deadline(5.5, 5.0, 1.0) == 5.5
    assert latest_deadline(8.0, 5.0, 0.0) == 5.0
