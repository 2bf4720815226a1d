"""Exception hierarchy of siskinproxy."""

from typing import Final

__all__ = (
    'EXIT_SETTINGS',
    'ConfigurationError',
    'GossipFormatError',
    'InvariantViolation',
    'LeaseLostError',
    'LinkFormatError',
    'SectionDigestError',
    'SegmentFormatError',
    'SettingsError',
    'SiskinproxyError',
    'StoreAccessError',
    'StoreConflictError',
    'StoreDataError',
    'StoreError',
    'StoreOutcomeUnknownError',
    'StoreRateLimitError',
    'StoreUnavailableError',
    'StoreValueSizeError',
    'SubmissionReusedError',
    'TunnelFormatError',
)

EXIT_SETTINGS: Final = 2


class SiskinproxyError(Exception):
    """Base class of all errors that this package raises."""


class SettingsError(SiskinproxyError):
    """A settings file has a wrong or missing entry.

    Parameters
    ----------
    path : str
        Settings file.
    key : str
        Dotted key of the entry.
    expected : str
        What the entry has to be.
    found : str
        What the file contains.
    """

    def __init__(self, path: str, key: str, expected: str, found: str) -> None:
        super().__init__(
            f'file={path} key={key} expected="{expected}" found="{found}"',
        )
        self.path = path
        self.key = key
        self.expected = expected
        self.found = found


class ConfigurationError(SiskinproxyError):
    """A configuration breaks a rule; subclasses name the rule."""


class SegmentFormatError(SiskinproxyError):
    """A datagram does not hold an IPv4 packet with a TCP segment."""


class TunnelFormatError(SiskinproxyError):
    """A datagram from another instance cannot be decoded."""


class GossipFormatError(SiskinproxyError):
    """A message between control processes is malformed or too long."""


class LinkFormatError(SiskinproxyError):
    """A frame between control and packet process is malformed or too long."""


class InvariantViolation(SiskinproxyError):
    """An invariant of the design page does not hold.

    Parameters
    ----------
    name : str
        Name of the invariant, such as ``service_isolation``.
    detail : str
        Key=value pairs that identify the case.
    """

    def __init__(self, name: str, detail: str) -> None:
        super().__init__(f'invariant={name} {detail}')
        self.name = name
        self.detail = detail


class StoreError(SiskinproxyError):
    """A call to the key-value store failed."""


class StoreUnavailableError(StoreError):
    """The store did not receive the call, so the call had no effect."""


class StoreRateLimitError(StoreError):
    """The store rejected the call because its rate limit is exceeded."""


class StoreConflictError(StoreError):
    """A compare-and-swap found another version than expected."""

    def __init__(self, key: str, expected: int, found: int) -> None:
        super().__init__(f'key={key} expected={expected} found={found}')
        self.key = key
        self.expected = expected
        self.found = found


class StoreOutcomeUnknownError(StoreError):
    """The store may or may not have executed a write."""


class LeaseLostError(StoreError):
    """The lease expired or was revoked."""


class StoreAccessError(StoreError):
    """The store rejected the token of the call, which had no effect."""


class StoreValueSizeError(StoreError):
    """The value is larger than the store accepts; the call had no effect.

    Parameters
    ----------
    key : str
        Key of the write.
    size_bytes : int
        Size of the value.
    limit_bytes : int
        Largest size that the store accepts.
    """

    def __init__(self, key: str, size_bytes: int, limit_bytes: int) -> None:
        super().__init__(f'key={key} size={size_bytes} limit={limit_bytes}')
        self.key = key
        self.size_bytes = size_bytes
        self.limit_bytes = limit_bytes


class StoreDataError(StoreError):
    """A value of the store cannot be decoded, or an expected key is absent.

    Parameters
    ----------
    key : str
        Key of the value.
    detail : str
        What is wrong with the value.
    """

    def __init__(self, key: str, detail: str) -> None:
        super().__init__(f'key={key} detail="{detail}"')
        self.key = key
        self.detail = detail


class SectionDigestError(StoreError):
    """A section of the configuration does not match the head's digest.

    Parameters
    ----------
    index : int
        Index of the section.
    expected : str
        Digest in the head, hexadecimal.
    found : str
        Digest of the content, hexadecimal; empty if the section is absent.
    """

    def __init__(self, index: int, expected: str, found: str) -> None:
        super().__init__(f'section={index} expected={expected} found={found}')
        self.index = index
        self.expected = expected
        self.found = found


class SubmissionReusedError(ConfigurationError):
    """A submission id was accepted before with another configuration.

    Parameters
    ----------
    submission_id : str
        Id of the submission.
    generation : int
        Generation that the id was accepted as.
    """

    def __init__(self, submission_id: str, generation: int) -> None:
        super().__init__(f'submission={submission_id} generation={generation}')
        self.submission_id = submission_id
        self.generation = generation
