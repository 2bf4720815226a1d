"""Configuration that an instance has in force.

Its generation never decreases, and no two configurations have the same
generation (the invariant ``config_monotonic``).
"""

from typing import Literal, NamedTuple

from siskinproxy.errors import InvariantViolation
from siskinproxy.operators.configuration import Configuration

__all__ = (
    'ConfigurationInForce',
    'ConfigurationResult',
    'ConfigurationState',
    'assert_monotonic',
)


class ConfigurationInForce(NamedTuple):
    """Configuration in force and its origin.

    Parameters
    ----------
    generation : int
        Generation of the head in the store; each accepted change raises it.
    head_digest : bytes
        Digest of that head.
    configuration : Configuration
        The configuration.
    provisional : bool
        True until the store or a peer that has read it confirms the
        generation.
    applied_s : float
        Time at which it came into force, in seconds of the local clock.
    """

    generation: int
    head_digest: bytes
    configuration: Configuration
    provisional: bool
    applied_s: float


class ConfigurationResult(NamedTuple):
    """Result of an attempt to apply a configuration.

    Parameters
    ----------
    outcome : {'applied', 'ignored', 'confirmed'}
        ``applied`` if it replaced the configuration in force, ``confirmed``
        if the one in force is no longer provisional.
    reason : str
        Why, for the log.
    """

    outcome: Literal['applied', 'ignored', 'confirmed']
    reason: str


class ConfigurationState:
    """Holds the configuration in force and applies only higher generations."""

    def __init__(self) -> None:
        self._in_force: ConfigurationInForce | None = None

    @property
    def in_force(self) -> ConfigurationInForce | None:
        """Configuration in force, or None before the first one."""
        return self._in_force

    @property
    def generation(self) -> int:
        """Generation in force, or 0 before the first one."""
        return self._in_force.generation if self._in_force else 0

    def apply(self, candidate: ConfigurationInForce) -> ConfigurationResult:
        """Put a configuration into force if its generation is higher.

        Parameters
        ----------
        candidate : ConfigurationInForce
            Configuration that was read from the store or from peers.

        Returns
        -------
        ConfigurationResult
            ``confirmed`` if the same generation is in force and was
            provisional before; ``ignored`` for a lower generation and for
            the same one otherwise.

        Raises
        ------
        InvariantViolation
            If the same generation has another head (``config_monotonic``).
        """
        before = self._in_force
        if before is None:
            return self._replace(candidate, 'first configuration')
        if candidate.generation < before.generation:
            reason = f'generation={candidate.generation} is lower than in force'
            return ConfigurationResult('ignored', reason)
        assert_monotonic(before, candidate)
        if candidate.generation > before.generation:
            return self._replace(candidate, 'higher generation')
        if before.provisional and not candidate.provisional:
            return self.confirm('same generation read again')
        return ConfigurationResult('ignored', 'same generation')

    def confirm(self, reason: str) -> ConfigurationResult:
        """Mark the configuration in force as no longer provisional.

        Parameters
        ----------
        reason : str
            How it was confirmed, for the log.

        Returns
        -------
        ConfigurationResult
            ``ignored`` if none is in force or it was not provisional.
        """
        before = self._in_force
        if before is None or not before.provisional:
            return ConfigurationResult('ignored', 'not provisional')
        self._in_force = before._replace(provisional=False)
        return ConfigurationResult('confirmed', reason)

    def _replace(
        self,
        candidate: ConfigurationInForce,
        reason: str,
    ) -> ConfigurationResult:
        if self._in_force is not None:
            assert_monotonic(self._in_force, candidate)
        self._in_force = candidate
        return ConfigurationResult('applied', reason)


def assert_monotonic(
    before: ConfigurationInForce,
    after: ConfigurationInForce,
) -> None:
    """Check that a configuration may replace the one in force.

    Parameters
    ----------
    before : ConfigurationInForce
        Configuration in force.
    after : ConfigurationInForce
        Configuration that replaces it.

    Raises
    ------
    InvariantViolation
        If the generation decreases, or stays the same with another head
        (``config_monotonic``).
    """
    if after.generation > before.generation:
        return
    same = after.generation == before.generation
    if same and after.head_digest == before.head_digest:
        return
    detail = (
        f'generation_before={before.generation} '
        f'generation_after={after.generation} '
        f'head_before={before.head_digest.hex()} '
        f'head_after={after.head_digest.hex()}'
    )
    raise InvariantViolation('config_monotonic', detail)
