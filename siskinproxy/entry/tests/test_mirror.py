"""Tests of the copy of the store's items, and of changes for others."""

import pytest

from siskinproxy.entry import mirror as mirror_module
from siskinproxy.entry.mirror import StoreMirror
from siskinproxy.entry.records import WritingOrder
from siskinproxy.entry.store import ItemRemoved, PrefixChanges, StoredItem


def item(key, revision, value=b'v'):
    return StoredItem(key, value, revision)


def full(revision, *items):
    return PrefixChanges(items, revision, is_complete=True)


def part(revision, *items):
    return PrefixChanges(items, revision, is_complete=False)


def by_value(item, other):
    """Order items whose values are a writer and a number, such as ``a5``."""
    if item.value[:1] != other.value[:1] or item.value == other.value:
        return WritingOrder.UNKNOWN
    is_earlier = item.value < other.value
    return WritingOrder.EARLIER if is_earlier else WritingOrder.LATER


@pytest.mark.parametrize(
    ('known', 'listed', 'later', 'values'),
    [
        ([item('k', 9, b'a5')], [item('k', 3, b'a2')], [], {'k': b'a5'}),
        ([item('k', 9, b'a5')], [item('k', 5, b'a7')], [], {'k': b'a7'}),
        ([item('k', 9, b'a5')], [item('k', 5, b'b1')], [], {'k': b'b1'}),
        ([item('k', 9, b'a5')], [], [], {}),
        ([item('kept', 9, b'a5')], [], [], {'kept': b'a5'}),
        (
            [item('k', 9, b'a5')],
            [item('k', 3, b'a2')],
            [item('k', 6, b'a3')],
            {'k': b'a3'},
        ),
        ([item('kept', 9)], [], [ItemRemoved('kept', 6)], {}),
        ([item('k', 8), ItemRemoved('k', 9)], [item('k', 3)], [], {}),
        (
            [item('k', 3), ItemRemoved('k', 9)],
            [item('k', 3)],
            [item('k', 6)],
            {'k': b'v'},
        ),
        (
            [item('k', 8, b'a5'), ItemRemoved('k', 9)],
            [item('k', 3, b'a2')],
            [],
            {'k': b'a5'},
        ),
        (
            [item('k', 8, b'a5'), ItemRemoved('k', 9)],
            [item('k', 3, b'a7')],
            [],
            {'k': b'a7'},
        ),
    ],
    ids=[
        'older_in_the_copy',
        'newer_in_the_copy',
        'order_unknown',
        'missing_from_the_copy',
        'kept_though_missing',
        'written_again',
        'removed_again',
        'back_after_its_removal',
        'back_and_written_again',
        'back_in_an_older_form',
        'back_in_a_newer_form',
    ],
)
def test_items_after_a_restore(known, listed, later, values):
    """Guards against items that a restored store brings back or hides."""
    mirror = StoreMirror(by_value, lambda kept: kept.key == 'kept')
    mirror.apply(PrefixChanges((), 1, is_complete=True, epoch=1))
    for number, each in enumerate(known, 9):
        mirror.apply(PrefixChanges((each,), number, False, epoch=1))
    mirror.apply(PrefixChanges(tuple(listed), 5, True, epoch=2))
    mirror.apply(PrefixChanges(tuple(later), 6, False, epoch=2))
    assert {key: kept.value for key, kept in mirror.items.items()} == values
    late = PrefixChanges((item('late', 20),), 20, True, epoch=1)
    assert mirror.apply(late) == ()


@pytest.mark.parametrize(
    ('answers', 'keys'),
    [
        ([full(5, item('a', 3), item('b', 5))], 'ab'),
        ([full(5, item('a', 3)), part(6, item('b', 6))], 'ab'),
        ([full(5, item('a', 3)), part(6, ItemRemoved('a', 6))], ''),
        ([full(5, item('a', 3)), full(9, item('b', 8))], 'b'),
        ([full(9, item('b', 8)), full(5, item('a', 3))], 'b'),
        (
            [
                full(5, item('a', 3)),
                part(6, ItemRemoved('a', 6)),
                part(5, item('a', 3)),
            ],
            '',
        ),
        ([full(5, item('a', 7))], 'a'),
    ],
    ids=[
        'all',
        'added',
        'removed',
        'missing_from_a_newer_answer',
        'missing_from_an_older_answer',
        'older_answer_after_a_removal',
        'written_between_two_pages',
    ],
)
def test_items_after_answers(answers, keys):
    """Guards against lost or restored items when answers arrive out of order.

    Answers come from the store and from other instances, so an older one may
    arrive after a newer one. An answer read in several pages may hold an item
    that was written after the answer's revision.
    """
    mirror = StoreMirror()
    for answer in answers:
        mirror.apply(answer)
    assert ''.join(sorted(mirror.items)) == keys


def test_changes_are_reported_once():
    """Guards against applying a configuration again with a repeated answer."""
    mirror = StoreMirror()
    answer = full(5, item('a', 3))
    assert [change.key for change in mirror.apply(answer)] == ['a']
    assert not mirror.apply(answer)


@pytest.mark.parametrize('known', [0, 4, 5, 6, 7])
def test_an_instance_that_lags_gets_what_it_lacks(known):
    """Guards against removals that an instance that lags never learns.

    The changes that it gets must bring it to the same items from any revision.
    """
    source = StoreMirror()
    source.apply(full(5, item('a', 3), item('b', 5)))
    source.apply(part(6, ItemRemoved('a', 6)))
    source.apply(part(7, item('c', 7)))
    other = StoreMirror()
    if known:
        written = (item('a', 3), item('b', 5), item('c', 7))
        present = [each for each in written if each.revision <= known]
        other.apply(full(known, *(present[1:] if known > 5 else present)))
    other.apply(source.changes_after(known))
    assert other.items == source.items
    assert other.revision == 7


def test_removals_are_bounded(monkeypatch):
    """Guards against memory that grows with each target that leaves.

    Once older removals are forgotten, an instance that lacks them must get all
    items.
    """
    monkeypatch.setattr(mirror_module, 'MAX_REMOVALS', 3)
    mirror = StoreMirror()
    mirror.apply(full(1))
    for revision in range(2, 20):
        mirror.apply(part(revision, ItemRemoved(f'k{revision}', revision)))
    assert mirror.changes_after(2).is_complete
    assert not mirror.changes_after(mirror.revision).is_complete


def test_a_late_answer_does_not_bring_back_what_was_removed():
    """Guards against a target that has left and is in use again.

    Many removals are forgotten at once. If an answer from before some of them
    sets how far they count as known, an item from before them is taken for
    new, and other instances are not told of the removals.
    """
    mirror = StoreMirror()
    mirror.apply(
        PrefixChanges((StoredItem('servers/1', b'1', 5),), 5, is_complete=True)
    )
    removals = tuple(
        ItemRemoved(f'servers/{number}', 10 + number)
        for number in range(1, mirror_module.MAX_REMOVALS + 1)
    )
    mirror.apply(PrefixChanges(removals, 2000, is_complete=False))
    late = PrefixChanges((ItemRemoved('servers/x', 6),), 7, is_complete=False)
    mirror.apply(late)
    stale = PrefixChanges(
        (StoredItem('servers/1', b'1', 8),), 8, is_complete=False
    )
    assert mirror.apply(stale) == ()
    assert 'servers/1' not in mirror.items
    assert mirror.changes_after(7).is_complete
