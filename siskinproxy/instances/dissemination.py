"""Updates that are passed on with other messages, and the rate of pushes."""

import math
from collections.abc import Callable
from typing import Final

__all__ = ('MAX_UPDATES', 'Dissemination', 'TokenBucket')

#: Updates in one message.
MAX_UPDATES: Final = 6

#: Each update is sent ``REPEAT_FACTOR * log2(members)`` times, 10 times at 330
#: members; pages of the member list repair what still got lost.
REPEAT_FACTOR: Final = 1.2


class TokenBucket:
    """Budget that refills at a constant rate.

    Parameters
    ----------
    rate : float
        Tokens a second.
    burst : float
        Largest number of tokens.
    now_s : float
        Time; the bucket starts full.
    """

    __slots__ = ('_burst', '_rate', '_tokens', '_updated_s')

    def __init__(self, rate: float, burst: float, now_s: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._updated_s = now_s

    def take(self, amount: float, now_s: float) -> bool:
        """Take `amount` tokens and return True, or return False."""
        self.charge(0, now_s)
        if self._tokens < amount:
            return False
        self._tokens -= amount
        return True

    def charge(self, amount: float, now_s: float) -> None:
        """Take `amount` tokens, with a debt of one burst at most."""
        elapsed_s = max(now_s - self._updated_s, 0)
        filled = self._tokens + elapsed_s * self._rate
        left = min(self._burst, filled) - amount
        self._tokens = min(max(left, -self._burst), self._burst)
        self._updated_s = now_s


class Dissemination:
    """Names of the members whose state is news, and how often it was sent."""

    def __init__(self) -> None:
        self._sent: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._sent)

    def add(self, name: str) -> None:
        """Start passing on the state of `name`."""
        self._sent.pop(name, None)
        self._sent[name] = 0

    def select(
        self, members: int, is_known: Callable[[str], bool]
    ) -> list[str]:
        """Return the names to include in the next message.

        Parameters
        ----------
        members : int
            Number of members, which determines how often news is repeated.
        is_known : callable
            Whether a name is still a member.

        Returns
        -------
        list of str
            At most ``MAX_UPDATES`` names, those sent least often first.
        """
        limit = math.ceil(REPEAT_FACTOR * math.log2(members + 2))
        ordered = sorted(self._sent, key=self._sent.__getitem__)
        known = []
        for name in ordered[:MAX_UPDATES]:
            if is_known(name):
                known.append(name)
            else:
                self._sent.pop(name)
        chosen = tuple(known)
        for selected in chosen:
            self._sent[selected] += 1
            if self._sent[selected] >= limit:
                self._sent.pop(selected)
        return known
