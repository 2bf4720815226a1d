"""Flow tables: which target the segments of a flow go to."""

from collections.abc import Iterator
from enum import IntEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from siskinproxy.balancer.routes import Route

__all__ = ('Binding', 'FlowState', 'RotatingTable')


class FlowState(IntEnum):
    """Phase of a TCP connection as the instances observe it."""

    OPENING = 0
    ESTABLISHED = 1
    CALLER_CLOSED = 2
    TARGET_CLOSED = 3
    CLOSED = 4


class Binding:
    """Route and state of a flow.

    Flows with the same route and state share one object, so a flow costs no
    memory beyond its key and its slot in the table.
    """

    __slots__ = ('route', 'state')

    def __init__(self, route: 'Route', state: FlowState) -> None:
        self.route = route
        self.state = state


class RotatingTable:
    """Table whose entries expire without a scan or a time in each entry.

    Entries are stored in a young dictionary. Each rotation discards the old
    dictionary and makes the young one old, so an entry lives for one to two
    lifetimes after it was stored or renewed.

    Parameters
    ----------
    lifetime_s : float
        Time between rotations, in seconds.
    limit : int, optional
        Number of entries above which the table rotates early. Without it
        entries expire by time only.
    """

    __slots__ = ('_lifetime_s', '_rotated_s', 'limit', 'old', 'young')

    def __init__(self, lifetime_s: float, limit: int | None = None) -> None:
        self.young: dict[bytes, Binding] = {}
        self.old: dict[bytes, Binding] = {}
        self.limit = limit
        self._lifetime_s = lifetime_s
        self._rotated_s: float | None = None

    def __len__(self) -> int:
        """Return the number of entries; renewed ones count once."""
        return len(self.young) + len(self.old)

    def __iter__(self) -> Iterator[tuple[bytes, Binding]]:
        """Iterate over copies of keys and bindings."""
        yield from list(self.young.items())
        yield from list(self.old.items())

    def get(self, key: bytes) -> Binding | None:
        """Return the binding of a flow without renewing it."""
        return self.young.get(key) or self.old.get(key)

    def renew(self, key: bytes) -> Binding | None:
        """Return the binding of a flow and restart its lifetime."""
        binding = self.young.get(key)
        if binding is None:
            binding = self.old.pop(key, None)
            if binding is not None:
                self.young[key] = binding
        return binding

    def put(self, key: bytes, binding: Binding) -> None:
        """Store a binding and restart its lifetime."""
        self.young[key] = binding
        if self.old:
            self.old.pop(key, None)

    def pop(self, key: bytes) -> Binding | None:
        """Remove an entry and return its binding."""
        binding = self.young.pop(key, None)
        if binding is None:
            return self.old.pop(key, None)
        return binding

    def rotate(self, now_s: float) -> dict[bytes, Binding]:
        """Discard expired entries if a lifetime has passed.

        Parameters
        ----------
        now_s : float
            Time in seconds.

        Returns
        -------
        dict
            The discarded entries.
        """
        if self._rotated_s is None:
            self._rotated_s = now_s
        is_full = self.limit is not None and len(self) > self.limit
        if now_s - self._rotated_s < self._lifetime_s and not is_full:
            return {}
        self._rotated_s = now_s
        expired = self.old
        self.old = self.young
        self.young = {}
        return expired
