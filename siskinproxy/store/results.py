"""Results of a submission: accepted, conflicting, rejected or unknown."""

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
    """The change was accepted: it replaced the head.

    Parameters
    ----------
    generation : int
        Generation that the submission produced.
    reason : str
        How the result is known: ``swapped`` (the store confirmed the write),
        ``found_in_head`` or ``found_in_audit`` (the submission id was found in
        the head or in the audit trail).
    """

    generation: int
    reason: str = 'swapped'


@dataclass(frozen=True, slots=True)
class Conflict:
    """Another change was accepted first; this one will never take effect.

    Parameters
    ----------
    base_generation : int
        Generation that the submission was based on.
    found_generation : int
        Generation of the head in the store.
    reason : str
        Why the submission conflicts: ``generation_advanced`` (another change
        was accepted) or ``head_restored`` (the store was restored to an older
        state).
    """

    base_generation: int
    found_generation: int
    reason: str = 'generation_advanced'


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The change may or may not have been accepted.

    Submitting again with the same id, content and base generation yields the
    outcome; the change cannot be applied twice.

    Parameters
    ----------
    reason : str
        Last error of the store, or why the outcome cannot be found out.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class Rejected:
    """The configuration was not changed by this call to `submit`.

    Parameters
    ----------
    errors : tuple of SiskinproxyError
        Errors of the submission, or the error of the store.
    reason : str
        ``invalid`` (the submission is not valid), ``submission_reused`` (its id
        was accepted with other content) or ``store`` (an error of the store
        stopped the submission before the commit).
    """

    errors: tuple[SiskinproxyError, ...]
    reason: str


SubmissionResult: TypeAlias = Accepted | Conflict | OutcomeUnknown | Rejected
