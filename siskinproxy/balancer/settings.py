"""Settings of an instance: TOML sections with bounds, and their reader."""

import sys
import tomllib
from collections.abc import Callable, Iterator, Mapping
from typing import (
    Annotated,
    Any,
    Final,
    NamedTuple,
    ParamSpec,
    TypeVar,
    get_args,
    get_origin,
    get_type_hints,
)

import msgspec

from siskinproxy.errors import EXIT_SETTINGS, SettingsError
from siskinproxy.operators.validation import (
    ADDRESS_REUSE_DELAY_S,
    is_host_address,
)

__all__ = (
    'ENDPOINT_FORM',
    'AdminSettings',
    'Conflict',
    'ControlSettings',
    'Identity',
    'InstanceSettings',
    'Limits',
    'PacketSettings',
    'SettingsField',
    'StoreSettings',
    'describe_key',
    'describe_type',
    'iterate_fields',
    'read_settings',
    'run_or_exit',
)

_Settings = TypeVar('_Settings', bound=msgspec.Struct)
_Result = TypeVar('_Result')
_Arguments = ParamSpec('_Arguments')

#: A longer value is cut in error messages, so that they stay one short line.
_SHOWN_CHARACTERS: Final = 80
_WHOLE_FILE: Final = '-'

# Keys of `Meta.extra`.
_UNIT: Final = 'unit'
_FORMAT: Final = 'format'
_SECRET: Final = 'secret'

_ADDRESS: Final = 'IPv4 address'
_OPTIONAL_ADDRESS: Final = 'IPv4 address or empty'
#: Format of a list of endpoints.
ENDPOINT_FORM: Final = 'IPv4 address:port'

_MAX_PORT: Final = 65535
_MAX_FLOWS: Final = 10_000_000


def describe_key(
    description: str,
    unit: str = '',
    *,
    ge: float | None = None,
    le: float | None = None,
    min_length: int | None = None,
    form: str = '',
    secret: bool = False,
) -> msgspec.Meta:
    """Return the metadata of a key.

    Parameters
    ----------
    description : str
        Meaning of the key.
    unit : str
        Unit of the value; empty for a plain number or text.
    ge : float, optional
        Lowest value.
    le : float, optional
        Highest value.
    min_length : int, optional
        Least number of characters.
    form : str
        Format of a text, such as ``ENDPOINT_FORM``; empty for any text.
    secret : bool
        Whether messages must not show the value.

    Returns
    -------
    msgspec.Meta
        Metadata for ``Annotated``.
    """
    extra = {_UNIT: unit, _FORMAT: form, _SECRET: secret}
    return msgspec.Meta(
        ge=ge,
        le=le,
        min_length=min_length,
        description=description,
        extra=extra,
    )


def _port(description: str) -> msgspec.Meta:
    return describe_key(description, ge=1, le=_MAX_PORT)


def _optional_port(description: str) -> msgspec.Meta:
    return describe_key(f'{description}; 0 = off', ge=0, le=_MAX_PORT)


class Identity(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``instance``: who and where the instance is."""

    name: Annotated[
        str,
        describe_key('unique name of the instance', min_length=1),
    ]
    region: Annotated[
        str,
        describe_key('region whose configuration is in effect', min_length=1),
    ]
    zone: Annotated[
        str,
        describe_key('availability zone of the instance', min_length=1),
    ]
    address: Annotated[
        str,
        describe_key(
            'address of both processes of the instance', form=_ADDRESS
        ),
    ]


class PacketSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``packet``: sockets of the packet process."""

    port: Annotated[
        int,
        _port('UDP port for the fabric and other instances'),
    ] = 7400
    link_port: Annotated[
        int,
        _port('loopback TCP port of the control link'),
    ] = 7401
    fabric_address: Annotated[
        str,
        describe_key('address of the fabric', form=_ADDRESS),
    ]
    fabric_port: Annotated[
        int,
        _port('UDP port of the fabric'),
    ] = 7300
    metrics_port: Annotated[
        int,
        _optional_port('TCP port of the metrics of the packet process'),
    ] = 0


class ControlSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``control``: sockets and sources of the control process."""

    port: Annotated[
        int,
        _port('UDP port for gossip and configuration transfer'),
    ] = 7402
    seeds: Annotated[
        tuple[str, ...],
        describe_key(
            'control endpoints of instances to join', form=ENDPOINT_FORM
        ),
    ] = ()
    configuration_file: Annotated[
        str,
        describe_key('JSON configuration used without a store; empty = none'),
    ] = ''
    metrics_port: Annotated[
        int,
        _optional_port('TCP port of the metrics of the control process'),
    ] = 0


class StoreSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``store``: key-value store of the platform."""

    address: Annotated[
        str,
        describe_key(
            'address of the store; empty = none', form=_OPTIONAL_ADDRESS
        ),
    ] = ''
    port: Annotated[int, _port('TCP port of the store')] = 7500
    token: Annotated[
        str,
        describe_key('token sent with each call to the store', secret=True),
    ] = ''


class AdminSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``admin``: administration API of the control process."""

    port: Annotated[
        int,
        _optional_port('TCP port of the administration API'),
    ] = 0
    token: Annotated[
        str,
        describe_key('token that operators must present', secret=True),
    ] = ''


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``limits``: sizes, rates and times."""

    learned_flows: Annotated[
        int,
        describe_key('learned flow entries kept', 'flows', ge=1, le=_MAX_FLOWS),
    ] = 200_000
    home_flows: Annotated[
        int,
        describe_key(
            'flow entries kept as a home', 'flows', ge=1, le=_MAX_FLOWS
        ),
    ] = 1_500_000
    copy_bytes_per_s: Annotated[
        int,
        describe_key(
            'rate at which entries are copied to other homes',
            'bytes/s',
            ge=20,
            le=10_000_000,
        ),
    ] = 8000
    drain_limit_s: Annotated[
        float,
        describe_key('time that a planned stop may take', 's', ge=0, le=3600),
    ] = 300.0
    sight_s: Annotated[
        float,
        describe_key(
            'time after which a zone that was not heard from gets no packets',
            's',
            ge=0.1,
            le=60,
        ),
    ] = 3.0
    # At most half of a TIME_WAIT of 60 s: an entry must be gone before the
    # caller can reuse its port.
    learned_s: Annotated[
        float,
        describe_key(
            'time after which a learned entry without responses expires',
            's',
            ge=0.1,
            le=30,
        ),
    ] = 4.0
    # The default is the minimum of RFC 5382 for address translators: 4 minutes
    # more than the customary TCP keep-alive interval of 2 hours.
    flow_idle_s: Annotated[
        float,
        describe_key(
            'time after which an idle flow entry expires',
            's',
            ge=1,
            le=604_800,
        ),
    ] = 7440.0
    takeover_s: Annotated[
        float,
        describe_key(
            'time for which a new owner halves limits', 's', ge=0, le=60
        ),
    ] = 2.0
    view_retention_s: Annotated[
        float,
        describe_key('least time for which a view is kept', 's', ge=1, le=3600),
    ] = 30.0
    address_reuse_delay_s: Annotated[
        int,
        describe_key(
            'time for which flows to a removed target stay allowed and its '
            'address with its service; at least flow_idle_s',
            's',
            ge=0,
            le=604_800,
        ),
    ] = ADDRESS_REUSE_DELAY_S


class Conflict(NamedTuple):
    """Two keys whose values do not fit together.

    Parameters
    ----------
    key : str
        Dotted key that has to be changed.
    expected : str
        What the value has to be.
    found : str
        What the value is.
    """

    key: str
    expected: str
    found: str


class InstanceSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings file of an instance, read by both of its processes."""

    instance: Identity
    packet: PacketSettings
    control: ControlSettings = msgspec.field(default_factory=ControlSettings)
    store: StoreSettings = msgspec.field(default_factory=StoreSettings)
    admin: AdminSettings = msgspec.field(default_factory=AdminSettings)
    limits: Limits = msgspec.field(default_factory=Limits)

    def find_conflicts(self) -> Iterator[Conflict]:
        """Yield the rules between keys that the settings break.

        Yields
        ------
        Conflict
            Key with expected and found value.
        """
        if self.admin.port and not self.admin.token:
            expected = 'non-empty text, since admin.port is set'
            yield Conflict('admin.token', expected, 'nothing')
        delay_s = self.limits.address_reuse_delay_s
        idle_s = self.limits.flow_idle_s
        if delay_s < idle_s:
            yield Conflict(
                'limits.address_reuse_delay_s',
                f'at least {idle_s:g} s, the value of limits.flow_idle_s',
                str(delay_s),
            )


class SettingsField(NamedTuple):
    """Key of a settings struct with its metadata.

    Parameters
    ----------
    name : str
        Key within its section.
    kind : type
        Type of the value without annotations.
    meta : msgspec.Meta
        Bounds, description and unit.
    default : object
        Default value, or ``msgspec.NODEFAULT`` for a required key.
    """

    name: str
    kind: Any
    meta: msgspec.Meta
    default: Any

    @property
    def unit(self) -> str:
        """Unit of the value; empty for a plain number or text."""
        return (self.meta.extra or {}).get(_UNIT, '')

    @property
    def form(self) -> str:
        """Format of a text; empty if any text is allowed."""
        return (self.meta.extra or {}).get(_FORMAT, '')

    @property
    def is_secret(self) -> bool:
        """Whether messages must not show the value."""
        return (self.meta.extra or {}).get(_SECRET, False)

    @property
    def is_section(self) -> bool:
        """Whether the value is a section with keys of its own."""
        return isinstance(self.kind, type) and issubclass(
            self.kind,
            msgspec.Struct,
        )


def iterate_fields(settings: type[msgspec.Struct]) -> Iterator[SettingsField]:
    """Yield the keys of a settings struct in order of declaration.

    Parameters
    ----------
    settings : type of msgspec.Struct
        Settings struct.

    Yields
    ------
    SettingsField
        Key with its metadata.
    """
    hints = get_type_hints(settings, include_extras=True)
    for field in msgspec.structs.fields(settings):
        kind = hints[field.name]
        meta = msgspec.Meta()
        if get_origin(kind) is Annotated:
            kind, meta = get_args(kind)
        default = field.default
        if field.default_factory is not msgspec.NODEFAULT:
            default = field.default_factory()
        yield SettingsField(field.name, kind, meta, default)


def describe_type(field: SettingsField) -> str:
    """Describe the values that a key accepts.

    Parameters
    ----------
    field : SettingsField
        Key of a settings struct.

    Returns
    -------
    str
        Such as ``integer from 1 to 65535``.
    """
    if field.is_section:
        return 'section'
    noun = _noun(field)
    if field.meta.min_length:
        noun = f'non-empty {noun}'
    if field.meta.ge is not None:
        noun = f'{noun} from {field.meta.ge} to {field.meta.le}'
    return f'{noun} {field.unit}'.rstrip()


def read_settings(path: str, settings: type[_Settings]) -> _Settings:
    """Read and check a settings file.

    Parameters
    ----------
    path : str
        TOML file.
    settings : type of msgspec.Struct
        Struct whose fields are the sections or keys.

    Returns
    -------
    msgspec.Struct
        Instance of `settings`.

    Raises
    ------
    SettingsError
        If the file cannot be read, or a key is unknown, missing, of the
        wrong type, out of bounds or no IPv4 address, or two values do not
        fit together.
    """
    found = _convert(path, '', _load(path), settings)
    if isinstance(found, InstanceSettings):
        conflict = next(found.find_conflicts(), None)
        if conflict is not None:
            raise SettingsError(path, *conflict)
    return found


def run_or_exit(
    function: Callable[_Arguments, _Result],
    *args: _Arguments.args,
    **kwargs: _Arguments.kwargs,
) -> _Result:
    """Call a function and end the process if settings are wrong.

    Parameters
    ----------
    function : callable
        Function that may raise `SettingsError`.
    *args : object
        Positional arguments of the function.
    **kwargs : object
        Keyword arguments of the function.

    Returns
    -------
    object
        Result of the function.

    Raises
    ------
    SystemExit
        With exit code 2, after one line on stderr.
    """
    try:
        return function(*args, **kwargs)
    except SettingsError as exc:
        sys.stderr.write(f'error=settings {exc}\n')
        sys.exit(EXIT_SETTINGS)


def _load(path: str) -> dict[str, Any]:
    try:
        with open(path, 'rb') as stream:
            return tomllib.load(stream)
    except OSError as exc:
        reason = exc.strerror or type(exc).__name__
        raise SettingsError(
            path,
            _WHOLE_FILE,
            'readable file',
            reason,
        ) from exc
    except ValueError as exc:
        # TOMLDecodeError, or UnicodeDecodeError for a file of other encoding.
        raise SettingsError(
            path,
            _WHOLE_FILE,
            'TOML document in UTF-8',
            _shown(str(exc)),
        ) from exc


def _convert(
    path: str,
    prefix: str,
    table: Mapping[str, Any],
    settings: type[_Settings],
) -> _Settings:
    fields = {field.name: field for field in iterate_fields(settings)}
    unknown = [key for key in table if key not in fields]
    if unknown:
        first = f'{prefix}{_shown(unknown[0])}'
        known = f'one of {", ".join(fields)}'
        raise SettingsError(path, first, known, 'unknown key')
    values: dict[str, Any] = {}
    for name, field in fields.items():
        key = f'{prefix}{name}'
        if name in table:
            values[name] = _convert_value(path, key, table[name], field)
        elif field.default is msgspec.NODEFAULT:
            raise SettingsError(path, key, describe_type(field), 'nothing')
    return settings(**values)


def _convert_value(
    path: str,
    key: str,
    value: Any,
    field: SettingsField,
) -> Any:
    if field.is_section and isinstance(value, dict):
        return _convert(path, f'{key}.', value, field.kind)
    try:
        found = msgspec.convert(value, type=Annotated[field.kind, field.meta])
    except msgspec.ValidationError as exc:
        raise _wrong_value(path, key, value, field) from exc
    if not _has_form(found, field.form):
        raise _wrong_value(path, key, value, field)
    return found


def _wrong_value(
    path: str,
    key: str,
    value: Any,
    field: SettingsField,
) -> SettingsError:
    # The file itself may hold the secret in clear, a log collector must not.
    found = type(value).__name__ if field.is_secret else _shown(value)
    return SettingsError(path, key, describe_type(field), found)


def _has_form(value: Any, form: str) -> bool:
    if form == _ADDRESS:
        return is_host_address(value)
    if form == _OPTIONAL_ADDRESS:
        return not value or is_host_address(value)
    if form == ENDPOINT_FORM:
        return all(_is_endpoint(each) for each in value)
    return True


def _is_endpoint(text: str) -> bool:
    address, _, port = text.rpartition(':')
    is_number = port.isascii() and port.isdecimal() and len(port) <= 5
    return (
        is_host_address(address) and is_number and 1 <= int(port) <= _MAX_PORT
    )


def _noun(field: SettingsField) -> str:
    if field.kind is str:
        return field.form or 'text'
    nouns = {int: 'integer', float: 'number', bool: 'true or false'}
    return nouns.get(field.kind, f'list of {field.form or "text"}')


def _shown(value: Any) -> str:
    text = value if isinstance(value, str) else repr(value)
    escaped = text.encode('unicode_escape').decode('ascii')
    quoted = escaped.replace('"', r'\"')
    if len(quoted) > _SHOWN_CHARACTERS:
        return f'{quoted[:_SHOWN_CHARACTERS]}...'
    return quoted
