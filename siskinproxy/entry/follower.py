"""Keeps a prefix of the store up to date."""

import time
from collections.abc import Callable
from typing import Any, Final

import gevent
import msgspec

from siskinproxy.entry.beliefs import Beliefs
from siskinproxy.entry.store import PrefixStore
from siskinproxy.errors import (
    StoreError,
    StoreHistoryLostError,
    StoreRateLimitError,
)

__all__ = ('FollowerTiming', 'PrefixFollower')


class FollowerTiming(msgspec.Struct, frozen=True):
    """Times of a follower, in seconds.

    Parameters
    ----------
    watch_s : float
        Length of a watch. Bounds how long a silent connection is trusted.
    first_retry_s : float
        Delay after a failed call.
    most_retry_s : float
        Longest delay; the store may return at any time.
    away_s : float
        Time without an answer after which entries may have expired because
        the store was away.
    return_s : float
        Time after the store's return in which removed entries may return.
    """

    watch_s: float = 1.0
    first_retry_s: float = 0.1
    most_retry_s: float = 0.5
    away_s: float = 1.5
    return_s: float = 2.5


_GROWTH: Final = 2


class PrefixFollower:
    """Reads a prefix once and then watches it.

    Parameters
    ----------
    store : PrefixStore
        Store.
    prefix : str
        Prefix of the keys.
    beliefs : Beliefs
        Gets the answers.
    events : EventSink
        Where lost and regained contact is reported.
    timing : FollowerTiming
        Times.
    clock : callable
        Returns the time in seconds.

    Attributes
    ----------
    answered_s : float
        When the store answered last; negative before the first answer.
    """

    def __init__(
        self,
        store: PrefixStore,
        prefix: str,
        beliefs: Beliefs,
        events: Any,
        timing: FollowerTiming | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.answered_s: float = -1
        self._store = store
        self._prefix = prefix
        self._beliefs = beliefs
        self._events = events
        self._timing = timing or FollowerTiming()
        self._clock = clock
        self._revision: int | None = None
        self._returned_s: float | None = None
        self._failed_s: float | None = None
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Follow the prefix in a greenlet."""
        self._greenlet = gevent.spawn(self._run)

    def close(self) -> None:
        """Stop following."""
        if self._greenlet is not None:
            self._greenlet.kill()
            self._greenlet = None

    def age_s(self, now_s: float) -> float:
        """Return the time since the store answered, in seconds."""
        return now_s - self.answered_s

    def _run(self) -> None:
        delay_s = self._timing.first_retry_s
        while True:
            try:
                self._update()
            except StoreHistoryLostError as exc:
                self._revision = None
                self._events.event(
                    'store_history_lost', prefix=self._prefix, reason=str(exc)
                )
            except StoreError as exc:
                self._note_failed(exc)
                gevent.sleep(delay_s)
                delay_s = min(_GROWTH * delay_s, self._timing.most_retry_s)
            else:
                delay_s = self._timing.first_retry_s

    def _update(self) -> None:
        if self._revision is None:
            changes = self._store.read(self._prefix)
        else:
            changes = self._store.watch(
                self._prefix, self._revision, self._timing.watch_s
            )
        now_s = self._clock()
        self._note_answered(now_s)
        self._beliefs.learn(
            self._prefix,
            changes,
            now_s,
            source='store',
            may_have_lapsed=self._may_have_lapsed(now_s),
        )
        self._revision = changes.revision

    def _may_have_lapsed(self, now_s: float) -> bool:
        if self._returned_s is None:
            return False
        return now_s - self._returned_s < self._timing.return_s

    def _note_answered(self, now_s: float) -> None:
        was_away = 0 <= self.answered_s < now_s - self._away_limit_s()
        if was_away or self._failed_s is not None:
            self._returned_s = now_s
            self._events.event(
                'store_regained',
                prefix=self._prefix,
                away_ms=round(1000 * self.age_s(now_s)),
            )
        self._failed_s = None
        self.answered_s = now_s

    def _away_limit_s(self) -> float:
        return self._timing.watch_s + self._timing.away_s

    def _note_failed(self, exc: StoreError) -> None:
        # A rejected call shows a store that is there.
        if self._failed_s is None:
            self._failed_s = self._clock()
            self._events.event(
                'store_lost',
                prefix=self._prefix,
                kind=type(exc).__name__,
                reason=str(exc),
                rate_limited=isinstance(exc, StoreRateLimitError),
            )
