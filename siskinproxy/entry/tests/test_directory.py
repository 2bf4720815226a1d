"""Target directory: removal, lapsed entries, reused addresses and tokens."""

import pytest

from siskinproxy.entry.directory import Presence, TargetDirectory
from siskinproxy.entry.records import token_of
from siskinproxy.entry.tests.fakes import target

DESK = frozenset({'desk'})


@pytest.fixture
def directory():
    found = TargetDirectory()
    found.announce(target(1), 0)
    return found


@pytest.mark.parametrize(
    ('may_return', 'presence', 'is_used'),
    [(False, Presence.GONE, False), (True, Presence.LAPSED, True)],
)
def test_removed_targets(directory, may_return, presence, is_used):
    """Guards against losing all targets after an outage of the store.

    Entries of live targets expire during the outage, because the targets
    can't renew them.
    """
    directory.withdraw('t-1', 5, may_return=may_return)
    known = next(directory.targets())
    assert known.presence is presence
    assert bool(directory.usable_targets('desk')) is is_used


def test_a_draining_target_does_not_lapse(directory):
    """Guards against new flows to a target that has announced its stop.

    Its entry is removed on purpose, so the target must not lapse.
    """
    directory.announce(target(1, is_draining=True, revision=2), 1)
    directory.withdraw('t-1', 5, may_return=True)
    assert next(directory.targets()).presence is Presence.GONE


def test_a_lapsed_target_returns_or_is_given_up(directory):
    """Guards against using a lapsed target without a time limit.

    The target may really have stopped while the store was unavailable.
    """
    directory.withdraw('t-1', 5, may_return=True)
    assert not directory.expire(7)
    assert [known.name for known in directory.expire(8)] == ['t-1']
    assert not directory.usable_targets('desk')
    directory.announce(target(1, revision=9), 9)
    assert directory.usable_targets('desk')


def test_packets_reach_a_target_that_is_gone_until_its_flows_end(directory):
    """Guards against breaking open flows of a target whose entry expired.

    The token must be resolved until the last flow of the target has ended.
    """
    directory.withdraw('t-1', 5, may_return=False)
    assert directory.resolve(token_of(1), DESK) is not None
    directory.expire(5 + directory.timing.flow_life_s + 1)
    assert directory.resolve(token_of(1), DESK) is None
    assert not list(directory.targets())


def test_an_address_that_is_used_again_does_not_mislead(directory):
    """Guards against packets to the wrong target after an address is reused.

    The token of the earlier target must not be resolved to the new target, nor
    the token of the new one in a service that is not its own.
    """
    address = next(directory.targets()).record.address
    directory.withdraw('t-1', 5, may_return=False)
    directory.announce(
        target(2, service='archive', address=address, revision=6), 6
    )
    known = directory.resolve(token_of(1), DESK)
    assert known.record.target_id == 1
    assert directory.resolve(token_of(2), DESK) is None


def test_tokens_depend_on_the_id_alone():
    """Guards against tokens that depend on the state of an instance.

    An instance that has restarted would forward packets to other targets.
    """
    assert token_of(0x7F3A91C2) == token_of(0x7F3A91C2)
    tokens = {token_of(number) for number in range(10_000)}
    assert len(tokens) == 10_000
    assert 0 not in tokens
