"""Reads the configuration and the platform's list from the store."""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Final

import msgspec

from siskinproxy.balancer.control_engine import ControlEngine, ControlStep
from siskinproxy.balancer.logs import EventLog
from siskinproxy.errors import InvariantViolation, StoreError
from siskinproxy.store.client import KeyValueClient
from siskinproxy.store.head import decode_head, fetch_sections, head_key

__all__ = ('ListedInstance', 'StoreSource')

INSTANCES_PREFIX: Final = 'platform/instances/'

#: Longest time of a watch. Each return counts as a store read, and the zone
#: reachability rule needs one within 3 s.
WATCH_TIMEOUT_S: Final = 1.0

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

    Parameters
    ----------
    client : KeyValueClient
        Client of the store.
    region : str
        Region whose head is read.
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
        region: str,
        engine: ControlEngine,
        perform: Callable[[ControlStep], None],
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self._client = client
        self._region = region
        self._engine = engine
        self._perform = perform
        self._log = log
        self._rng = rng
        self._sections: dict[bytes, bytes] = {}
        self._version = 0
        self._available: bool | None = None
        self._watching = asyncio.Event()

    def set_watching(self, watching: bool) -> None:
        """Watch the head, or only read it once after the start.

        Parameters
        ----------
        watching : bool
            True while this instance has the reader role of its zone.
        """
        if watching:
            self._watching.set()
        else:
            self._watching.clear()

    async def run(self) -> None:
        """Read and watch until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_head())
            group.create_task(self._follow_list())

    async def _follow_head(self) -> None:
        delay_s = FIRST_DELAY_S
        while True:
            try:
                await self._read_head()
            except (StoreError, InvariantViolation) as exc:
                self._note_available(False, str(exc))
                await asyncio.sleep(delay_s * self._rng.uniform(0.5, 1.5))
                delay_s = min(delay_s * 2, MAX_DELAY_S)
                continue
            delay_s = FIRST_DELAY_S
            self._note_available(True, '')
            if self._engine.configuration.generation:
                await self._watching.wait()

    async def _read_head(self) -> None:
        """Read the head, waiting for a change if one is known already."""
        key = head_key(self._region)
        read_s = time.monotonic()
        if self._version:
            stored = await self._client.watch(
                key,
                self._version,
                WATCH_TIMEOUT_S,
            )
            # The store answers after the timeout at the latest; an answer
            # that this process sees later may have waited in the socket.
            read_s = min(time.monotonic(), read_s + WATCH_TIMEOUT_S)
        else:
            stored = await self._client.get(key)
        head = decode_head(self._region, stored)
        if stored.version == self._version or not head.generation:
            self._engine.note_store_read(head.generation, read_s)
            await self._pause_without_head(stored.version)
            return
        known = {
            digest: encoded
            for digest, encoded in self._sections.items()
            if digest in head.digests
        }
        await fetch_sections(self._client, head, known)
        step = self._engine.adopt_from_store(stored.value, known, read_s)
        self._sections = known
        self._version = stored.version
        self._perform(step)

    async def _pause_without_head(self, version: int) -> None:
        if not version:
            await asyncio.sleep(WATCH_TIMEOUT_S)

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
