"""Every fault at steps of every procedure of the packet process."""

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
#: Time of the procedure after the start of the load; long flows are open then.
STEP_S = 2.5
SMALL = dataclasses.replace(
    DEPLOYMENTS['alfold'], instances=6, requests_per_s=30, streams=12
)


def kill(experiment):
    experiment.world.kill('c-3')


def freeze(experiment):
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


def lose(experiment):
    set_network(experiment, loss=0.03)


def duplicate(experiment):
    set_network(experiment, duplication=0.2)


def reorder(experiment):
    set_network(experiment, reordering=0.2)


def stop_control(experiment):
    experiment.world.instances['c-3'].has_control = False


def drain_other(experiment):
    experiment.change_target('desk-4', draining=True)


def turn_cold(experiment):
    scenarios._turn_cold(experiment, SMALL.cfg.services[0].targets[2])


def lie(experiment):
    for server in experiment.world.targets.values():
        server.set_flag('lie', is_set=True)


def spread(experiment):
    experiment.world.spread_s = 4.0


def stale_list(experiment):
    """Let the fabric send packets to an instance that is gone."""
    world = experiment.world
    world.instances['c-6'].is_alive = False
    world.schedule(world.detection_s, world.remove_member, 'c-6')
    world.schedule(3.0, world.leave_fabric, 'c-6')


FAULTS = {
    'kill': kill,
    'freeze': freeze,
    'freeze_long': freeze_long,
    'cut_one_way': cut_one_way,
    'cut_both_ways': cut_both_ways,
    'loss': lose,
    'duplication': duplicate,
    'reordering': reorder,
    'control_stopped': stop_control,
    'target_drained': drain_other,
    'target_cold': turn_cold,
    'false_health': lie,
    'uneven_updates': spread,
    'stale_list': stale_list,
}


def nothing(experiment):
    """Flow opening, data and requests go on throughout each run."""


def drain(experiment):
    scenarios._drain(experiment, 'desk-1')


def join(experiment):
    experiment.world.join('a-new', 'a')


def stop(experiment):
    experiment.world.stop('a-1', stays_s=4)


def die(experiment):
    experiment.world.kill('a-1')


def abandon_zone(experiment):
    """Take the zone out of service.

    Instances without the new configuration still open flows to the zone; they
    are abandoned too.
    """
    scenarios._zone_out(experiment, 'b')
    world = experiment.world
    world.schedule(world.spread_s, note_abandoned, experiment, world.now_s)


def note_abandoned(experiment, left_s):
    limit_s = experiment.world.now_s
    names = {target.name for target in scenarios._targets_in(experiment, 'b')}
    for record in experiment.streams:
        if left_s <= record.flow.opened_s <= limit_s:
            record.was_given_up |= record.flow.target in names


def zone_out(experiment):
    abandon_zone(experiment)
    experiment.world.schedule(3, watch_zone, experiment)


def watch_zone(experiment):
    experiment.world.to_zone_s.pop('b', None)
    experiment.world.schedule(2, scenarios._check_zone, experiment, 'b')


def zone_back(experiment):
    abandon_zone(experiment)
    experiment.world.schedule(3, scenarios._zone_in, experiment, 'b')


#: Procedures by name; a fault strikes at each of `STEPS_S` after its start.
PROCEDURES = {
    'traffic': nothing,
    'target_drain': drain,
    'instance_joins': join,
    'instance_stops': stop,
    'instance_dies': die,
    'zone_out': zone_out,
    'zone_back': zone_back,
}
#: Before, at the same time, and while the snapshots are on their way.
STEPS_S = (-0.3, 0.0, 0.4)

CHECKS = (
    'doubled',
    'misdelivered',
    'false_refusals',
    'mismatched',
    'broken_flows',
    'late_zone_datagrams',
    'violations',
)

#: Checks that a fault by its nature does not leave intact, with the reason.
IMPOSSIBLE = {
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

#: The engines get a monotonic time, so a jump of the wall clock does not reach
#: them; a pause is the only jump that they can see (`freeze`).
CELLS = [
    (fault, procedure, step_s)
    for fault in FAULTS
    for procedure in PROCEDURES
    for step_s in (STEPS_S if procedure != 'traffic' else (0.0,))
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
    experiment.at(STEP_S, PROCEDURES[procedure], experiment)
    for fault in faults:
        experiment.at(STEP_S + step_s, FAULTS[fault], experiment)
    experiment.run(LOAD_S)
    return experiment


def results(experiment):
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


def names_of(experiment):
    counted = Counter()
    for instance in experiment.world.instances.values():
        counted.update(instance.engine.counters().violations_by_name)
    return dict(counted)


@pytest.mark.parametrize(('fault', 'procedure', 'step_s'), CELLS)
def test_fault_at_step(fault, procedure, step_s):
    """Guards the invariants against one fault during one procedure."""
    experiment = run_cell([fault], procedure, step_s)
    assert experiment.outcomes()['answered'] > 100
    assert experiment.established_streams() > 5
    expected = IMPOSSIBLE.get((fault, procedure, step_s), (set(), ''))[0]
    found = results(experiment)
    kept = {name: found[name] for name in found if name not in expected}
    assert not kept, names_of(experiment)


@pytest.mark.parametrize(('first', 'second', 'procedure'), PAIRS)
def test_pair_of_faults(first, second, procedure):
    """Guards the invariants against two faults at the same time."""
    experiment = run_cell([first, second], procedure)
    assert experiment.outcomes()['answered'] > 100
    assert not results(experiment), names_of(experiment)


def test_log_digest_follows_from_the_seed():
    """Guards the reproduction of a failure from its seed."""
    digests = [
        run_cell(['loss'], 'zone_out', 0.4, seed).world.log_digest()
        for seed in (SEED, SEED, SEED + 1)
    ]
    assert digests[0] == digests[1]
    assert digests[0] != digests[2]
