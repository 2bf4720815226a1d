"""Tests of the selection of sources, and of registrations."""

import random

import pytest

from siskinproxy.entry.follower import FollowerTiming
from siskinproxy.entry.instances import (
    InstanceDirectory,
    InstanceRecord,
    decode_instance,
    encode_instance,
)
from siskinproxy.entry.sources import STORE, Source, SourceSelector
from siskinproxy.entry.store import StoredItem


def record(name, zone='a'):
    return InstanceRecord(name, zone, '10.0.0.1', 7720)


def selectors(*names, others=()):
    directory = InstanceDirectory()
    for name in names:
        directory.register(record(name))
    for name in others:
        directory.register(record(name, 'b'))
    return {
        name: SourceSelector(record(name), directory, random.Random(name))
        for name in names
    }


def test_one_instance_of_a_zone_asks_the_store():
    """Guards against store calls that grow with the number of instances."""
    found = selectors(*(f'i-{number}' for number in range(30)))
    chosen = {name: selector.choose(0).name for name, selector in found.items()}
    readers = [name for name, source in chosen.items() if source == 'store']
    assert len(readers) == 1
    assert set(chosen.values()) == {'store', readers[0]}


def test_the_next_instance_takes_over_from_a_failed_one():
    """Guards against a zone that keeps asking an instance that has failed."""
    found = selectors('i-1', 'i-2', 'i-3', 'i-4')
    first = next(
        source
        for source in (each.choose(0) for each in found.values())
        if source != STORE
    )
    del found[first.name]
    for selector in found.values():
        if selector.choose(0) == first:
            selector.note_failed(first, 0)
    chosen = [selector.choose(0.1).name for selector in found.values()]
    assert chosen.count('store') == 1
    assert len(set(chosen)) == 2
    assert all(each.choose(10) == first for each in found.values())


@pytest.mark.parametrize(
    ('others', 'expected'), [((), 'store'), (('j-1',), 'j-1')]
)
def test_other_zones_are_asked_when_the_store_refuses(others, expected):
    """Guards against an instance that learns nothing if the store refuses it.

    The store may refuse calls of this instance alone, while instances of other
    zones can still reach it.
    """
    selector = selectors('i-1', others=others)['i-1']
    selector.note_failed(STORE, 0)
    assert selector.choose(0.1).name == expected
    if others:
        selector.note_failed(Source(record('j-1', 'b')), 0.2)
        assert selector.choose(0.3) == STORE
    assert selector.choose(2) == STORE


def test_registrations_are_read_back():
    """Guards against a registration that is taken for another instance's.

    A value whose name is not that in its key, or that is no registration, must
    be rejected.
    """
    value = encode_instance(record('i-1'))
    key = 'siskinproxy/instances/i-1'
    assert decode_instance(StoredItem(key, value, 1)) == record('i-1')
    assert decode_instance(StoredItem(f'{key}1', value, 1)) is None
    assert decode_instance(StoredItem(key, b'{}', 1)) is None


def test_departed_instances_still_count_as_senders():
    """Guards against more requests to a cold target than it can serve.

    Its rate is divided among the instances that may send. One that has only
    lost its connection to the store goes on sending, so its share must not go
    to others.
    """
    directory = InstanceDirectory()
    directory.register(record('i-1'))
    directory.register(record('i-2'))
    directory.remove('i-2', 10)
    assert set(directory.possible_senders(20)) == {'i-1', 'i-2'}
    assert set(directory.possible_senders(41)) == {'i-1'}


def test_seeds_are_asked_while_no_other_instance_is_known():
    """Guards against an instance that cannot start while the store is down."""
    seeds = [InstanceRecord('seed', '', '10.0.0.9', 7720), record('own')]
    selector = SourceSelector(
        record('i-1'), InstanceDirectory(), random.Random(1), seeds
    )
    assert selector.choose(0) == STORE
    selector.note_failed(STORE, 0)
    assert selector.choose(0.1) == Source(seeds[0])
    selector.note_failed(Source(seeds[0]), 0.2)
    assert selector.choose(0.3) == STORE


def run_outage(found, dead=(), served=(), until_s=6.0):
    """Return the names of the instances that ask the store, one per call.

    Each call takes 0.1 s. The store serves the instances in `served`; other
    instances answer that they are stale, unless they are in `dead`.
    """
    asked = []
    now_s = 0.0
    while now_s < until_s:
        for name, selector in found.items():
            source = selector.choose(now_s)
            if source.instance is None:
                asked.append(name)
            if source.name in dead or (source == STORE and name not in served):
                selector.note_failed(source, now_s)
                continue
            selector.note_answered(source)
            if source != STORE:
                selector.note_stale(source, now_s)
        now_s += 0.1
    return asked


@pytest.mark.parametrize('size', [30, 120])
def test_calls_in_an_outage_do_not_grow_with_the_zone(size):
    """Guards against a store that all instances ask while it is away.

    Each of them sees that its sources are stale and turns to the store, which
    may refuse calls since there are too many.
    """
    found = selectors(*(f'i-{number}' for number in range(size)), others=['j'])
    asked = run_outage(found)
    # Three leads ask each second, and all others together as often.
    assert 3 * 5 <= len(asked) <= 2 * 3 * 8
    assert len(set(asked)) < 30


def test_an_instance_that_alone_is_served_asks_the_store_in_time():
    """Guards against a zone without changes although the store serves one.

    The store may turn away those that rank first.
    """
    found = selectors(*(f'i-{number}' for number in range(10)))
    ranked = [name for name in found if found[name].is_reader]
    served = next(name for name in reversed(found) if name not in ranked)
    asked = run_outage(found, served=[served], until_s=12.0)
    assert asked.count(served) >= 10


@pytest.mark.parametrize('size', [30, 200])
def test_two_failed_sources_leave_the_calls_to_a_few(size):
    """Guards against a zone of hundreds that all ask the store at once.

    The first instance is stale and the second one silent; only the leads turn
    to the store, and the others learn from them.
    """
    found = selectors(*(f'i-{number:03}' for number in range(size)))
    first = next(name for name in found if found[name].is_reader)
    rest = selectors(*(name for name in found if name != first))
    second = next(name for name in rest if rest[name].is_reader)
    alive = [name for name in found if name not in {first, second}]
    asked = set()
    for step in range(60):
        now_s = step / 10
        for name in alive:
            source = found[name].choose(now_s)
            if source.name == first:
                found[name].note_stale(source, now_s)
            elif source.name == second:
                found[name].note_failed(source, now_s)
            else:
                found[name].note_answered(source)
                asked.update([name] if source == STORE else [])
    assert len(asked) <= 3


def test_failed_instances_are_passed_over():
    """Guards against a zone whose first instances are dead asking the store.

    All others would ask it until the registrations of the dead ones end.
    """
    names = [f'i-{number}' for number in range(30)]
    found = selectors(*names)
    dead = set()
    for _ in range(5):
        rest = [name for name in names if name not in dead]
        dead.add(next(n for n in rest if selectors(*rest)[n].is_reader))
    alive = {name: found[name] for name in names if name not in dead}
    calls = 0
    now_s = 0.0
    for _ in range(30):
        for selector in alive.values():
            source = selector.choose(now_s)
            calls += source == STORE
            if source.name in dead:
                selector.note_failed(source, now_s)
            else:
                selector.note_answered(source)
        now_s += 0.1
    # Two calls by each one while it finds a living source, one by the reader.
    assert calls <= 2 * len(alive) + 30


def test_leads_of_a_zone_that_is_refused_ask_readers_of_other_zones():
    """Guards against a chain of instances whose answers are stale at its end.

    Each instance that passes changes on adds its wait for changes.
    """
    others = [f'j-{number}' for number in range(20)]
    selector = selectors('i-1', others=others)['i-1']
    directory = selectors(*others)
    readers = [name for name in others if directory[name].is_reader]
    found = set()
    for _ in range(50):
        selector.note_failed(STORE, 0)
        source = selector.choose(0.5)
        found.add(source.name)
        # Answers may be as old as a watch; two waits more must not be stale.
        assert 1 + 2 * source.wait_share < FollowerTiming().stale_s
    assert found == set(readers)
