"""Targets that stop answering, and answers seen by other instances."""

import pytest

from siskinproxy.entry.packets import ACK
from siskinproxy.entry.responsiveness import ResponsivenessLimits
from siskinproxy.entry.tests.fakes import Instance, packet, target

PROBE_S = ResponsivenessLimits().probe_interval_s


def open_flows(instance, silent, start_s, ports):
    """Open a flow every 20 ms; all but the silent targets answer after 5 ms.

    Return the names of the targets in order, and the end time in seconds.
    """
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
    """Answer the openings that the engine has moved to another target."""
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
    """Guards against sending openings to a failed target for seconds.

    The store lists the target until its entry expires.
    """
    instance = Instance(targets=[target(number) for number in range(1, 5)])
    open_flows(instance, (), 0, range(1000, 1040))
    opened, _ = open_flows(instance, {'t-1'}, 1, range(2000, 2050))
    assert opened.count('t-1') <= 4
    assert instance.events.named('target_suspected')


def test_a_target_that_answers_again_is_used_again():
    """Guards against a target that stays suspected after it has recovered.

    A suspected target gets only probes, so the answer to a probe has to end
    the suspicion.
    """
    instance = Instance(targets=[target(number) for number in range(1, 5)])
    open_flows(instance, (), 0, range(1000, 1040))
    _, end_s = open_flows(instance, {'t-1'}, 1, range(2000, 2030))
    opened, _ = open_flows(instance, (), end_s + 2 * PROBE_S, range(3000, 3040))
    assert opened.count('t-1') > 3
    assert instance.events.named('target_trusted')


def test_other_targets_of_a_silent_zone_are_suspected():
    """Guards against unanswered openings at each target of a failed zone.

    If the zone is cut off, none of its targets answers. Once two of them are
    suspected, the others have to be suspected without a flow to each.
    """
    records = [target(1, zone='a'), target(2, zone='a')]
    records += [target(number, zone='b') for number in range(3, 8)]
    instance = Instance(zone='c', targets=records)
    open_flows(instance, (), 0, range(1000, 1040))
    silent = {f't-{number}' for number in range(3, 8)}
    opened, _ = open_flows(instance, silent, 1, range(2000, 2060))
    assert sum(name in silent for name in opened) <= 9


def test_openings_move_once_until_the_caller_repeats_them():
    """Guards against sending one opening to every target in turn.

    If the acknowledgement of an opening passes through another instance, the
    opening seems unanswered here. Without a limit it is sent to a further
    target every 30 ms until its deadline.
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
    """Guards against a second target for a flow that is already open.

    The acknowledgement of the first opening was seen by another instance; that
    its target answers other callers shows that the target is alive.
    """
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
    """Guards against suspecting all targets after a pause of the process.

    When the process continues, the answer timeouts are over, but answers that
    arrived during the pause may not have been handled yet.
    """
    instance = Instance(targets=[target(number) for number in range(1, 4)])
    open_flows(instance, (), 0, range(1000, 1030))
    for port in range(2000, 2006):
        instance.engine.on_packet(packet(port), 1)
    instance.engine.on_timer(1.001)
    instance.engine.on_timer(1 + pause_s)
    assert not instance.events.named('target_suspected')
    assert instance.engine.counters['pauses'] == 1
