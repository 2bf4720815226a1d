"""Exception hierarchy of siskinproxy."""

from typing import Final

__all__ = (
    'EXIT_SETTINGS',
    'AddressReuseError',
    'AdminAccessError',
    'AdminError',
    'AdminOutcomeUnknownError',
    'AdminRequestError',
    'AdminUnreachableError',
    'BuilderError',
    'CapacityDataError',
    'ConfigurationError',
    'ConfigurationFormatError',
    'DuplicateListenerError',
    'DuplicateNameError',
    'EmptyServiceError',
    'GossipFormatError',
    'InvalidAddressError',
    'InvalidNameError',
    'InvariantViolation',
    'LeaseLostError',
    'LinkFormatError',
    'ListenerReuseError',
    'SectionDigestError',
    'SegmentFormatError',
    'SettingsError',
    'SharedTargetPortError',
    'SiskinproxyError',
    'StandinCommandError',
    'StandinTimeoutError',
    'StoreAccessError',
    'StoreConflictError',
    'StoreDataError',
    'StoreError',
    'StoreHistoryLostError',
    'StoreOutcomeUnknownError',
    'StoreRateLimitError',
    'StoreUnavailableError',
    'StoreValueSizeError',
    'SubmissionFieldError',
    'SubmissionReusedError',
    'TunnelFormatError',
    'UnknownTargetError',
    'UnknownZoneError',
    'ValueRangeError',
    'WrongRegionError',
)

#: Exit code of a process whose settings are wrong.
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


class BuilderError(ConfigurationError):
    """A builder got a value of the wrong type or an unknown mode.

    Parameters
    ----------
    kind : str
        What was declared, such as ``listener``.
    detail : str
        Expected and found value with the name of the field.
    """

    def __init__(self, kind: str, detail: str) -> None:
        super().__init__(f'kind={kind} detail="{detail}"')
        self.kind = kind
        self.detail = detail


class InvalidNameError(ConfigurationError):
    """A name is empty, too long or has characters that are not allowed.

    Parameters
    ----------
    kind : str
        ``region``, ``zone``, ``service``, ``target`` or ``listener``.
    name : str
        Name as declared.
    """

    def __init__(self, kind: str, name: str) -> None:
        super().__init__(f'kind={kind} name={name!r}')
        self.kind = kind
        self.name = name


class DuplicateNameError(ConfigurationError):
    """Two zones, services or targets have the same name.

    Parameters
    ----------
    kind : str
        ``zone``, ``service`` or ``target``.
    name : str
        Name that is declared more than once.
    """

    def __init__(self, kind: str, name: str) -> None:
        super().__init__(f'kind={kind} name={name}')
        self.kind = kind
        self.name = name


class DuplicateListenerError(ConfigurationError):
    """Two listeners have the same address and port.

    Parameters
    ----------
    address : str
        Service address.
    port : int
        Port of the service address.
    """

    def __init__(self, address: str, port: int) -> None:
        super().__init__(f'address={address} port={port}')
        self.address = address
        self.port = port


class SharedTargetPortError(ConfigurationError):
    """A target address and port serves more than one listener or target.

    Parameters
    ----------
    address : str
        Target address.
    port : int
        Target port.
    owners : tuple of str
        ``service/listener/target`` of each use, the listener as
        ``address:port``.
    """

    def __init__(
        self, address: str, port: int, owners: tuple[str, ...]
    ) -> None:
        super().__init__(
            f'address={address} port={port} owners={",".join(owners)}',
        )
        self.address = address
        self.port = port
        self.owners = owners


class UnknownZoneError(ConfigurationError):
    """A zone is not declared.

    Parameters
    ----------
    zone : str
        Zone as named.
    target : str
        Target that names the zone; empty if no target is concerned.
    """

    def __init__(self, zone: str, target: str = '') -> None:
        super().__init__(f'zone={zone} target={target}')
        self.zone = zone
        self.target = target


class UnknownTargetError(ConfigurationError):
    """A target is not declared.

    Parameters
    ----------
    target : str
        Target as named.
    """

    def __init__(self, target: str) -> None:
        super().__init__(f'target={target}')
        self.target = target


class ConfigurationFormatError(ConfigurationError):
    """A text is not a configuration in JSON.

    Parameters
    ----------
    detail : str
        What is wrong, and where.
    """

    def __init__(self, detail: str) -> None:
        super().__init__(f'detail="{detail}"')
        self.detail = detail


class AdminError(SiskinproxyError):
    """A call to the administration interface failed."""


class AdminUnreachableError(AdminError):
    """No endpoint could execute the call, which had no effect."""


class AdminOutcomeUnknownError(AdminError):
    """A change may or may not have been accepted.

    Parameters
    ----------
    submission_id : str
        Id under which the change may be repeated.
    detail : str
        Last failure.
    """

    def __init__(self, submission_id: str, detail: str) -> None:
        super().__init__(f'submission={submission_id} detail="{detail}"')
        self.submission_id = submission_id
        self.detail = detail


class AdminAccessError(AdminError):
    """The endpoint rejected the token; the call had no effect."""


class AdminRequestError(AdminError):
    """The endpoint rejected an argument; the call had no effect."""


class EmptyServiceError(ConfigurationError):
    """A service has no listeners or no targets.

    Parameters
    ----------
    service : str
        Name of the service.
    missing : {'listeners', 'targets'}
        What the service lacks.
    """

    def __init__(self, service: str, missing: str) -> None:
        super().__init__(f'service={service} missing={missing}')
        self.service = service
        self.missing = missing


class InvalidAddressError(ConfigurationError):
    """An address is not the dotted IPv4 address of a host.

    Parameters
    ----------
    owner : str
        Listener or target, such as ``target desk-1``.
    address : str
        Address as declared.
    """

    def __init__(self, owner: str, address: str) -> None:
        super().__init__(f'owner="{owner}" address={address!r}')
        self.owner = owner
        self.address = address


class ValueRangeError(ConfigurationError):
    """A port or limit is outside its bounds.

    Parameters
    ----------
    owner : str
        Listener or target, such as ``target desk-1``.
    field : str
        Name of the field.
    found : float
        Value as declared.
    bounds : tuple of float
        Lowest and highest value that is allowed.
    """

    def __init__(
        self,
        owner: str,
        field: str,
        found: float,
        bounds: tuple[float, float],
    ) -> None:
        super().__init__(
            f'owner="{owner}" field={field} found={found} '
            f'minimum={bounds[0]} maximum={bounds[1]}',
        )
        self.owner = owner
        self.field = field
        self.found = found
        self.bounds = bounds


class AddressReuseError(ConfigurationError):
    """An address is declared for another service too early.

    Parameters
    ----------
    address : str
        Target address.
    service : str
        Service that declares the address now.
    previous_service : str
        Service whose flows may still use the address.
    remaining_s : int
        Time until the address may be declared, in seconds.
    is_released : bool
        False if a change without the new use has to be accepted first, since
        the flows of the previous service are still allowed. The time counts
        from that change then.
    """

    def __init__(
        self,
        address: str,
        service: str,
        previous_service: str,
        remaining_s: int,
        is_released: bool = False,
    ) -> None:
        super().__init__(
            f'address={address} service={service} '
            f'previous_service={previous_service} remaining_s={remaining_s} '
            f'released={str(is_released).lower()}',
        )
        self.address = address
        self.service = service
        self.previous_service = previous_service
        self.remaining_s = remaining_s
        self.is_released = is_released


class ListenerReuseError(ConfigurationError):
    """A listener moves to another service too early.

    Parameters
    ----------
    address : str
        Service address.
    port : int
        Port of the service address.
    service : str
        Service that declares the listener now.
    previous_service : str
        Service whose flows may still use the listener.
    remaining_s : int
        Time until the listener may be declared, in seconds.
    is_released : bool
        See `AddressReuseError`.
    """

    def __init__(
        self,
        address: str,
        port: int,
        service: str,
        previous_service: str,
        remaining_s: int,
        is_released: bool = False,
    ) -> None:
        super().__init__(
            f'address={address} port={port} service={service} '
            f'previous_service={previous_service} remaining_s={remaining_s} '
            f'released={str(is_released).lower()}',
        )
        self.address = address
        self.port = port
        self.service = service
        self.previous_service = previous_service
        self.remaining_s = remaining_s
        self.is_released = is_released


class SegmentFormatError(SiskinproxyError):
    """A datagram does not hold an IPv4 packet with a TCP segment."""


class TunnelFormatError(SiskinproxyError):
    """A datagram from another instance cannot be decoded."""


class GossipFormatError(SiskinproxyError):
    """A message between control processes is malformed or too long."""


class LinkFormatError(SiskinproxyError):
    """A frame between control and packet process is malformed or too long."""


class CapacityDataError(SiskinproxyError):
    """Measured points or the capacity page are incomplete."""


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


class StoreHistoryLostError(StoreError):
    """The store does not hold the changes after a revision any more."""


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


class StandinTimeoutError(SiskinproxyError):
    """A deployment of stand-ins did not reach a state in time."""

    def __init__(self, what: str, limit_s: float) -> None:
        super().__init__(f'missing="{what}" limit_s={limit_s}')
        self.what = what


class StandinCommandError(SiskinproxyError):
    """A stand-in refused or failed to run a command of its control port."""

    def __init__(self, command: str, detail: str) -> None:
        super().__init__(f'command={command} detail="{detail}"')
        self.command = command


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


class WrongRegionError(ConfigurationError):
    """A configuration was submitted to another region than its own.

    Parameters
    ----------
    expected : str
        Region that it was submitted to, or of the configuration in effect.
    found : str
        Region that it names.
    """

    def __init__(self, expected: str, found: str) -> None:
        super().__init__(f'region={found} expected={expected}')
        self.expected = expected
        self.found = found


class SubmissionFieldError(ConfigurationError):
    """A submission id or an operator's name is empty or too long.

    Parameters
    ----------
    field : str
        Name of the field.
    length : int
        Length that was found.
    limit : int
        Largest length.
    """

    def __init__(self, field: str, length: int, limit: int) -> None:
        super().__init__(f'field={field} length={length} limit={limit}')
        self.field = field
        self.length = length
        self.limit = limit
