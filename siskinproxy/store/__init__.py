"""Configuration of a region, kept in the key-value store of the platform.

Holds the client of the store, the stored format of a configuration, the
protocol that commits a change, the audit trail of the accepted changes, and
the reader role: which instances watch the store for changes.
"""

from siskinproxy.store.audit import read_audit
from siskinproxy.store.client import (
    ABSENT,
    GrpcKeyValueClient,
    KeyValue,
    KeyValueClient,
)
from siskinproxy.store.head import (
    AuditEntry,
    Head,
    assemble_configuration,
    check_monotonic,
    decode_head,
    empty_head,
    encode_head,
    fetch_sections,
    head_key,
    referenced_sections,
    section_key,
)
from siskinproxy.store.head_reader import HeadReader
from siskinproxy.store.options import RetryPolicy, SubmitOptions
from siskinproxy.store.reader_role import ReaderRole
from siskinproxy.store.results import (
    Accepted,
    Conflict,
    OutcomeUnknown,
    Rejected,
    SubmissionResult,
)
from siskinproxy.store.sections import digest_of, encode_sections
from siskinproxy.store.submission import submit

__all__ = (
    'ABSENT',
    'Accepted',
    'AuditEntry',
    'Conflict',
    'GrpcKeyValueClient',
    'Head',
    'HeadReader',
    'KeyValue',
    'KeyValueClient',
    'OutcomeUnknown',
    'Rejected',
    'ReaderRole',
    'RetryPolicy',
    'SubmissionResult',
    'SubmitOptions',
    'assemble_configuration',
    'check_monotonic',
    'decode_head',
    'digest_of',
    'empty_head',
    'encode_head',
    'encode_sections',
    'fetch_sections',
    'head_key',
    'read_audit',
    'referenced_sections',
    'section_key',
    'submit',
)
