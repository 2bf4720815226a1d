"""Options of a submission: hooks of the operators' rules and retries."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

from siskinproxy.errors import SiskinproxyError
from siskinproxy.operators.configuration import Configuration
from siskinproxy.operators.differences import describe, find_differences
from siskinproxy.operators.retirement import retire
from siskinproxy.operators.validation import validate

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


def describe_change(
    previous: Configuration | None,
    cfg: Configuration,
) -> str:
    """Return a text that names what differs, for the audit trail.

    Parameters
    ----------
    previous : Configuration or None
        Configuration before the change.
    cfg : Configuration
        Configuration after the change.

    Returns
    -------
    str
        One line.
    """
    if previous is None:
        return 'first configuration'
    found = find_differences(previous, cfg)
    return '; '.join(map(describe, found)) or 'no difference'


@dataclass(frozen=True, slots=True)
class SubmitOptions:
    """Hooks and retries of a submission.

    Parameters
    ----------
    validate : callable
        ``validate(cfg, previous=..., now_unix_s=...)`` returns a tuple of
        errors.
    retire : callable
        ``retire(previous, cfg, generation, now_unix_s)`` returns the
        validated configuration with its retired targets; ``previous`` is
        None for the first configuration.
    summarize : callable
        ``summarize(previous, cfg)`` returns the summary for the audit trail.
    known_sections : mapping of bytes to bytes
        Encoded sections by digest that need not be read from the store.
    retry : RetryPolicy
        Retries while the store is unavailable.
    sleep : callable
        Coroutine function that waits for some seconds.
    rng : random.Random
        Source of the jitter.
    """

    validate: Callable[..., tuple[SiskinproxyError, ...]] = validate
    retire: Callable[..., Configuration] = retire
    summarize: Callable[..., str] = describe_change
    known_sections: Mapping[bytes, bytes] = field(default_factory=dict)
    retry: RetryPolicy = RetryPolicy()
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep
    rng: random.Random = field(default_factory=random.Random)
