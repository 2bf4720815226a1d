"""Packet handling of the engine: forwarding, routes, zones and flow counts."""

import pytest

from siskinproxy.entry.packets import ACK, FIN
from siskinproxy.entry.records import ServiceShare
from siskinproxy.entry.tests.fakes import (
    VIRTUAL_ENDPOINT,
    Instance,
    configuration,
    packet,
    route,
    target,
)

OTHER = bytes([198, 18, 0, 2]) + (443).to_bytes(2)
CALLER = ('100.64.0.7', 8172)


def test_any_instance_forwards_an_established_flow():
    """Guards against flows that break if their instance changes.

    The fabric may deliver the next packet of a flow to another instance, which
    has no state of the flow.
    """
    records = [target(number) for number in range(1, 6)]
    first = Instance('one', targets=records)
    other = Instance('two', targets=records)
    chosen = first.open(1000, 0)
    sent = other.answer(1000, chosen, 0.01, data=b'GET /')
    assert [address for address, _ in sent] == [chosen.address]
    assert sent[0][1][:8] == chosen.target_id.to_bytes(8)


def test_tokens_do_not_lead_to_another_service():
    """Guards against access to a service that the route doesn't name.

    A caller could return the token of a target of another service.
    """
    records = [target(1), target(2, service='archive')]
    instance = Instance(targets=records)
    assert instance.answer(1000, records[1], 0) == []
    assert instance.events.named('token_unknown')


def test_two_targets_with_one_token_are_told_apart(monkeypatch):
    """Guards against wrong targets if tokens of two services collide.

    Tokens are hashes of 32 bits; here all targets have the same one. The
    service of the route has to decide. Of two targets of one service, only the
    one with the lower id may get flows.
    """
    monkeypatch.setattr('siskinproxy.entry.records.zlib.crc32', lambda _: 5)
    records = [target(1), target(2, service='archive'), target(3)]
    routes = (route(), route('archive', OTHER, (ServiceShare('archive', 1),)))
    instance = Instance(targets=records, cfg=configuration(routes=routes))
    opened = {instance.open(port, 0).name for port in range(1000, 1005)}
    assert opened == {'t-1'}
    sent = instance.answer(2000, records[1], 0, destination=OTHER)
    assert sent[0][0] == records[1].address


def test_an_open_flow_stays_when_its_route_moves():
    """Guards against breaking open flows when their route changes.

    The token of an open flow names a target of the earlier service.
    """
    records = [target(1), target(2, service='archive')]
    instance = Instance(targets=records)
    moved = route(shares=(ServiceShare('archive', 1),))
    instance.routes.apply(configuration(2, (moved,)), 1)
    assert instance.answer(1000, records[0], 2)[0][0] == records[0].address
    assert instance.open(1001, 2) == records[1]


@pytest.mark.parametrize('version', [1, 2])
def test_an_older_configuration_is_not_applied(version):
    """Guards against going back to an older configuration.

    A source that is behind may send one after the newer one was applied.
    """
    instance = Instance(targets=[target(1)], cfg=configuration(2))
    assert not instance.routes.apply(configuration(version, ()), 1)
    assert instance.open(1000, 2) is not None


def test_openings_without_a_route_are_reset_at_once():
    """Guards against callers that run into their timeout without a route.

    An opening to an unknown destination must be reset, not dropped.
    """
    instance = Instance(targets=[target(1)])
    instance.engine.on_packet(packet(1000, destination=OTHER), 0)
    ((address, reset),) = instance.outbox.take()
    assert address == CALLER
    assert reset[14] == 8
    assert instance.events.named('flow_refused')[0]['reason'] == 'no_route'


def test_nothing_is_sent_to_a_zone_that_is_out_for_long():
    """Guards against packets to a zone that operators have taken out.

    New flows avoid the zone at once; open flows have a few seconds to end.
    """
    records = [target(1, zone='a'), target(2, zone='b')]
    instance = Instance(targets=records)
    instance.directory.take_zone_out('a', 10)
    assert instance.open(1000, 10) == records[1]
    assert instance.answer(1001, records[0], 12)
    assert not instance.answer(1001, records[0], 15)


def test_draining_targets_get_no_openings_but_keep_flows():
    """Guards against new flows to a draining target, and broken open flows."""
    records = [target(1), target(2)]
    instance = Instance(targets=records)
    instance.directory.announce(target(1, is_draining=True, revision=2), 1)
    opened = {instance.open(port, 1).name for port in range(1000, 1005)}
    assert opened == {'t-2'}
    assert instance.answer(999, records[0], 1)


def test_flows_in_progress_are_counted_until_they_close():
    """Guards against a target that stays busy after its flows have ended.

    This happens if a flow isn't uncounted on its closing packet, or on a
    timeout if the closing packet isn't seen.
    """
    instance = Instance(targets=[target(1)])
    record = instance.open(1000, 0)
    instance.answer(1000, record, 0.01)
    known = next(instance.directory.targets())
    assert instance.loads.own_flows_of(known) == 1
    closing = packet(1000, flags=FIN | ACK, token=record.token)
    instance.engine.on_packet(closing, 0.1)
    assert instance.loads.own_flows_of(known) == 0
    instance.open(1001, 1)
    instance.engine.on_timer(10)
    assert instance.loads.own_flows_of(known) == 0
    assert not len(instance.engine.flows)


def test_malformed_datagrams_are_counted():
    """Guards against an exception in the packet handler.

    A datagram that is shorter than the header must be dropped and counted.
    """
    instance = Instance(targets=[target(1)])
    instance.engine.on_packet(b'short', 0)
    assert instance.engine.counters['malformed'] == 1
    assert not instance.outbox.sent
    assert VIRTUAL_ENDPOINT != OTHER
