"""Days under several policies: what callers get."""

import subprocess
import sys

import msgspec
import pytest

from siskinproxy.emulator.day import Fault, read_day
from siskinproxy.emulator.policies import POLICIES
from siskinproxy.emulator.run import DAYS
from siskinproxy.emulator.world import play
from siskinproxy.emulator.worth import find_worth

HEAVY_DAYS = ('scale-1', 'trouble-1', 'trouble-2')


def day(name='quiet-1', **changes):
    return msgspec.structs.replace(read_day(DAYS / f'{name}.toml'), **changes)


def worth(found, policy='siskinproxy', seed=1):
    return find_worth(found, play(found, POLICIES[policy], seed).outcomes)


def test_the_same_seed_gives_the_same_result():
    """Guards against figures that cannot be repeated."""
    short = day(length_s=12.0)
    assert worth(short) == worth(short)
    assert worth(short) != worth(short, seed=2)


def test_all_policies_get_the_same_requests():
    """Guards against a policy that looks better because of its load."""
    short = day(length_s=8.0)
    asked = {
        tuple(
            sorted(
                (outcome.asked_s, outcome.kind, outcome.zone)
                for outcome in play(short, policy, 3).outcomes
            )
        )
        for policy in POLICIES.values()
    }
    assert len(asked) == 1


@pytest.mark.parametrize('name', HEAVY_DAYS)
def test_policies_rank_as_on_the_bench(name):
    """Guards against an emulator that prefers what the bench does not."""
    found = day(name)
    product = worth(found)
    own_counts = worth(found, 'own_counts')
    assert product.worth > own_counts.worth
    assert own_counts.worth > worth(found, 'random').worth
    assert product.doubled == 0


@pytest.mark.parametrize(
    'fault',
    [
        Fault('targets_silent', 3.0, for_s=6.0, share=0.2),
        Fault('targets_slow', 3.0, for_s=6.0, share=0.2, factor=8.0),
        Fault('instances_die', 3.0, for_s=2.0, share=0.3),
        Fault('instances_stop', 3.0, share=1.0, gap_s=1.0),
        Fault('zone_cut', 3.0, for_s=4.0, zone='alfold-b'),
        Fault('targets_restart', 3.0, for_s=1.0, share=0.3, gap_s=0.5),
    ],
    ids=lambda fault: fault.kind,
)
def test_one_fault_leaves_nearly_all_requests_answered(fault):
    """Guards against a disruption that callers cannot get round."""
    found = day(length_s=14.0, faults=(fault,))
    result = worth(found)
    # A request in progress at a target that goes down is lost, and an unsafe
    # one must not be repeated: at most all slots of the targets.
    slots = sum(
        sum(each.targets) * (each.slots + each.queue) for each in found.services
    )
    assert result.failed <= fault.share * slots + 1
    assert result.doubled == 0


@pytest.mark.parametrize('factor', [3.4, 4.5])
def test_a_burst_is_served_better_than_by_chance(factor):
    """Guards against placing that gives way when targets are full.

    The slots bear 3.5 times the load of this day.
    """
    burst = Fault('burst', 2.0, for_s=6.0, factor=factor)
    found = day(length_s=10.0, faults=(burst,))
    product, chance = worth(found), worth(found, 'random')
    assert product.whole_day > chance.whole_day
    assert product.doubled == 0


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_reports_serve_more_callers_when_targets_are_full(seed):
    """Guards against reports that cost messages and help nobody."""
    found = day('burst-1')
    product = worth(found, seed=seed)
    alone = worth(found, 'without_reports', seed=seed)
    assert product.whole_day > alone.whole_day
    assert product.failed < alone.failed


def test_a_fault_makes_a_difference():
    """Guards against disruptions that do nothing."""
    calm = worth(day(length_s=10.0, faults=()))
    assert calm.failed == 0
    loss = Fault('instances_die', 3.0, for_s=2.0, share=1.0)
    assert worth(day(length_s=10.0, faults=(loss,))).worst_windows < 0.7


def test_product_processes_do_not_load_the_emulator():
    """Guards against scaffolding in the memory of instances."""
    code = (
        'import sys, siskinproxy.platform.entry_main;'
        'sys.exit(any("emulator" in name for name in sys.modules))'
    )
    assert (
        subprocess.run([sys.executable, '-c', code], check=False).returncode
        == 0
    )
