"""Speed of each target and the number of requests that it takes well.

Both are learned from response times. A sample is the ratio of a response time
to the usual one of its route, so that routes with different work compare.
Instances send each other their samples with the load reports.
"""

import math
from collections.abc import Collection, Mapping
from typing import Final, TypeAlias

from siskinproxy.entry.scheduling.limits import SpeedLimits, TargetSpeed
from siskinproxy.entry.scheduling.usual_times import UsualTimes

__all__ = ('TargetSpeeds',)


#: Name under which the samples of this instance are kept.
_OWN: Final = ''
#: Weight of a new sample against the kept one of the same instance.
_SAME_PEER_WEIGHT: Final = 0.5
#: Lower limit of the time between two samples. Reports that arrive together
#: would otherwise count as one, in seconds.
_MIN_STEP_S: Final = 0.05
#: Smallest response time that counts, in seconds.
_MIN_RESPONSE_S: Final = 1e-6
#: Age from which on the state of a target without samples is deleted, in
#: seconds; it then equals that of an unknown target.
_MAX_STATE_AGE_S: Final = 30.0

#: Instance, logarithm of the ratio, and time of a sample.
_Sample: TypeAlias = tuple[str, float, float]


class _State:
    """Latest samples and limit of one target.

    The samples come from three instances, but for those of this instance. A
    single other instance is thus always in the minority.
    """

    __slots__ = (
        'count',
        'factor',
        'level',
        'load',
        'reference',
        'samples',
        'updated_s',
    )

    def __init__(self, factor: float) -> None:
        self.count = 0
        self.factor = factor
        self.level: float = 0
        self.load = math.inf
        self.reference: float = 0
        self.samples: list[_Sample] = [(_OWN, 0, -math.inf)] * 3
        self.updated_s = -math.inf


class TargetSpeeds:
    """Slowness and limit of each target, by token.

    Parameters
    ----------
    limits : SpeedLimits or None
        Bounds and time constants.

    Attributes
    ----------
    limits : SpeedLimits
        Bounds and time constants; may be replaced at any time.
    """

    def __init__(self, limits: SpeedLimits | None = None) -> None:
        self.limits = limits or SpeedLimits()
        self._usual = UsualTimes()
        self._states: dict[int, _State] = {}
        # Number of samples, sum of their ratios and reports left, by token.
        self._unsent: dict[int, tuple[int, float, int]] = {}
        self._paused_s = -math.inf

    def note_response(
        self, token: int, route: str, response_s: float, now_s: float
    ) -> None:
        """Add the response time of a request of this instance.

        The first requests of a route only determine its usual response time.
        A time that is not positive and finite is ignored, as is one of a
        request that began before a pause of this process.

        Parameters
        ----------
        token : int
            Token of the target.
        route : str
            Name of the route.
        response_s : float
            Time from the request to the response, in seconds.
        now_s : float
            Current time in seconds.
        """
        if not _MIN_RESPONSE_S <= response_s < math.inf:
            return
        if now_s - response_s < self._paused_s:
            return
        ratio_log = self._usual.note(route, math.log(response_s), now_s)
        if ratio_log is not None:
            self._note_own(token, ratio_log, now_s)

    def note_unanswered(self, token: int, now_s: float) -> None:
        """Add a bad sample: an opening was rejected or had no answer."""
        self._note_own(token, math.log(self.limits.unanswered_slowness), now_s)

    def note_load(self, token: int, load_per_slot: float) -> None:
        """Set the requests in progress per slot, from which the limit falls.

        Without it a limit first falls to the load that the target really has.
        """
        state = self._states.get(token)
        if state is not None:
            state.load = load_per_slot

    def note_pause(self, now_s: float) -> None:
        """Ignore responses to requests that began before this time.

        Called after a pause of the process, which delayed its packets.
        """
        self._paused_s = now_s

    def usual_response_s(self, route: str) -> float:
        """Return the usual response time of a route in seconds."""
        return self._usual.usual_s(route)

    def take_samples(self) -> dict[int, tuple[int, int]]:
        """Return the samples of this instance for the next load report.

        Each sample is returned by `SpeedLimits.sends_per_sample` calls, unless
        a newer one of its target replaces it. Samples beyond
        `SpeedLimits.most_reported` targets wait for the next call.

        Returns
        -------
        dict of int to tuple of int
            Number of samples and sum of their ratios in percent, by token.
        """
        taken = {}
        for token in tuple(self._unsent)[: self.limits.most_reported]:
            count, total, left = self._unsent.pop(token)
            taken[token] = (count, round(100 * total))
            if left > 1:
                self._unsent[token] = (count, total, left - 1)
        return taken

    def apply_samples(
        self,
        instance: str,
        samples: Mapping[int, tuple[int, int]],
        now_s: float,
    ) -> None:
        """Add samples of another instance of the zone.

        Whatever their number, they count as one of three. Samples without a
        positive number and sum are ignored.

        Parameters
        ----------
        instance : str
            Name of the other instance.
        samples : mapping of int to tuple of int
            Number of samples and sum of their ratios in percent, by token.
        now_s : float
            Current time in seconds.
        """
        if instance == _OWN:
            return
        for token, (count, total) in samples.items():
            if count <= 0 or total <= 0:
                continue
            state = self._state_of(token)
            if state is None:
                continue
            limits = self.limits
            ratio = min(
                max(total / count / 100, limits.least_slowness),
                limits.most_slowness,
            )
            self._add(state, instance, math.log(ratio), now_s)

    def balance(self, tokens: Collection[int], now_s: float) -> None:
        """Compare the targets of a service with their median from now on.

        Called a few times a second. If all targets of a service slow down,
        none is slow relative to the others and no limit falls.

        Parameters
        ----------
        tokens : collection of int
            Tokens of all usable targets of the service.
        now_s : float
            Current time in seconds.
        """
        states = [self._states.get(token) for token in tokens]
        levels = sorted(
            0 if state is None else self._level_at(state, now_s)
            for state in states
        )
        if not levels:
            return
        reference = levels[(len(levels) - 1) // 2]
        for state in states:
            if state is not None:
                state.reference = reference

    def slowness(self, token: int, now_s: float) -> float:
        """Return how much slower than usual a target responds.

        Parameters
        ----------
        token : int
            Token of the target.
        now_s : float
            Current time in seconds.

        Returns
        -------
        float
            Within the bounds of `SpeedLimits`; 1 for an unknown target, and
            towards 1 as samples grow old.
        """
        state = self._states.get(token)
        return 1.0 if state is None else self._slowness_at(state, now_s)

    def limit(self, token: int, slots: int, now_s: float) -> float:
        """Return how many requests in progress a target takes well.

        Parameters
        ----------
        token : int
            Token of the target.
        slots : int
            Requests that the target runs concurrently.
        now_s : float
            Current time in seconds.

        Returns
        -------
        float
            At least 1.
        """
        state = self._states.get(token)
        if state is None:
            return max(1.0, slots * self.limits.declared_per_slot)
        return max(1.0, slots * self._factor_at(state, now_s))

    def snapshot(self, token: int, now_s: float) -> TargetSpeed:
        """Return what is known of a target."""
        state = self._states.get(token)
        if state is None:
            return TargetSpeed(1.0, self.limits.declared_per_slot, 0, None)
        age_s = max(now_s - state.updated_s, 0) if state.count else None
        return TargetSpeed(
            self._slowness_at(state, now_s),
            self._factor_at(state, now_s),
            state.count,
            age_s,
        )

    def forget(self, token: int) -> None:
        """Delete what is known of a target, for example when it restarts."""
        self._states.pop(token, None)
        self._unsent.pop(token, None)

    def expire(self, now_s: float) -> None:
        """Delete the state of targets and routes without recent samples."""
        for token, state in tuple(self._states.items()):
            if now_s - state.updated_s > _MAX_STATE_AGE_S:
                self.forget(token)
        self._usual.expire(now_s)

    def _state_of(self, token: int) -> _State | None:
        state = self._states.get(token)
        if state is None and len(self._states) < self.limits.most_targets:
            state = _State(self.limits.declared_per_slot)
            self._states[token] = state
        return state

    def _note_own(self, token: int, ratio_log: float, now_s: float) -> None:
        state = self._state_of(token)
        if state is None:
            return
        limits = self.limits
        ratio = min(
            max(math.exp(ratio_log), limits.least_slowness),
            limits.most_slowness,
        )
        count, total, left = self._unsent.get(token, (0, 0, 0))
        full = limits.sends_per_sample
        if left == full:
            self._unsent[token] = (count + 1, total + ratio, full)
        else:
            self._unsent[token] = (1, ratio, full)
        self._add(state, _OWN, math.log(ratio), now_s)

    def _add(
        self, state: _State, instance: str, ratio_log: float, now_s: float
    ) -> None:
        _keep(state.samples, instance, ratio_log, now_s)
        elapsed_s = min(max(now_s - state.updated_s, 0), self.limits.memory_s)
        factor = self._factor_at(state, now_s)
        level = self._level_at(state, now_s)
        step_s = max(elapsed_s, _MIN_STEP_S)
        gain = step_s / (step_s + self.limits.smoothing_s)
        state.level = level + gain * (self._median(state, now_s) - level)
        state.updated_s = max(now_s, state.updated_s)
        state.count += 1
        state.factor = self._adapt(state, factor, elapsed_s)

    def _median(self, state: _State, now_s: float) -> float:
        """Return the median sample, each reduced by its age."""
        memory_s = self.limits.memory_s
        one, two, three = (
            ratio_log * max(0, 1 - max(0, now_s - noted_s) / memory_s)
            for _, ratio_log, noted_s in state.samples
        )
        return max(min(one, two), min(max(one, two), three))

    def _adapt(self, state: _State, factor: float, elapsed_s: float) -> float:
        """Return the limit per slot after a sample."""
        limits = self.limits
        relative = math.exp(state.level - state.reference)
        if relative > limits.tolerated_slowness:
            start = min(factor, state.load)
            wanted = start * limits.tolerated_slowness / relative
            gain = elapsed_s / (elapsed_s + limits.fall_time_s)
            factor = start + gain * (wanted - start)
        else:
            rise_s = min(elapsed_s, limits.hold_s)
            factor += limits.rise_per_slot_s * rise_s
        return min(max(factor, limits.least_per_slot), limits.declared_per_slot)

    def _level_at(self, state: _State, now_s: float) -> float:
        age_s = max(now_s - state.updated_s, 0)
        return state.level * max(0, 1 - age_s / self.limits.memory_s)

    def _slowness_at(self, state: _State, now_s: float) -> float:
        limits = self.limits
        relative = math.exp(self._level_at(state, now_s) - state.reference)
        return min(max(relative, limits.least_slowness), limits.most_slowness)

    def _factor_at(self, state: _State, now_s: float) -> float:
        limits = self.limits
        idle_s = now_s - state.updated_s - limits.hold_s
        if idle_s <= 0:
            return state.factor
        risen = state.factor + limits.rise_per_slot_s * idle_s
        return min(risen, limits.declared_per_slot)


def _keep(
    samples: list[_Sample], instance: str, ratio_log: float, now_s: float
) -> None:
    """Replace the sample of the same other instance, or else the oldest."""
    oldest = 0
    for index, (name, earlier_log, noted_s) in enumerate(samples):
        if name == instance and instance != _OWN:
            change = _SAME_PEER_WEIGHT * (ratio_log - earlier_log)
            samples[index] = (instance, earlier_log + change, now_s)
            return
        if noted_s < samples[oldest][2]:
            oldest = index
    samples[oldest] = (instance, ratio_log, now_s)
