"""Progress of a generation over the instances of a region."""

from collections.abc import Iterable
from typing import Final, NamedTuple

__all__ = ('GenerationProgress', 'InstanceState', 'measure_progress')

_DEAD: Final = 'dead'


class InstanceState(NamedTuple):
    """Instance as another one sees it.

    Parameters
    ----------
    name : str
        Name of the instance.
    zone : str
        Availability zone.
    state : str
        ``joining``, ``alive``, ``leaving``, ``suspect`` or ``dead``.
    generation : int
        Last generation that it stated to have in force; 0 for none.
    """

    name: str
    zone: str
    state: str
    generation: int


class GenerationProgress(NamedTuple):
    """Which instances have a generation in force.

    Parameters
    ----------
    generation : int
        Generation that is waited for.
    confirmed : tuple of str
        Instances that have it or a higher one.
    lagging : tuple of str
        Instances that have not.
    unreachable : tuple of str
        Dead instances, whatever they stated before.
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
    """Sort instances by whether they have a generation in force.

    Parameters
    ----------
    generation : int
        Generation that is waited for.
    instances : iterable of InstanceState
        All known instances.

    Returns
    -------
    GenerationProgress
        Names of the instances, sorted.
    """
    confirmed: list[str] = []
    lagging: list[str] = []
    unreachable: list[str] = []
    for instance in sorted(instances):
        if instance.state == _DEAD:
            # It may have been replaced by a process without configuration.
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
