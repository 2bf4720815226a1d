"""Sections: round trip, digests of unchanged sections, and corrupt values."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskinproxy.errors import SectionDigestError, StoreDataError
from siskinproxy.operators.configuration import Configuration, RetiredTarget
from siskinproxy.store import sections
from siskinproxy.store.tests.configurations import (
    REGION,
    ZONES,
    make_configuration,
    make_service,
)


def digests_of(encoded):
    return tuple(section.digest for section in encoded)


def contents_of(encoded):
    return {section.digest: section.encoded for section in encoded}


@given(
    st.lists(st.integers(0, 99), unique=True, max_size=8),
    st.integers(0, 3),
    st.integers(0, 3),
)
def test_sections_round_trip(numbers, targets, retired):
    """Guards against services or fields that the encoding drops."""
    services = tuple(make_service(number, targets) for number in numbers)
    cfg = Configuration(
        REGION,
        ZONES,
        services,
        tuple(
            RetiredTarget('s', target, (8443,), 3, 1000)
            for target in make_service(200, retired).targets
        ),
    )
    encoded = sections.encode_sections(cfg)
    assembled = sections.assemble_sections(
        digests_of(encoded), contents_of(encoded)
    )
    assert assembled == sections.canonical_configuration(cfg)


def test_change_of_one_service_changes_one_section():
    """Guards against a change of one service that rewrites other sections."""
    before = make_configuration(services=40)
    after = make_configuration(services=40, slots=5)
    old = sections.encode_sections(before)
    new = sections.encode_sections(after)
    index = sections.section_of_service('service-000')
    changed = [
        pair[0].index
        for pair in zip(old, new, strict=True)
        if pair[0].digest != pair[1].digest
    ]
    assert changed == [index]


def test_unchanged_sections_keep_their_digests():
    """Guards against rewriting all sections after a compressor upgrade.

    Another version of zlib may encode the same content differently.
    """
    before = make_configuration(services=4)
    foreign = tuple(bytes([index]) * 32 for index in range(65))
    after = make_configuration(services=4, slots=5)
    encoded = sections.encode_sections(after, before, foreign)
    index = sections.section_of_service('service-000')
    for section in encoded:
        assert (section.digest == foreign[section.index]) == (
            section.index != index
        )


@pytest.mark.parametrize(
    ('damage', 'error'),
    [
        (lambda data: data + b'x', SectionDigestError),
        (lambda data: None, SectionDigestError),
    ],
    ids=['altered', 'absent'],
)
def test_wrong_section_is_detected(damage, error):
    """Guards against applying a section that is altered or absent."""
    encoded = sections.encode_sections(make_configuration())
    found = contents_of(encoded)
    digest = encoded[sections.BASE_SECTION_INDEX].digest
    damaged = damage(found.pop(digest))
    if damaged is not None:
        found[digest] = damaged
    with pytest.raises(error) as caught:
        sections.assemble_sections(digests_of(encoded), found)
    assert caught.value.index == sections.BASE_SECTION_INDEX


@pytest.mark.parametrize(
    'stored',
    [b'no zlib', sections.zlib.compress(b'\xc1'), sections.zlib.compress(b'')],
    ids=['not-compressed', 'not-msgpack', 'empty'],
)
def test_undecodable_section_has_a_typed_error(stored):
    """Guards against an error of zlib or msgpack that no caller handles."""
    digest = sections.digest_of(stored)
    digests = (*[b''] * 64, digest)
    with pytest.raises(StoreDataError):
        sections.assemble_sections(digests, {digest: stored})


def test_decompression_is_bounded(monkeypatch):
    """Guards against a small value that exhausts memory when decompressed."""
    monkeypatch.setattr(sections, '_MAX_DECODED_BYTES', 1000)
    packed = msgspec.msgpack.encode({'region': 'x' * 2000})
    stored = sections.zlib.compress(packed)
    digest = sections.digest_of(stored)
    with pytest.raises(StoreDataError):
        sections.assemble_sections((*[b''] * 64, digest), {digest: stored})
