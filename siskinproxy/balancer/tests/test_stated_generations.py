"""Tests of the generations that a control engine knows of other instances."""

import random

import pytest

from siskinproxy.balancer.configuration_codec import codec_of_region
from siskinproxy.balancer.control_engine import ControlEngine
from siskinproxy.balancer.snapshot import Member
from siskinproxy.instances.gossip import (
    Header,
    Ping,
    Record,
    Update,
    encode_message,
)
from siskinproxy.operators.progress import InstanceState

OWN = Member('a-1', 'a', '127.0.1.1', 7400, 7402, 1)


def _ping(incarnation, generation):
    """Return a ping of ``b-1`` that announces a generation."""
    record = Record('b-1', 'b', '127.0.2.1', 7400, 7402, incarnation, 'alive')
    return encode_message(Ping(Header(record, generation), 1, ()))


def _ping_with_update(incarnation):
    """Return a ping of a third instance with an update about ``b-1``."""
    record = Record('b-2', 'b', '127.0.2.2', 7400, 7402, 1, 'alive')
    update = Record('b-1', 'b', '127.0.2.1', 7400, 7402, incarnation, 'joining')
    return encode_message(Ping(Header(record, 0), 1, (Update(update),)))


@pytest.mark.parametrize(
    ('messages', 'generation'),
    [
        ([_ping(1, 0)], 0),
        ([_ping(1, 4), _ping(1, 5)], 5),
        ([_ping(1, 5), _ping(1, 4)], 5),
        ([_ping(1, 5), _ping(2, 0)], 0),
        ([_ping(1, 5), _ping_with_update(2)], 0),
        ([_ping(2, 0), _ping(1, 5)], 0),
    ],
    ids=[
        'no-configuration',
        'newer',
        'out-of-order',
        'restarted',
        'restart-heard-from-another',
        'late-message-of-earlier-process',
    ],
)
def test_generation_is_the_last_stated_one(messages, generation):
    """Guards against reporting a change as effective where it is not.

    Messages can arrive out of order, and a restarted instance no longer has
    the configuration that it announced before.
    """
    rng = random.Random(1)
    engine = ControlEngine(OWN, codec_of_region('alfold'), rng, (), 0)
    for number, message in enumerate(messages):
        engine.on_datagram(message, 0.01 * (number + 1))
    found = {each.name: each for each in engine.instances()}
    assert found['b-1'].generation == generation
    assert found['a-1'] == InstanceState('a-1', 'a', 'joining', 0)
