import msgspec
import pytest

from siskinproxy.errors import (
    InvariantViolation,
    SectionDigestError,
    StoreDataError,
)
from siskinproxy.standins.store import FakeKeyValueClient, MemoryStore
from siskinproxy.standins.virtual_time import run_virtual
from siskinproxy.store import head as heads
from siskinproxy.store.client import ABSENT, KeyValue
from siskinproxy.store.sections import encode_sections
from siskinproxy.store.tests.configurations import REGION, make_configuration


def entry(generation, submission_id='s'):
    return heads.AuditEntry(
        generation, generation - 1, 'ildiko', 1000, submission_id, 'zones'
    )


def grown(count):
    head = heads.empty_head(REGION)
    for number in range(1, count + 1):
        head = heads.next_head(
            head, head.digests, b'f', entry(number, f's{number}')
        )
    return head


def test_head_round_trip():
    """Guards against fields that are lost in the store."""
    head = grown(3)
    stored = KeyValue(heads.encode_head(head), 7)
    assert heads.decode_head(REGION, stored) == head
    assert heads.decode_head(REGION, ABSENT) == heads.empty_head(REGION)


def test_head_keeps_last_submissions():
    """Guards against a head that grows without limit."""
    head = grown(100)
    assert len(head.submissions) == heads.MAX_SUBMISSIONS
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
    """Guards against applying the head of another region or version."""
    with pytest.raises(StoreDataError):
        heads.decode_head(REGION, KeyValue(stored, 1))


def test_assemble_checks_region():
    """Guards against sections of another region under this head."""
    encoded = encode_sections(
        msgspec.structs.replace(make_configuration(), region='lisboa')
    )
    head = heads.Head(REGION, 1, tuple(part.digest for part in encoded))
    with pytest.raises(StoreDataError):
        heads.assemble(head, {part.digest: part.encoded for part in encoded})


@pytest.mark.parametrize('stored', [b'', b'other'], ids=['absent', 'altered'])
def test_fetched_section_is_verified(stored):
    """Guards against remembering a section that does not match its digest."""
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
        run_virtual(
            heads.fetch_sections(FakeKeyValueClient(store), head, known)
        )
    assert caught.value.index == 64
    assert bool(caught.value.found) == bool(stored)
    assert encoded[64].digest not in known


@pytest.mark.parametrize(
    ('earlier', 'later', 'rule'),
    [
        (grown(5), grown(4), 'reverted'),
        (
            grown(5),
            msgspec.structs.replace(grown(5), digests=(b'x',)),
            'ambiguous',
        ),
        (
            grown(5),
            msgspec.structs.replace(grown(6), submissions=()),
            'lost',
        ),
        (
            grown(5),
            heads.next_head(grown(5), (b'x',), b'f', entry(6, 's2')),
            'applied_twice',
        ),
    ],
    ids=['reverted', 'ambiguous', 'lost', 'applied-twice'],
)
def test_check_monotonic_can_fail(earlier, later, rule):
    """Guards against a check of config_monotonic that never fires."""
    with pytest.raises(InvariantViolation, match=f'rule={rule} ') as caught:
        heads.check_monotonic(earlier, later)
    assert caught.value.name == 'config_monotonic'


@pytest.mark.parametrize('distance', [0, 1, 63, 64, 65, 200])
def test_check_monotonic_accepts_progress(distance):
    """Guards against a check that fires on ordinary changes."""
    heads.check_monotonic(grown(80), grown(80 + distance))
