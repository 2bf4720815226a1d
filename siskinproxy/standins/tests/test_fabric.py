import random
from collections import Counter

import pytest

from siskinproxy.fabric.segments import ACK, Endpoint, build_segment
from siskinproxy.standins.fabric import (
    Delivery,
    FabricFaults,
    FabricInstance,
    FabricModel,
)

CALLER = Endpoint('127.0.9.1', 20000)
SERVICE = Endpoint('203.0.113.1', 443)
REQUEST = build_segment(CALLER, SERVICE, ACK)
ANSWER = build_segment(SERVICE, CALLER, ACK)
INSTANCES = tuple(
    FabricInstance(f'i{number}', f'127.2.0.{number}', 7000)
    for number in range(1, 4)
)


def make_model(**faults):
    model = FabricModel(random.Random(1), FabricFaults(**faults))
    model.set_instances(INSTANCES, 0)
    return model


def spray(model, count=300, now_s=100):
    """Send packets of a caller, return their number by instance address."""
    deliveries = []
    for _ in range(count):
        deliveries += model.on_datagram(REQUEST, CALLER, now_s)
    return Counter(delivery.endpoint.address for delivery in deliveries)


def test_sprays_over_live_instances():
    """Guards against a fabric that sends whole flows to one instance.

    Tests would not show faults that need packets of a flow at two instances.
    """
    counts = spray(make_model())
    assert sorted(counts) == ['127.2.0.1', '127.2.0.2', '127.2.0.3']
    assert min(counts.values()) > 60


def test_delivers_answers_to_callers():
    """Guards against answers that are sent to instances, not to the caller.

    The fabric tells them from requests by their source address.
    """
    model = make_model()
    sent = model.on_datagram(ANSWER, ('127.2.0.1', 7000), 0)
    assert sent == [Delivery(CALLER, ANSWER)]


def test_leaving_instance_gets_packets_until_lag_is_over():
    """Guards against an instance list that changes without delay.

    Instances that leave would get no more packets, unlike on the platform.
    """
    model = make_model(list_lag_s=2)
    assert model.on_datagram(REQUEST, CALLER, 1) == []
    leaving = FabricInstance('i1', '127.2.0.1', 7000, status='leaving')
    model.set_instances((leaving, *INSTANCES[1:]), 10)
    assert '127.2.0.1' in spray(model, now_s=11.9)
    assert '127.2.0.1' not in spray(model, now_s=12)


def test_cut_instance_is_isolated():
    """Guards against an isolated instance that still sends or gets packets."""
    model = make_model()
    model.cut(['i2'])
    assert '127.2.0.2' not in spray(model)
    assert model.on_datagram(ANSWER, ('127.2.0.2', 7000), 0) == []
    model.cut([])
    assert '127.2.0.2' in spray(model)


@pytest.mark.parametrize(
    ('faults', 'lowest', 'highest'),
    [({'loss': 0.5}, 100, 200), ({'duplication': 0.5}, 400, 500)],
    ids=['loss', 'duplication'],
)
def test_faults_change_number_of_packets(faults, lowest, highest):
    """Guards against loss or duplication that is set but not applied."""
    assert lowest < spray(make_model(**faults)).total() < highest


def test_reordered_packets_arrive_later():
    """Guards against delayed packets that are lost or delivered twice."""
    model = make_model(reordering=0.5, reordering_s=0.1)
    sent_now = spray(model).total()
    assert 100 < sent_now < 200
    assert sent_now + len(model.pop_due(100.1)) == 300
    assert model.pop_due(1000) == []


# The second datagram starts like an IPv4 header, but its protocol isn't TCP.
@pytest.mark.parametrize('datagram', [b'', b'\x45' * 40])
def test_malformed_datagrams_are_counted(datagram):
    """Guards against a crash by a datagram that is no TCP packet."""
    model = make_model()
    assert model.on_datagram(datagram, CALLER, 0) == []
    assert model.counters['malformed'] == 1
