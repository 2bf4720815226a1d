"""Sections of a configuration: partition, encoding and verification.

A configuration is stored in sections. Each is stored under the digest of its
encoded form and is immutable, so a change of one service writes one section.
Services are assigned to sections by a hash of their name; the region, the zones
and the retired targets are in the base section.
"""

import hashlib
import zlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Final, TypeAlias

import msgspec
import xxhash

from siskinproxy.errors import SectionDigestError, StoreDataError
from siskinproxy.operators.configuration import (
    Configuration,
    RetiredTarget,
    Service,
    Zone,
)

__all__ = (
    'BASE_SECTION_INDEX',
    'EMPTY_DIGEST',
    'SECTION_COUNT',
    'Section',
    'SectionContent',
    'assemble_sections',
    'canonical_configuration',
    'digest_of',
    'encode_sections',
    'partition_configuration',
    'section_of_service',
)

#: Number of sections that services are distributed over. Changing it moves
#: services to other sections, so every submission after an upgrade writes all
#: sections.
SECTION_COUNT: Final = 64

#: Index of the base section, which has the region, zones and retired targets.
BASE_SECTION_INDEX: Final = SECTION_COUNT

#: Listed in the head in place of a digest if a section has no content; such a
#: section is not stored.
EMPTY_DIGEST: Final = b''

#: Level of zlib. Fixed, since the digest of a section depends on it.
_COMPRESSION_LEVEL: Final = 6

#: Largest size of a decompressed section. At the intended scale a section takes
#: about 2 KB; the limit keeps a corrupt value from exhausting the memory of
#: every instance.
_MAX_DECODED_BYTES: Final = 16_000_000

_encoder = msgspec.msgpack.Encoder()


class SectionContent(msgspec.Struct, frozen=True, omit_defaults=True):
    """Part of a configuration that is stored as one section.

    Parameters
    ----------
    services : tuple of Service
        Services of the section, sorted by name.
    region : str
        Region; in the base section only.
    zones : tuple of Zone
        Zones; in the base section only.
    retired : tuple of RetiredTarget
        Retired targets; in the base section only.
    """

    services: tuple[Service, ...] = ()
    region: str = ''
    zones: tuple[Zone, ...] = ()
    retired: tuple[RetiredTarget, ...] = ()


_SectionContents: TypeAlias = tuple[SectionContent, ...]

_decoder = msgspec.msgpack.Decoder(SectionContent)
_EMPTY_CONTENT: Final = SectionContent()


@dataclass(frozen=True, slots=True)
class Section:
    """Encoded section.

    Parameters
    ----------
    index : int
        Index of the section.
    digest : bytes
        SHA-256 of the encoded form; `EMPTY_DIGEST` without content.
    encoded : bytes
        Content as zlib-compressed msgpack; empty if there is none, or if the
        section is already stored.
    """

    index: int
    digest: bytes
    encoded: bytes


def digest_of(encoded: bytes) -> bytes:
    """Return the SHA-256 digest under which an encoded value is stored.

    The digest is a cryptographic one, since in a collision one section would
    silently replace another.
    """
    return hashlib.sha256(encoded).digest()


def section_of_service(name: str) -> int:
    """Return the index of the section of the service with a name."""
    return xxhash.xxh3_64_intdigest(name.encode()) % SECTION_COUNT


def canonical_configuration(cfg: Configuration) -> Configuration:
    """Return the configuration with its services sorted by name.

    Sections do not preserve the order of services, so configurations are
    compared in this form.
    """
    return msgspec.structs.replace(cfg, services=_sort_by_name(cfg.services))


def partition_configuration(cfg: Configuration) -> _SectionContents:
    """Split a configuration into the contents of its sections.

    Parameters
    ----------
    cfg : Configuration
        Configuration to split.

    Returns
    -------
    tuple of SectionContent
        Content of each section by index, the base section last.
    """
    services: list[list[Service]] = [[] for _ in range(SECTION_COUNT)]
    for service in _sort_by_name(cfg.services):
        services[section_of_service(service.name)].append(service)
    base = SectionContent(
        region=cfg.region,
        zones=cfg.zones,
        retired=cfg.retired,
    )
    return (*(SectionContent(tuple(part)) for part in services), base)


def encode_sections(
    cfg: Configuration,
    previous: Configuration | None = None,
    previous_digests: Sequence[bytes] = (),
) -> tuple[Section, ...]:
    """Encode the sections of a configuration.

    Parameters
    ----------
    cfg : Configuration
        Configuration to encode.
    previous : Configuration, optional
        Configuration that the store holds.
    previous_digests : sequence of bytes
        Digests of the sections of `previous` by index. An unchanged section
        keeps its digest, even if another version of the compressor would
        encode it differently; its encoded form is left empty.

    Returns
    -------
    tuple of Section
        Sections by index, the base section last.
    """
    contents = partition_configuration(cfg)
    if previous is None or len(previous_digests) != len(contents):
        return tuple(map(_encode_section, range(len(contents)), contents))
    earlier = partition_configuration(previous)
    return tuple(
        Section(index, previous_digests[index], b'')
        if content == earlier[index]
        else _encode_section(index, content)
        for index, content in enumerate(contents)
    )


def assemble_sections(
    digests: Sequence[bytes],
    sections: Mapping[bytes, bytes],
) -> Configuration:
    """Build a configuration from its sections.

    Parameters
    ----------
    digests : sequence of bytes
        Digest of each section by index.
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
        A section matches its digest but cannot be decoded.
    """
    contents = [
        _decode_section(index, digest, sections)
        for index, digest in enumerate(digests)
    ]
    base = contents.pop()
    services = [service for content in contents for service in content.services]
    return Configuration(
        region=base.region,
        zones=base.zones,
        services=_sort_by_name(services),
        retired=base.retired,
    )


def _sort_by_name(services: Sequence[Service]) -> tuple[Service, ...]:
    return tuple(sorted(services, key=lambda service: service.name))


def _encode_section(index: int, content: SectionContent) -> Section:
    if content == _EMPTY_CONTENT:
        return Section(index, EMPTY_DIGEST, b'')
    packed = _encoder.encode(content)
    encoded = zlib.compress(packed, _COMPRESSION_LEVEL)
    return Section(index, digest_of(encoded), encoded)


def _decode_section(
    index: int,
    digest: bytes,
    sections: Mapping[bytes, bytes],
) -> SectionContent:
    """Verify the digest of a section and decode it."""
    if digest == EMPTY_DIGEST:
        return _EMPTY_CONTENT
    encoded = sections.get(digest)
    if encoded is None:
        raise SectionDigestError(index, digest.hex(), '')
    found = digest_of(encoded)
    if found != digest:
        raise SectionDigestError(index, digest.hex(), found.hex())
    try:
        return _decoder.decode(_decompress(encoded))
    except (zlib.error, msgspec.DecodeError) as exc:
        raise StoreDataError(f'section/{digest.hex()}', str(exc)) from exc


def _decompress(encoded: bytes) -> bytes:
    """Decompress a section of at most `_MAX_DECODED_BYTES`.

    Raises `zlib.error` if the data is larger, truncated or not compressed.
    """
    stream = zlib.decompressobj()
    packed = stream.decompress(encoded, _MAX_DECODED_BYTES)
    if not stream.eof:
        raise zlib.error(
            'compressed data is truncated or exceeds the size limit'
        )
    return packed
