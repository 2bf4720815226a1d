"""Flow tables: the target and the TCP state of each flow.

An instance looks up each segment by its flow key, the packed addresses and
ports of caller and listener.
"""

from collections.abc import Iterator
from enum import IntEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from siskinproxy.balancer.routes import Route

__all__ = ('Binding', 'FlowState', 'RotatingTable')


class FlowState(IntEnum):
    """State of a TCP connection, as seen in the segments of both sides."""

    #: The caller has sent a SYN that the target has not acknowledged.
    OPENING = 0
    #: The target has sent its SYN.
    ESTABLISHED = 1
    #: Only the caller has sent a FIN.
    CALLER_CLOSED = 2
    #: Only the target has sent a FIN.
    TARGET_CLOSED = 3
    #: Both sides have sent a FIN, or one has sent a RST.
    CLOSED = 4


class Binding:
    """Route and state of a flow.

    Flows with the same route and state share one object, so a flow needs no
    memory beyond its key and its entry in the table.

    Parameters
    ----------
    route : Route
        Listener and target of the flow.
    state : FlowState
        State of the TCP connection.
    """

    __slots__ = ('route', 'state')

    def __init__(self, route: 'Route', state: FlowState) -> None:
        self.route = route
        self.state = state


class RotatingTable:
    """Flow table that expires entries without timestamps or scans.

    Entries are stored in the dictionary ``young``. Each rotation discards the
    dictionary ``old`` and replaces it by ``young``, so an entry expires one to
    two lifetimes after it was stored or renewed last.

    Parameters
    ----------
    lifetime_s : float
        Time between rotations, in seconds.
    limit : int, optional
        Number of entries above which the table rotates early. Without it
        entries expire by time only.

    Attributes
    ----------
    young : dict
        Bindings by flow key, stored or renewed since the last rotation.
    old : dict
        Bindings by flow key that the next rotation discards.
    """

    __slots__ = ('_lifetime_s', '_rotated_s', 'limit', 'old', 'young')

    def __init__(self, lifetime_s: float, limit: int | None = None) -> None:
        self.young: dict[bytes, Binding] = {}
        self.old: dict[bytes, Binding] = {}
        self.limit = limit
        self._lifetime_s = lifetime_s
        self._rotated_s: float | None = None

    def __len__(self) -> int:
        """Return the number of entries; a renewed one counts once."""
        return len(self.young) + len(self.old)

    def __iter__(self) -> Iterator[tuple[bytes, Binding]]:
        """Iterate over copies of both dictionaries, so entries may be removed.

        An entry that is renewed, or a rotation, during the iteration can cause
        an entry to be skipped or repeated.
        """
        yield from list(self.young.items())
        yield from list(self.old.items())

    def get(self, key: bytes) -> Binding | None:
        """Return the binding of a flow, or None, without renewing it."""
        return self.young.get(key) or self.old.get(key)

    def renew(self, key: bytes) -> Binding | None:
        """Return the binding of a flow, or None, and restart its lifetime."""
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
        """Remove an entry and return its binding, or None if there is none."""
        binding = self.young.pop(key, None)
        if binding is None:
            return self.old.pop(key, None)
        return binding

    def rotate(self, now_s: float) -> dict[bytes, Binding]:
        """Discard the old entries after a lifetime or above the limit.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        dict
            Discarded bindings by flow key; empty if no rotation was due.
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
