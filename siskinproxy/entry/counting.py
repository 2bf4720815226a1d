"""Counts the work in progress of each flow at its target.

A flow counts from its opening until its closing packet is seen. Where
`siskinproxy.entry.scheduling.requests` follows requests, it counts from each
request until the response to it.
"""

from typing import Final

from siskinproxy.entry.flows import FlowTable, OpenedFlow
from siskinproxy.entry.metrics import Histogram
from siskinproxy.entry.target_selection import Placer

__all__ = ('FlowCounter',)

#: Weight of a new sample in the moving average of durations.
_DURATION_WEIGHT: Final = 1 / 16
#: Initial value of that average, in seconds.
_INITIAL_MEAN_DURATION_S: Final = 0.1
#: Time for which a flow counts as in progress if its end is not seen, as a
#: multiple of the mean duration. After a change of the fabric, packets pass
#: through another instance, and slots must not stay occupied by flows that
#: have ended.
_COUNTED_DURATION_FACTOR: Final = 3


class FlowCounter:
    """Counts flows in progress, and the usual time for which they are.

    Parameters
    ----------
    flows : FlowTable
        Flows of this instance.
    placer : Placer
        Keeps the counts by target.
    min_timeout_s : float
        Lower limit of the time for which a flow counts if its end is not seen,
        in seconds.

    Attributes
    ----------
    min_timeout_s : float
        As above; may be replaced at any time.
    times : Histogram
        Time for which flows were in progress.
    """

    def __init__(
        self, flows: FlowTable, placer: Placer, min_timeout_s: float
    ) -> None:
        self._flows = flows
        self._placer = placer
        self.min_timeout_s = min_timeout_s
        self.times = Histogram()
        self._mean_duration_s = _INITIAL_MEAN_DURATION_S

    @property
    def timeout_s(self) -> float:
        """Time for which a flow counts without an end, in seconds."""
        timeout_s = _COUNTED_DURATION_FACTOR * self._mean_duration_s
        return max(timeout_s, self.min_timeout_s)

    def count(self, flow: OpenedFlow, now_s: float) -> None:
        """Count a flow as in progress at its target."""
        if not flow.is_counted:
            flow.is_counted = True
            self._placer.note_started(flow.target)
        self._flows.count_until(flow, now_s + self.timeout_s)

    def uncount(self, flow: OpenedFlow) -> None:
        """Stop counting a flow; does nothing if it does not count."""
        if flow.is_counted:
            flow.is_counted = False
            self._placer.note_ended(flow.target)

    def note_duration(self, duration_s: float) -> None:
        """Record for how long a flow was in progress, in seconds."""
        self.times.observe(duration_s)
        difference_s = duration_s - self._mean_duration_s
        self._mean_duration_s += _DURATION_WEIGHT * difference_s
