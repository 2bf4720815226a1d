"""Copying of flow entries to the homes that a change of view adds."""

from collections import defaultdict
from collections.abc import Iterator
from typing import Final

from siskinproxy.balancer.engine_state import EngineState
from siskinproxy.balancer.opening import FlowOpener
from siskinproxy.balancer.snapshot import Member
from siskinproxy.callers.flow_table import Binding, FlowState
from siskinproxy.instances.placement import ShardKey, View
from siskinproxy.instances.tunnel import (
    COPY_ENTRY_BYTES,
    CopyEntry,
    DatagramKind,
    decode_entries,
    encode_entries,
    member_id,
)

__all__ = ('FlowCopier',)

#: Entries in one datagram; 50 entries stay below the usual MTU of 1,500 bytes.
ENTRIES_PER_DATAGRAM: Final = 50

#: Entries inspected in one call, so that the packet loop stops for a short time
#: only.
MAX_ENTRIES_PER_STEP: Final = 2000


class FlowCopier:
    """Sends the entries of shards with new homes to these homes.

    Each shard is copied by one surviving home of the earlier view, or by every
    instance that has entries of it if the number of shards has changed. The
    rate is bounded, since 300,000 entries at once would exceed the bandwidth
    that an instance has for control traffic.

    Parameters
    ----------
    state : EngineState
        Tables and views.
    opener : FlowOpener
        Counts the received flows of shards that this instance owns.
    """

    __slots__ = (
        '_allowance_bytes',
        '_batches',
        '_opener',
        '_pending_shards',
        '_refilled_s',
        '_scan',
        '_scanned_shards',
        '_state',
    )

    def __init__(self, state: EngineState, opener: FlowOpener) -> None:
        self._state = state
        self._opener = opener
        # Names of the homes that lack the entries of a shard, for the next
        # and for the current scan of the tables.
        self._pending_shards: dict[ShardKey, set[str]] = {}
        self._scanned_shards: dict[ShardKey, set[str]] = {}
        self._scan: Iterator[tuple[bytes, Binding]] | None = None
        self._batches: dict[str, list[CopyEntry]] = defaultdict(list)
        self._allowance_bytes = 0.0
        self._refilled_s: float | None = None

    @property
    def is_idle(self) -> bool:
        """Whether all entries have been copied."""
        return not self._pending_shards and self._scan is None

    def plan(self, earlier: View, current: View) -> None:
        """Plan which shards to copy to which homes after a change of view."""
        for shard in current.shards():
            missing = self._missing_homes(earlier, current, shard)
            if missing:
                self._pending_shards.setdefault(shard, set()).update(missing)

    def step(self, now_s: float) -> None:
        """Copy entries within the rate limit.

        Inspects at most `MAX_ENTRIES_PER_STEP` entries.
        """
        self._refill_allowance(now_s)
        if self._scan is None:
            self._start_scan()
        if self._scan is None:
            return
        for _ in range(MAX_ENTRIES_PER_STEP):
            if self._allowance_bytes <= 0:
                break
            item = next(self._scan, None)
            if item is None:
                self._scan = None
                break
            self._copy_entry(*item)
        self._flush()

    def send_entry(self, member: Member, key: bytes, binding: Binding) -> None:
        """Copy one entry to a home that relayed a segment of its flow."""
        entry = CopyEntry(key, binding.route.endpoint, int(binding.state))
        self._state.counters.copied += 1
        self._state.send(member, DatagramKind.COPY, encode_entries([entry]))

    def on_copy(self, body: bytes, now_s: float) -> None:
        """Store entries that another home has sent."""
        for entry in decode_entries(body):
            self._adopt(entry, now_s)

    def _missing_homes(
        self, earlier: View, current: View, shard: ShardKey
    ) -> set[str]:
        """Return the names of the homes that this instance copies a shard to.

        If the number of shards has changed, flows move between shards, and
        every instance copies the entries that it has.
        """
        if shard.service not in earlier.shard_counts:
            return set()
        before = earlier.homes(shard)
        same_count = (
            earlier.shard_counts[shard.service]
            == current.shard_counts[shard.service]
        )
        if same_count and not self._is_copier(before):
            return set()
        known = {home.name for home in before} if same_count else set()
        known.add(self._state.identity.name)
        homes = current.homes(shard)
        return {home.name for home in homes if home.name not in known}

    def _is_copier(self, homes: tuple[Member, ...]) -> bool:
        """Tell whether this instance is the first home that still exists."""
        state = self._state
        for home in homes:
            if state.is_self(home):
                return True
            if member_id(home.name) in state.peers:
                return False
        return False

    def _refill_allowance(self, now_s: float) -> None:
        """Add the bytes that the rate limit permits since the last call.

        At most the bytes of 1 s accumulate.
        """
        rate = self._state.limits.copy_bytes_per_s
        if self._refilled_s is not None:
            elapsed_s = now_s - self._refilled_s
            self._allowance_bytes += elapsed_s * rate
        self._allowance_bytes = min(self._allowance_bytes, rate)
        self._refilled_s = now_s

    def _start_scan(self) -> None:
        if not self._pending_shards:
            return
        self._scanned_shards = self._pending_shards
        self._pending_shards = {}
        self._scan = self._entries()

    def _entries(self) -> Iterator[tuple[bytes, Binding]]:
        yield from self._state.requests
        yield from self._state.streams

    def _copy_entry(self, key: bytes, binding: Binding) -> None:
        if binding.state is FlowState.CLOSED:
            return
        shard = self._state.shard(binding.route.listener.service, key)
        names = self._scanned_shards.get(shard)
        if not names:
            return
        entry = CopyEntry(key, binding.route.endpoint, int(binding.state))
        for name in sorted(names):
            self._batches[name].append(entry)
            self._allowance_bytes -= COPY_ENTRY_BYTES
            if len(self._batches[name]) >= ENTRIES_PER_DATAGRAM:
                self._send_batch(name)

    def _flush(self) -> None:
        for name in sorted(self._batches):
            self._send_batch(name)

    def _send_batch(self, name: str) -> None:
        entries = self._batches.pop(name)
        member = self._state.peers.get(member_id(name))
        if member is None:
            return
        self._state.counters.copied += len(entries)
        self._state.send(member, DatagramKind.COPY, encode_entries(entries))

    def _adopt(self, entry: CopyEntry, now_s: float) -> None:
        """Store a received entry and count its flow.

        An entry is ignored if this instance has no route between its listener
        and its target. If the flow has an entry already, it is replaced only
        if the flow is still opening here and established at another target.
        An entry from before this instance stopped being a home is counted now.
        """
        state = self._state
        route = state.routes.by_target.get(entry.target)
        if (
            route is None
            or _listener_endpoint(entry) != route.listener.endpoint
        ):
            return
        flow_state = FlowState(entry.state)
        if state.home_binding(entry.flow_key) is not None:
            binding = route.bindings[flow_state]
            if self._opener.replace_opening(entry.flow_key, binding, now_s):
                state.counters.adopted += 1
            elif state.departed_flows.confirm(entry.flow_key):
                self._opener.restore(entry.flow_key, route, now_s)
            return
        state.store(entry.flow_key, route, flow_state)
        state.counters.adopted += 1
        self._opener.restore(entry.flow_key, route, now_s)


def _listener_endpoint(entry: CopyEntry) -> bytes:
    return entry.flow_key[4:8] + entry.flow_key[10:12]
