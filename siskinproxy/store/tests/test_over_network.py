"""Submissions and head reader against the stand-in store over gRPC."""

import asyncio
import contextlib
import random

import pytest

from siskinproxy.standins.store import Faults, MemoryStore, StoreServer
from siskinproxy.standins.tests.ports import free_port
from siskinproxy.store import (
    Accepted,
    Conflict,
    GrpcKeyValueClient,
    HeadReader,
    OutcomeUnknown,
    Rejected,
    RetryPolicy,
    SubmitOptions,
    read_audit,
    submit,
)
from siskinproxy.store.tests.configurations import REGION, make_configuration


class ServedStore:
    """A stand-in store on a port, and clients of it with short timeouts."""

    def __init__(self):
        self.port = free_port()
        self.server = StoreServer(MemoryStore(), self.port)
        self.clients = []

    async def connect(self, token='', call_timeout_s=0.3):
        client = GrpcKeyValueClient(
            '127.0.0.1', self.port, token, call_timeout_s
        )
        await client.start()
        self.clients.append(client)
        return client


@contextlib.asynccontextmanager
async def served():
    served_store = ServedStore()
    await served_store.server.start()
    try:
        yield served_store
    finally:
        for client in served_store.clients:
            await client.close()
        await served_store.server.close()


def submit_change(client, base, submission_id, limit_s=15):
    """Submit a configuration that differs for each submission id."""
    options = SubmitOptions(
        retry=RetryPolicy(limit_s=limit_s), rng=random.Random(1)
    )
    cfg = make_configuration(slots=sum(submission_id.encode()))
    return submit(
        client, REGION, cfg, base, submission_id, 'ines', 1000, options
    )


async def assert_trail(client, submission_ids):
    trail = await read_audit(client, REGION)
    found = [entry.submission_id for entry in reversed(trail)]
    assert found == submission_ids


@pytest.mark.parametrize('lost', range(1, 6))
def test_lost_answers_over_the_network(lost):
    """Guards against a change that is applied twice over a real connection.

    The responses to the first calls of the submission are lost.
    """

    async def scenario():
        async with served() as served_store:
            client = await served_store.connect()
            assert await submit_change(client, 0, 'one') == Accepted(1)
            served_store.server.store.faults.lost_answers = lost
            outcome = await submit_change(client, 1, 'two')
            assert isinstance(outcome, Accepted)
            assert outcome.generation == 2
            await assert_trail(client, ['one', 'two'])

    asyncio.run(scenario())


def test_slow_store_over_the_network():
    """Guards against a timeout that is taken for a failed write.

    The store takes longer than the timeout of the client.
    """

    async def scenario():
        async with served() as served_store:
            client = await served_store.connect()
            assert await submit_change(client, 0, 'one') == Accepted(1)
            served_store.server.store.faults.latency_s = 1
            outcome = await submit_change(client, 1, 'two', limit_s=1)
            assert isinstance(outcome, OutcomeUnknown | Rejected)
            served_store.server.store.faults.latency_s = 0
            outcome = await submit_change(client, 1, 'two')
            assert outcome.generation == 2
            await assert_trail(client, ['one', 'two'])

    asyncio.run(scenario())


def test_race_over_the_network():
    """Guards against two accepted changes on the same base generation.

    Six operators submit at the same time.
    """

    async def scenario():
        async with served() as served_store:
            clients = [await served_store.connect() for _ in range(6)]
            outcomes = await asyncio.gather(
                *(
                    submit_change(client, 0, f'op{number}')
                    for number, client in enumerate(clients)
                )
            )
            kinds = [type(outcome) for outcome in outcomes]
            assert kinds.count(Accepted) == 1
            assert kinds.count(Conflict) == 5
            winner = kinds.index(Accepted)
            await assert_trail(clients[0], [f'op{winner}'])

    asyncio.run(scenario())


def test_reader_over_the_network():
    """Guards against a reader that misses a change before or after an outage."""

    async def scenario():
        async with served() as served_store:
            heads = asyncio.Queue()
            reader = HeadReader(
                await served_store.connect('n1'),
                REGION,
                'a',
                'n1',
                heads.put_nowait,
                random.Random(1),
            )
            operator = await served_store.connect()
            await reader.start()
            assert await submit_change(operator, 0, 'one') == Accepted(1)
            first = await asyncio.wait_for(heads.get(), 10)
            assert await submit_change(operator, 1, 'two') == Accepted(2)
            second = await asyncio.wait_for(heads.get(), 2)
            assert second.version > first.version
            await served_store.server.set_faults(Faults(outage=True))
            await asyncio.sleep(0.5)
            await served_store.server.set_faults(Faults())
            assert await submit_change(operator, 2, 'three') == Accepted(3)
            third = await asyncio.wait_for(heads.get(), 10)
            assert third.version > second.version
            await reader.close()
            listed = await operator.list(f'siskinproxy/{REGION}/reader/')
            assert listed == ()

    asyncio.run(scenario())
