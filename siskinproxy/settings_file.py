"""Reads TOML settings files and checks them against typed structs.

A settings struct has a field for each section or key; `describe_key` gives a
key its bounds, unit and description. A wrong entry raises `SettingsError`,
which names the file, the key, and the expected and found value.

The value of a key that is `tolerant` is filled in by a platform, equally on all
instances, so that an error would stop all of them. If it is missing, a flag or
out of bounds, another one is used in its place, and the error is only reported.
"""

import math
import sys
import tomllib
from collections.abc import Callable, Iterator, Mapping
from typing import (
    Annotated,
    Any,
    Final,
    NamedTuple,
    ParamSpec,
    Protocol,
    TypeVar,
    get_args,
    get_origin,
    get_type_hints,
    runtime_checkable,
)

import msgspec

from siskinproxy.addresses import is_host_address
from siskinproxy.errors import EXIT_SETTINGS, SettingsError

__all__ = (
    'ENDPOINT_FORM',
    'HOST_FORM',
    'OPTIONAL_HOST_FORM',
    'CheckedSettings',
    'Conflict',
    'ReplacementListener',
    'SettingsField',
    'describe_key',
    'describe_type',
    'iterate_fields',
    'read_settings',
    'run_or_exit',
)

_Settings = TypeVar('_Settings', bound=msgspec.Struct)
_Result = TypeVar('_Result')
_Arguments = ParamSpec('_Arguments')

#: Longer values are cut in error messages, so that these stay one short line.
_MAX_SHOWN_CHARACTERS: Final = 80
#: Key in errors that concern the whole file.
_WHOLE_FILE: Final = '-'

# Keys of `msgspec.Meta.extra`.
_UNIT: Final = 'unit'
_FORMAT: Final = 'format'
_SECRET: Final = 'secret'
_TOLERANT: Final = 'tolerant'

#: Format of a host's address.
HOST_FORM: Final = 'IPv4 address'
#: Format of a host's address that may be empty.
OPTIONAL_HOST_FORM: Final = 'IPv4 address or empty'
#: Format of an address with a port, or of each one in a list.
ENDPOINT_FORM: Final = 'IPv4 address:port'

_MAX_PORT: Final = 65535


def describe_key(
    description: str,
    unit: str = '',
    *,
    ge: float | None = None,
    le: float | None = None,
    min_length: int | None = None,
    form: str = '',
    secret: bool = False,
    tolerant: bool = False,
) -> msgspec.Meta:
    """Return the metadata of a settings key.

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
        Lowest number of characters.
    form : str
        Format of a text, such as ``ENDPOINT_FORM``; empty for any text.
    secret : bool
        Whether error messages must not show the value.
    tolerant : bool
        Whether a value that can't be used is replaced: a missing one or a flag
        by the default, which the key must have, a number out of bounds by the
        nearest bound. Entries of a list that are not in their format are left
        out.

    Returns
    -------
    msgspec.Meta
        Metadata for ``Annotated``.
    """
    extra = {
        _UNIT: unit,
        _FORMAT: form,
        _SECRET: secret,
        _TOLERANT: tolerant,
    }
    return msgspec.Meta(
        ge=ge,
        le=le,
        min_length=min_length,
        description=description,
        extra=extra,
    )


class Conflict(NamedTuple):
    """Value of a key that contradicts the value of another key.

    Parameters
    ----------
    key : str
        Dotted key whose value has to be changed.
    expected : str
        What the value has to be.
    found : str
        What the value is.
    """

    key: str
    expected: str
    found: str


@runtime_checkable
class CheckedSettings(Protocol):
    """Settings struct that also checks its values against each other."""

    def find_conflicts(self) -> Iterator[Conflict]:
        """Yield the keys whose values contradict those of other keys."""


class ReplacementListener(Protocol):
    """Gets the values of tolerant keys that can't be used."""

    def __call__(self, exc: SettingsError, used: Any, /) -> None:
        """Report an error with the value that is used in its place."""


class SettingsField(NamedTuple):
    """Key or section of a settings struct, with its metadata.

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
        """Whether error messages must not show the value."""
        return (self.meta.extra or {}).get(_SECRET, False)

    @property
    def is_tolerant(self) -> bool:
        """Whether a value that can't be used is replaced."""
        return (self.meta.extra or {}).get(_TOLERANT, False)

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
    noun = _type_name(field)
    if field.meta.min_length:
        noun = f'non-empty {noun}'
    if field.meta.ge is not None:
        noun = f'{noun} from {field.meta.ge} to {field.meta.le}'
    return f'{noun} {field.unit}'.rstrip()


def read_settings(
    path: str,
    settings: type[_Settings],
    on_replaced: ReplacementListener | None = None,
) -> _Settings:
    """Read and check a settings file.

    Parameters
    ----------
    path : str
        TOML file.
    settings : type of msgspec.Struct
        Struct whose fields are the sections or keys.
    on_replaced : callable, optional
        Called for each value of a tolerant key that can't be used, with the
        error and the value that is used in its place.

    Returns
    -------
    msgspec.Struct
        Instance of `settings`.

    Raises
    ------
    SettingsError
        If the file cannot be read, or a key is unknown, missing, of the
        wrong type, out of bounds or not in its format, or two values
        contradict each other.
    """
    reader = _Reader(path, on_replaced or _ignore_replacement)
    found = reader.convert_section('', _load_toml(path), settings)
    if isinstance(found, CheckedSettings):
        conflict = next(found.find_conflicts(), None)
        if conflict is not None:
            raise SettingsError(path, *conflict)
    return found


def run_or_exit(
    function: Callable[_Arguments, _Result],
    *args: _Arguments.args,
    **kwargs: _Arguments.kwargs,
) -> _Result:
    """Call a function, and end the process if it finds wrong settings.

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
        With exit code 2, after one line on stderr, if the function raised
        `SettingsError`.
    """
    try:
        return function(*args, **kwargs)
    except SettingsError as exc:
        sys.stderr.write(f'error=settings {exc}\n')
        sys.exit(EXIT_SETTINGS)


def _load_toml(path: str) -> dict[str, Any]:
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
    except (ValueError, RecursionError) as exc:
        # TOMLDecodeError, UnicodeDecodeError for a file that is not UTF-8, or
        # arrays that are nested too deeply.
        raise SettingsError(
            path,
            _WHOLE_FILE,
            'TOML document in UTF-8',
            _escape_for_message(str(exc)),
        ) from exc


class _Reader:
    """Converts the tables of a settings file into structs.

    Parameters
    ----------
    path : str
        Settings file, for errors.
    on_replaced : callable
        Gets the values of tolerant keys that can't be used.
    """

    def __init__(self, path: str, on_replaced: ReplacementListener) -> None:
        self._path = path
        self._on_replaced = on_replaced

    def convert_section(
        self, prefix: str, table: Mapping[str, Any], settings: type[_Settings]
    ) -> _Settings:
        """Return a section; `prefix` precedes its keys in errors."""
        fields = {field.name: field for field in iterate_fields(settings)}
        unknown = [key for key in table if key not in fields]
        if unknown:
            first = f'{prefix}{_escape_for_message(unknown[0])}'
            known = f'one of {", ".join(fields)}'
            raise SettingsError(self._path, first, known, 'unknown key')
        values: dict[str, Any] = {}
        for name, field in fields.items():
            key = f'{prefix}{name}'
            if name in table:
                values[name] = self._convert_value(key, table[name], field)
            elif field.is_tolerant or field.default is msgspec.NODEFAULT:
                exc = SettingsError(
                    self._path, key, describe_type(field), 'nothing'
                )
                if not field.is_tolerant:
                    raise exc
                self._on_replaced(exc, field.default)
        return settings(**values)

    def _convert_value(self, key: str, value: Any, field: SettingsField) -> Any:
        if field.is_section and isinstance(value, dict):
            return self.convert_section(f'{key}.', value, field.kind)
        usable = _replace_unusable(value, field) if field.is_tolerant else value
        try:
            found = msgspec.convert(
                usable, type=Annotated[field.kind, field.meta]
            )
        except (msgspec.ValidationError, RecursionError) as exc:
            raise _wrong_value(self._path, key, value, field) from exc
        if not _has_format(found, field.form):
            raise _wrong_value(self._path, key, value, field)
        if usable is not value:
            self._on_replaced(
                _wrong_value(self._path, key, value, field), found
            )
        return found


def _ignore_replacement(exc: SettingsError, used: Any, /) -> None:
    """Ignore a value that was replaced."""


def _replace_unusable(value: Any, field: SettingsField) -> Any:
    """Return what is used in place of the value of a tolerant key.

    A usable value, and one of a type that no platform fills in, is returned as
    it is.
    """
    if isinstance(value, bool):
        return field.default
    if isinstance(value, list):
        kept = [
            each
            for each in value
            if isinstance(each, str) and _has_format(each, field.form)
        ]
        if kept != value:
            return kept
    lowest, highest = field.meta.ge, field.meta.le
    is_number = isinstance(value, int | float) and lowest is not None
    if is_number and _is_representable(value):
        if value < lowest:
            return lowest
        if value > highest:
            return highest
    return value


def _is_representable(number: float) -> bool:
    """Return whether a number is finite as a float."""
    try:
        return math.isfinite(number)
    except OverflowError:
        return False


def _wrong_value(
    path: str,
    key: str,
    value: Any,
    field: SettingsField,
) -> SettingsError:
    # The settings file may contain secrets, but this message may get to a log
    # collector and must not.
    found = (
        type(value).__name__ if field.is_secret else _escape_for_message(value)
    )
    return SettingsError(path, key, describe_type(field), found)


def _has_format(value: Any, form: str) -> bool:
    if form == HOST_FORM:
        return is_host_address(value)
    if form == OPTIONAL_HOST_FORM:
        return not value or is_host_address(value)
    if form == ENDPOINT_FORM:
        endpoints = (value,) if isinstance(value, str) else value
        return all(_is_endpoint(each) for each in endpoints)
    return True


def _is_endpoint(text: str) -> bool:
    address, _, port = text.rpartition(':')
    is_number = port.isascii() and port.isdecimal() and len(port) <= 5
    return (
        is_host_address(address) and is_number and 1 <= int(port) <= _MAX_PORT
    )


def _type_name(field: SettingsField) -> str:
    if field.kind is str:
        return field.form or 'text'
    nouns = {int: 'integer', float: 'number', bool: 'true or false'}
    return nouns.get(field.kind, f'list of {field.form or "text"}')


def _escape_for_message(value: Any) -> str:
    try:
        text = value if isinstance(value, str) else repr(value)
    except (ValueError, RecursionError):
        # Python does not write integers of more than some thousand digits.
        text = f'{type(value).__name__} that is too large to show'
    escaped = text.encode('unicode_escape').decode('ascii')
    quoted = escaped.replace('"', r'\"')
    if len(quoted) > _MAX_SHOWN_CHARACTERS:
        return f'{quoted[:_MAX_SHOWN_CHARACTERS]}...'
    return quoted
