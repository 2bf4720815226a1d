"""Rollout of a configuration generation to the instances of a region.

A generation is the number of an accepted configuration. It is in effect once
every reachable instance reports that it uses it.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

__all__ = ('GenerationProgress', 'InstanceState', 'measure_progress')

_DEAD: Final = 'dead'


class InstanceState(NamedTuple):
    """State of an instance as seen by the instance that is asked.

    Parameters
    ----------
    name : str
        Name of the instance.
    zone : str
        Availability zone.
    state : str
        Membership state: ``joining``, ``alive``, ``leaving``, ``suspect`` or
        ``dead``.
    generation : int
        Generation that the instance last reported to use; 0 for none.
    """

    name: str
    zone: str
    state: str
    generation: int


class GenerationProgress(NamedTuple):
    """Which instances use a generation.

    Parameters
    ----------
    generation : int
        Generation that is waited for.
    confirmed : tuple of str
        Instances that use this generation or a higher one.
    lagging : tuple of str
        Instances that use a lower generation or none.
    unreachable : tuple of str
        Dead instances, whatever generation they reported before.
    """

    generation: int
    confirmed: tuple[str, ...]
    lagging: tuple[str, ...]
    unreachable: tuple[str, ...]

    @property
    def in_effect(self) -> bool:
        """Whether no instance is lagging and at least one has confirmed."""
        return bool(self.confirmed) and not self.lagging


def measure_progress(
    generation: int,
    instances: Iterable[InstanceState],
) -> GenerationProgress:
    """Group instances by whether they use a generation.

    Parameters
    ----------
    generation : int
        Generation that is waited for.
    instances : iterable of InstanceState
        All known instances.

    Returns
    -------
    GenerationProgress
        Names of the instances, sorted within each group.
    """
    confirmed: list[str] = []
    lagging: list[str] = []
    unreachable: list[str] = []
    for instance in sorted(instances):
        if instance.state == _DEAD:
            # A restarted process of this name may have no configuration yet, so
            # the generation that was reported last proves nothing.
            unreachable.append(instance.name)
        elif instance.generation >= generation:
            confirmed.append(instance.name)
        else:
            lagging.append(instance.name)
    return GenerationProgress(
        generation,
        tuple(confirmed),
        tuple(lagging),
        tuple(unreachable),
    )
