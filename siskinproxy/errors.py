"""Exception hierarchy of siskinproxy."""

from typing import Final

__all__ = (
    'ConfigurationError',
    'GossipFormatError',
    'InvariantViolation',
    'LeaseLostError',
    'LinkFormatError',
    'SegmentFormatError',
    'SettingsError',
    'SiskinproxyError',
    'StoreConflictError',
    'StoreError',
    'StoreOutcomeUnknownError',
    'StoreRateLimitError',
    'StoreUnavailableError',
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
