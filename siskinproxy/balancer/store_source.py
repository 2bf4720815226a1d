"""Reader of the configuration and the platform's list of instances.

Both are kept in the key-value store of the platform. What is read is passed to
the control engine.
"""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Final

import msgspec

from siskinproxy.balancer.control_engine import ControlEngine, ControlStep
from siskinproxy.balancer.settings import Identity
from siskinproxy.errors import InvariantViolation, StoreError
from siskinproxy.logs import EventLog
from siskinproxy.store.client import KeyValue, KeyValueClient
from siskinproxy.store.head import decode_head, fetch_sections, head_key
from siskinproxy.store.head_reader import HeadReader
from siskinproxy.store.restoration import write_back

__all__ = ('ListedInstance', 'StoreSource')

INSTANCES_PREFIX: Final = 'platform/instances/'

#: Interval at which a reader passes the time of its last contact with the store
#: to the control engine.
CONTACT_PERIOD_S: Final = 0.25

#: First and longest delay of the retries after an error of the store; the
#: delay doubles after each error.
FIRST_RETRY_DELAY_S: Final = 0.2
MAX_RETRY_DELAY_S: Final = 2.0

#: Interval at which the platform's list is read, and the shorter one while a
#: zone is not heard from. At 60 s, 2,300 instances cause 38 reads/s; the store
#: serves about 2,000 reads/s. Each wait is a random part, from one half to the
#: whole, of the interval.
LIST_PERIOD_S: Final = 60.0
URGENT_LIST_PERIOD_S: Final = 5.0

#: Interval at which the source checks whether the list has to be read.
LIST_CHECK_PERIOD_S: Final = 0.5


class ListedInstance(msgspec.Struct, frozen=True):
    """Entry of the platform's list of instances.

    Parameters
    ----------
    name : str
        Name of the instance.
    zone : str
        Availability zone.
    address : str
        IPv4 address of both processes.
    packet_port : int
        UDP port of the packet process.
    control_port : int
        UDP port of the control process.
    state : str
        ``live`` while the instance serves. Zones with a live instance are
        expected to be heard from.
    """

    name: str
    zone: str
    address: str
    packet_port: int
    control_port: int
    state: str = 'live'


class StoreSource:
    """Passes the configuration and the list in the store to the engine.

    Every instance reads the head, the commit record of a configuration, once.
    After that the two instances of each zone that hold the reader role watch
    it, and the others learn of changes from their peers.

    Parameters
    ----------
    client : KeyValueClient
        Client of the store.
    identity : Identity
        Name, region and zone of the instance.
    engine : ControlEngine
        Engine that gets what is read.
    execute_step : callable
        Executes a step that the engine returned.
    log : EventLog
        Log of the process.
    rng : random.Random
        Source of the random part of delays.
    """

    def __init__(
        self,
        client: KeyValueClient,
        identity: Identity,
        engine: ControlEngine,
        execute_step: Callable[[ControlStep], None],
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self._client = client
        self._identity = identity
        self._engine = engine
        self._execute_step = execute_step
        self._log = log
        self._rng = rng
        self._known_sections: dict[bytes, bytes] = {}
        self._available: bool | None = None
        self._watched_head: KeyValue | None = None
        self._head_changed = asyncio.Event()
        self._was_reader = False
        self._reader = HeadReader(
            client,
            identity.region,
            identity.zone,
            identity.name,
            self._on_head,
            rng,
        )

    @property
    def is_reader(self) -> bool:
        """Whether this instance holds a reader role of its zone."""
        return self._reader.is_reader

    async def run(self) -> None:
        """Read and watch until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_head())
            group.create_task(self._follow_list())

    async def close(self) -> None:
        """Release the reader role."""
        await self._reader.close()

    def _on_head(self, found: KeyValue) -> None:
        self._watched_head = found
        self._head_changed.set()

    async def _follow_head(self) -> None:
        await self._read_head_with_retries()
        await self._reader.start()
        while True:
            self._update_role()
            await self._wait_for_head()
            if self._head_changed.is_set():
                await self._apply_watched_head()
            elif self._reader.is_reader:
                self._report_contact()

    async def _read_head_with_retries(self) -> None:
        """Read the head, and retry with growing delays until that succeeds."""
        delay_s = FIRST_RETRY_DELAY_S
        while not await self._try_call(self._read_head):
            await asyncio.sleep(delay_s * self._rng.uniform(0.5, 1.5))
            delay_s = min(delay_s * 2, MAX_RETRY_DELAY_S)

    async def _read_head(self) -> None:
        read_s = time.monotonic()
        key = head_key(self._identity.region)
        await self._apply(await self._client.get(key), read_s)

    async def _apply_watched_head(self) -> None:
        """Apply the head that the watch reported; retry after a failure."""
        self._head_changed.clear()
        found = self._watched_head
        if found is None:
            return
        read_s = self._reader.last_contact_s or time.monotonic()
        if not await self._try_call(partial(self._apply, found, read_s)):
            self._head_changed.set()
            await asyncio.sleep(FIRST_RETRY_DELAY_S)

    async def _apply(self, found: KeyValue, read_s: float) -> None:
        region = self._identity.region
        head = decode_head(region, found)
        if await write_back(self._client, region, found, self._engine.accepted):
            self._log.warning('older_head_replaced', generation=head.generation)
            return
        if not head.generation:
            return
        known = {
            digest: encoded
            for digest, encoded in self._known_sections.items()
            if digest in head.digests
        }
        self._known_sections = known
        await fetch_sections(self._client, head, known)
        step = self._engine.apply_from_store(
            found.value,
            known,
            read_s,
            time.monotonic(),
        )
        self._execute_step(step)

    def _report_contact(self) -> None:
        """Note that the head had not changed at the last contact.

        The watch of a reader would have reported a change.
        """
        contact_s = self._reader.last_contact_s
        if contact_s is not None and self._watched_head is not None:
            generation = self._engine.configuration.generation
            self._engine.note_store_read(generation, contact_s)

    def _update_role(self) -> None:
        zone = self._identity.zone
        members = self._engine.membership.members()
        count = sum(member.zone == zone for member in members)
        self._reader.set_zone_members(count)
        if self._reader.is_reader != self._was_reader:
            self._was_reader = self._reader.is_reader
            self._log.event('reader_role', reader=self._was_reader)

    async def _wait_for_head(self) -> None:
        try:
            async with asyncio.timeout(CONTACT_PERIOD_S):
                await self._head_changed.wait()
        except TimeoutError:
            return

    async def _try_call(self, call: Callable[[], Awaitable[None]]) -> bool:
        try:
            await call()
        except (StoreError, InvariantViolation) as exc:
            self._update_available(False, str(exc))
            return False
        self._update_available(True, '')
        return True

    async def _follow_list(self) -> None:
        due_s: float = 0
        while True:
            now_s = time.monotonic()
            urgent = self._engine.is_zone_silent(now_s)
            if urgent:
                due_s = min(due_s, now_s + URGENT_LIST_PERIOD_S)
            if now_s >= due_s:
                await self._read_list()
                period_s = URGENT_LIST_PERIOD_S if urgent else LIST_PERIOD_S
                due_s = now_s + period_s * self._rng.uniform(0.5, 1)
            await asyncio.sleep(LIST_CHECK_PERIOD_S)

    async def _read_list(self) -> None:
        try:
            entries = await self._client.list(INSTANCES_PREFIX)
        except StoreError as exc:
            self._update_available(False, str(exc))
            return
        listed = []
        for key, stored in entries:
            try:
                entry = msgspec.json.decode(stored.value, type=ListedInstance)
            except msgspec.MsgspecError as exc:
                self._log.warning('malformed_list', key=key, error=str(exc))
                continue
            listed.append(entry)
        self._engine.membership.set_listed_instances(
            [(entry.address, entry.control_port) for entry in listed],
            [entry.zone for entry in listed if entry.state == 'live'],
        )

    def _update_available(self, available: bool, error: str) -> None:
        if available == self._available:
            return
        self._available = available
        if available:
            self._log.event('store_available')
        else:
            self._log.warning('store_unavailable', error=error)
