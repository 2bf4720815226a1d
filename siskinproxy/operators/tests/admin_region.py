"""Test helper: administration endpoints of a region with a store in memory."""

import asyncio
import random
import socket
import threading

import msgspec
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from siskinproxy.errors import StoreOutcomeUnknownError
from siskinproxy.instances.configuration_state import ConfigurationInForce
from siskinproxy.logs import EventLog
from siskinproxy.operators.admin import AdminServer, AdminService, AdminView
from siskinproxy.operators.changes import (
    ChangeExecutor,
    read_stored_configuration,
)
from siskinproxy.operators.progress import InstanceState
from siskinproxy.operators.tests import samples
from siskinproxy.standins.store import FakeKeyValueClient, MemoryStore
from siskinproxy.store.head import head_key
from siskinproxy.store.options import RetryPolicy, SubmitOptions

REGION = 'alfold'
TOKEN = 'secret'
NOW_UNIX_S = samples.RETIRED_UNIX_S

CONFIRMED = InstanceState('a-1', 'a', 'alive', 1)
LAGGING = InstanceState('b-1', 'b', 'alive', 0)
DEAD = InstanceState('b-2', 'b', 'dead', 0)


class HeadFaultClient(FakeKeyValueClient):
    """Store client with planned faults at the next write of the head.

    `before_head` is called before the write, for example to make a change of
    another operator. With `lose_head` the write takes effect, but its result is
    unknown and the store has an outage from then on.
    """

    def __init__(self, store):
        super().__init__(store)
        self.store = store
        self.before_head = None
        self.lose_head = False

    async def compare_and_swap(self, key, value, expected_version, lease_id=0):
        is_head = key == head_key(REGION)
        if is_head and self.before_head is not None:
            other, self.before_head = self.before_head, None
            await other()
        result = await super().compare_and_swap(
            key, value, expected_version, lease_id
        )
        if is_head and self.lose_head:
            self.lose_head = False
            self.store.faults.outage = True
            raise StoreOutcomeUnknownError('reason="planned fault"')
        return result


class AnswerDroppingService(AdminService):
    """Service that executes a change but fails instead of answering."""

    async def _execute(self, change, submission):
        await super()._execute(change, submission)
        raise GRPCError(Status.INTERNAL, 'answer lost')


class RecordingLog(EventLog):
    """Event log that keeps its events in a list."""

    def __init__(self):
        super().__init__('test')
        self.events = []

    def event(self, name, /, **pairs):
        self.events.append((name, pairs))

    def warning(self, name, /, **pairs):
        self.events.append((name, pairs))


def free_port():
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return sock.getsockname()[1]


def make_executor(client, log, limit_s=0.3):
    options = SubmitOptions(
        retry=RetryPolicy(limit_s=limit_s, first_delay_s=0.02),
        rng=random.Random(1),
    )
    return ChangeExecutor(
        REGION, lambda: client, log, options, lambda: NOW_UNIX_S
    )


class Region:
    """Endpoints of a region, served by an event loop in a thread of its own.

    `endpoint` works normally, `answer_dropping` executes changes but does not
    answer them, and nothing listens on `closed_endpoint`.
    """

    def __init__(self):
        self.store = MemoryStore()
        self.client = HeadFaultClient(self.store)
        self.log = RecordingLog()
        self.instances = [CONFIRMED]
        self.executor = make_executor(self.client, self.log)
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()
        self._servers = []
        self.endpoint = self._serve(AdminService)
        self.answer_dropping = self._serve(AnswerDroppingService)
        self.closed_endpoint = f'127.0.0.1:{free_port()}'

    def run(self, call):
        return asyncio.run_coroutine_threadsafe(call, self._loop).result(20)

    def running(self):
        """Read head and configuration, also during an outage of the store."""
        outage, self.store.faults.outage = self.store.faults.outage, False
        found = self.run(
            read_stored_configuration(FakeKeyValueClient(self.store), REGION)
        )
        self.store.faults.outage = outage
        return found

    def close(self):
        for server in self._servers:
            self.run(server.close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)
        self._loop.close()

    def _serve(self, kind):
        view = AdminView('a-1', REGION, lambda: self.instances, self._in_force)
        service = kind(TOKEN, view, self.executor, self.log)
        port = free_port()
        server = AdminServer(service, '127.0.0.1', port)
        self.run(server.start())
        self._servers.append(server)
        return f'127.0.0.1:{port}'

    def _in_force(self):
        return ConfigurationInForce(
            1, b'', samples.CONFIGURATION, provisional=False, applied_s=0
        )


def encode(cfg):
    return msgspec.json.encode(cfg)
