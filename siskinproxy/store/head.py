"""Head of a configuration: the record that a commit replaces.

The head of a region names the sections of the configuration by digest. A
change is accepted when the compare-and-swap of the head takes effect.
"""

from collections.abc import Mapping
from typing import Final

import msgspec

from siskinproxy.errors import (
    InvariantViolation,
    SectionDigestError,
    StoreDataError,
)
from siskinproxy.operators.configuration import Configuration
from siskinproxy.store.client import KeyValue, KeyValueClient
from siskinproxy.store.concurrency import run_all
from siskinproxy.store.sections import (
    EMPTY_DIGEST,
    SECTION_COUNT,
    assemble_sections,
    digest_of,
)

__all__ = (
    'MAX_SUBMISSIONS',
    'AuditEntry',
    'Head',
    'SubmissionRecord',
    'assemble',
    'audit_key',
    'audit_prefix',
    'check_monotonic',
    'decode_head',
    'empty_head',
    'encode_head',
    'fetch_sections',
    'head_key',
    'next_head',
    'referenced_sections',
    'section_key',
)

#: Accepted submissions that the head remembers. Older ones are found through
#: the audit trail.
MAX_SUBMISSIONS: Final = 64

#: Version of the encoding.
_FORMAT: Final = 1

#: Keeps the keys of the audit trail sorted by generation.
_GENERATION_DIGITS: Final = 12


class AuditEntry(msgspec.Struct, frozen=True):
    """Record of one accepted change.

    Parameters
    ----------
    generation : int
        Generation that the change produced.
    base_generation : int
        Generation that the change was based on.
    operator : str
        Who submitted the change.
    unix_s : int
        Time of the submission in seconds since the Unix epoch.
    submission_id : str
        Id of the submission.
    summary : str
        What was changed.
    result : str
        Result of the submission.
    """

    generation: int
    base_generation: int
    operator: str
    unix_s: int
    submission_id: str
    summary: str
    result: str = 'accepted'


class SubmissionRecord(msgspec.Struct, frozen=True, array_like=True):
    """Accepted submission as the head remembers it.

    Parameters
    ----------
    submission_id : str
        Id that the submitter chose.
    generation : int
        Generation that the submission produced.
    fingerprint : bytes
        Identifies the submitted content, to detect an id that is used twice.
    """

    submission_id: str
    generation: int
    fingerprint: bytes


class Head(msgspec.Struct, frozen=True):
    """Commit record of a region.

    Parameters
    ----------
    region : str
        Region of the configuration.
    generation : int
        Number of accepted changes.
    digests : tuple of bytes
        Digest of each section by index.
    submissions : tuple of SubmissionRecord
        The last `MAX_SUBMISSIONS` accepted submissions, oldest first.
    audit : AuditEntry or None
        Audit entry of the last change.
    format_version : int
        Version of the encoding.
    """

    region: str
    generation: int
    digests: tuple[bytes, ...]
    submissions: tuple[SubmissionRecord, ...] = ()
    audit: AuditEntry | None = None
    format_version: int = _FORMAT

    def find_submission(self, submission_id: str) -> SubmissionRecord | None:
        """Return the record of a submission, None if it is not remembered."""
        for record in self.submissions:
            if record.submission_id == submission_id:
                return record
        return None


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Head)


def head_key(region: str) -> str:
    """Return the key of a region's head."""
    return f'siskinproxy/{region}/head'


def section_key(region: str, digest: bytes) -> str:
    """Return the key of a section."""
    return f'siskinproxy/{region}/section/{digest.hex()}'


def audit_prefix(region: str) -> str:
    """Return the prefix of the keys of the audit trail."""
    return f'siskinproxy/{region}/audit/'


def audit_key(region: str, generation: int) -> str:
    """Return the key of an audit entry."""
    return f'{audit_prefix(region)}{generation:0{_GENERATION_DIGITS}}'


def empty_head(region: str) -> Head:
    """Return the head of a region without configuration."""
    return Head(region, 0, (EMPTY_DIGEST,) * (SECTION_COUNT + 1))


def encode_head(head: Head) -> bytes:
    """Return the stored form of a head."""
    return _encoder.encode(head)


def decode_head(region: str, stored: KeyValue) -> Head:
    """Decode the value of a head key.

    Parameters
    ----------
    region : str
        Region that the head has to belong to.
    stored : KeyValue
        Value of the head key.

    Returns
    -------
    Head
        The head; an empty one of generation 0 if the key is absent.

    Raises
    ------
    StoreDataError
        The value is no head of this region in a known format.
    """
    if not stored.version:
        return empty_head(region)
    key = head_key(region)
    try:
        head = _decoder.decode(stored.value)
    except msgspec.DecodeError as exc:
        raise StoreDataError(key, str(exc)) from exc
    if head.format_version != _FORMAT:
        raise StoreDataError(key, f'format={head.format_version}')
    if head.region != region:
        raise StoreDataError(key, f'region={head.region}')
    return head


def referenced_sections(region: str, encoded: bytes) -> tuple[bytes, ...]:
    """Return the digests of the sections that an encoded head names.

    Parameters
    ----------
    region : str
        Region that the head has to belong to.
    encoded : bytes
        Stored form of the head.

    Returns
    -------
    tuple of bytes
        Digests of the sections that have content.

    Raises
    ------
    StoreDataError
        The value is no head of this region in a known format.
    """
    head = decode_head(region, KeyValue(encoded, 1))
    return tuple(filter(None, head.digests))


def next_head(
    head: Head,
    digests: tuple[bytes, ...],
    fingerprint: bytes,
    audit: AuditEntry,
) -> Head:
    """Return the head after a change.

    Parameters
    ----------
    head : Head
        Head that the change is based on.
    digests : tuple of bytes
        Digests of the changed configuration.
    fingerprint : bytes
        Identifies the submitted content.
    audit : AuditEntry
        Audit entry of the change.
    """
    generation = head.generation + 1
    record = SubmissionRecord(audit.submission_id, generation, fingerprint)
    submissions = (*head.submissions, record)[-MAX_SUBMISSIONS:]
    return Head(head.region, generation, digests, submissions, audit)


def assemble(head: Head, sections: Mapping[bytes, bytes]) -> Configuration:
    """Put the configuration of a head together.

    Parameters
    ----------
    head : Head
        Head of a generation above 0.
    sections : mapping of bytes to bytes
        Encoded sections by digest.

    Returns
    -------
    Configuration
        The configuration with its services sorted by name.

    Raises
    ------
    SectionDigestError
        A section is absent or does not match its digest.
    StoreDataError
        A section cannot be decoded or belongs to another region.
    """
    cfg = assemble_sections(head.digests, sections)
    if cfg.region != head.region:
        raise StoreDataError(head_key(head.region), f'region={cfg.region}')
    return cfg


async def fetch_sections(
    client: KeyValueClient,
    head: Head,
    known: dict[bytes, bytes],
) -> None:
    """Read the sections of a head that are not known yet.

    Parameters
    ----------
    client : KeyValueClient
        Client of the store.
    head : Head
        Head whose sections are needed.
    known : dict of bytes to bytes
        Encoded sections by digest; the fetched ones are added, so a retry
        after an error fetches only the remaining ones.

    Raises
    ------
    SectionDigestError
        A section is absent or does not match its digest.
    """
    missing = {digest for digest in head.digests if digest not in known}
    missing.discard(EMPTY_DIGEST)
    # Sorted, so that runs with planned faults are reproducible.
    await run_all(
        _fetch(client, head, digest, known) for digest in sorted(missing)
    )


async def _fetch(
    client: KeyValueClient,
    head: Head,
    digest: bytes,
    known: dict[bytes, bytes],
) -> None:
    found = await client.get(section_key(head.region, digest))
    if digest_of(found.value) != digest:
        raise SectionDigestError(
            head.digests.index(digest),
            digest.hex(),
            digest_of(found.value).hex() if found.version else '',
        )
    known[digest] = found.value


def check_monotonic(earlier: Head, later: Head) -> None:
    """Check the invariant ``config_monotonic`` between two heads.

    Parameters
    ----------
    earlier : Head
        Head that was read first.
    later : Head
        Head that was read afterwards.

    Raises
    ------
    InvariantViolation
        The generation went back, one generation has two contents, or an
        accepted submission disappeared while the head should remember it.
    """
    if later.generation < earlier.generation:
        _violation(earlier, later, 'reverted')
    if later.generation == earlier.generation and later != earlier:
        _violation(earlier, later, 'ambiguous')
    oldest = later.generation - MAX_SUBMISSIONS
    expected = {
        record for record in earlier.submissions if record.generation > oldest
    }
    if not expected.issubset(later.submissions):
        _violation(earlier, later, 'lost')
    ids = [record.submission_id for record in later.submissions]
    if len(set(ids)) != len(ids):
        _violation(earlier, later, 'applied_twice')


def _violation(earlier: Head, later: Head, rule: str) -> None:
    raise InvariantViolation(
        'config_monotonic',
        f'rule={rule} earlier={earlier.generation} later={later.generation}',
    )
