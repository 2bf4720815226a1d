"""Follows the changes of the store on behalf of an instance.

The changes come from the store or from another instance, whichever the
`SourceSelector` names, and are passed on to other instances that ask.
"""

import time
from collections.abc import Callable
from typing import Any

import gevent
import msgspec
from gevent.event import Event

from siskinproxy.entry.cluster_state import ClusterState
from siskinproxy.entry.peer_link import PeerClient
from siskinproxy.entry.peer_messages import (
    ChangesAnswer,
    ChangesQuery,
    pack_items,
    unpack_items,
)
from siskinproxy.entry.sources import Source, SourceSelector
from siskinproxy.entry.store import PrefixChanges, PrefixStore
from siskinproxy.entry.store_calls import CallCause, CallKind, StoreCalls
from siskinproxy.entry.supervision import Spawn, spawn_plain
from siskinproxy.errors import (
    LinkFormatError,
    StoreError,
    StoreHistoryLostError,
    StoreUnavailableError,
)

__all__ = ('ChangeFollower', 'FollowerTiming')


class FollowerTiming(msgspec.Struct, frozen=True):
    """Timeouts, limits and delays of a `ChangeFollower`, in seconds.

    Parameters
    ----------
    watch_s : float
        Longest time for which the store, or another instance, waits for a
        change before it answers. It limits how long a connection without
        answers goes unnoticed.
    peer_timeout_s : float
        Time that another instance may take to accept a connection and to
        answer, beyond the time for which it was asked to wait.
    stale_s : float
        Age above which an answer is stale, so that its source is avoided:
        long enough for a watch, a failed call and the next call. An instance
        that is asked answers by then, and one that asks waits no longer.
    hurried_wait_s : float
        Wait for changes of an instance whose own state is stale: long enough
        for its source to ask the store in turn. It does not extend the time for
        the answer.
    batch_delay_s : float
        Delay between an answer of the store that has changes and the next
        watch, so that changes in quick succession cost one call.
    retry_s : float
        Delay after a failed or stale answer.
    answer_slack_s : float
        Time that an answer may take beyond the wait that was asked for. One
        that is read later was held up here, by a pause of this process, and
        confirms nothing since.
    reregistration_s : float
        Time after contact with the store is regained in which missing
        entries may only have expired and may be written again.
    """

    watch_s: float = 1.0
    peer_timeout_s: float = 0.4
    stale_s: float = 1.7
    hurried_wait_s: float = 0.2
    batch_delay_s: float = 0.2
    retry_s: float = 0.07
    answer_slack_s: float = 1.0
    reregistration_s: float = 2.5


class ChangeFollower:
    """Keeps an instance up to date with the store.

    Asks the selected source for changes, one call after the other, and turns
    to the next source after a failure. Answers the same queries when other
    instances ask for changes.

    Parameters
    ----------
    name : str
        Name of this instance.
    store : PrefixStore
        Client of the store.
    prefix : str
        Common prefix of the keys to follow.
    cluster_state : ClusterState
        State of the instance, to which changes are applied.
    selector : SourceSelector
        Selects the source to ask.
    events : EventSink
        Where the choice of a source, and lost and regained contact with the
        store, are reported.
    timing : FollowerTiming or None
        Timeouts and delays; None for the defaults.
    clock : callable
        Returns the monotonic time in seconds.
    calls : StoreCalls or None
        Where calls to the store are counted.

    Attributes
    ----------
    timing : FollowerTiming
        Timeouts and delays.
    confirmed_s : float
        Latest time, by the clock, at which the store is known to have
        confirmed that no change is missing, in seconds; negative before the
        first confirmation.
    """

    def __init__(
        self,
        name: str,
        store: PrefixStore,
        prefix: str,
        cluster_state: ClusterState,
        selector: SourceSelector,
        events: Any,
        timing: FollowerTiming | None = None,
        clock: Callable[[], float] = time.monotonic,
        calls: StoreCalls | None = None,
    ) -> None:
        self.confirmed_s: float = -1
        self._name = name
        self._store = store
        self._prefix = prefix
        self._cluster_state = cluster_state
        self._selector = selector
        self._events = events
        self.timing = timing or FollowerTiming()
        self._clock = clock
        self._calls = calls or StoreCalls(events, clock)
        self._clients: dict[str, PeerClient] = {}
        self._changed = Event()
        self._last_packed: tuple[tuple[int, ...], bytes] | None = None
        self._needs_full_read = True
        self._read_cause = CallCause.START
        self._has_store_failed = False
        self._lost_since_s: float | None = None
        self._regained_s: float | None = None
        self._source: Source | None = None
        self._greenlet: gevent.Greenlet | None = None

    def start(self, spawn: Spawn = spawn_plain) -> None:
        """Start to follow the store in a greenlet."""
        self._greenlet = spawn('follower', self._run)

    def close(self) -> None:
        """Stop following and close the connections to other instances."""
        if self._greenlet is not None:
            self._greenlet.kill()
            self._greenlet = None
        for client in self._clients.values():
            client.close()
        self._clients.clear()

    @property
    def source_name(self) -> str:
        """Source that answered last; empty before the first answer."""
        return self._source.name if self._source else ''

    def age_s(self, now_s: float) -> float | None:
        """Return the time since the store confirmed the known revision.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        float or None
            Seconds; None if the store has not confirmed any answer.
        """
        return None if self.confirmed_s < 0 else now_s - self.confirmed_s

    @property
    def in_touch_since_s(self) -> float:
        """Time at which the store was regained, in seconds; -1 if never lost.

        While it is lost, `confirmed_s` does not rise.
        """
        return -1 if self._regained_s is None else self._regained_s

    def is_stale(self, now_s: float) -> bool:
        """Return whether no source has heard from the store lately."""
        return self._is_stale(self.age_s(now_s))

    def answer(self, query: ChangesQuery) -> ChangesAnswer:
        """Return the changes that another instance lacks.

        If there are none, the call waits for the next change, at most as long
        as the query allows, and no longer than until the state of this instance
        is stale, so that the other instance asks elsewhere. While it is stale,
        the call waits for `FollowerTiming.hurried_wait_s` at most.

        Parameters
        ----------
        query : ChangesQuery
            Query of the other instance.

        Returns
        -------
        ChangesAnswer
            Changes after the revision of the query; may have no items.
        """
        mirror = self._cluster_state.mirror
        asked_s = self._clock()
        has_epoch = query.epoch in {0, mirror.epoch}
        if has_epoch and mirror.revision <= query.revision:
            self._wait_for_change(query.wait_ms / 1000)
        now_s = self._clock()
        changes = mirror.changes_after(query.revision, query.epoch)
        return ChangesAnswer(
            self._pack(query, changes),
            changes.revision,
            changes.is_complete,
            age_ms=_milliseconds(self.age_s(now_s)),
            may_have_lapsed=self._may_have_lapsed(now_s),
            epoch=changes.epoch,
            waited_ms=_milliseconds(max(now_s - asked_s, 0)),
        )

    def _wait_for_change(self, wait_s: float) -> None:
        """Wait for a change, at most until the known state is stale."""
        changed = self._changed
        now_s = self._clock()
        if self.is_stale(now_s):
            changed.wait(min(wait_s, self.timing.hurried_wait_s))
            return
        due_s = now_s + wait_s
        while True:
            # The store may have confirmed the state meanwhile.
            stale_s = self.confirmed_s + self.timing.stale_s
            left_s = min(due_s, stale_s) - self._clock()
            if left_s <= 0 or changed.wait(left_s):
                return

    def _pack(self, query: ChangesQuery, changes: PrefixChanges) -> bytes:
        """Return the packed items of the changes that an instance lacks.

        The last result is kept, since the instances that wait here usually
        lack the same changes.
        """
        key = (
            changes.epoch,
            changes.revision,
            0 if changes.is_complete else query.revision,
        )
        if self._last_packed is None or self._last_packed[0] != key:
            self._last_packed = (key, pack_items(changes.items))
        return self._last_packed[1]

    def _run(self) -> None:
        # An error may have left an answer half applied.
        self._needs_full_read = True
        while True:
            source = self._selector.choose(self._clock())
            try:
                self._ask(source)
            except StoreHistoryLostError as exc:
                self._needs_full_read = True
                self._read_cause = CallCause.HISTORY_LOST
                self._events.event('store_history_lost', reason=str(exc))
            except (StoreError, LinkFormatError) as exc:
                self._note_failed(source, exc)
                gevent.sleep(self.timing.retry_s)

    def _ask(self, source: Source) -> None:
        sent_s = self._clock()
        if source.instance is None:
            changes = self._ask_store()
            self._check_history(changes)
            now_s = self._clock()
            answered_s = self._latest_answer_s(sent_s, now_s, changes)
            self._apply(source, changes, answered_s, now_s)
            self._selector.note_answered(source)
            if changes.items:
                gevent.sleep(self.timing.batch_delay_s)
            return
        answer = self._ask_instance(source, sent_s)
        now_s = self._clock()
        changes = PrefixChanges(
            unpack_items(answer.packed),
            answer.revision,
            answer.is_complete,
            answer.epoch,
        )
        self._check_history(changes)
        if answer.waited_ms is None:
            answered_s = self._latest_answer_s(sent_s, now_s, changes)
        else:
            answered_s = min(now_s, sent_s + answer.waited_ms / 1000)
        confirmed_s: float = -1
        if answer.age_ms is not None:
            confirmed_s = answered_s - answer.age_ms / 1000
        if answer.may_have_lapsed:
            self._regained_s = now_s
        self._apply(source, changes, confirmed_s, now_s)
        if confirmed_s < 0 or self._is_stale(now_s - confirmed_s):
            self._selector.note_stale(source, now_s)
            gevent.sleep(self.timing.retry_s)
        else:
            self._selector.note_answered(source)

    def _latest_answer_s(
        self, sent_s: float, now_s: float, changes: PrefixChanges
    ) -> float:
        """Return the latest time at which an answer read now was sent.

        An answer without changes was sent at the end of the wait for them.
        """
        timing = self.timing
        slack_s = timing.answer_slack_s if changes.items else 0
        return min(now_s, sent_s + timing.watch_s + slack_s)

    def _ask_store(self) -> PrefixChanges:
        has_failed = self._has_store_failed
        self._has_store_failed = True  # until this call has succeeded
        if self._needs_full_read:
            cause = CallCause.FAILURE if has_failed else self._read_cause
            self._calls.note(CallKind.READ, cause)
            changes = self._store.read(self._prefix)
            more_pages = changes.pages - 1
            self._calls.note(CallKind.READ, CallCause.NEXT_PAGE, more_pages)
            self._needs_full_read = False
        else:
            cause = CallCause.READER
            if has_failed:
                cause = CallCause.FAILURE
            elif not self._selector.is_reader:
                cause = CallCause.SOURCE_AWAY
            self._calls.note(CallKind.WATCH, cause)
            changes = self._store.watch(
                self._prefix,
                self._cluster_state.mirror.revision,
                self.timing.watch_s,
            )
        self._has_store_failed = False
        return changes

    def _check_history(self, changes: PrefixChanges) -> None:
        """Raise an error if an answer can't be applied.

        Raises
        ------
        StoreHistoryLostError
            The store was restored since the known revision, so that changes
            after this revision mean nothing.
        StoreUnavailableError
            A later epoch is known: the source has not learned of the restore,
            or its answer was held up.
        """
        mirror = self._cluster_state.mirror
        if not mirror.revision or not changes.epoch:
            return
        if changes.epoch < mirror.epoch:
            detail = f'epoch={changes.epoch} known_epoch={mirror.epoch}'
            raise StoreUnavailableError(detail)
        if changes.epoch > mirror.epoch and not changes.is_complete:
            raise StoreHistoryLostError(
                f'epoch={changes.epoch} known_epoch={mirror.epoch}'
            )

    def _ask_instance(self, source: Source, now_s: float) -> ChangesAnswer:
        client = self._clients.get(source.name)
        if client is None:
            client = PeerClient(source.instance.address)
            self._clients[source.name] = client
        timing = self.timing
        wait_s = timing.watch_s * source.wait_share
        age_s = self.age_s(now_s)
        if age_s is not None:
            wait_s = min(wait_s, max(timing.stale_s - age_s, 0))
        # A source that does not answer is given up soon after the state of
        # this instance is stale, whenever it was asked.
        timeout_s = wait_s + timing.peer_timeout_s
        wait_ms = round(1000 * max(wait_s, timing.hurried_wait_s))
        mirror = self._cluster_state.mirror
        return client.ask(
            ChangesQuery(self._name, mirror.revision, wait_ms, mirror.epoch),
            timeout_s,
        )

    def _apply(
        self,
        source: Source,
        changes: PrefixChanges,
        confirmed_s: float,
        now_s: float,
    ) -> None:
        self._note_answered(source, confirmed_s, now_s)
        mirror = self._cluster_state.mirror
        epoch = mirror.epoch
        if mirror.revision and changes.epoch > epoch:
            # The leases in a copy are as old as the copy.
            self._regained_s = now_s
        count = self._cluster_state.apply_changes(
            changes,
            now_s,
            source=source.name,
            may_have_lapsed=self._may_have_lapsed(now_s),
        )
        if changes.is_complete:
            self._needs_full_read = False
        if count or mirror.epoch != epoch:
            self._changed.set()
            self._changed = Event()

    def _note_answered(
        self, source: Source, confirmed_s: float, now_s: float
    ) -> None:
        if source != self._source:
            age_s = None if confirmed_s < 0 else now_s - confirmed_s
            self._events.event(
                'source_chosen',
                source=source.name,
                age_ms=_milliseconds(age_s),
                epoch=self._cluster_state.mirror.epoch,
                revision=self._cluster_state.mirror.revision,
            )
            self._source = source
        if confirmed_s <= self.confirmed_s:
            return
        if 0 <= self.confirmed_s < confirmed_s - self.timing.stale_s:
            self._regained_s = now_s
            self._events.event(
                'store_regained',
                source=source.name,
                away_ms=round(1000 * (confirmed_s - self.confirmed_s)),
            )
        self._lost_since_s = None
        self.confirmed_s = confirmed_s

    def _is_stale(self, age_s: float | None) -> bool:
        return age_s is None or age_s > self.timing.stale_s

    def _may_have_lapsed(self, now_s: float) -> bool:
        if self._regained_s is None:
            return False
        return now_s - self._regained_s < self.timing.reregistration_s

    def _note_failed(
        self, source: Source, exc: StoreError | LinkFormatError
    ) -> None:
        now_s = self._clock()
        self._selector.note_failed(source, now_s)
        if self._lost_since_s is None:
            self._lost_since_s = now_s
            self._events.event(
                'source_lost',
                source=source.name,
                kind=type(exc).__name__,
                reason=str(exc),
                age_ms=_milliseconds(self.age_s(now_s)),
            )


def _milliseconds(age_s: float | None) -> int | None:
    return None if age_s is None else round(1000 * age_s)
