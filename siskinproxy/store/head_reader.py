"""Runner of the reader role: keeps the lease and watches the head."""

import asyncio
import contextlib
import random
from collections.abc import Callable
from typing import Final

from siskinproxy.errors import StoreError
from siskinproxy.store.client import KeyValue, KeyValueClient
from siskinproxy.store.head import head_key
from siskinproxy.store.readers import (
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

#: A watch without a change is renewed after this time.
WATCH_TIMEOUT_S: Final = 30.0

#: Delays after a failed watch.
FIRST_WATCH_RETRY_S: Final = 0.25
MAX_WATCH_RETRY_S: Final = 5.0


def _loop_time() -> float:
    return asyncio.get_running_loop().time()


class HeadReader:
    """Holds the reader role when it can and reports changes of the head.

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
        Called with the value of the head key when it has another version.
        Called again with the present value when the instance becomes reader
        for the first time.
    rng : random.Random
        Source of the jitter.

    Attributes
    ----------
    last_contact_s : float or None
        Start of the last successful call on the event loop's clock.
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
        self._version = 0

    @property
    def is_reader(self) -> bool:
        """Whether the instance may act as reader now."""
        return self._role is not None and self._role.is_reader(_loop_time())

    async def start(self) -> None:
        """Start to look for the role."""
        self._role = ReaderRole(self._name, self._rng, _loop_time())
        self._role_task = asyncio.create_task(self._run_role(self._role))

    async def close(self) -> None:
        """Stop and release the role, so that another instance takes it."""
        was_reader = self.is_reader
        await _cancel(self._role_task)
        await self._stop_watch()
        if was_reader and self._role is not None:
            # Without an answer the lease ends by itself.
            with contextlib.suppress(StoreError):
                await self._client.revoke_lease(self._role.lease_id)
        self._role = None
        self._role_task = None

    async def wait(self) -> None:
        """Wait until the reader is closed or fails.

        Raises
        ------
        Exception
            What ``on_head`` raised; the reader has stopped.
        """
        if self._role_task is not None:
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.shield(self._role_task)

    def set_zone_members(self, count: int) -> None:
        """Set the number of members in the instance's zone."""
        if self._role is not None:
            self._role.set_zone_members(count)

    async def _run_role(self, role: ReaderRole) -> None:
        while True:
            step = role.next_step(_loop_time())
            if isinstance(step, Sleep):
                await asyncio.sleep(max(step.until_s - _loop_time(), 0))
            else:
                await self._execute(role, step)
            await self._follow(role)

    async def _execute(self, role: ReaderRole, step: RoleStep) -> None:
        sent_s = _loop_time()
        try:
            await self._call(role, step, sent_s)
        except StoreError as exc:
            role.on_failure(step, exc, _loop_time())
        else:
            self.last_contact_s = sent_s

    async def _call(
        self,
        role: ReaderRole,
        step: RoleStep,
        sent_s: float,
    ) -> None:
        match step:
            case ListReaders():
                prefix = reader_prefix(self._region, self._zone)
                listed = await self._client.list(prefix)
                role.on_listed(decode_readers(listed), _loop_time())
            case RequestLease(ttl_s=ttl_s):
                lease_id = await self._client.grant_lease(ttl_s)
                role.on_lease(lease_id, sent_s, _loop_time())
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

    async def _follow(self, role: ReaderRole) -> None:
        """Start or stop the watch as the role requires."""
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
        failures = 0
        while role.is_reader(_loop_time()):
            sent_s = _loop_time()
            try:
                found = await self._watch()
            except StoreError:
                await asyncio.sleep(self._watch_delay_s(failures))
                failures += 1
            else:
                failures = 0
                self._report(role, found, sent_s)

    async def _watch(self) -> KeyValue:
        return await self._client.watch(
            head_key(self._region),
            self._version,
            WATCH_TIMEOUT_S,
        )

    def _watch_delay_s(self, failures: int) -> float:
        nominal_s = FIRST_WATCH_RETRY_S * 2 ** min(failures, 10)
        return min(nominal_s, MAX_WATCH_RETRY_S) * self._rng.uniform(0.5, 1)

    def _report(
        self,
        role: ReaderRole,
        found: KeyValue,
        sent_s: float,
    ) -> None:
        """Report a head unless the lease ran out during the watch."""
        if not role.is_reader(_loop_time()):
            return
        self.last_contact_s = max(self.last_contact_s or sent_s, sent_s)
        if found.version != self._version:
            self._version = found.version
            self._on_head(found)


async def _cancel(task: asyncio.Task[None] | None) -> None:
    if task is not None:
        task.cancel()
        # `HeadReader.wait` reports the error of a failed task.
        await asyncio.gather(task, return_exceptions=True)
