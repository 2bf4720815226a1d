"""Stand-in for the key-value store of the platform, as a gRPC server.

The process ``siskinproxy-standin-store`` serves a `MemoryStore` on the loopback
interface, with a second port where tests set faults and change the platform's
list of instances. Tests that need no network use `FakeKeyValueClient`, which
calls a `MemoryStore` in the same process.
"""

import asyncio
import contextlib
import time
from collections.abc import Callable, Collection
from typing import Any
from weakref import WeakSet

import fire
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.protocol import H2Protocol
from grpclib.server import Server, Stream

from siskinproxy.errors import (
    LeaseLostError,
    StoreConflictError,
    StoreError,
    StoreRateLimitError,
    StoreValueSizeError,
)
from siskinproxy.standins.fake_store_client import (
    FakeKeyValueClient,
)
from siskinproxy.standins.memory_store import (
    INSTANCES_PREFIX,
    WRITE_CALLS,
    Faults,
    MemoryStore,
    PlatformInstance,
    StoreLimits,
)
from siskinproxy.standins.proto import store_faults_pb2
from siskinproxy.standins.proto.store_faults_grpc import StoreControlBase
from siskinproxy.standins.store_watch import wait_for_change
from siskinproxy.store.client import KeyValue
from siskinproxy.store.proto import store_pb2
from siskinproxy.store.proto.store_grpc import KeyValueStoreBase

__all__ = (
    'INSTANCES_PREFIX',
    'FakeKeyValueClient',
    'Faults',
    'MemoryStore',
    'PlatformInstance',
    'StoreLimits',
    'StoreServer',
    'main',
)

#: Delay of calls of clients that are cut off from the store. It is longer than
#: the timeout of any client, so these calls fail without an answer.
_NO_ANSWER_S = 3600

#: gRPC status by class of the error; INTERNAL for all other errors.
_STATUS_OF_ERROR = {
    StoreRateLimitError: Status.RESOURCE_EXHAUSTED,
    LeaseLostError: Status.NOT_FOUND,
    StoreValueSizeError: Status.INVALID_ARGUMENT,
}


def _key_value_message(key: str, found: KeyValue) -> store_pb2.KeyValue:
    return store_pb2.KeyValue(
        key=key,
        value=found.value,
        version=found.version,
    )


class _StoreHandler(KeyValueStoreBase):
    """Executes the calls of clients, with the faults of the store applied.

    Parameters
    ----------
    store : MemoryStore
        Store that executes the calls.
    token : str
        Token that clients have to present, optionally followed by ``@`` and
        the name of the client; empty accepts every client.
    """

    def __init__(self, store: MemoryStore, token: str) -> None:
        self._store = store
        self._token = token

    async def Get(self, stream: Stream[Any, Any]) -> None:
        await self._serve('Get', stream, self._get)

    async def CompareAndSwap(
        self,
        stream: Stream[Any, Any],
    ) -> None:
        await self._serve('CompareAndSwap', stream, self._compare_and_swap)

    async def List(self, stream: Stream[Any, Any]) -> None:
        await self._serve('List', stream, self._list)

    async def GrantLease(self, stream: Stream[Any, Any]) -> None:
        await self._serve('GrantLease', stream, self._grant_lease)

    async def KeepAlive(self, stream: Stream[Any, Any]) -> None:
        await self._serve('KeepAlive', stream, self._keep_alive)

    async def RevokeLease(self, stream: Stream[Any, Any]) -> None:
        await self._serve('RevokeLease', stream, self._revoke_lease)

    async def Watch(self, stream: Stream[Any, Any]) -> None:
        req = await self._receive('Watch', stream)
        current = await wait_for_change(
            self._store,
            req.key,
            req.after_version,
            req.timeout_s,
            time.monotonic,
        )
        await stream.send_message(_key_value_message(req.key, current))

    async def _serve(
        self,
        kind: str,
        stream: Stream[Any, Any],
        execute: Callable[[Any, float], Any],
    ) -> None:
        """Receive a request, execute it and send the response.

        If the answer is to be lost, the stream is cancelled after the
        execution, so the client can't tell whether it was executed.
        """
        req = await self._receive(kind, stream)
        response = self._execute(req, execute)
        if kind in WRITE_CALLS and self._store.faults.take_lost_answer():
            await stream.cancel()
            return
        await stream.send_message(response)

    async def _receive(self, kind: str, stream: Stream[Any, Any]) -> Any:
        """Return the request of a call that passes token and rate limit."""
        token = str((stream.metadata or {}).get('token', ''))
        req = await stream.recv_message()
        faults = self._store.faults
        if token in faults.cut_clients:
            await asyncio.sleep(_NO_ANSWER_S)
        await asyncio.sleep(faults.latency_s)
        if self._token and token.partition('@')[0] != self._token:
            raise GRPCError(
                Status.UNAUTHENTICATED,
                'token of the call differs from the token of the store',
            )
        try:
            self._store.admit(kind, time.monotonic())
        except StoreRateLimitError as exc:
            raise GRPCError(Status.RESOURCE_EXHAUSTED, str(exc)) from exc
        return req

    def _execute(self, req: Any, execute: Callable[[Any, float], Any]) -> Any:
        try:
            return execute(req, time.monotonic())
        except StoreError as exc:
            status = _STATUS_OF_ERROR.get(type(exc), Status.INTERNAL)
            raise GRPCError(status, str(exc)) from exc

    def _get(self, req: Any, now_s: float) -> store_pb2.KeyValue:
        return _key_value_message(req.key, self._store.get(req.key, now_s))

    def _compare_and_swap(
        self,
        req: Any,
        now_s: float,
    ) -> store_pb2.CompareAndSwapResponse:
        try:
            written = self._store.compare_and_swap(
                req.key,
                req.value,
                req.expected_version,
                req.lease_id,
                now_s,
            )
        except StoreConflictError as exc:
            return store_pb2.CompareAndSwapResponse(
                swapped=False,
                version=exc.found,
            )
        return store_pb2.CompareAndSwapResponse(
            swapped=True,
            version=written.version,
        )

    def _list(self, req: Any, now_s: float) -> store_pb2.ListResponse:
        entries = self._store.list(req.prefix, now_s)
        return store_pb2.ListResponse(
            entries=[_key_value_message(key, found) for key, found in entries],
        )

    def _grant_lease(self, req: Any, now_s: float) -> store_pb2.Lease:
        lease_id = self._store.grant_lease(req.ttl_s, now_s)
        return store_pb2.Lease(lease_id=lease_id)

    def _keep_alive(self, req: Any, now_s: float) -> store_pb2.Empty:
        self._store.keep_alive(req.lease_id, now_s)
        return store_pb2.Empty()

    def _revoke_lease(self, req: Any, now_s: float) -> store_pb2.Empty:
        self._store.revoke_lease(req.lease_id, now_s)
        return store_pb2.Empty()


class _ControlHandler(StoreControlBase):
    """Sets the faults of a store and changes its list of instances."""

    def __init__(self, server: 'StoreServer') -> None:
        self._server = server

    async def SetFaults(self, stream: Stream[Any, Any]) -> None:
        req = await stream.recv_message()
        faults = Faults(
            outage=req.outage,
            latency_s=req.latency_s,
            lost_answers=req.lost_answers,
            cut_clients=set(req.cut_clients),
        )
        await self._server.set_faults(faults)
        await stream.send_message(store_faults_pb2.Done())

    async def PutInstance(self, stream: Stream[Any, Any]) -> None:
        req = await stream.recv_message()
        instance = PlatformInstance(
            req.name,
            req.zone,
            req.address,
            req.packet_port,
            req.control_port,
            req.state or 'live',
        )
        self._server.store.put_instance(instance, time.monotonic())
        await stream.send_message(store_faults_pb2.Done())

    async def RemoveInstance(
        self,
        stream: Stream[Any, Any],
    ) -> None:
        req = await stream.recv_message()
        self._server.store.remove_instance(req.name, time.monotonic())
        await stream.send_message(store_faults_pb2.Done())


class _ClosableServer(Server):
    """gRPC server that can close its established connections.

    `grpclib.server.Server.close` leaves them open, so clients could call the
    store through them during a simulated outage.
    """

    def __init__(self, handlers: Collection[Any]) -> None:
        super().__init__(handlers)
        self._protocols: WeakSet[H2Protocol] = WeakSet()

    def _protocol_factory(self) -> H2Protocol:
        protocol = super()._protocol_factory()
        self._protocols.add(protocol)
        return protocol

    async def shut_down(self) -> None:
        """Stop listening, cancel running calls and close all connections."""
        self.close()
        for protocol in tuple(self._protocols):
            protocol.processor.close()
        await self.wait_closed()


class StoreServer:
    """gRPC server of a `MemoryStore` on the loopback interface.

    Parameters
    ----------
    store : MemoryStore
        Store to serve.
    port : int
        TCP port of the gRPC service ``KeyValueStore``.
    faults_port : int
        TCP port of the gRPC service ``StoreControl``; 0 for none.
    token : str
        Token that clients have to present, optionally followed by ``@`` and
        the name of the client; empty accepts every client.
    host : str
        Address to listen on.
    """

    def __init__(
        self,
        store: MemoryStore,
        port: int,
        faults_port: int = 0,
        token: str = '',
        host: str = '127.0.0.1',
    ) -> None:
        self.store = store
        self._port = port
        self._faults_port = faults_port
        self._token = token
        self._host = host
        self._server: _ClosableServer | None = None
        self._faults_server: _ClosableServer | None = None

    async def start(self) -> None:
        """Listen on the port of the store and, if given, on ``faults_port``."""
        if self._faults_port:
            self._faults_server = _ClosableServer([_ControlHandler(self)])
            await self._faults_server.start(self._host, self._faults_port)
        await self._start_listening()

    async def close(self) -> None:
        """Close both ports and all connections."""
        await self._stop_listening()
        if self._faults_server is not None:
            await self._faults_server.shut_down()
        self._faults_server = None

    async def set_faults(self, faults: Faults) -> None:
        """Replace all faults; an outage closes the port of the store.

        The port is opened again as soon as the faults have no outage.
        """
        self.store.faults = faults
        if faults.outage:
            await self._stop_listening()
        elif self._server is None:
            await self._start_listening()

    async def _start_listening(self) -> None:
        self._server = _ClosableServer([_StoreHandler(self.store, self._token)])
        await self._server.start(self._host, self._port, reuse_address=True)

    async def _stop_listening(self) -> None:
        if self._server is not None:
            await self._server.shut_down()
        self._server = None


async def _serve(server: StoreServer) -> None:
    await server.start()
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(server.close)
        await asyncio.Event().wait()


def _run_store(
    port: int = 7100,
    faults_port: int = 0,
    token: str = '',
    writes_per_s: int = 300,
    reads_per_s: int = 2000,
    list_lag_s: float = 0,
) -> None:
    """Serve an empty store until the process gets SIGINT.

    Parameters
    ----------
    port : int
        TCP port of the gRPC service ``KeyValueStore``.
    faults_port : int
        TCP port of the gRPC service ``StoreControl``; 0 for none.
    token : str
        Token that clients have to present; empty accepts every client.
    writes_per_s : int
        Writes accepted within each second of the clock.
    reads_per_s : int
        Reads accepted within each second of the clock.
    list_lag_s : float
        Delay before a change to the platform's list of instances becomes
        visible, in seconds.
    """
    limits = StoreLimits(
        writes_per_s=writes_per_s,
        reads_per_s=reads_per_s,
        list_lag_s=list_lag_s,
    )
    server = StoreServer(MemoryStore(limits), port, faults_port, str(token))
    try:
        asyncio.run(_serve(server))
    except KeyboardInterrupt:
        return


def main() -> None:
    """Serve a store with the command line of ``siskinproxy-standin-store``."""
    fire.Fire(_run_store, name='siskinproxy-standin-store')
