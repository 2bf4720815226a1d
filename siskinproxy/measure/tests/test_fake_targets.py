"""Tests of the model of a backend server that the measurements use."""

from siskinproxy.measure.fake_targets import FakeTarget
from siskinproxy.operators.configuration import Target


def build_fake():
    return FakeTarget(Target('t', '10.1.0.1', 'a', slots=4), limit=4)


def test_refuses_flows_above_its_slots():
    """Guards against a model that accepts a flow without a free slot.

    Such a model would hide balancers that open too many flows.
    """
    fake = build_fake()
    taken = [fake.offer(bytes([number]), 1, 0.0) for number in range(5)]
    assert taken == [True] * 4 + [False]
    assert fake.slot_overruns == 1


def test_cold_target_fails_under_full_load():
    """Guards against a model that never fails under too much load.

    Balancers that exceed the capacity of a warming target would look as good
    as others.
    """
    fake = build_fake()
    fake.cold_start(0.0, down_s=0)
    for number in range(4):
        fake.offer(bytes([number]), 1, 0.0)
    assert fake.max_excess == 3
    assert not fake.fails(0.4)
    assert fake.fails(0.6)


def test_cold_target_bears_its_ability():
    """Guards against failures that no policy could avoid.

    A cold target has to sustain the number of flows that it can handle.
    """
    fake = build_fake()
    fake.cold_start(0.0, down_s=0)
    fake.offer(b'1', 1, 0.0)
    assert not fake.fails(5.0)
    assert fake.flow_capacity(20.0) == 2
    assert fake.flow_capacity(40.0) == 4
