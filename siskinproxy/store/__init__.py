"""Interface towards the key-value store of the platform."""

from siskinproxy.store.client import (
    ABSENT,
    GrpcKeyValueClient,
    KeyValue,
    KeyValueClient,
)

__all__ = (
    'ABSENT',
    'GrpcKeyValueClient',
    'KeyValue',
    'KeyValueClient',
)
