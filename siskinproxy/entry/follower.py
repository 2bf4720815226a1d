"""Keeps the beliefs of an instance up to date."""

import time
from collections.abc import Callable
from typing import Any

import gevent
import msgspec
from gevent.event import Event

from siskinproxy.entry.beliefs import Beliefs
from siskinproxy.entry.peer_link import PeerClient
from siskinproxy.entry.peer_messages import (
    ChangesAnswer,
    ChangesQuery,
    pack_items,
    unpack_items,
)
from siskinproxy.entry.sources import Source, SourceSelector
from siskinproxy.entry.store import PrefixChanges, PrefixStore
from siskinproxy.errors import (
    LinkFormatError,
    StoreError,
    StoreHistoryLostError,
)

__all__ = ('ChangeFollower', 'FollowerTiming')


class FollowerTiming(msgspec.Struct, frozen=True):
    """Times of a follower, in seconds.

    Parameters
    ----------
    watch_s : float
        Length of a watch at the store, and of a wait at another instance.
        Bounds how long a silent connection is trusted.
    peer_timeout_s : float
        Time after which an instance that should have answered has failed.
    stale_s : float
        Age of an answer above which its source is avoided: a watch, a call
        that failed and the next one.
    gather_s : float
        Time between an answer of the store with changes and the next watch,
        so that changes in quick succession cost one call.
    retry_s : float
        Delay after a failed or stale answer.
    return_s : float
        Time after the store's return in which removed entries may return.
    """

    watch_s: float = 1.0
    peer_timeout_s: float = 0.4
    stale_s: float = 1.7
    gather_s: float = 0.2
    retry_s: float = 0.1
    return_s: float = 2.5


class ChangeFollower:
    """Asks one source after the other for changes of the store.

    Parameters
    ----------
    name : str
        Name of this instance.
    store : PrefixStore
        Store.
    prefix : str
        Start of the keys that matter.
    beliefs : Beliefs
        Gets the answers.
    selector : SourceSelector
        Whom to ask.
    events : EventSink
        Where lost and regained contact is reported.
    timing : FollowerTiming
        Times.
    clock : callable
        Returns the time in seconds.

    Attributes
    ----------
    timing : FollowerTiming
        Times.
    confirmed_s : float
        When the store confirmed the newest revision, as far as is known;
        negative before the first answer.
    """

    def __init__(
        self,
        name: str,
        store: PrefixStore,
        prefix: str,
        beliefs: Beliefs,
        selector: SourceSelector,
        events: Any,
        timing: FollowerTiming | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.confirmed_s: float = -1
        self._name = name
        self._store = store
        self._prefix = prefix
        self._beliefs = beliefs
        self._selector = selector
        self._events = events
        self.timing = timing or FollowerTiming()
        self._clock = clock
        self._clients: dict[str, PeerClient] = {}
        self._changed = Event()
        self._packed: tuple[tuple[int, int], bytes] | None = None
        self._needs_all = True
        self._lost_s: float | None = None
        self._returned_s: float | None = None
        self._source: Source | None = None
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Follow in a greenlet."""
        self._greenlet = gevent.spawn(self._run)

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
        """Store or instance that answered last; empty before the first."""
        return self._source.name if self._source else ''

    def age_s(self, now_s: float) -> float | None:
        """Return the age of the newest confirmed revision.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        float or None
            Seconds; None if no answer has been confirmed by the store.
        """
        return None if self.confirmed_s < 0 else now_s - self.confirmed_s

    def answer(self, query: ChangesQuery) -> ChangesAnswer:
        """Answer another instance; waits for a change.

        Parameters
        ----------
        query : ChangesQuery
            Query of the other instance.

        Returns
        -------
        ChangesAnswer
            Changes after its revision. Without waiting if this instance has
            not heard from the store lately, so that the other one asks
            elsewhere.
        """
        mirror = self._beliefs.mirror
        is_fresh = not self._is_stale(self.age_s(self._clock()))
        if is_fresh and mirror.revision <= query.revision:
            self._changed.wait(query.wait_ms / 1000)
        now_s = self._clock()
        changes = mirror.changes_after(query.revision)
        return ChangesAnswer(
            self._pack(query.revision, changes),
            changes.revision,
            changes.is_complete,
            age_ms=_milliseconds(self.age_s(now_s)),
            may_have_lapsed=self._may_have_lapsed(now_s),
        )

    def _pack(self, known_revision: int, changes: PrefixChanges) -> bytes:
        """Return packed items; equal for all instances that ask for them."""
        key = (known_revision, changes.revision)
        if self._packed is None or self._packed[0] != key:
            self._packed = (key, pack_items(changes.items))
        return self._packed[1]

    def _run(self) -> None:
        while True:
            source = self._selector.choose(self._clock())
            try:
                self._ask(source)
            except StoreHistoryLostError as exc:
                self._needs_all = True
                self._events.event('store_history_lost', reason=str(exc))
            except (StoreError, LinkFormatError) as exc:
                self._note_failed(source, exc)
                gevent.sleep(self.timing.retry_s)

    def _ask(self, source: Source) -> None:
        if source.instance is None:
            changes = self._ask_store()
            now_s = self._clock()
            self._take_over(source, changes, now_s, now_s)
            if changes.items:
                gevent.sleep(self.timing.gather_s)
            return
        answer = self._ask_instance(source)
        now_s = self._clock()
        changes = PrefixChanges(
            unpack_items(answer.packed), answer.revision, answer.is_complete
        )
        age_s = None if answer.age_ms is None else answer.age_ms / 1000
        confirmed_s = -1 if age_s is None else now_s - age_s
        if answer.may_have_lapsed:
            self._returned_s = now_s
        self._take_over(source, changes, confirmed_s, now_s)
        if self._is_stale(age_s):
            self._selector.note_failed(source, now_s)
            gevent.sleep(self.timing.retry_s)

    def _ask_store(self) -> PrefixChanges:
        if self._needs_all:
            changes = self._store.read(self._prefix)
            self._needs_all = False
            return changes
        return self._store.watch(
            self._prefix, self._beliefs.mirror.revision, self.timing.watch_s
        )

    def _ask_instance(self, source: Source) -> ChangesAnswer:
        client = self._clients.get(source.name)
        if client is None:
            client = PeerClient(
                source.instance.address, self.timing.peer_timeout_s
            )
            self._clients[source.name] = client
        wait_ms = round(1000 * self.timing.watch_s)
        revision = self._beliefs.mirror.revision
        return client.ask(ChangesQuery(self._name, revision, wait_ms))

    def _take_over(
        self,
        source: Source,
        changes: PrefixChanges,
        confirmed_s: float,
        now_s: float,
    ) -> None:
        self._note_answered(source, confirmed_s, now_s)
        count = self._beliefs.learn(
            changes,
            now_s,
            source=source.name,
            may_have_lapsed=self._may_have_lapsed(now_s),
        )
        if changes.is_complete:
            self._needs_all = False
        if count:
            self._changed.set()
            self._changed = Event()

    def _note_answered(
        self, source: Source, confirmed_s: float, now_s: float
    ) -> None:
        self._selector.note_answered(source)
        if source != self._source:
            age_s = None if confirmed_s < 0 else now_s - confirmed_s
            self._events.event(
                'source_chosen',
                source=source.name,
                age_ms=_milliseconds(age_s),
                revision=self._beliefs.mirror.revision,
            )
            self._source = source
        if confirmed_s <= self.confirmed_s:
            return
        if 0 <= self.confirmed_s < confirmed_s - self.timing.stale_s:
            self._returned_s = now_s
            self._events.event(
                'store_regained',
                source=source.name,
                away_ms=round(1000 * (confirmed_s - self.confirmed_s)),
            )
        self._lost_s = None
        self.confirmed_s = confirmed_s

    def _is_stale(self, age_s: float | None) -> bool:
        return age_s is None or age_s > self.timing.stale_s

    def _may_have_lapsed(self, now_s: float) -> bool:
        if self._returned_s is None:
            return False
        return now_s - self._returned_s < self.timing.return_s

    def _note_failed(
        self, source: Source, exc: StoreError | LinkFormatError
    ) -> None:
        now_s = self._clock()
        self._selector.note_failed(source, now_s)
        if self._lost_s is None:
            self._lost_s = now_s
            self._events.event(
                'source_lost',
                source=source.name,
                kind=type(exc).__name__,
                reason=str(exc),
                age_ms=_milliseconds(self.age_s(now_s)),
            )


def _milliseconds(age_s: float | None) -> int | None:
    return None if age_s is None else round(1000 * age_s)
