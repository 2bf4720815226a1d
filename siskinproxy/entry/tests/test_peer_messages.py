"""Tests of messages between instances: size, sender, malformed bytes."""

import json
import random

import pytest

from siskinproxy.entry.instances import InstanceDirectory, InstanceRecord
from siskinproxy.entry.peer_messages import (
    ChangesAnswer,
    ChangesQuery,
    decode_answer,
    decode_query,
    encode_frame,
    pack_items,
    unpack_items,
)
from siskinproxy.entry.sources import STORE, SourceSelector
from siskinproxy.entry.store import ItemRemoved, StoredItem
from siskinproxy.errors import LinkFormatError

#: Instances of one zone of a large deployment that get changes from the same
#: instance.
FOLLOWERS = 28
#: Bandwidth of the narrowest link in such a zone: 5 Mbit/s.
LINK_BYTES_PER_S = 5e6 / 8
#: Time that relaying within a zone may take, out of the 5 s within which a
#: configuration has to be in force.
RELAY_LIMIT_S = 2.5


def large_configuration():
    rng = random.Random(1)
    routes = [
        {
            'name': f'r-{rng.randrange(36**7):x}',
            'host': f'198.18.{rng.randrange(256)}.{rng.randrange(256)}',
            'prefix': f'/{rng.randrange(1, 65536)}/',
            'kind': 'safe',
            'timeout_ms': 2764,
            'aim_ms': 276,
            'priority': 2,
            'service': 'huvo11a',
            'max_attempts': 2,
        }
        for _ in range(1600)
    ]
    return json.dumps({'version': 7, 'routes': routes}).encode()


def test_a_big_configuration_reaches_a_zone_in_time():
    """Guards against changes that are delayed behind a large configuration.

    An instance with a narrow link once took more than 5 s to relay 1,360 new
    routes, and targets of a zone that was out of service got requests.
    """
    item = StoredItem('op/config', large_configuration(), 9)
    answer = ChangesAnswer(pack_items((item,)), 9, False, 3, False)
    sent_bytes = FOLLOWERS * len(encode_frame(answer))
    assert sent_bytes / LINK_BYTES_PER_S < RELAY_LIMIT_S


def test_the_widest_link_of_a_zone_passes_on():
    """Guards against an instance with a narrow link that relays to its zone.

    The relaying instance sends each change to all others of the zone, so the
    one with the most bandwidth has to be selected.
    """
    directory = InstanceDirectory()
    records = [
        InstanceRecord(f'i-{number}', 'a', '10.0.0.1', 7720, link)
        for number, link in enumerate((10, 10, 200, 10, 100))
    ]
    for each in records:
        directory.register(each)
    readers = [
        each.name
        for each in records
        if SourceSelector(each, directory, random.Random(1)).choose(0) == STORE
    ]
    assert readers == ['i-2']


@pytest.mark.parametrize(
    'items',
    [
        (),
        (StoredItem('a', b'\x00\xff', 3),),
        (StoredItem('a', b'', 3), ItemRemoved('b', 4)),
    ],
)
def test_items_are_read_back(items):
    """Guards against a removal that is decoded as a written item."""
    assert unpack_items(pack_items(items)) == items


@pytest.mark.parametrize('message', [b'', b'x', b'\x90', b'\xc1\xc1'])
@pytest.mark.parametrize('decode', [decode_answer, decode_query, unpack_items])
def test_broken_bytes_have_a_typed_error(decode, message):
    """Guards against malformed bytes that end the process.

    Any client can connect to the port, for example a port scanner.
    """
    with pytest.raises(LinkFormatError):
        decode(message)


def test_queries_are_read_back():
    """Guards against fields that are decoded in another order than sent.

    Messages are arrays, so a field is known only by its position.
    """
    query = ChangesQuery('i-1', 7, 1000)
    assert decode_query(encode_frame(query)[4:]) == query
