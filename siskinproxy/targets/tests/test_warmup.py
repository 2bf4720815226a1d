import pytest

from siskinproxy.targets.warmup import WarmUp


@pytest.mark.parametrize(
    ('now_s', 'limit'),
    [(0.0, 1), (5.0, 2), (15.0, 5), (29.9, 9), (30.0, 10)],
)
def test_limit_rises_linearly(now_s, limit):
    """Guards against full load before the end of the ramp."""
    ramp = WarmUp(30.0, 0.0)
    ramp.advance(now_s, hold=False)
    assert ramp.limit(10) == limit
    assert ramp.is_complete(now_s) == (now_s == 30.0)


def test_hold_keeps_the_limit_but_not_forever():
    """Guards against more load on a slow target, and an endless warm-up."""
    ramp = WarmUp(10.0, 0.0)
    ramp.advance(5.0, hold=False)
    ramp.advance(20.0, hold=True)
    assert ramp.limit(10) == 5
    assert not ramp.is_complete(20.0)
    assert ramp.is_complete(30.0)


def test_paces_starts_at_the_share_of_the_full_rate():
    """Guards against bursts of short requests on a cold target."""
    ramp = WarmUp(30.0, 0.0)
    started_s = []
    for tick in range(1000):
        now_s = tick / 100
        ramp.advance(now_s, hold=True)
        if ramp.may_start(now_s):
            ramp.note_start(now_s, full_rate_per_s=20)
            started_s.append(now_s)
    assert len(started_s) == pytest.approx(20, abs=1)
