"""Options of a submission: hooks of the operators' rules and retries."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

from siskinproxy.errors import ConfigurationError, SiskinproxyError
from siskinproxy.operators.configuration import Configuration

__all__ = ('RetryPolicy', 'SubmitOptions', 'describe_change')


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Retries while the store is unavailable.

    Parameters
    ----------
    limit_s : float
        Time after the start of a submission at which retries end. The limit
        is on the time and not on the number, since a short outage fails all
        concurrent writes of a large change at once.
    first_delay_s : float
        Delay before the first retry of a call; doubled with each further one.
    max_delay_s : float
        Longest delay.
    """

    limit_s: float = 15
    first_delay_s: float = 0.1
    max_delay_s: float = 2

    def delay_s(self, retry: int, rng: random.Random) -> float:
        """Return the delay before a retry, 50% to 100% of the nominal one."""
        nominal_s = min(
            self.first_delay_s * 2 ** min(retry, 16), self.max_delay_s
        )
        return nominal_s * rng.uniform(0.5, 1)


def _keep(
    previous: Configuration | None,
    cfg: Configuration,
    generation: int,
    now_unix_s: int,
) -> Configuration:
    """Return the configuration unchanged."""
    return cfg


def _no_errors(
    cfg: Configuration,
    previous: Configuration | None = None,
    now_unix_s: int = 0,
) -> tuple[ConfigurationError, ...]:
    """Accept every configuration."""
    return ()


def describe_change(
    previous: Configuration | None,
    cfg: Configuration,
) -> str:
    """Return a short text that names what differs.

    Parameters
    ----------
    previous : Configuration or None
        Configuration before the change.
    cfg : Configuration
        Configuration after the change.

    Returns
    -------
    str
        Text for the audit trail.
    """
    if previous is None:
        return 'first configuration'
    earlier = {service.name: service for service in previous.services}
    later = {service.name: service for service in cfg.services}
    names = sorted(earlier.keys() | later.keys())
    parts = [name for name in names if earlier.get(name) != later.get(name)]
    changed = ['services: {}'.format(', '.join(parts))] if parts else []
    if previous.zones != cfg.zones:
        changed.append('zones')
    if previous.retired != cfg.retired:
        changed.append('retired targets')
    return '; '.join(changed) or 'nothing'


@dataclass(frozen=True, slots=True)
class SubmitOptions:
    """Hooks and retries of a submission.

    Parameters
    ----------
    retire : callable
        ``retire(previous, cfg, generation, now_unix_s)`` returns the
        configuration with its retired targets.
    validate : callable
        ``validate(cfg, previous=..., now_unix_s=...)`` returns a tuple of
        errors.
    describe : callable
        ``describe(previous, cfg)`` returns the summary for the audit trail.
    known_sections : mapping of bytes to bytes
        Encoded sections by digest that need not be read from the store.
    retry : RetryPolicy
        Retries while the store is unavailable.
    sleep : callable
        Coroutine function that waits for some seconds.
    rng : random.Random
        Source of the jitter.
    """

    retire: Callable[..., Configuration] = _keep
    validate: Callable[..., tuple[SiskinproxyError, ...]] = _no_errors
    describe: Callable[..., str] = describe_change
    known_sections: Mapping[bytes, bytes] = field(default_factory=dict)
    retry: RetryPolicy = RetryPolicy()
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep
    rng: random.Random = field(default_factory=random.Random)
