"""Load reports: counts over all instances, expiry and receivers."""

import msgspec
import pytest

from siskinproxy.entry.directory import KnownTarget
from siskinproxy.entry.instances import InstanceRecord
from siskinproxy.entry.load_view import (
    MAX_RECEIVERS,
    LoadReport,
    LoadView,
    decode_report,
    report_receivers,
)
from siskinproxy.entry.tests.fakes import Instance, target

KNOWN = KnownTarget(target(1))


def report(name, count, **fields):
    return LoadReport(name, 'a', False, {KNOWN.token: count}, **fields)


def record(number, zone='a'):
    return InstanceRecord(f'i-{number:03}', zone, '10.0.0.1', 7720)


def test_reports_replace_earlier_ones():
    """Guards against counts that grow with each report of an instance.

    A report states totals, so it has to replace the previous one.
    """
    view = LoadView()
    view.note_started(KNOWN)
    view.apply_report(report('i-1', 3), 0)
    view.apply_report(report('i-2', 2), 0)
    assert view.estimated_flows(KNOWN) == 6
    view.apply_report(report('i-1', 1), 0.05)
    assert view.estimated_flows(KNOWN) == 4
    view.note_ended(KNOWN)
    assert view.estimated_flows(KNOWN) == 3


def test_reports_of_silent_instances_expire():
    """Guards against counting the flows of an instance that has failed.

    It sends no report that would set its counts to zero.
    """
    view = LoadView()
    view.apply_report(report('i-1', 3), 0)
    view.apply_report(report('i-2', 2), 0.4)
    view.expire(1.0)
    assert view.estimated_flows(KNOWN) == 2


@pytest.mark.parametrize('datagram', [b'', b'\xc1', b'\x90', b'text'])
def test_other_datagrams_hold_no_report(datagram):
    """Guards against an exception in the event loop.

    Any host may send a malformed datagram to the port of the reports.
    """
    assert decode_report(datagram) is None
    sent = report('i-1', 3, ended=(7,))
    assert decode_report(msgspec.msgpack.encode(sent)) == sent


def test_a_small_fleet_reports_to_all():
    """Guards against instances that don't know the load from other zones.

    With few instances, reports must be sent to those of all zones.
    """
    fleet = [record(number, 'ab'[number % 2]) for number in range(10)]
    assert len(report_receivers(fleet[0], fleet)) == 9


def test_reports_of_a_large_fleet_are_bounded_and_even():
    """Guards against traffic that grows with the square of the instances.

    Each instance sends its reports to `MAX_RECEIVERS` others of its zone, and
    receives those of as many.
    """
    fleet = [record(number, 'abc'[number % 3]) for number in range(90)]
    received = {each.name: 0 for each in fleet}
    for each in fleet:
        receivers = report_receivers(each, fleet)
        assert len(receivers) == MAX_RECEIVERS
        for receiver in receivers:
            assert receiver.zone == each.zone
            received[receiver.name] += 1
    assert set(received.values()) == {MAX_RECEIVERS}


def test_a_sample_stands_for_the_zone():
    """Guards against underestimating the load with many instances.

    Only a sample of them sends reports to an instance, so their sum has to be
    scaled up.
    """
    fleet = [record(number) for number in range(25)]
    view = LoadView()
    for each in fleet[1:13]:
        view.apply_report(report(each.name, 1), 0)
    view.update_sample_scale('a', fleet)
    assert view.estimated_flows(KNOWN) == 24


def test_new_flows_avoid_targets_that_others_keep_busy():
    """Guards against several instances that choose the same free target.

    Counting only their own flows, they would not see each other's.
    """
    records = [target(number) for number in range(1, 4)]
    instance = Instance(targets=records)
    for each in records[:2]:
        received = LoadReport(each.name, 'a', False, {each.token: 4})
        instance.loads.apply_report(received, 0)
    opened = {instance.open(port, 0).name for port in range(1000, 1003)}
    assert opened == {'t-3'}
