"""Head of a region: the record that commits a configuration.

A configuration is stored in sections, each under the digest of its content.
The head lists the digests of the current sections, as a commit in a
content-addressed store does. A change is accepted if and only if a
compare-and-swap replaces the head.
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
    'MAX_LISTED_SUBMISSIONS',
    'AuditEntry',
    'Head',
    'SubmissionRecord',
    'assemble_configuration',
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

#: Number of accepted submissions that the head lists, so that a repeated
#: submission is recognized. Older ones are looked up in the audit trail.
MAX_LISTED_SUBMISSIONS: Final = 64

#: Version of the encoding of the head.
_FORMAT_VERSION: Final = 1

#: Generations in the keys of audit entries are padded to this many digits, so
#: that the order of the keys is the order of the generations.
_GENERATION_DIGITS: Final = 12


class AuditEntry(msgspec.Struct, frozen=True):
    """Entry of the audit trail for one accepted change.

    Parameters
    ----------
    generation : int
        Generation that the change produced.
    base_generation : int
        Generation that the change was based on.
    operator : str
        Name of the operator who submitted the change.
    unix_s : int
        Time of the submission in seconds since the Unix epoch.
    submission_id : str
        Id of the submission.
    summary : str
        Description of the change in one line.
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
    """Accepted submission in the list of the head.

    Parameters
    ----------
    submission_id : str
        Id chosen by the submitter.
    generation : int
        Generation that the submission produced.
    fingerprint : bytes
        Hash of the submitted configuration and its base generation, to detect
        that an id is used for two different submissions.
    """

    submission_id: str
    generation: int
    fingerprint: bytes


class Head(msgspec.Struct, frozen=True):
    """Commit record of a region's configuration.

    Parameters
    ----------
    region : str
        Region of the configuration.
    generation : int
        Number of accepted changes; 0 if there is no configuration.
    digests : tuple of bytes
        Digest of each section by index; `EMPTY_DIGEST` if it has no content.
    submissions : tuple of SubmissionRecord
        The last `MAX_LISTED_SUBMISSIONS` accepted submissions, oldest first.
    audit : AuditEntry or None
        Audit entry of the last change; None in an empty head.
    format_version : int
        Version of the encoding of the head.
    """

    region: str
    generation: int
    digests: tuple[bytes, ...]
    submissions: tuple[SubmissionRecord, ...] = ()
    audit: AuditEntry | None = None
    format_version: int = _FORMAT_VERSION

    def find_submission(self, submission_id: str) -> SubmissionRecord | None:
        """Return the record of a submission, None if it is not listed."""
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
    """Return the key of the section with a digest."""
    return f'siskinproxy/{region}/section/{digest.hex()}'


def audit_prefix(region: str) -> str:
    """Return the common prefix of the keys of a region's audit trail."""
    return f'siskinproxy/{region}/audit/'


def audit_key(region: str, generation: int) -> str:
    """Return the key of a generation's audit entry."""
    return f'{audit_prefix(region)}{generation:0{_GENERATION_DIGITS}}'


def empty_head(region: str) -> Head:
    """Return the head, of generation 0, of a region without configuration."""
    return Head(region, 0, (EMPTY_DIGEST,) * (SECTION_COUNT + 1))


def encode_head(head: Head) -> bytes:
    """Return the stored form of a head."""
    return _encoder.encode(head)


def decode_head(region: str, stored: KeyValue) -> Head:
    """Decode the value of a head key.

    Parameters
    ----------
    region : str
        Region that the head must belong to.
    stored : KeyValue
        Value of the head key.

    Returns
    -------
    Head
        The head; an empty one of generation 0 if the key is absent.

    Raises
    ------
    StoreDataError
        The value cannot be decoded, has another format version, or belongs to
        another region.
    """
    if not stored.version:
        return empty_head(region)
    key = head_key(region)
    try:
        head = _decoder.decode(stored.value)
    except msgspec.DecodeError as exc:
        raise StoreDataError(key, str(exc)) from exc
    if head.format_version != _FORMAT_VERSION:
        raise StoreDataError(
            key, f'unsupported format_version={head.format_version}'
        )
    if head.region != region:
        raise StoreDataError(key, f'head belongs to region={head.region}')
    return head


def referenced_sections(region: str, encoded: bytes) -> tuple[bytes, ...]:
    """Return the digests of the sections that an encoded head refers to.

    Parameters
    ----------
    region : str
        Region that the head must belong to.
    encoded : bytes
        Stored form of the head.

    Returns
    -------
    tuple of bytes
        Digests of the sections that have content.

    Raises
    ------
    StoreDataError
        The value cannot be decoded, has another format version, or belongs to
        another region.
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
        Digest of each section of the changed configuration by index.
    fingerprint : bytes
        Hash of the submitted configuration and its base generation.
    audit : AuditEntry
        Audit entry of the change.
    """
    generation = head.generation + 1
    record = SubmissionRecord(audit.submission_id, generation, fingerprint)
    submissions = (*head.submissions, record)[-MAX_LISTED_SUBMISSIONS:]
    return Head(head.region, generation, digests, submissions, audit)


def assemble_configuration(
    head: Head, sections: Mapping[bytes, bytes]
) -> Configuration:
    """Build the configuration of a head from its sections.

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
        raise StoreDataError(
            head_key(head.region), f'sections belong to region={cfg.region}'
        )
    return cfg


async def fetch_sections(
    client: KeyValueClient,
    head: Head,
    known: dict[bytes, bytes],
) -> None:
    """Read the sections of a head that the caller does not have yet.

    Parameters
    ----------
    client : KeyValueClient
        Client of the store.
    head : Head
        Head whose sections are read.
    known : dict of bytes to bytes
        Encoded sections by digest. Each fetched section is added, so a retry
        after an error fetches only the remaining ones.

    Raises
    ------
    SectionDigestError
        A section is absent or does not match its digest.
    """
    missing = {digest for digest in head.digests if digest not in known}
    missing.discard(EMPTY_DIGEST)
    # Sorted, so that tests that inject faults by call number are reproducible.
    await run_all(
        _fetch_section(client, head, digest, known)
        for digest in sorted(missing)
    )


async def _fetch_section(
    client: KeyValueClient,
    head: Head,
    digest: bytes,
    known: dict[bytes, bytes],
) -> None:
    """Read one section, verify its digest and add it to ``known``."""
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
        The generation decreased (``reverted``), one generation has two
        contents (``ambiguous``), an accepted submission is missing from the
        last `MAX_LISTED_SUBMISSIONS` (``lost``), or a submission id is listed twice
        (``applied_twice``).
    """
    if later.generation < earlier.generation:
        _raise_violation(earlier, later, 'reverted')
    if later.generation == earlier.generation and later != earlier:
        _raise_violation(earlier, later, 'ambiguous')
    oldest = later.generation - MAX_LISTED_SUBMISSIONS
    expected = {
        record for record in earlier.submissions if record.generation > oldest
    }
    if not expected.issubset(later.submissions):
        _raise_violation(earlier, later, 'lost')
    ids = [record.submission_id for record in later.submissions]
    if len(set(ids)) != len(ids):
        _raise_violation(earlier, later, 'applied_twice')


def _raise_violation(earlier: Head, later: Head, rule: str) -> None:
    raise InvariantViolation(
        'config_monotonic',
        f'rule={rule} earlier={earlier.generation} later={later.generation}',
    )
