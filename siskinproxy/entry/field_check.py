"""Field-by-field reading of stored values that do not fit their type.

A value with one wrong field is not rejected as a whole. Each field is read on
its own: a wrong field that decides nothing gets its default, and only a wrong
field that decides where flows go makes the part that holds it unusable.
"""

import functools
import json
from collections.abc import Mapping
from typing import Any, Final

import msgspec

from siskinproxy.entry.value_bounds import DECODING_ERRORS

__all__ = (
    'MAX_SHOWN_VALUE',
    'FieldFault',
    'FieldValues',
    'find_field_fault',
    'read_fields',
    'read_json_fields',
    'shorten_value',
)

#: Longest text of a wrong value in a log line or status page, in characters.
MAX_SHOWN_VALUE: Final = 80


class FieldFault(msgspec.Struct, frozen=True):
    """A field that cannot be read.

    Parameters
    ----------
    field : str
        Name of the field as stored; empty if the value has no fields.
    value : str
        Stored value as text, shortened; empty if the field is missing.
    reason : str
        Why the value cannot be used.
    """

    field: str
    value: str
    reason: str


class FieldValues(msgspec.Struct, frozen=True):
    """Fields that could be read, and those that could not.

    Parameters
    ----------
    values : dict of str to object
        Readable values by the name of the struct's attribute. Missing and
        wrong fields are left out, so that a struct made from them has its
        defaults there.
    faults : tuple of FieldFault
        Wrong fields, and required fields that are missing.
    """

    values: dict[str, Any]
    faults: tuple[FieldFault, ...]

    @property
    def faulty_fields(self) -> frozenset[str]:
        """Stored names of the fields that cannot be read."""
        return frozenset(fault.field for fault in self.faults)


def shorten_value(stored: object) -> str:
    """Return a stored value as text of at most `MAX_SHOWN_VALUE` characters."""
    if isinstance(stored, bytes):
        text = stored[: 4 * MAX_SHOWN_VALUE].decode(errors='replace')
    else:
        text = json.dumps(stored, default=repr)
    return text[:MAX_SHOWN_VALUE]


def read_fields(stored: object, struct_type: type) -> FieldValues:
    """Read each field of a struct on its own.

    Parameters
    ----------
    stored : object
        Decoded JSON value.
    struct_type : type
        `msgspec.Struct` whose fields are read. Unknown fields of the value
        are ignored.

    Returns
    -------
    FieldValues
        Readable fields and faults. A value that is not an object has one
        fault without a field.
    """
    if not isinstance(stored, Mapping):
        fault = FieldFault('', shorten_value(stored), 'value is not an object')
        return FieldValues({}, (fault,))
    values = {}
    faults = []
    for field in _fields_of(struct_type):
        name = field.encode_name
        if name not in stored:
            if field.required:
                faults.append(FieldFault(name, '', 'field is missing'))
            continue
        try:
            values[field.name] = _convert(stored[name], field.type)
        except DECODING_ERRORS as exc:
            shown = shorten_value(stored[name])
            faults.append(FieldFault(name, shown, str(exc)))
    return FieldValues(values, tuple(faults))


def find_field_fault(stored: bytes, struct_type: type) -> FieldFault:
    """Return the first fault of a value that does not fit its type.

    Parameters
    ----------
    stored : bytes
        Value as stored, which may be anything.
    struct_type : type
        `msgspec.Struct` that describes the JSON object.

    Returns
    -------
    FieldFault
        Fault without a field if the value is not a JSON object.
    """
    faults = read_json_fields(stored, struct_type).faults
    if faults:
        return faults[0]
    return FieldFault('', shorten_value(stored), 'value does not fit its type')


def read_json_fields(stored: bytes, struct_type: type) -> FieldValues:
    """Read each field of a JSON object on its own, as `read_fields` does.

    A value that is not JSON, or is nested too deeply, has one fault without a
    field.
    """
    try:
        # Unlike msgspec, json also reads texts and numbers that other parts
        # of the value need not suffer from, such as unpaired surrogates.
        found = json.loads(stored)
    except DECODING_ERRORS as exc:
        fault = FieldFault('', shorten_value(stored), f'not JSON: {exc}')
        return FieldValues({}, (fault,))
    return read_fields(found, struct_type)


def _convert(stored: object, field_type: Any) -> Any:
    found = msgspec.convert(stored, field_type)
    if isinstance(found, str):
        # Text that is not Unicode can't be sent on, not even to a log.
        found.encode()
    return found


@functools.cache
def _fields_of(struct_type: type) -> tuple[msgspec.structs.FieldInfo, ...]:
    return msgspec.structs.fields(struct_type)
