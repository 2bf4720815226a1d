"""Messages between instances: size, order of the fleet, broken bytes."""

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

#: Instances of a zone of the grown sites that wait at one of them.
FOLLOWERS = 28
#: Narrowest link there, in bytes a second: 5 Mbit/s.
LINK_BYTES_PER_S = 5e6 / 8
#: Part of the bound of 5 s on configurations that passing on may take.
PASSING_ON_S = 2.5


def big_configuration():
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
    """Guards against a zone whose changes wait behind a big configuration.

    Before, 1,360 new routes took an instance with a narrow link more than 5 s
    to pass on, and targets of a zone that was taken out got requests.
    """
    item = StoredItem('op/config', big_configuration(), 9)
    answer = ChangesAnswer(pack_items((item,)), 9, False, 3, False)
    sent_bytes = FOLLOWERS * len(encode_frame(answer))
    assert sent_bytes / LINK_BYTES_PER_S < PASSING_ON_S


def test_the_widest_link_of_a_zone_passes_on():
    """Guards against a small instance that sends to all others."""
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
    """Guards against a removal that is taken for an item."""
    assert unpack_items(pack_items(items)) == items


@pytest.mark.parametrize('message', [b'', b'x', b'\x90', b'\xc1\xc1'])
@pytest.mark.parametrize('decode', [decode_answer, decode_query, unpack_items])
def test_broken_bytes_have_a_typed_error(decode, message):
    """Guards against bytes of a scanner that end the process."""
    with pytest.raises(LinkFormatError):
        decode(message)


def test_queries_are_read_back():
    """Guards against fields in another order."""
    query = ChangesQuery('i-1', 7, 1000)
    assert decode_query(encode_frame(query)[4:]) == query
