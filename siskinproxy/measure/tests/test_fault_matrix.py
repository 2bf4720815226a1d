"""Tests of packet engines with each fault at several times of each procedure.

A procedure is a planned or unplanned change, such as a drain or the removal of
a zone. A cell of the matrix combines a fault, a procedure and a time.
"""

import dataclasses
from collections import Counter

import pytest

from siskinproxy.balancer.engine import PacketEngine
from siskinproxy.measure import scenarios
from siskinproxy.measure.deployments import DEPLOYMENTS
from siskinproxy.measure.experiment import Experiment
from siskinproxy.standins.caller_flow import Outcome

SEED = 1
LOAD_S = 7.0
#: Time from the start of the load to the procedure; long flows are open then.
PROCEDURE_START_S = 2.5
SMALL = dataclasses.replace(
    DEPLOYMENTS['alfold'], instances=6, requests_per_s=30, streams=12
)


def kill_instance(experiment):
    experiment.world.kill('c-3')


def freeze_instance(experiment):
    experiment.world.freeze('c-3', 0.8)


def freeze_long(experiment):
    experiment.world.freeze('c-3', 2.5)


def cut(experiment, pairs):
    cuts = experiment.world.faults.cuts
    cuts.update(pairs)
    experiment.world.schedule(1.0, cuts.difference_update, pairs)


def cut_one_way(experiment):
    cut(experiment, {('c', 'a')})


def cut_both_ways(experiment):
    cut(experiment, {('c', 'a'), ('a', 'c')})


def set_network(experiment, **values):
    for name, value in values.items():
        setattr(experiment.world.faults, name, value)
        experiment.world.schedule(
            1.5, setattr, experiment.world.faults, name, 0
        )


def lose_datagrams(experiment):
    set_network(experiment, loss=0.03)


def duplicate_datagrams(experiment):
    set_network(experiment, duplication=0.2)


def reorder_datagrams(experiment):
    set_network(experiment, reordering=0.2)


def stop_control(experiment):
    experiment.world.instances['c-3'].has_control = False


def drain_other(experiment):
    experiment.change_target('desk-4', draining=True)


def turn_cold(experiment):
    scenarios._turn_cold(experiment, SMALL.cfg.services[0].targets[2])


def report_false_health(experiment):
    for server in experiment.world.targets.values():
        server.set_flag('lie', is_set=True)


def delay_updates(experiment):
    experiment.world.spread_s = 4.0


def stale_list(experiment):
    """Let the fabric send packets to an instance that has stopped."""
    world = experiment.world
    world.instances['c-6'].is_alive = False
    world.schedule(world.detection_delay_s, world.remove_member, 'c-6')
    world.schedule(3.0, world.leave_fabric, 'c-6')


FAULTS = {
    'kill': kill_instance,
    'freeze': freeze_instance,
    'freeze_long': freeze_long,
    'cut_one_way': cut_one_way,
    'cut_both_ways': cut_both_ways,
    'loss': lose_datagrams,
    'duplication': duplicate_datagrams,
    'reordering': reorder_datagrams,
    'control_stopped': stop_control,
    'target_drained': drain_other,
    'target_cold': turn_cold,
    'false_health': report_false_health,
    'uneven_updates': delay_updates,
    'stale_list': stale_list,
}


def continue_traffic(experiment):
    """Change nothing; flows and requests continue as in each run."""


def drain(experiment):
    scenarios._drain(experiment, 'desk-1')


def join(experiment):
    experiment.world.join('a-new', 'a')


def stop(experiment):
    experiment.world.stop('a-1', stays_s=4)


def kill_other(experiment):
    experiment.world.kill('a-1')


def abandon_zone(experiment):
    """Take the zone out of service.

    Instances without the new configuration still open flows to the zone; they
    are abandoned too.
    """
    scenarios._zone_out(experiment, 'b')
    world = experiment.world
    world.schedule(world.spread_s, mark_abandoned, experiment, world.now_s)


def mark_abandoned(experiment, removed_s):
    limit_s = experiment.world.now_s
    names = {target.name for target in scenarios._targets_in(experiment, 'b')}
    for record in experiment.streams:
        if removed_s <= record.flow.opened_s <= limit_s:
            record.was_given_up |= record.flow.target in names


def zone_out(experiment):
    abandon_zone(experiment)
    experiment.world.schedule(3, check_zone_traffic, experiment)


def check_zone_traffic(experiment):
    experiment.world.to_zone_s.pop('b', None)
    experiment.world.schedule(2, scenarios._check_zone, experiment, 'b')


def zone_back(experiment):
    abandon_zone(experiment)
    experiment.world.schedule(3, scenarios._zone_in, experiment, 'b')


#: Procedures by name; a fault is injected at each of `FAULT_OFFSETS_S` relative
#: to the start of the procedure.
PROCEDURES = {
    'traffic': continue_traffic,
    'target_drain': drain,
    'instance_joins': join,
    'instance_stops': stop,
    'instance_dies': kill_other,
    'zone_out': zone_out,
    'zone_back': zone_back,
}
#: Before the start, at the same time, and while snapshots are in transit.
FAULT_OFFSETS_S = (-0.3, 0.0, 0.4)

CHECKS = (
    'doubled',
    'misdelivered',
    'false_refusals',
    'mismatched',
    'broken_flows',
    'late_zone_datagrams',
    'violations',
)

#: Checks that cannot hold in a cell and are left out there, with the reason.
ALLOWED_FAILURES = {
    ('uneven_updates', 'zone_out', -0.3): (
        {'late_zone_datagrams', 'broken_flows'},
        'Updates take up to 4 s here, longer than the 3 s of `zone_out`. Flows '
        'opened to the zone meanwhile are abandoned, some before an answer '
        'tells the caller which target it has.',
    ),
    ('uneven_updates', 'zone_back', -0.3): (
        {'broken_flows'},
        'Flows opened to the zone before its removal is known everywhere are '
        'abandoned, some before an answer names the target.',
    ),
}

#: Jumps of the wall clock are left out: engines get a monotonic time, in which
#: only a pause (`freeze`) appears as a jump.
CELLS = [
    (fault, procedure, step_s)
    for fault in FAULTS
    for procedure in PROCEDURES
    for step_s in (FAULT_OFFSETS_S if procedure != 'traffic' else (0.0,))
]

PAIRS = (
    ('kill', 'loss', 'zone_out'),
    ('freeze', 'uneven_updates', 'instance_stops'),
    ('duplication', 'reordering', 'instance_dies'),
    ('control_stopped', 'target_cold', 'target_drain'),
    ('cut_both_ways', 'false_health', 'instance_joins'),
)


def run_cell(faults, procedure, step_s=0.0, seed=SEED):
    experiment = Experiment(SMALL, seed, PacketEngine)
    experiment.at(PROCEDURE_START_S, PROCEDURES[procedure], experiment)
    for fault in faults:
        experiment.at(PROCEDURE_START_S + step_s, FAULTS[fault], experiment)
    experiment.run(LOAD_S)
    return experiment


def failed_checks(experiment):
    outcomes = experiment.outcomes()
    mismatched = sum(
        record.flow.outcome is Outcome.MISMATCHED
        for record in experiment.streams
    )
    found = {
        'doubled': experiment.target_total('doubled'),
        'misdelivered': experiment.target_total('misdelivered'),
        'false_refusals': experiment.false_refusals(),
        'mismatched': outcomes[Outcome.MISMATCHED.value] + mismatched,
        'broken_flows': experiment.streams_broken(),
        'late_zone_datagrams': experiment.late_zone_datagrams,
        'violations': experiment.violations(),
    }
    return {name: found[name] for name in CHECKS if found[name]}


def violations_by_name_of(experiment):
    counted = Counter()
    for instance in experiment.world.instances.values():
        counted.update(instance.engine.counters().violations_by_name)
    return dict(counted)


@pytest.mark.parametrize(('fault', 'procedure', 'step_s'), CELLS)
def test_fault_at_step(fault, procedure, step_s):
    """Guards against invariants that break if a fault hits a procedure."""
    experiment = run_cell([fault], procedure, step_s)
    assert experiment.outcomes()['answered'] > 100
    assert experiment.established_streams() > 5
    expected = ALLOWED_FAILURES.get((fault, procedure, step_s), (set(), ''))[0]
    found = failed_checks(experiment)
    unexpected = {name: found[name] for name in found if name not in expected}
    assert not unexpected, violations_by_name_of(experiment)


@pytest.mark.parametrize(('first', 'second', 'procedure'), PAIRS)
def test_pair_of_faults(first, second, procedure):
    """Guards against invariants that break under two simultaneous faults."""
    experiment = run_cell([first, second], procedure)
    assert experiment.outcomes()['answered'] > 100
    assert not failed_checks(experiment), violations_by_name_of(experiment)


def test_log_digest_follows_from_the_seed():
    """Guards against runs that cannot be repeated from their seed."""
    digests = [
        run_cell(['loss'], 'zone_out', 0.4, seed).world.log_digest()
        for seed in (SEED, SEED, SEED + 1)
    ]
    assert digests[0] == digests[1]
    assert digests[0] != digests[2]
