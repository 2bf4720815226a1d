"""Head: stored form, list of submissions and the check config_monotonic."""

import msgspec
import pytest

from siskinproxy.errors import (
    InvariantViolation,
    SectionDigestError,
    StoreDataError,
)
from siskinproxy.standins.store import FakeKeyValueClient, MemoryStore
from siskinproxy.standins.virtual_time import run_in_virtual_time
from siskinproxy.store import head as heads
from siskinproxy.store.client import ABSENT, KeyValue
from siskinproxy.store.sections import encode_sections
from siskinproxy.store.tests.configurations import REGION, make_configuration


def audit_entry(generation, submission_id='s'):
    return heads.AuditEntry(
        generation, generation - 1, 'ildiko', 1000, submission_id, 'zones'
    )


def head_after(count):
    """Return the head after a number of changes."""
    head = heads.empty_head(REGION)
    for number in range(1, count + 1):
        head = heads.next_head(
            head, head.digests, b'f', audit_entry(number, f's{number}')
        )
    return head


def test_head_round_trip():
    """Guards against fields of a head that the encoding drops."""
    head = head_after(3)
    stored = KeyValue(heads.encode_head(head), 7)
    assert heads.decode_head(REGION, stored) == head
    assert heads.decode_head(REGION, ABSENT) == heads.empty_head(REGION)


def test_head_keeps_last_submissions():
    """Guards against a head that grows with each accepted submission."""
    head = head_after(100)
    assert len(head.submissions) == heads.MAX_LISTED_SUBMISSIONS
    assert head.find_submission('s37').generation == 37
    assert head.find_submission('s36') is None


@pytest.mark.parametrize(
    'stored',
    [
        b'\xc1',
        heads.encode_head(heads.empty_head('lisboa')),
        heads.encode_head(
            msgspec.structs.replace(heads.empty_head(REGION), format_version=2)
        ),
    ],
    ids=['malformed', 'other-region', 'other-format'],
)
def test_wrong_head_is_detected(stored):
    """Guards against applying a head that is corrupt or not for this instance.

    It belongs to another region or has the format of a later version.
    """
    with pytest.raises(StoreDataError):
        heads.decode_head(REGION, KeyValue(stored, 1))


def test_assemble_checks_region():
    """Guards against applying the configuration of another region.

    The digests of the head are valid but refer to that region's sections.
    """
    encoded = encode_sections(
        msgspec.structs.replace(make_configuration(), region='lisboa')
    )
    head = heads.Head(REGION, 1, tuple(part.digest for part in encoded))
    with pytest.raises(StoreDataError):
        heads.assemble_configuration(
            head, {part.digest: part.encoded for part in encoded}
        )


@pytest.mark.parametrize('stored', [b'', b'other'], ids=['absent', 'altered'])
def test_fetched_section_is_verified(stored):
    """Guards against keeping a section that does not match its digest.

    The value of section 64, the base section, is absent or altered in the
    store.
    """
    store = MemoryStore()
    encoded = encode_sections(make_configuration())
    head = heads.Head(REGION, 1, tuple(part.digest for part in encoded))
    for part in encoded:
        if part.encoded and part.index != 64:
            key = heads.section_key(REGION, part.digest)
            store.compare_and_swap(key, part.encoded, 0, 0, 0)
    if stored:
        key = heads.section_key(REGION, encoded[64].digest)
        store.compare_and_swap(key, stored, 0, 0, 0)
    known = {}
    with pytest.raises(SectionDigestError) as caught:
        run_in_virtual_time(
            heads.fetch_sections(FakeKeyValueClient(store), head, known)
        )
    assert caught.value.index == 64
    assert bool(caught.value.found) == bool(stored)
    assert encoded[64].digest not in known


@pytest.mark.parametrize(
    ('earlier', 'later', 'rule'),
    [
        (head_after(5), head_after(4), 'reverted'),
        (
            head_after(5),
            msgspec.structs.replace(head_after(5), digests=(b'x',)),
            'ambiguous',
        ),
        (
            head_after(5),
            msgspec.structs.replace(head_after(6), submissions=()),
            'lost',
        ),
        (
            head_after(5),
            heads.next_head(head_after(5), (b'x',), b'f', audit_entry(6, 's2')),
            'applied_twice',
        ),
    ],
    ids=['reverted', 'ambiguous', 'lost', 'applied-twice'],
)
def test_check_monotonic_can_fail(earlier, later, rule):
    """Guards against a check of config_monotonic that cannot fail.

    Each case breaks one of the rules of the invariant.
    """
    with pytest.raises(InvariantViolation, match=f'rule={rule} ') as caught:
        heads.check_monotonic(earlier, later)
    assert caught.value.name == 'config_monotonic'


@pytest.mark.parametrize('distance', [0, 1, 63, 64, 65, 200])
def test_check_monotonic_accepts_progress(distance):
    """Guards against a check of config_monotonic that fails on valid changes.

    Old submissions leave the list of the head as new ones are accepted.
    """
    heads.check_monotonic(head_after(80), head_after(80 + distance))
