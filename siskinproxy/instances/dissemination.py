"""Membership updates that are piggybacked on messages, and rate limits.

This is the dissemination component of SWIM: information about
members spreads with the messages that are sent anyway.
"""

import math
from collections.abc import Callable
from typing import Final

__all__ = ('MAX_UPDATES', 'TokenBucket', 'UpdateQueue')

#: Largest number of queued updates in one message.
MAX_UPDATES: Final = 6

#: Each update is sent ``RETRANSMIT_FACTOR * log2(members + 2)`` times, rounded
#: up: 11 times at 330 members. Pages of the member list repair updates that
#: get lost all the same.
RETRANSMIT_FACTOR: Final = 1.2


class TokenBucket:
    """Rate limit that allows bursts; its tokens refill at a constant rate.

    Parameters
    ----------
    rate : float
        Tokens a second.
    burst : float
        Largest number of tokens.
    now_s : float
        Time in seconds; the bucket starts full.
    """

    __slots__ = ('_burst', '_rate', '_tokens', '_updated_s')

    def __init__(self, rate: float, burst: float, now_s: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._updated_s = now_s

    def take(self, amount: float, now_s: float) -> bool:
        """Take `amount` tokens, or none and return False if there are fewer."""
        self.charge(0, now_s)
        if self._tokens < amount:
            return False
        self._tokens -= amount
        return True

    def charge(self, amount: float, now_s: float) -> None:
        """Take `amount` tokens even if there are fewer.

        The number of tokens becomes negative, by one burst at most. A
        negative `amount` returns tokens.
        """
        elapsed_s = max(now_s - self._updated_s, 0)
        filled = self._tokens + elapsed_s * self._rate
        left = min(self._burst, filled) - amount
        self._tokens = min(max(left, -self._burst), self._burst)
        self._updated_s = now_s


class UpdateQueue:
    """Members whose latest state still has to be sent, by name.

    A member leaves the queue after its state was sent a number of times that
    grows with the logarithm of the number of members.
    """

    def __init__(self) -> None:
        self._send_counts: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._send_counts)

    def add(self, name: str) -> None:
        """Queue the new state of a member, also if it is queued already."""
        self._send_counts.pop(name, None)
        self._send_counts[name] = 0

    def select(
        self, members: int, is_known: Callable[[str], bool]
    ) -> list[str]:
        """Return the names to include in the next message.

        Parameters
        ----------
        members : int
            Number of members, which determines how often each state is sent.
        is_known : callable
            Tells whether a name is still a member; others leave the queue.

        Returns
        -------
        list of str
            At most ``MAX_UPDATES`` names, those sent least often first.
        """
        limit = math.ceil(RETRANSMIT_FACTOR * math.log2(members + 2))
        ordered = sorted(self._send_counts, key=self._send_counts.__getitem__)
        known = []
        for name in ordered[:MAX_UPDATES]:
            if is_known(name):
                known.append(name)
            else:
                self._send_counts.pop(name)
        chosen = tuple(known)
        for selected in chosen:
            self._send_counts[selected] += 1
            if self._send_counts[selected] >= limit:
                self._send_counts.pop(selected)
        return known
