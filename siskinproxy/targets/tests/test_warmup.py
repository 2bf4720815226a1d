import pytest

from siskinproxy.targets.warmup import WarmUp


@pytest.mark.parametrize(
    ('now_s', 'limit'),
    [(0.0, 1), (5.0, 2), (15.0, 5), (29.9, 9), (30.0, 10)],
)
def test_limit_rises_linearly(now_s, limit):
    """Guards against full load on a target that is still cold.

    The limit has to rise in proportion to the elapsed time and reach the full
    limit only at the end of the warm-up.
    """
    warmup = WarmUp(30.0, 0.0)
    warmup.advance(now_s, hold=False)
    assert warmup.limit(10) == limit
    assert warmup.is_complete(now_s) == (now_s == 30.0)


def test_hold_keeps_the_limit_but_not_forever():
    """Guards against more load on a slow target, and an endless warm-up.

    High completion times keep the load constant. If they never fall, because
    the baseline is outdated, the warm-up has to end nevertheless.
    """
    warmup = WarmUp(10.0, 0.0)
    warmup.advance(5.0, hold=False)
    warmup.advance(20.0, hold=True)
    assert warmup.limit(10) == 5
    assert not warmup.is_complete(20.0)
    assert warmup.is_complete(30.0)


def test_paces_starts_at_the_share_of_the_full_rate():
    """Guards against a high rate of short requests on a cold target.

    A limit of flows in progress does not bound the rate when requests are
    short, so the starts are paced too.
    """
    warmup = WarmUp(30.0, 0.0)
    started_s = []
    for tick in range(1000):
        now_s = tick / 100
        warmup.advance(now_s, hold=True)
        if warmup.may_start(now_s):
            warmup.note_start(now_s, full_rate_per_s=20)
            started_s.append(now_s)
    assert len(started_s) == pytest.approx(20, abs=1)
