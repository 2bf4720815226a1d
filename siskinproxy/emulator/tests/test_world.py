"""Tests of whole emulations: scores of policies, with and without faults."""

import subprocess
import sys

import msgspec
import pytest

from siskinproxy.emulator.day import Fault, read_day
from siskinproxy.emulator.emulation import emulate
from siskinproxy.emulator.policies import POLICIES
from siskinproxy.emulator.run import DAYS_FOLDER
from siskinproxy.emulator.scoring import score_day

FAULT_DAYS = ('scale-1', 'trouble-1', 'trouble-2')


def day(name='quiet-1', **changes):
    return msgspec.structs.replace(
        read_day(DAYS_FOLDER / f'{name}.toml'), **changes
    )


def score(scenario, policy='siskinproxy', seed=1):
    return score_day(
        scenario, emulate(scenario, POLICIES[policy], seed).outcomes
    )


def test_the_same_seed_gives_the_same_result():
    """A random source without a seed would make scores irreproducible."""
    short = day(length_s=12.0)
    assert score(short) == score(short)
    assert score(short) != score(short, seed=2)


def test_all_policies_get_the_same_requests():
    """A policy that gets fewer or other requests could look better.

    This would happen if callers shared a random source with other parts.
    Compares the time, class and zone of each request.
    """
    short = day(length_s=8.0)
    asked = {
        tuple(
            sorted(
                (outcome.asked_s, outcome.kind, outcome.zone)
                for outcome in emulate(short, policy, 3).outcomes
            )
        )
        for policy in POLICIES.values()
    }
    assert len(asked) == 1


@pytest.mark.parametrize('name', FAULT_DAYS)
def test_policies_rank_as_on_the_bench(name):
    """The emulator must rank policies in the same order as ``make bench``.

    A model that differs too much from real processes would rank them otherwise.
    """
    scenario = day(name)
    product = score(scenario)
    own_counts = score(scenario, 'own_counts')
    assert product.worth > own_counts.worth
    assert own_counts.worth > score(scenario, 'random').worth
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
    """Retries and other targets must make up for a single fault.

    Only requests that are held by failed targets may be lost.
    """
    scenario = day(length_s=14.0, faults=(fault,))
    result = score(scenario)
    # A target that goes down loses the requests that it holds, and unsafe ones
    # must not be retried. It holds at most as many as its slots and its queue.
    slots = sum(
        sum(each.targets) * (each.slots + each.queue)
        for each in scenario.services
    )
    assert result.failed <= fault.share * slots + 1
    assert result.doubled == 0


@pytest.mark.parametrize('factor', [3.4, 4.5])
def test_a_burst_is_served_better_than_by_chance(factor):
    """Target selection that fails when slots are full is no better than random.

    All slots together have a capacity of 3.5 times the load of this day, so
    that one burst is just below the capacity and the other one above it.
    """
    burst = Fault('burst', 2.0, for_s=6.0, factor=factor)
    scenario = day(length_s=10.0, faults=(burst,))
    product, chance = score(scenario), score(scenario, 'random')
    assert product.whole_day > chance.whole_day
    assert product.doubled == 0


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_reports_serve_more_callers_when_targets_are_full(seed):
    """Load reports must increase the score and reduce failures under overload.

    Without them, instances see only their own flows and overload targets.
    """
    scenario = day('burst-1')
    product = score(scenario, seed=seed)
    alone = score(scenario, 'without_reports', seed=seed)
    assert product.whole_day > alone.whole_day
    assert product.failed < alone.failed


def test_a_fault_makes_a_difference():
    """A fault that isn't injected would make the tests with faults meaningless.

    No request may fail without a fault, and the loss of all instances must
    lower the score of the worst windows.
    """
    calm = score(day(length_s=10.0, faults=()))
    assert calm.failed == 0
    loss = Fault('instances_die', 3.0, for_s=2.0, share=1.0)
    assert score(day(length_s=10.0, faults=(loss,))).worst_windows < 0.7


def test_product_processes_do_not_load_the_emulator():
    """An import of the emulator would waste memory in each instance process."""
    code = (
        'import sys, siskinproxy.platform.entry_main;'
        'sys.exit(any("emulator" in name for name in sys.modules))'
    )
    assert (
        subprocess.run([sys.executable, '-c', code], check=False).returncode
        == 0
    )


@pytest.mark.parametrize('age_s', [2.0, 6.0, 20.0])
def test_a_restored_store_costs_callers_nothing(age_s):
    """Targets that left or came after the copy must be used as before.

    An instance that takes the copy as it is opens flows at targets that are
    down, and uses fewer targets than there are.
    """
    restarts = Fault('targets_restart', 3.0, for_s=3.0, share=0.4, gap_s=1.0)
    ends = Fault('targets_silent', 6.0, for_s=20.0, share=0.2)
    restored = Fault('store_restored', 10.5, for_s=1.0, age_s=age_s)
    calm = day(length_s=20.0, faults=(restarts, ends))
    drill = day(length_s=20.0, faults=(restarts, ends, restored))
    expected = score(calm)
    assert score(drill).worth > expected.worth - 0.01
    assert score(drill).answered >= expected.answered - 2
