from __future__ import annotations

from _masticspoke.decisions.fleet.append_epochs import next_epoch


def test_each_append_has_a_later_epoch() -> None:
    epochs = [0]
    for wall_ms in (1_000, 1_000, 1_001, 900, 5_000):
        epochs.append(next_epoch(epochs[-1], wall_ms, 0))
    assert epochs == sorted(set(epochs))


# A node whose clock had been set back could append nothing for as long.
def test_writer_catches_up_with_the_epochs_of_an_earlier_process() -> None:
    year_ms = 365 * 86_400_000
    seen, epoch, tries = year_ms, 0, 0
    while epoch <= seen:
        epoch = next_epoch(epoch, 1_000, tries)
        tries += 1
    assert tries <= 20
    assert epoch < 2**53
