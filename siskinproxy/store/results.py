"""Results of a submission."""

from dataclasses import dataclass
from typing import TypeAlias

from siskinproxy.errors import SiskinproxyError

__all__ = (
    'Accepted',
    'Conflict',
    'OutcomeUnknown',
    'Rejected',
    'SubmissionResult',
)


@dataclass(frozen=True, slots=True)
class Accepted:
    """The compare-and-swap of the head took effect.

    Parameters
    ----------
    generation : int
        Generation that the submission produced.
    reason : str
        How the result is known: ``swapped``, ``found_in_head`` or
        ``found_in_audit``.
    """

    generation: int
    reason: str = 'swapped'


@dataclass(frozen=True, slots=True)
class Conflict:
    """Another change was accepted first; this one had and has no effect.

    Parameters
    ----------
    base_generation : int
        Generation that the submission was based on.
    found_generation : int
        Generation in the store.
    reason : str
        Why the submission conflicts.
    """

    base_generation: int
    found_generation: int
    reason: str = 'generation_advanced'


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The submission may or may not be accepted.

    Submitting again with the same id and content resolves the outcome and
    cannot apply the change twice.

    Parameters
    ----------
    reason : str
        Last error of the store.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class Rejected:
    """The call did not change the configuration.

    Parameters
    ----------
    errors : tuple of SiskinproxyError
        Why: errors of the configuration, or the error of the store.
    reason : str
        ``invalid``, ``submission_reused`` or ``store``.
    """

    errors: tuple[SiskinproxyError, ...]
    reason: str


SubmissionResult: TypeAlias = Accepted | Conflict | OutcomeUnknown | Rejected
