"""Reads the configuration and the platform's list from the store."""

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

__all__ = ('ListedInstance', 'StoreSource')

INSTANCES_PREFIX: Final = 'platform/instances/'

#: Interval at which the last contact of a reader is passed to the engine.
CONTACT_PERIOD_S: Final = 0.25

#: Delay after an error of the store; doubled up to the longest delay.
FIRST_DELAY_S: Final = 0.2
MAX_DELAY_S: Final = 2.0

#: The list is read at this interval, and at the shorter one while a zone is
#: not heard from: 2,300 instances make 38 reads a second of about 2,000.
LIST_PERIOD_S: Final = 60.0
URGENT_LIST_PERIOD_S: Final = 5.0
LIST_CHECK_S: Final = 0.5


class ListedInstance(msgspec.Struct, frozen=True):
    """Entry of the platform's list of instances."""

    name: str
    zone: str
    address: str
    packet_port: int
    control_port: int
    state: str = 'live'


class StoreSource:
    """Keeps the control engine informed about the store.

    Every instance reads the head once; after that the two readers of each
    zone watch it and the others hear of changes from their peers.

    Parameters
    ----------
    client : KeyValueClient
        Client of the store.
    identity : Identity
        Name, region and zone of the instance.
    engine : ControlEngine
        Engine to inform.
    perform : callable
        Called with each step of the engine.
    log : EventLog
        Log of the process.
    rng : random.Random
        Source of the jitter.
    """

    def __init__(
        self,
        client: KeyValueClient,
        identity: Identity,
        engine: ControlEngine,
        perform: Callable[[ControlStep], None],
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self._client = client
        self._identity = identity
        self._engine = engine
        self._perform = perform
        self._log = log
        self._rng = rng
        self._sections: dict[bytes, bytes] = {}
        self._available: bool | None = None
        self._found: KeyValue | None = None
        self._changed = asyncio.Event()
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
        """Whether this instance has the reader role of its zone."""
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
        self._found = found
        self._changed.set()

    async def _follow_head(self) -> None:
        await self._read_first()
        await self._reader.start()
        while True:
            self._note_role()
            await self._wait_for_change()
            if self._changed.is_set():
                await self._apply_change()
            elif self._reader.is_reader:
                self._note_contact()

    async def _read_first(self) -> None:
        """Read the head until the store has answered."""
        delay_s = FIRST_DELAY_S
        while not await self._try(self._read_head):
            await asyncio.sleep(delay_s * self._rng.uniform(0.5, 1.5))
            delay_s = min(delay_s * 2, MAX_DELAY_S)

    async def _read_head(self) -> None:
        read_s = time.monotonic()
        key = head_key(self._identity.region)
        await self._apply(await self._client.get(key), read_s)

    async def _apply_change(self) -> None:
        """Apply the head of the watch; a failure is repeated."""
        self._changed.clear()
        found = self._found
        if found is None:
            return
        read_s = self._reader.last_contact_s or time.monotonic()
        if not await self._try(partial(self._apply, found, read_s)):
            self._changed.set()
            await asyncio.sleep(FIRST_DELAY_S)

    async def _apply(self, found: KeyValue, read_s: float) -> None:
        head = decode_head(self._identity.region, found)
        if not head.generation:
            return
        known = {
            digest: encoded
            for digest, encoded in self._sections.items()
            if digest in head.digests
        }
        self._sections = known
        await fetch_sections(self._client, head, known)
        step = self._engine.adopt_from_store(
            found.value,
            known,
            read_s,
            time.monotonic(),
        )
        self._perform(step)

    def _note_contact(self) -> None:
        """Note that the head has not changed until the last contact.

        A reader that has a watch in progress would have got a change.
        """
        contact_s = self._reader.last_contact_s
        if contact_s is not None and self._found is not None:
            generation = self._engine.configuration.generation
            self._engine.note_store_read(generation, contact_s)

    def _note_role(self) -> None:
        zone = self._identity.zone
        members = self._engine.membership.members()
        count = sum(member.zone == zone for member in members)
        self._reader.set_zone_members(count)
        if self._reader.is_reader != self._was_reader:
            self._was_reader = self._reader.is_reader
            self._log.event('reader_role', reader=self._was_reader)

    async def _wait_for_change(self) -> None:
        try:
            async with asyncio.timeout(CONTACT_PERIOD_S):
                await self._changed.wait()
        except TimeoutError:
            return

    async def _try(self, call: Callable[[], Awaitable[None]]) -> bool:
        try:
            await call()
        except (StoreError, InvariantViolation) as exc:
            self._note_available(False, str(exc))
            return False
        self._note_available(True, '')
        return True

    async def _follow_list(self) -> None:
        due_s: float = 0
        while True:
            now_s = time.monotonic()
            urgent = self._engine.is_zone_missing(now_s)
            if urgent:
                due_s = min(due_s, now_s + URGENT_LIST_PERIOD_S)
            if now_s >= due_s:
                await self._read_list()
                period_s = URGENT_LIST_PERIOD_S if urgent else LIST_PERIOD_S
                due_s = now_s + period_s * self._rng.uniform(0.5, 1)
            await asyncio.sleep(LIST_CHECK_S)

    async def _read_list(self) -> None:
        try:
            entries = await self._client.list(INSTANCES_PREFIX)
        except StoreError as exc:
            self._note_available(False, str(exc))
            return
        listed = []
        for key, stored in entries:
            try:
                entry = msgspec.json.decode(stored.value, type=ListedInstance)
            except msgspec.MsgspecError as exc:
                self._log.warning('malformed_list', key=key, error=str(exc))
                continue
            listed.append(entry)
        self._engine.membership.suggest(
            [(entry.address, entry.control_port) for entry in listed],
            [entry.zone for entry in listed if entry.state == 'live'],
        )

    def _note_available(self, available: bool, error: str) -> None:
        if available == self._available:
            return
        self._available = available
        if available:
            self._log.event('store_available')
        else:
            self._log.warning('store_unavailable', error=error)
