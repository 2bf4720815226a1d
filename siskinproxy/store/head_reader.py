"""Head reader: makes the store calls of the reader role.

`ReaderRole` decides which call is due; `HeadReader` executes it and, while the
instance holds the role, watches the head of the region for changes.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable
from typing import Final

from siskinproxy.errors import StoreError
from siskinproxy.store.client import ABSENT, KeyValue, KeyValueClient
from siskinproxy.store.head import head_key
from siskinproxy.store.reader_role import (
    ClaimSlot,
    ListReaders,
    ReaderRole,
    RenewLease,
    RequestLease,
    RoleStep,
    Sleep,
    decode_readers,
    encode_reader,
    reader_key,
    reader_prefix,
)

__all__ = ('HeadReader',)

#: Timeout of one watch call; the next one follows at once.
WATCH_TIMEOUT_S: Final = 30.0

#: Bounds of the exponential delay before the retry of a failed watch.
FIRST_WATCH_RETRY_DELAY_S: Final = 0.25
MAX_WATCH_RETRY_DELAY_S: Final = 5.0


def _loop_time() -> float:
    return asyncio.get_running_loop().time()


class HeadReader:
    """Takes the reader role if a slot is vacant and reports changed heads.

    Parameters
    ----------
    client : KeyValueClient
        Client of the store.
    region : str
        Region of the configuration.
    zone : str
        Zone of the instance.
    name : str
        Name of the instance.
    on_head : callable
        Called with the value of the head key when the value or its version
        differs from the last one reported; for the first time when the instance has become a
        reader and the head exists.
    rng : random.Random
        Random source for the jitter of delays.

    Attributes
    ----------
    last_contact_s : float or None
        Time on the event loop's clock at which the last successful call to
        the store was sent; None before the first one.
    """

    def __init__(
        self,
        client: KeyValueClient,
        region: str,
        zone: str,
        name: str,
        on_head: Callable[[KeyValue], None],
        rng: random.Random,
    ) -> None:
        self.last_contact_s: float | None = None
        self._client = client
        self._region = region
        self._zone = zone
        self._name = name
        self._on_head = on_head
        self._rng = rng
        self._role: ReaderRole | None = None
        self._role_task: asyncio.Task[None] | None = None
        self._watch_task: asyncio.Task[None] | None = None
        self._watched_version = 0
        self._reported = ABSENT

    @property
    def is_reader(self) -> bool:
        """Whether the instance holds the role and its lease is valid."""
        return self._role is not None and self._role.is_reader(_loop_time())

    async def start(self) -> None:
        """Start the task that takes and keeps the role."""
        self._role = ReaderRole(self._name, self._rng, _loop_time())
        self._role_task = asyncio.create_task(self._run_role(self._role))

    async def close(self) -> None:
        """Stop and release the role, so that another instance can take it."""
        was_reader = self.is_reader
        await _cancel(self._role_task)
        await self._stop_watch()
        if was_reader and self._role is not None:
            # If the call fails, the lease expires.
            with contextlib.suppress(StoreError):
                await self._client.revoke_lease(self._role.lease_id)
        self._role = None
        self._role_task = None

    async def wait(self) -> None:
        """Wait until the reader is closed or its task fails.

        Raises
        ------
        Exception
            The exception raised by ``on_head``; it stops the reader.
        """
        if self._role_task is not None:
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.shield(self._role_task)

    def set_zone_members(self, count: int) -> None:
        """Set the number of instances in the zone, this one included.

        The call has no effect before `start` and after `close`.
        """
        if self._role is not None:
            self._role.set_zone_members(count)

    async def _run_role(self, role: ReaderRole) -> None:
        """Execute the steps of the role until the task is cancelled."""
        while True:
            step = role.next_step(_loop_time())
            if isinstance(step, Sleep):
                await asyncio.sleep(max(step.until_s - _loop_time(), 0))
            else:
                await self._execute_step(role, step)
            await self._update_watch(role)

    async def _execute_step(self, role: ReaderRole, step: RoleStep) -> None:
        """Make the call of a step and tell the role how it ended."""
        sent_s = _loop_time()
        try:
            await self._call_store(role, step, sent_s)
        except StoreError as exc:
            role.on_failure(step, exc, _loop_time())
        else:
            self.last_contact_s = sent_s

    async def _call_store(
        self,
        role: ReaderRole,
        step: RoleStep,
        sent_s: float,
    ) -> None:
        """Make the call of a step and pass its result to the role."""
        match step:
            case ListReaders():
                prefix = reader_prefix(self._region, self._zone)
                listed = await self._client.list(prefix)
                role.on_readers_listed(decode_readers(listed), _loop_time())
            case RequestLease(ttl_s=ttl_s):
                lease_id = await self._client.grant_lease(ttl_s)
                role.on_lease_granted(lease_id, sent_s, _loop_time())
            case ClaimSlot(slot=slot, record=record):
                key = reader_key(self._region, self._zone, slot)
                stored = encode_reader(record)
                await self._client.compare_and_swap(
                    key,
                    stored,
                    0,
                    record.lease_id,
                )
                role.on_claimed(_loop_time())
            case RenewLease(lease_id=lease_id):
                await self._client.keep_alive(lease_id)
                role.on_renewed(sent_s, _loop_time())

    async def _update_watch(self, role: ReaderRole) -> None:
        """Run the watch task if and only if the instance is a reader.

        Raises the exception of a watch task that has failed.
        """
        if self._watch_task is not None and self._watch_task.done():
            await self._watch_task
            self._watch_task = None
        if not role.is_reader(_loop_time()):
            await self._stop_watch()
        elif self._watch_task is None:
            self._watch_task = asyncio.create_task(self._run_watch(role))

    async def _stop_watch(self) -> None:
        await _cancel(self._watch_task)
        self._watch_task = None

    async def _run_watch(self, role: ReaderRole) -> None:
        """Watch the head and report its changes while holding the role."""
        failures = 0
        while role.is_reader(_loop_time()):
            sent_s = _loop_time()
            try:
                found = await self._watch()
            except StoreError:
                # A restored store may use the version again for another head.
                self._watched_version = 0
                await asyncio.sleep(self._watch_delay_s(failures))
                failures += 1
            else:
                failures = 0
                self._report_head(role, found, sent_s)

    async def _watch(self) -> KeyValue:
        return await self._client.watch(
            head_key(self._region),
            self._watched_version,
            WATCH_TIMEOUT_S,
        )

    def _watch_delay_s(self, failures: int) -> float:
        """Return the delay after a failed watch, 50% to 100% of nominal."""
        nominal_s = FIRST_WATCH_RETRY_DELAY_S * 2 ** min(failures, 10)
        return min(nominal_s, MAX_WATCH_RETRY_DELAY_S) * self._rng.uniform(
            0.5, 1
        )

    def _report_head(
        self,
        role: ReaderRole,
        found: KeyValue,
        sent_s: float,
    ) -> None:
        """Handle the response of a watch unless the lease ended meanwhile.

        Updates the time of the last contact and reports the head if it has
        changed.
        """
        if not role.is_reader(_loop_time()):
            return
        # A renewal that was sent during the watch is the later contact.
        self.last_contact_s = max(self.last_contact_s or sent_s, sent_s)
        self._watched_version = found.version
        if found != self._reported:
            self._reported = found
            self._on_head(found)


async def _cancel(task: asyncio.Task[None] | None) -> None:
    if task is not None:
        task.cancel()
        # The exception of a failed task is raised by `HeadReader.wait`.
        await asyncio.gather(task, return_exceptions=True)
