"""Troubleshooting steps of docs/OPERATIONS.md, from a flow to its failure.

Each test injects a fault and follows the steps of the page in the log events.
"""

from siskinproxy.entry.packets import ACK
from siskinproxy.entry.tests.fakes import (
    Instance,
    configuration,
    packet,
    target,
)

FLOW = '100.64.0.7:1000'


def events_of(instance, flow=FLOW):
    """Return all events of a flow, the first step of the page."""
    return [
        (name, pairs)
        for name, pairs in instance.events.events
        if pairs.get('flow') == flow
    ]


def test_refused_at_once_leads_to_the_configuration():
    """Guards against a refusal whose cause isn't in the log.

    A configuration without the route must be named with its version.
    """
    instance = Instance(targets=[target(1)])
    instance.routes.apply(configuration(7, ()), 1)
    instance.engine.on_packet(packet(1000), 2)
    ((name, pairs),) = events_of(instance)
    assert name == 'flow_refused'
    assert pairs['reason'] == 'no_route'
    assert pairs['config'] == 7


def test_refused_for_lack_of_targets_leads_to_the_zone():
    """Guards against a refusal whose reason is the same for every cause.

    Without a target in service, the reason differs from that of a missing
    route.
    """
    instance = Instance(targets=[target(1)])
    instance.directory.take_zone_out('a', 1)
    instance.engine.on_packet(packet(1000), 2)
    ((name, pairs),) = events_of(instance)
    assert (name, pairs['reason']) == ('flow_refused', 'no_target')


def test_opened_then_broken_leads_to_the_target():
    """Guards against a broken flow whose target can't be found in the log.

    The target of the flow fails; later openings make it suspected.
    """
    instance = Instance(targets=[target(1), target(2)])
    record = instance.open(1000, 0)
    instance.answer(1000, record, 0.005)
    (opened,) = [pairs for name, pairs in events_of(instance)]
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
    """Guards against an unanswered opening without an event in the log.

    Both targets fail, so the opening is moved once and then given up.
    """
    instance = Instance(targets=[target(1), target(2)])
    instance.engine.on_packet(packet(1000), 0)
    instance.engine.on_timer(0.2)
    instance.engine.on_timer(5)
    names = [name for name, _ in events_of(instance)]
    assert names == ['flow_opened', 'opening_moved', 'opening_unanswered']
    assert events_of(instance)[-1][1]['tried'] == 2


def test_late_leads_to_the_target():
    """Guards against a slow target that the log doesn't distinguish.

    A response may be late because its target is slow or because its opening
    waited; the event must name the target and its time.
    """
    instance = Instance(targets=[target(1)])
    record = instance.open(1000, 0)
    instance.answer(1000, record, 0.005)
    # No timer runs before, so the flow is still counted when it is closed, as
    # in a service whose requests take long.
    closing = packet(1000, flags=ACK | 4, token=record.token)
    instance.engine.on_packet(closing, 0.4)
    name, pairs = events_of(instance)[-1]
    assert name == 'flow_slow'
    assert pairs['target'] == 't-1'
    assert (pairs['took_ms'], pairs['objective_ms']) == (400, 250)
