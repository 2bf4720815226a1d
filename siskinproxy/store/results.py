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
    """The head is not the one that the change is based on.

    The change was not accepted and will never take effect.

    Parameters
    ----------
    base_generation : int
        Generation that the submission was based on.
    found_generation : int
        Generation of the head in the store.
    reason : str
        Why the submission conflicts: ``generation_advanced`` (the head has
        another generation than the base, as a rule since another change was
        accepted) or ``head_restored`` (the head has the base generation but
        another version, since the store was restored after a loss of data).
    """

    base_generation: int
    found_generation: int
    reason: str = 'generation_advanced'


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The change may or may not have been accepted.

    Submitting again with the same id, content and base generation yields the
    outcome, unless the audit entry that would tell it was pruned; the change
    cannot be applied twice.

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
        was accepted with other content or another base generation) or
        ``store`` (an error of the store stopped the submission before it
        replaced the head).
    """

    errors: tuple[SiskinproxyError, ...]
    reason: str


SubmissionResult: TypeAlias = Accepted | Conflict | OutcomeUnknown | Rejected
