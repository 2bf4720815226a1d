"""Targets that fall silent, and callers whose answers take another way."""

import pytest

from siskinproxy.entry.packets import ACK
from siskinproxy.entry.responsiveness import ResponsivenessLimits
from siskinproxy.entry.tests.fakes import Instance, packet, target

PROBE_S = ResponsivenessLimits().probe_s


def drive(instance, silent, start_s, ports):
    """Open flows every 20 ms; targets answer after 5 ms unless silent."""
    opened = []
    now_s = start_s
    for port in ports:
        record = instance.open(port, now_s)
        opened.append(record.name)
        if record.name not in silent:
            instance.answer(port, record, now_s + 0.005)
            closing = packet(port, flags=ACK | 4, token=record.token)
            instance.engine.on_packet(closing, now_s + 0.015)
            instance.outbox.take()
        now_s += 0.02
        instance.engine.on_timer(now_s)
        answer_moved(instance, silent, now_s)
    return opened, now_s


def answer_moved(instance, silent, now_s):
    by_address = {
        known.record.address: known.record
        for known in instance.directory.targets()
    }
    for address, frame in instance.outbox.take():
        record = by_address[address]
        if record.name not in silent:
            port = int.from_bytes(frame[14:16])
            instance.answer(port, record, now_s + 0.005)


def test_a_silent_target_gets_few_openings():
    """Guards against openings at a dead target until the list drops it."""
    instance = Instance(targets=[target(number) for number in range(1, 5)])
    drive(instance, (), 0, range(1000, 1040))
    opened, _ = drive(instance, {'t-1'}, 1, range(2000, 2050))
    assert opened.count('t-1') <= 4
    assert instance.events.named('target_suspected')


def test_a_target_that_answers_again_is_used_again():
    """Guards against a suspicion that never ends."""
    instance = Instance(targets=[target(number) for number in range(1, 5)])
    drive(instance, (), 0, range(1000, 1040))
    _, end_s = drive(instance, {'t-1'}, 1, range(2000, 2030))
    opened, _ = drive(instance, (), end_s + 2 * PROBE_S, range(3000, 3040))
    assert opened.count('t-1') > 3
    assert instance.events.named('target_trusted')


def test_other_targets_of_a_silent_zone_are_suspected():
    """Guards against trying each target of a zone that is cut off."""
    records = [target(1, zone='a'), target(2, zone='a')]
    records += [target(number, zone='b') for number in range(3, 8)]
    instance = Instance(zone='c', targets=records)
    drive(instance, (), 0, range(1000, 1040))
    silent = {f't-{number}' for number in range(3, 8)}
    opened, _ = drive(instance, silent, 1, range(2000, 2060))
    assert sum(name in silent for name in opened) <= 9


def test_openings_move_once_until_the_caller_repeats_them():
    """Guards against one opening that reaches every target.

    Before, an opening whose acknowledgement passed through another instance
    was sent to a further target every 30 ms until its deadline.
    """
    instance = Instance(targets=[target(number) for number in range(1, 6)])
    instance.open(1000, 0)
    for step in range(1, 200):
        instance.engine.on_timer(step * 0.01)
    moved = instance.outbox.take()
    assert len(moved) == 1
    instance.engine.on_packet(packet(1000, copy=1), 2)
    assert len(instance.outbox.take()) == 1


def test_an_opening_stays_when_its_target_answers_others():
    """Guards against a second target for a flow that is open already."""
    instance = Instance(targets=[target(1), target(2)])
    first = instance.open(1000, 0)
    port = 1001
    while (record := instance.open(port, 0.001)) != first:
        port += 1
    instance.answer(port, record, 0.01)
    instance.engine.on_timer(0.2)
    assert not [
        frame
        for _, frame in instance.outbox.take()
        if int.from_bytes(frame[14:16]) == 1000
    ]


@pytest.mark.parametrize('pause_s', [0.5, 5])
def test_a_pause_of_the_instance_condemns_no_target(pause_s):
    """Guards against an instance that suspects all after it was frozen."""
    instance = Instance(targets=[target(number) for number in range(1, 4)])
    drive(instance, (), 0, range(1000, 1030))
    for port in range(2000, 2006):
        instance.engine.on_packet(packet(port), 1)
    instance.engine.on_timer(1.001)
    instance.engine.on_timer(1 + pause_s)
    assert not instance.events.named('target_suspected')
    assert instance.engine.counters['pauses'] == 1
