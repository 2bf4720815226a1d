"""Head readers of whole zones on a simulated store and virtual time."""

import asyncio
import contextlib
import random
from collections import Counter

import pytest

from siskinproxy.standins.store import FakeKeyValueClient, MemoryStore
from siskinproxy.standins.virtual_time import run_in_virtual_time
from siskinproxy.store import head_reader, reader_role
from siskinproxy.store.head import head_key
from siskinproxy.store.head_reader import HeadReader

REGION = 'alfold'


class Fleet:
    """The head readers of all instances of some zones, on one store."""

    def __init__(self, zones, members, seed=1):
        self.store = MemoryStore()
        self.seen = {}
        self.clients = {}
        self.readers = {}
        for zone in zones:
            for number in range(members):
                self.add(zone, f'{zone}{number}', members, seed)

    def add(self, zone, name, members, seed):
        client = FakeKeyValueClient(self.store, name, fault_by_call={})
        seen = self.seen.setdefault(name, [])
        rng = random.Random(f'{seed} {name}')
        self.clients[name] = client
        self.readers[name] = HeadReader(
            client, REGION, zone, name, seen.append, rng
        )

    async def start(self, members):
        for reader in self.readers.values():
            await reader.start()
            reader.set_zone_members(members)

    async def close(self):
        for reader in self.readers.values():
            await reader.close()

    def acting(self):
        """Return the names of the instances that are readers now."""
        return sorted(
            name for name, reader in self.readers.items() if reader.is_reader
        )

    def calls(self):
        total = Counter()
        for client in self.clients.values():
            total.update(client.calls)
        return total

    def write_head(self, value):
        now_s = asyncio.get_running_loop().time()
        version = self.store.get(head_key(REGION), now_s).version
        return self.store.compare_and_swap(
            head_key(REGION), value, version, 0, now_s
        )


@contextlib.asynccontextmanager
async def running(zones, members):
    fleet = Fleet(zones, members)
    await fleet.start(members)
    try:
        yield fleet
    finally:
        await fleet.close()


def per_zone(names):
    """Count names by zone, the first letter of a name."""
    return Counter(name[0] for name in names)


def test_two_readers_per_zone_see_each_head():
    """Guards against a zone without readers and against missed changes."""

    async def scenario():
        async with running('abc', 4) as fleet:
            await asyncio.sleep(60)
            acting = fleet.acting()
            assert per_zone(acting) == {'a': 2, 'b': 2, 'c': 2}
            for value in (b'one', b'two'):
                written = fleet.write_head(value)
                await asyncio.sleep(0.1)
                for name in acting:
                    assert fleet.seen[name][-1] == written
            assert not any(
                fleet.seen[name] for name in fleet.seen if name not in acting
            )

    run_in_virtual_time(scenario())


def test_closed_reader_is_replaced():
    """Guards against a slot that stays taken after its holder was closed."""

    async def scenario():
        async with running('a', 4) as fleet:
            await asyncio.sleep(60)
            first = fleet.acting()
            for name in first:
                await fleet.readers[name].close()
            prefix = reader_role.reader_prefix(REGION, 'a')
            assert fleet.store.list(prefix, 60) == ()
            await asyncio.sleep(120)
            assert len(fleet.acting()) == 2
            assert not set(fleet.acting()) & set(first)

    run_in_virtual_time(scenario())


@pytest.mark.parametrize('outage_s', [0.5, 5, 30, 3600])
def test_readers_return_after_an_outage(outage_s):
    """Guards against a zone that reads no changes after an outage.

    In a long outage all leases expire and the retry delays grow.
    """

    async def scenario():
        async with running('abc', 4) as fleet:
            await asyncio.sleep(60)
            fleet.store.faults.outage = True
            await asyncio.sleep(outage_s)
            if outage_s > reader_role.LEASE_TTL_S:
                assert fleet.acting() == []
            fleet.store.faults.outage = False
            await asyncio.sleep(2 * reader_role.MAX_RETRY_DELAY_S)
            written = fleet.write_head(b'new')
            await asyncio.sleep(head_reader.MAX_WATCH_RETRY_DELAY_S)
            acting = fleet.acting()
            assert per_zone(acting) == {'a': 2, 'b': 2, 'c': 2}
            for name in acting:
                assert fleet.seen[name][-1] == written

    run_in_virtual_time(scenario())


def test_cut_reader_stops_before_its_lease_ends():
    """Guards against two holders of a slot after a partition.

    The store ends the lease of the unreachable holder and grants another one.
    """

    async def scenario():
        async with running('a', 3) as fleet:
            await asyncio.sleep(60)
            cut = fleet.acting()[0]
            fleet.store.faults.cut_clients.add(cut)
            await asyncio.sleep(reader_role.LEASE_TTL_S)
            assert not fleet.readers[cut].is_reader
            await asyncio.sleep(60)
            assert len(fleet.acting()) == 2
            assert cut not in fleet.acting()
            written = fleet.write_head(b'new')
            await asyncio.sleep(1)
            assert written not in fleet.seen[cut]

    run_in_virtual_time(scenario())


async def count_calls(members, outage_s):
    """Return the calls by kind during an outage and the 600 s after it."""
    async with running('abc', members) as fleet:
        await asyncio.sleep(300)
        before = fleet.calls()
        fleet.store.faults.outage = outage_s > 0
        await asyncio.sleep(outage_s)
        fleet.store.faults.outage = False
        await asyncio.sleep(600)
        return fleet.calls() - before


@pytest.mark.parametrize('outage_s', [0, 600], ids=['steady', 'outage'])
def test_calls_do_not_grow_with_the_fleet(outage_s):
    """Guards against load on the store that grows with the number of instances."""
    small = run_in_virtual_time(count_calls(3, outage_s))
    large = run_in_virtual_time(count_calls(60, outage_s))
    # At most 0.2 polls/s for each of the 3 zones, whatever their size.
    polls = 0.2 * 3 * (600 + outage_s)
    assert large.total() <= small.total() * 1.1 + polls
    assert large['KeepAlive'] <= small['KeepAlive'] * 1.1 + 20
    assert large['Watch'] <= small['Watch'] * 1.1 + 20


def test_contact_is_recent_while_the_store_answers():
    """Guards against a stale time of contact while the store answers.

    Other zones would then distrust the reader between two watch responses.
    """

    async def scenario():
        async with running('a', 2) as fleet:
            await asyncio.sleep(60)
            loop = asyncio.get_running_loop()
            for _second in range(100):
                await asyncio.sleep(0.97)
                for reader in fleet.readers.values():
                    assert loop.time() - reader.last_contact_s < 1.5
            stopped_s = loop.time()
            fleet.store.faults.outage = True
            await asyncio.sleep(60)
            for reader in fleet.readers.values():
                assert reader.last_contact_s <= stopped_s

    run_in_virtual_time(scenario())


def test_failing_callback_is_reported():
    """Guards against a reader that stops silently when its callback raises."""

    async def scenario():
        def fail(_found):
            raise ValueError('broken')

        store = MemoryStore()
        client = FakeKeyValueClient(store)
        reader = HeadReader(client, REGION, 'a', 'n', fail, random.Random(1))
        await client.compare_and_swap(head_key(REGION), b'x', 0)
        await reader.start()
        with pytest.raises(ValueError, match='broken'):
            await asyncio.wait_for(reader.wait(), 60)

    run_in_virtual_time(scenario())


def test_a_head_under_a_version_used_before_is_reported():
    """Guards against a change that a restored store hides.

    The restore loses the head that the readers saw last, and the next head gets
    its version.
    """

    async def scenario():
        async with running('a', 2) as fleet:
            await asyncio.sleep(60)
            now_s = asyncio.get_running_loop().time
            before = fleet.write_head(b'one')
            await asyncio.sleep(0.4)
            lost = fleet.write_head(b'two')
            await asyncio.sleep(0.4)
            fleet.store.faults.outage = True
            await asyncio.sleep(0.3)
            fleet.store.restore(0.9, now_s())
            assert fleet.store.get(head_key(REGION), now_s()) == before
            written = fleet.write_head(b'three')
            assert written.version == lost.version
            fleet.store.faults.outage = False
            await asyncio.sleep(9)
            for name in fleet.acting():
                assert fleet.seen[name][-1] == written

    run_in_virtual_time(scenario())
