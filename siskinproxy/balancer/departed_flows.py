"""Requests that were open when this instance stopped being a home."""

from typing import Final

from siskinproxy.callers.flow_state import has_released_slot
from siskinproxy.callers.flow_table import Binding, RotatingTable
from siskinproxy.instances.placement import ShardKey, View

__all__ = ('DepartedFlows',)

#: The entries of the flows have expired by then (twice the lifetime of the
#: table).
_RETENTION_S: Final = 240.0


class DepartedFlows:
    """Entries that do not show whether their request is still in progress.

    The homes of a shard are told when a request ends. An instance that was no
    home for a time has missed that, so its entries from before hold no slot
    until another home confirms them with a copy.

    Parameters
    ----------
    name : str
        Name of this instance.
    requests : RotatingTable
        Entries of flows of listeners in mode ``request``.
    """

    __slots__ = ('_bindings', '_departed_s', '_name', '_requests')

    def __init__(self, name: str, requests: RotatingTable) -> None:
        self._name = name
        self._requests = requests
        self._bindings: dict[bytes, Binding] = {}
        self._departed_s = float(0)

    def note_view(self, earlier: View, current: View, now_s: float) -> None:
        """Record the open requests of shards that this instance leaves.

        Parameters
        ----------
        earlier : View
            View that is replaced.
        current : View
            View in force from now on.
        now_s : float
            Time in seconds.
        """
        if now_s - self._departed_s > _RETENTION_S:
            self._bindings.clear()
        left = {
            shard
            for shard in earlier.shards()
            if self._is_home(earlier, shard)
            and not self._is_home(current, shard)
        }
        if not left:
            return
        self._departed_s = now_s
        for key, binding in self._requests:
            shard = earlier.shard_of(binding.route.listener.service, key)
            if shard in left and not has_released_slot(binding.state):
                self._bindings[key] = binding

    def is_outdated(self, key: bytes, binding: Binding) -> bool:
        """Tell whether an entry has not changed since this instance left."""
        return self._bindings.get(key) is binding

    def confirm(self, key: bytes) -> bool:
        """Record that another home has the flow as open.

        Returns
        -------
        bool
            Whether the entry of the flow was outdated.
        """
        return self._bindings.pop(key, None) is not None

    def _is_home(self, view: View, shard: ShardKey) -> bool:
        return any(home.name == self._name for home in view.homes(shard))
