"""Exceptions of siskinproxy, all derived from `SiskinproxyError`.

Their messages are ``key=value`` pairs, as in log lines.
"""

from typing import Final

__all__ = (
    'EXIT_GREENLET_FAILED',
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
    'GreenletFailedError',
    'InvalidAddressError',
    'InvalidNameError',
    'InvariantViolation',
    'LeaseLostError',
    'LinkFormatError',
    'ListenerReuseError',
    'ResponseTooLargeError',
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
#: Exit code of a process that gave itself up, since it could no longer work.
EXIT_GREENLET_FAILED: Final = 3


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
        What the file has instead.
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
        Name of the field, with its expected and its actual value.
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
    """A target address and port belongs to more than one listener or target.

    Parameters
    ----------
    address : str
        Target address.
    port : int
        Target port.
    owners : tuple of str
        ``service/listener/target`` of each declaration, the listener as
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
    """A zone is named that the configuration does not declare.

    Parameters
    ----------
    zone : str
        Name of the zone.
    target : str
        Target that names the zone; empty if another place names it.
    """

    def __init__(self, zone: str, target: str = '') -> None:
        super().__init__(f'zone={zone} target={target}')
        self.zone = zone
        self.target = target


class UnknownTargetError(ConfigurationError):
    """A target is named that the configuration does not declare.

    Parameters
    ----------
    target : str
        Name of the target.
    """

    def __init__(self, target: str) -> None:
        super().__init__(f'target={target}')
        self.target = target


class ConfigurationFormatError(ConfigurationError):
    """A text is not a valid configuration in JSON.

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
    """No administration endpoint executed the call, which had no effect."""


class AdminOutcomeUnknownError(AdminError):
    """No endpoint confirmed a change, which may have been accepted or not.

    Parameters
    ----------
    submission_id : str
        Id with which the change can be repeated without applying it twice.
    detail : str
        Error of the last attempt.
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
        Listener or target that has the address, such as ``target desk-1``.
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
        Listener or target that has the field, such as ``target desk-1``.
    field : str
        Name of the field.
    found : float
        Value as declared.
    bounds : tuple of float
        Lowest and highest value that are allowed.
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
    """A target address moves to another service too early.

    Packets of flows that the previous service had could reach the new one.

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
        False if flows of the previous service are still allowed. Then a change
        that revokes them, without the new use of the address, has to be
        accepted first, and the remaining time counts from that change.
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

    Packets of flows that the previous service had could reach the new one.

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
    """A datagram does not hold a TCP segment in IPv4 without options."""


class TunnelFormatError(SiskinproxyError):
    """A datagram from another instance cannot be decoded."""


class GossipFormatError(SiskinproxyError):
    """A message between control processes is malformed or too long."""


class LinkFormatError(SiskinproxyError):
    """A frame between control and packet process is malformed or too long."""


class GreenletFailedError(SiskinproxyError):
    """A greenlet that a process can't do without keeps failing.

    Parameters
    ----------
    greenlet : str
        Name of the greenlet.
    """

    def __init__(self, greenlet: str) -> None:
        super().__init__(f'greenlet={greenlet}')
        self.greenlet = greenlet


class CapacityDataError(SiskinproxyError):
    """There are too few measurements, or the capacity page lacks a marker."""


class InvariantViolation(SiskinproxyError):
    """An invariant that the design documentation states is violated.

    Parameters
    ----------
    name : str
        Name of the invariant, such as ``service_isolation``.
    detail : str
        Key=value pairs that say where and with which values.
    """

    def __init__(self, name: str, detail: str) -> None:
        super().__init__(f'invariant={name} {detail}')
        self.name = name
        self.detail = detail


class StoreError(SiskinproxyError):
    """A call to the key-value store failed."""


class StoreUnavailableError(StoreError):
    """The store could not be reached, or did not return a successful response.

    The call wrote nothing, but a lease that it was to renew may be renewed.
    """


class ResponseTooLargeError(StoreUnavailableError):
    """A response has more bytes than the caller accepts.

    Parameters
    ----------
    limit_bytes : int
        Largest accepted size, in bytes.
    """

    def __init__(self, limit_bytes: int) -> None:
        super().__init__(f'limit_bytes={limit_bytes}')
        self.limit_bytes = limit_bytes


class StoreRateLimitError(StoreError):
    """The store rejected the call because its rate limit is exceeded."""


class StoreHistoryLostError(StoreError):
    """The store no longer holds all changes after a revision.

    The values have to be read again before watching for further changes.
    """


class StoreConflictError(StoreError):
    """A compare-and-swap found another version than expected.

    Parameters
    ----------
    key : str
        Key of the value.
    expected : int
        Version that the caller expected.
    found : int
        Version in the store.
    """

    def __init__(self, key: str, expected: int, found: int) -> None:
        super().__init__(f'key={key} expected={expected} found={found}')
        self.key = key
        self.expected = expected
        self.found = found


class StoreOutcomeUnknownError(StoreError):
    """The store did not confirm a write, which it may have executed or not."""


class LeaseLostError(StoreError):
    """The lease does not exist: it expired or was revoked."""


class StandinTimeoutError(SiskinproxyError):
    """Simulated components did not reach a state in time.

    Parameters
    ----------
    what : str
        State that was waited for.
    limit_s : float
        Time that was allowed, in seconds.
    """

    def __init__(self, what: str, limit_s: float) -> None:
        super().__init__(f'missing="{what}" limit_s={limit_s}')
        self.what = what


class StandinCommandError(SiskinproxyError):
    """A simulated component rejected a command or failed to run it.

    Parameters
    ----------
    command : str
        Command that its control port received.
    detail : str
        Reason of the failure.
    """

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
        Key of the value; ``response`` if a whole response of the store cannot
        be decoded.
    detail : str
        What is wrong with the value.
    """

    def __init__(self, key: str, detail: str) -> None:
        super().__init__(f'key={key} detail="{detail}"')
        self.key = key
        self.detail = detail


class SectionDigestError(StoreError):
    """A section of the configuration does not match its digest in the head.

    The head is the store entry that lists the sections of a generation.

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
        Generation of the configuration that was accepted with this id.
    """

    def __init__(self, submission_id: str, generation: int) -> None:
        super().__init__(f'submission={submission_id} generation={generation}')
        self.submission_id = submission_id
        self.generation = generation


class WrongRegionError(ConfigurationError):
    """A configuration names another region than expected.

    Parameters
    ----------
    expected : str
        Region to which the configuration was submitted, or region of the
        configuration in effect.
    found : str
        Region that the configuration names.
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
        Number of characters.
    limit : int
        Highest number of characters; at least one is required.
    """

    def __init__(self, field: str, length: int, limit: int) -> None:
        super().__init__(f'field={field} length={length} limit={limit}')
        self.field = field
        self.length = length
        self.limit = limit
