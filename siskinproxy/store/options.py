"""Options of a submission: rules applied to a configuration, and retries.

The rules are callables, so that a deployment can bind parameters to them.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

from siskinproxy.errors import SiskinproxyError
from siskinproxy.operators.configuration import Configuration
from siskinproxy.operators.differences import (
    describe,
    find_differences,
)
from siskinproxy.operators.retirement import retire
from siskinproxy.operators.validation import validate

__all__ = ('RetryPolicy', 'SubmitOptions', 'describe_change')


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Exponential backoff of calls to the store that failed.

    Parameters
    ----------
    limit_s : float
        Time in seconds after the start of a submission at which retries end.
        The limit is a time and not a number of retries, since a short outage
        fails all concurrent writes of a large change at once.
    first_delay_s : float
        Delay in seconds before the first retry of a call; doubled with each
        further retry.
    max_delay_s : float
        Longest delay in seconds.
    """

    limit_s: float = 15
    first_delay_s: float = 0.1
    max_delay_s: float = 2

    def delay_s(self, retry: int, rng: random.Random) -> float:
        """Return the delay before a retry, 50% to 100% of the nominal one.

        Parameters
        ----------
        retry : int
            Number of the retry of this call, starting at 0.
        rng : random.Random
            Random source for the jitter.
        """
        nominal_s = min(
            self.first_delay_s * 2 ** min(retry, 16), self.max_delay_s
        )
        return nominal_s * rng.uniform(0.5, 1)


def describe_change(
    previous: Configuration | None,
    cfg: Configuration,
) -> str:
    """Return the summary of a change for the audit trail.

    Parameters
    ----------
    previous : Configuration or None
        Configuration before the change; None if there was none.
    cfg : Configuration
        Configuration after the change.

    Returns
    -------
    str
        The differences in one line, separated by semicolons.
    """
    if previous is None:
        return 'first configuration'
    found = find_differences(previous, cfg)
    return '; '.join(map(describe, found)) or 'no difference'


@dataclass(frozen=True, slots=True)
class SubmitOptions:
    """Rules and retries of a submission.

    Parameters
    ----------
    validate : callable
        ``validate(cfg, previous=..., now_unix_s=...)`` returns a tuple of
        errors; empty if the configuration is valid.
    retire : callable
        ``retire(previous, cfg, generation, now_unix_s)`` returns the validated
        configuration with the targets that it removes recorded as retired;
        ``previous`` is None for the first configuration.
    summarize : callable
        ``summarize(previous, cfg)`` returns the summary for the audit trail.
    known_sections : mapping of bytes to bytes
        Encoded sections by digest that the caller has already; they are not
        read from the store.
    retry : RetryPolicy
        Backoff of failed calls to the store.
    sleep : callable
        Coroutine function that waits for the given number of seconds.
    rng : random.Random
        Random source for the jitter of delays.
    """

    validate: Callable[..., tuple[SiskinproxyError, ...]] = validate
    retire: Callable[..., Configuration] = retire
    summarize: Callable[..., str] = describe_change
    known_sections: Mapping[bytes, bytes] = field(default_factory=dict)
    retry: RetryPolicy = RetryPolicy()
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep
    rng: random.Random = field(default_factory=random.Random)
