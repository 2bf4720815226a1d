"""Entries of another writer whose values nobody can use.

They name no target or instance; all others must be served as if the entries did
not exist.
"""

import json
from typing import Any, Final

import msgspec

from siskinproxy.entry.instances import (
    INSTANCES_PREFIX,
    InstanceRecord,
    encode_instance,
)
from siskinproxy.entry.records import Address
from siskinproxy.platform.records import TargetEntry
from siskinproxy.soak.records import SERVICES, TargetDescription, target_item

__all__ = ('ODD_ITEMS',)

_ODD_ID: Final = 0xC0FFEE
_ODD_NAME: Final = 'odd'
#: Address at which nobody listens.
_ADDRESS: Final = Address('127.0.0.1', 9)
#: More digits than an integer type or a float can hold.
_HUGE_NUMBER: Final = 10**400
_NESTED: Final = b'[' * 100_000 + b']' * 100_000
_MARK: Final = 'NESTED'
#: Stored name of the time for which a target is cold.
_COLD_FIELD: Final = next(
    field.encode_name
    for field in msgspec.structs.fields(TargetEntry)
    if field.name == 'cold_ms'
)


def _target(**changes: Any) -> tuple[str, bytes]:
    """Return the key and value of a target's entry with fields replaced."""
    key, value = target_item(
        TargetDescription(_ODD_ID, SERVICES[0], _ADDRESS, is_draining=False)
    )
    return key, _replaced(value, changes)


def _instance(**changes: Any) -> tuple[str, bytes]:
    """Return the key and value of a registration with fields replaced."""
    record = InstanceRecord(_ODD_NAME, 'z0', *_ADDRESS, link_mbps=1000)
    key = f'{INSTANCES_PREFIX}{_ODD_NAME}'
    return key, _replaced(encode_instance(record), changes)


def _replaced(value: bytes, changes: dict[str, Any]) -> bytes:
    # msgspec does not encode numbers of that size.
    entry = msgspec.json.decode(value) | changes
    return json.dumps(entry).encode().replace(f'"{_MARK}"'.encode(), _NESTED)


#: Keys and values of the entries.
ODD_ITEMS: Final = (
    _target(slots=_HUGE_NUMBER),
    _target(address='127.0.0.1:70000'),
    _target(**{_COLD_FIELD: 1e308}),
    _target(other=_MARK),
    (_target()[0], _NESTED),
    _instance(port=70000),
    _instance(host='backend.example'),
    _instance(link_mbps=_HUGE_NUMBER),
    (_instance()[0], _NESTED),
)
