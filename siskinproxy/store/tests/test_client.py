"""The gRPC client against the stand-in store on the loopback interface."""

import asyncio
import contextlib

import pytest
from grpclib.client import Channel

from siskinproxy.errors import (
    LeaseLostError,
    StoreAccessError,
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreRateLimitError,
    StoreUnavailableError,
    StoreValueSizeError,
)
from siskinproxy.standins.proto import store_faults_pb2
from siskinproxy.standins.proto.store_faults_grpc import StoreControlStub
from siskinproxy.standins.store import (
    Faults,
    MemoryStore,
    StoreLimits,
    StoreServer,
)
from siskinproxy.standins.tests.ports import free_port
from siskinproxy.store import ABSENT, GrpcKeyValueClient, KeyValue


@contextlib.asynccontextmanager
async def served(limits=None, token='', call_timeout_s=2.0, server_token=''):
    """Run a stand-in store and a client that is connected to it."""
    port = free_port()
    server = StoreServer(MemoryStore(limits), port, token=server_token)
    client = GrpcKeyValueClient(
        '127.0.0.1', port, token=token, call_timeout_s=call_timeout_s
    )
    await server.start()
    await client.start()
    try:
        yield server, client
    finally:
        await client.close()
        await server.close()


def test_calls_over_the_network():
    """Guards against a client and a server that read a message differently."""

    async def scenario():
        async with served() as (_server, client):
            assert await client.get('k') == ABSENT
            first = await client.compare_and_swap('k', b'1', 0)
            assert await client.get('k') == first
            with pytest.raises(StoreConflictError) as caught:
                await client.compare_and_swap('k', b'2', 0)
            assert caught.value.found == first.version
            lease_id = await client.grant_lease(30)
            leased = await client.compare_and_swap('l', b'2', 0, lease_id)
            assert await client.list('') == (('k', first), ('l', leased))
            await client.keep_alive(lease_id)
            await client.revoke_lease(lease_id)
            with pytest.raises(LeaseLostError):
                await client.keep_alive(lease_id)
            assert await client.list('') == (('k', first),)
            assert client.calls == {
                'Get': 2,
                'CompareAndSwap': 3,
                'GrantLease': 1,
                'List': 2,
                'KeepAlive': 2,
                'RevokeLease': 1,
            }

    asyncio.run(scenario())


def test_watch_returns_change_and_counts_once():
    """Guards against a watch that misses a change or polls the store.

    Polling would make the load on the store grow with the waiting time.
    """

    async def scenario():
        async with served() as (server, client):
            waiting = asyncio.create_task(client.watch('k', 0, 5))
            await asyncio.sleep(0.1)
            assert not waiting.done()
            server.store.compare_and_swap('k', b'1', 0, 0, 0)
            assert await asyncio.wait_for(waiting, 1) == KeyValue(b'1', 1)
            assert await client.watch('k', 1, 0.05) == KeyValue(b'1', 1)
            assert client.calls == {'Watch': 2}

    asyncio.run(scenario())


def test_refused_connection_is_unavailable():
    """Guards against an unknown outcome for a write that was never sent.

    The client is not started, or nothing listens on the port.
    """

    async def scenario():
        client = GrpcKeyValueClient('127.0.0.1', free_port())
        with pytest.raises(StoreUnavailableError):
            await client.compare_and_swap('k', b'', 0)
        await client.start()
        with pytest.raises(StoreUnavailableError):
            await client.compare_and_swap('k', b'', 0)
        with pytest.raises(StoreUnavailableError):
            await client.get('k')
        await client.close()

    asyncio.run(scenario())


def test_lost_answer_is_unknown_outcome():
    """Guards against reporting a write without effect that was executed.

    The store executes the write and its response is lost.
    """

    async def scenario():
        async with served() as (server, client):
            server.store.faults.lost_answers = 1
            with pytest.raises(StoreOutcomeUnknownError):
                await client.compare_and_swap('k', b'1', 0)
            assert (await client.get('k')).value == b'1'

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ('faults', 'effect'),
    [
        (Faults(latency_s=0.5), False),
        (Faults(cut_clients={'me'}), False),
    ],
    ids=['slow', 'cut'],
)
def test_timeout_of_sent_call(faults, effect):
    """Guards against a write that timed out being reported as without effect.

    The request was sent, so the store may execute it after the timeout.
    """

    async def scenario():
        async with served(token='me', call_timeout_s=0.2) as pair:
            server, client = pair
            await client.get('k')
            server.store.faults = faults
            with pytest.raises(StoreOutcomeUnknownError):
                await client.compare_and_swap('k', b'1', 0)
            with pytest.raises(StoreUnavailableError):
                await client.get('k')
            server.store.faults = Faults()
            assert bool((await client.get('k')).version) == effect

    asyncio.run(scenario())


def test_client_recovers_after_outage():
    """Guards against a client that keeps a connection that the store closed.

    The store closes all connections at an outage and accepts new ones later.
    """

    async def scenario():
        async with served() as (server, client):
            await client.compare_and_swap('k', b'1', 0)
            waiting = asyncio.create_task(client.watch('k', 1, 30))
            await asyncio.sleep(0.05)
            await server.set_faults(Faults(outage=True))
            with pytest.raises(StoreUnavailableError):
                await asyncio.wait_for(waiting, 1)
            with pytest.raises(StoreUnavailableError):
                await client.compare_and_swap('k', b'2', 1)
            await server.set_faults(Faults())
            assert (await client.get('k')).value == b'1'

    asyncio.run(scenario())


def test_rejections_have_types():
    """Guards against a rejection by the store that is reported as an outage.

    The value is too large, the rate limit is exceeded or the token is unknown.
    """

    async def scenario():
        limits = StoreLimits(writes_per_s=1, reads_per_s=0, value_bytes=10)
        async with served(limits) as (_server, client):
            with pytest.raises(StoreValueSizeError):
                await client.compare_and_swap('k', bytes(11), 0)
            with pytest.raises(StoreRateLimitError):
                await client.get('k')
        async with served(token='x', server_token='y') as (_server, client):
            with pytest.raises(StoreAccessError):
                await client.get('k')

    asyncio.run(scenario())


def test_faults_are_switched_at_run_time():
    """Guards against an outage that also stops the port that ends the outage."""

    async def scenario():
        port, faults_port = free_port(), free_port()
        server = StoreServer(MemoryStore(), port, faults_port)
        client = GrpcKeyValueClient('127.0.0.1', port)
        await server.start()
        await client.start()
        async with Channel('127.0.0.1', faults_port) as channel:
            control = StoreControlStub(channel)
            await client.get('k')
            await control.SetFaults(store_faults_pb2.Faults(outage=True))
            with pytest.raises(StoreUnavailableError):
                await client.get('k')
            await control.SetFaults(store_faults_pb2.Faults())
            await control.PutInstance(
                store_faults_pb2.Instance(name='n1', zone='a')
            )
            ((key, found),) = await client.list('platform/instances/')
            assert key == 'platform/instances/n1'
            assert b'"state": "live"' in found.value
            await control.RemoveInstance(
                store_faults_pb2.InstanceName(name='n1')
            )
            assert await client.list('platform/instances/') == ()
        await client.close()
        await server.close()

    asyncio.run(scenario())


class FreezingProxy:
    """TCP proxy that can drop the data of its connections but keep them open."""

    def __init__(self, port, store_port):
        self.port = port
        self.store_port = store_port
        self.frozen = set()
        self.open = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self.forward, '127.0.0.1', self.port
        )

    def freeze(self):
        self.frozen |= self.open

    async def close(self):
        self.server.close()
        for writer in self.open:
            writer.close()

    async def forward(self, reader, writer):
        upstream = await asyncio.open_connection('127.0.0.1', self.store_port)
        self.open |= {writer, upstream[1]}
        await asyncio.gather(
            self.copy(reader, upstream[1]), self.copy(upstream[0], writer)
        )

    async def copy(self, reader, writer):
        while chunk := await reader.read(65536):
            if writer not in self.frozen:
                writer.write(chunk)


def test_client_connects_anew_after_a_partition():
    """Guards against a client that keeps using a connection without response.

    After a partition the connection looks open, but nothing arrives on it.
    """

    async def scenario():
        async with served() as (server, _client):
            proxy = FreezingProxy(free_port(), server._port)
            await proxy.start()
            client = GrpcKeyValueClient(
                '127.0.0.1', proxy.port, call_timeout_s=0.2
            )
            await client.start()
            await client.compare_and_swap('k', b'1', 0)
            proxy.freeze()
            # The third timeout in a row makes the client connect again.
            for _attempt in range(3):
                with pytest.raises(StoreOutcomeUnknownError):
                    await client.compare_and_swap('k', b'2', 1)
            assert (await client.get('k')).value == b'1'
            await client.close()
            await proxy.close()

    asyncio.run(scenario())
