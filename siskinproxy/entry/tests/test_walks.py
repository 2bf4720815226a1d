"""The walks of docs/OPERATIONS.md: from a flow to the cause of its failure.

Each test injects a fault and applies the steps of the page to the lines.
"""

from siskinproxy.entry.packets import ACK
from siskinproxy.entry.tests.fakes import (
    Instance,
    configuration,
    packet,
    target,
)

FLOW = '100.64.0.7:1000'


def lines_of(instance, flow=FLOW):
    """Step one of the page: all lines of the flow."""
    return [
        (name, pairs)
        for name, pairs in instance.events.events
        if pairs.get('flow') == flow
    ]


def test_refused_at_once_leads_to_the_configuration():
    """Guards against a refusal that cannot be explained."""
    instance = Instance(targets=[target(1)])
    instance.routes.apply(configuration(7, ()), 1)
    instance.engine.on_packet(packet(1000), 2)
    ((name, pairs),) = lines_of(instance)
    assert name == 'flow_refused'
    assert pairs['reason'] == 'no_route'
    assert pairs['config'] == 7


def test_refused_for_lack_of_targets_leads_to_the_zone():
    """Guards against a refusal whose reason is the same for every cause."""
    instance = Instance(targets=[target(1)])
    instance.directory.take_zone_out('a', 1)
    instance.engine.on_packet(packet(1000), 2)
    ((name, pairs),) = lines_of(instance)
    assert (name, pairs['reason']) == ('flow_refused', 'no_target')


def test_opened_then_broken_leads_to_the_target():
    """Guards against a broken flow whose target is not in the logs."""
    instance = Instance(targets=[target(1), target(2)])
    record = instance.open(1000, 0)
    instance.answer(1000, record, 0.005)
    (opened,) = [pairs for name, pairs in lines_of(instance)]
    name = opened['target']
    port = 2000
    now_s = 1.0
    while not instance.events.named('target_suspected'):
        found = instance.open(port, now_s)
        if found.name != name:
            instance.answer(port, found, now_s + 0.005)
        now_s += 0.05
        instance.engine.on_timer(now_s)
        instance.outbox.take()
        port += 1
    assert instance.events.named('target_suspected')[0]['target'] == name


def test_never_answered_leads_to_the_openings():
    """Guards against an opening that leaves no line when it fails."""
    instance = Instance(targets=[target(1), target(2)])
    instance.engine.on_packet(packet(1000), 0)
    instance.engine.on_timer(0.2)
    instance.engine.on_timer(5)
    names = [name for name, _ in lines_of(instance)]
    assert names == ['flow_opened', 'opening_moved', 'opening_unanswered']
    assert lines_of(instance)[-1][1]['tried'] == 2


def test_late_leads_to_the_target():
    """Guards against a late answer that is not told from a waiting one."""
    instance = Instance(targets=[target(1)])
    record = instance.open(1000, 0)
    instance.answer(1000, record, 0.005)
    # Counted until then, as in a service whose requests take long.
    closing = packet(1000, flags=ACK | 4, token=record.token)
    instance.engine.on_packet(closing, 0.4)
    name, pairs = lines_of(instance)[-1]
    assert name == 'flow_slow'
    assert pairs['target'] == 't-1'
    assert (pairs['took_ms'], pairs['objective_ms']) == (400, 250)
