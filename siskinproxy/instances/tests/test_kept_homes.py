"""Tests of the homes that a view takes over from an earlier view."""

from hypothesis import given
from hypothesis import strategies as st

from siskinproxy.balancer.snapshot import Member
from siskinproxy.instances.placement import View
from siskinproxy.operators.configuration import (
    Configuration,
    Listener,
    Service,
    Target,
    Zone,
)

ZONES = ('a', 'b', 'c', 'd')

#: Zone and last byte of the address of each member by its number. Few zones and
#: members make homes in the same zone likely.
MEMBER_SETS = st.dictionaries(
    st.integers(0, 11),
    st.tuples(st.sampled_from(ZONES), st.integers(1, 3)),
    max_size=12,
)
ZONES_OUT = st.sets(st.sampled_from(ZONES), max_size=2)
TARGET_COUNTS = st.sampled_from((3, 16, 17, 40))


def make_members(present):
    return tuple(
        Member(f'i{number}', zone, f'127.0.0.{host}', 7400, 7402, host)
        for number, (zone, host) in present.items()
    )


def make_configuration(target_count, out):
    targets = tuple(
        Target(f't{index}', f'127.1.0.{index + 1}', 'a')
        for index in range(target_count)
    )
    services = tuple(
        Service(name, (Listener('203.0.113.1', port, 8000),), targets)
        for port, name in enumerate(('desk', 'archive', 'status'), 80)
    )
    zones = tuple(Zone(name, name not in out) for name in ZONES)
    return Configuration('alfold', zones, services)


@given(
    st.lists(
        st.tuples(MEMBER_SETS, ZONES_OUT, TARGET_COUNTS),
        min_size=2,
        max_size=5,
    ),
    st.booleans(),
)
def test_kept_homes_are_those_of_a_full_ranking(changes, rank_all):
    """Guards against instances that disagree on the owner of a shard.

    Instances start at different times and see different sequences of views,
    so homes that depend on earlier views would differ between instances.
    """
    earlier = None
    for present, out, target_count in changes:
        members = make_members(present)
        cfg = make_configuration(target_count, out)
        view = View(members, cfg, earlier)
        expected = View(members, cfg)
        shards = list(view.shards())
        for shard in shards if rank_all else shards[::2]:
            assert view.homes(shard) == expected.homes(shard)
        earlier = view
