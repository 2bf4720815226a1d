"""Errors that no code expects: what they end, and what goes on."""

import socket
import time

import gevent
import pytest

from siskinproxy.entry.evidence import DATAGRAM_PREFIX
from siskinproxy.entry.load_exchange import LoadExchange
from siskinproxy.entry.load_view import LoadReport
from siskinproxy.entry.packet_socket import PacketSocket
from siskinproxy.entry.records import Address
from siskinproxy.entry.supervision import (
    RestartLimits,
    Supervisor,
    run_isolated,
)
from siskinproxy.entry.tests.fakes import Events

HOST = '127.0.0.1'
#: Longest wait for what must happen, in seconds.
TIMEOUT_S = 5
LIMITS = RestartLimits(first_delay_s=0.001, errors=4, window_s=60)


class HugeNumberError(Exception):
    """Error whose text can't be written."""

    def __str__(self):
        return str(10**5000)


def wait_for(condition):
    with gevent.Timeout(TIMEOUT_S):
        while not condition():
            gevent.sleep(0.005)


class FailingCalls:
    """Function that fails in its first calls."""

    def __init__(self, failures, error=OverflowError):
        self.calls = 0
        self.failures = failures
        self.error = error

    def __call__(self):
        self.calls += 1
        if self.calls <= self.failures:
            raise self.error('too large')


@pytest.mark.parametrize(
    ('failures', 'calls', 'given_up'),
    [(0, 1, []), (1, 2, []), (3, 4, []), (99, 4, ['follower'])],
)
def test_a_greenlet_that_failed_is_started_again(failures, calls, given_up):
    """Guards against a process that stays ready but follows nothing.

    Errors that repeat quickly give the process up.
    """
    events = Events()
    ended = []
    supervisor = Supervisor(events, ended.append, LIMITS)
    function = FailingCalls(failures)
    supervisor.spawn('follower', function).join(TIMEOUT_S)
    assert function.calls == calls
    assert ended == given_up
    failed = events.named('greenlet_failed')
    assert len(failed) == min(failures, 4)
    assert supervisor.restarts == calls - 1
    assert all(each['subject'] == 'follower' for each in failed)


def test_errors_long_ago_do_not_give_the_process_up():
    """Guards against a process that ends after a few errors in a month."""
    ended = []
    now_s = [0.0]

    def function():
        now_s[0] += LIMITS.window_s + 1
        if now_s[0] < 1000:
            raise OverflowError('too large')

    supervisor = Supervisor(
        Events(), ended.append, LIMITS, clock=lambda: now_s[0]
    )
    supervisor.spawn('follower', function).join(TIMEOUT_S)
    assert not ended


def test_a_killed_greenlet_is_not_started_again():
    """Guards against a part that goes on after it was closed."""
    supervisor = Supervisor(Events(), pytest.fail, LIMITS)
    greenlet = supervisor.spawn('follower', lambda: gevent.sleep(60))
    gevent.sleep(0)
    greenlet.kill()
    assert greenlet.dead
    assert not supervisor.restarts


@pytest.mark.parametrize('error', [OverflowError, KeyError, HugeNumberError])
def test_an_isolated_error_is_logged(error):
    """Guards against an error that is swallowed without its place."""
    events = Events()
    assert not run_isolated(events, 'packet', FailingCalls(1, error))
    (failed,) = events.named('handling_failed')
    assert failed['kind'] == error.__name__
    assert 'test_supervision.py' in failed['at']
    assert run_isolated(events, 'packet', FailingCalls(0))


def test_a_packet_that_fails_ends_no_other():
    """Guards against a packet whose error drops those received with it."""
    handled = []
    batches = []

    def on_packet(packet):
        if packet == b'odd':
            raise OverflowError('too large')
        handled.append(packet)

    receiver = PacketSocket(
        Address(HOST, 0), on_packet, lambda: batches.append(1), Events()
    )
    receiver.open()
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    address = receiver._socket.getsockname()
    for packet in (b'odd', b'a', b'odd', b'b'):
        sender.sendto(packet, address)
    receiver.start()
    wait_for(lambda: b'b' in handled)
    assert handled == [b'a', b'b']
    assert receiver.failed == 2
    assert batches
    receiver.close()
    sender.close()


def test_a_report_that_fails_ends_no_other():
    """Guards against one datagram that ends the exchange of load reports."""
    reports = []

    def on_report(report, now_s):
        if report.instance == 'odd':
            raise OverflowError('too large')
        reports.append(report.instance)

    def on_evidence(datagram, now_s):
        raise OverflowError('too large')

    def report_of(name):
        return LoadReport(name, 'z', False, {})

    events = Events()
    exchange = LoadExchange(
        Address(HOST, 0),
        lambda: report_of('odd'),
        lambda: (Address(*exchange._socket.getsockname()),),
        lambda: True,
        on_report,
        on_evidence,
        time.monotonic,
        events,
    )
    exchange.start()
    exchange.send_to(DATAGRAM_PREFIX, Address(*exchange._socket.getsockname()))
    wait_for(lambda: len(events.named('handling_failed')) > 2)
    exchange._build_report = lambda: report_of('i-1')
    wait_for(lambda: reports)
    exchange.close()
