import random

import pytest

from siskinproxy.targets.occupancy import WINDOW_S, Occupancy


def test_counts_busy_time_of_the_last_ten_seconds():
    """Guards against a selection of targets by outdated load.

    Busy time before the window has to be left out, also when no flow has
    started or ended since.
    """
    occupancy = Occupancy(0.0)
    occupancy.change(2, 1.0)
    occupancy.change(-1, 4.0)
    occupancy.change(-1, 6.0)
    assert occupancy.busy_s(6.0) == pytest.approx(8.0)
    assert occupancy.busy_s(12.0) == pytest.approx(6.0)
    assert occupancy.busy_s(30.0) == pytest.approx(0.0)


def test_agrees_with_an_exact_account():
    """Guards against inaccurate busy times.

    The integral is sampled and interpolated at the start of the window; the
    error must not exceed the sample interval.
    """
    rng = random.Random(3)
    occupancy = Occupancy(0.0)
    now_s = 0.0
    intervals = []
    for _ in range(400):
        start_s = now_s
        occupancy.change(1, now_s)
        now_s += rng.expovariate(5)
        occupancy.change(-1, now_s)
        intervals.append((start_s, now_s))
        now_s += rng.expovariate(5)
    oldest_s = now_s - WINDOW_S
    exact_s = sum(
        max(end_s - max(start_s, oldest_s), 0) for start_s, end_s in intervals
    )
    assert occupancy.busy_s(now_s) == pytest.approx(exact_s, abs=0.5)


def test_count_never_becomes_negative():
    """Guards against a negative number of flows.

    If the end of a flow is reported twice, a negative count would permit more
    flows than the limit.
    """
    occupancy = Occupancy(0.0)
    occupancy.change(-1, 1.0)
    assert occupancy.count == 0
