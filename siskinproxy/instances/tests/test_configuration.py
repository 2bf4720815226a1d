"""Tests of the configuration transfer and of the configuration in force."""

import random

import pytest
import xxhash

from siskinproxy.balancer.snapshot import Member
from siskinproxy.errors import GossipFormatError, InvariantViolation
from siskinproxy.instances.configuration_state import (
    ConfigurationInForce,
    ConfigurationState,
    assert_monotonic,
)
from siskinproxy.instances.configuration_transfer import ConfigurationTransfer
from siskinproxy.instances.gossip import (
    MAX_DATAGRAM_BYTES,
    BlobChunk,
    BlobRequest,
    Gossip,
    Header,
    Ping,
    Update,
    decode_message,
    encode_message,
    fit_updates,
    record_of,
)
from siskinproxy.operators.configuration import Configuration


def digest_of(blob):
    return xxhash.xxh3_64_digest(blob)


def sections_of(head):
    return [head[at : at + 8] for at in range(8, len(head), 8)]


def make_blobs(generation, changed=(), count=8, size=1600):
    sections = {}
    for index in range(count):
        seed = generation if index in changed else 0
        blob = random.Random(index * 1000 + seed).randbytes(size)
        sections[digest_of(blob)] = blob
    head = generation.to_bytes(8) + b''.join(sections)
    return head, sections


def header_of(name, generation=0, head=b'', port=1):
    member = Member(name, 'a', '127.0.0.1', 1, port)
    digest = digest_of(head) if head else b''
    return Header(record_of(member), generation, digest)


def make_transfer(now_s=0.0):
    return ConfigurationTransfer(
        random.Random(1),
        digest_of,
        sections_of,
        now_s,
    )


def exchange(client, servers, headers, until_s, corrupt=None):
    """Pass messages between a client and servers until it has fetched.

    Servers that are None do not answer; the chunks of the server `corrupt`
    are overwritten. Returns the fetched configuration or None, the sent
    requests with time and server, and the time at the end.
    """
    own = header_of('client')
    now_s, sent = 0.0, []
    ports = {
        header.record.control_port: name for name, header in headers.items()
    }
    while now_s < until_s:
        now_s = round(now_s + 0.05, 3)
        step = client.on_timer(own, now_s)
        while step.sends:
            send = step.sends[0]
            name = ports[send.address[1]]
            sent.append((now_s, name, send.message))
            if servers.get(name) is None:
                break
            answer = (
                servers[name]
                .on_message(
                    send.message,
                    headers[name],
                    now_s,
                )
                .sends[0]
                .message
            )
            if corrupt == name and isinstance(answer, BlobChunk):
                answer = BlobChunk(
                    answer.header,
                    answer.digest,
                    answer.offset,
                    answer.size_bytes,
                    b'x' * len(answer.chunk),
                    answer.base,
                )
            step = client.on_message(answer, own, now_s)
        if step.fetched:
            return step.fetched, sent, now_s
    return None, sent, now_s


def make_servers(names, generation=5, **fields):
    head, sections = make_blobs(generation, **fields)
    servers, headers = {}, {}
    for port, name in enumerate(names, 10):
        servers[name] = make_transfer()
        servers[name].serve(generation, head, sections)
        headers[name] = header_of(name, generation, head, port)
    return servers, headers, head, sections


def test_starting_instance_waits_a_second_and_takes_the_highest():
    """Guards against a starting instance with an old generation in force.

    The first peer that answers may not have the highest generation yet.
    """
    servers, headers, head, sections = make_servers(['s6'], 6)
    old_servers, old_headers, _, _ = make_servers(['s5'], 5)
    old_headers = {'s5': header_of('s5', 5, make_blobs(5)[0], 99)}
    client = make_transfer()
    client.on_header(old_headers['s5'])
    client.on_header(headers['s6'])
    fetched, sent, _ = exchange(
        client,
        servers | old_servers,
        headers | old_headers,
        5,
    )
    assert fetched.generation == 6
    assert (fetched.head, fetched.sections) == (head, sections)
    assert min(now_s for now_s, _, _ in sent) >= 1
    assert {name for _, name, _ in sent} == {'s6'}


def test_only_changed_sections_are_fetched():
    """Guards the limit of control bytes after a small change.

    It would be exceeded if sections that the receiver has were sent again.
    """
    old_head, old_sections = make_blobs(4)
    servers, headers, head, sections = make_servers(['s'], 5, changed=(3,))
    client = make_transfer()
    client.serve(4, old_head, old_sections)
    client.on_header(headers['s'])
    fetched, sent, _ = exchange(client, servers, headers, 5)
    assert fetched.sections == sections
    wanted = {message.digest for _, _, message in sent}
    assert wanted == {digest_of(head)} | (set(sections) - set(old_sections))


def test_head_is_compressed_against_the_head_of_the_receiver():
    """Guards the limit of control bytes after a small change.

    Successive heads differ in a few bytes; the head of many sections fits
    into one datagram only if it is compressed against the one before.
    """
    old_head, old_sections = make_blobs(4, count=200)
    servers, headers, head, sections = make_servers(['s'], 5, count=200)
    client = make_transfer()
    client.serve(4, old_head, old_sections)
    servers['s'] = make_transfer()
    servers['s'].serve(4, old_head, old_sections)
    servers['s'].serve(5, head, sections)
    client.on_header(headers['s'])
    fetched, sent, _ = exchange(client, servers, headers, 5)
    assert fetched.head == head
    assert len(head) > 1600
    assert len(sent) == 1


def test_unknown_base_falls_back_to_the_whole_head():
    """Guards against an instance that cannot fetch after many changes.

    Peers retain only the latest heads, so they cannot compress against the
    head of an instance that missed more changes.
    """
    old_head, old_sections = make_blobs(4, count=200)
    servers, headers, head, _ = make_servers(['s'], 5, count=200)
    client = make_transfer()
    client.serve(4, old_head, old_sections)
    client.on_header(headers['s'])
    fetched, sent, _ = exchange(client, servers, headers, 5)
    assert fetched.head == head
    assert len(sent) == 2


def test_wrong_digest_is_retried_with_another_peer():
    """Guards against a configuration with bytes that were altered.

    A blob of a peer that does not match its digest has to be discarded and
    fetched from another peer.
    """
    servers, headers, head, _ = make_servers(['bad', 'good'])
    client = make_transfer()
    for header in headers.values():
        client.on_header(header)
    fetched, sent, _ = exchange(client, servers, headers, 9, corrupt='bad')
    assert fetched.head == head
    assert {name for _, name, _ in sent} == {'bad', 'good'}


def test_silent_peer_is_replaced():
    """Guards against a fetch that hangs when its peer fails.

    The request that the failed peer does not answer goes to another peer.
    """
    servers, headers, head, _ = make_servers(['dead', 'good'])
    servers['dead'] = None
    client = make_transfer()
    for header in headers.values():
        client.on_header(header)
    fetched, _, _ = exchange(client, servers, headers, 9)
    assert fetched.head == head


def test_server_stays_within_its_byte_rate():
    """Guards the limit of 23 KB/s of control traffic of an instance.

    Many peers that fetch at once would exceed it if each request was served,
    so the chunks have to stay below 13 KB/s.
    """
    servers, headers, head, _ = make_servers(['s'], count=1, size=200_000)
    served = 0
    own = headers['s']
    request = BlobRequest(header_of('c'), list(sections_of(head))[0], 0)
    for tick in range(200):
        for _ in range(5):
            step = servers['s'].on_message(request, own, tick * 0.05)
            message = step.sends[0].message
            if isinstance(message, BlobChunk):
                served += len(encode_message(message))
    assert served / 10 < 13_000


def test_rejected_head_is_not_fetched_again():
    """Guards against fetching a head that cannot be decoded forever.

    Peers go on announcing it, since they have it in force.
    """
    servers, headers, head, _ = make_servers(['s'])
    client = make_transfer()
    client.reject(digest_of(head))
    client.on_header(headers['s'])
    fetched, sent, _ = exchange(client, servers, headers, 3)
    assert fetched is None
    assert sent == []


def in_force(generation, digest=b'd', provisional=False):
    cfg = Configuration('r', (), ())
    return ConfigurationInForce(generation, digest, cfg, provisional, 0)


def test_lower_generation_is_ignored():
    """Guards the invariant `config_monotonic` against a late answer.

    An answer with a lower generation may arrive after a higher one was
    applied.
    """
    state = ConfigurationState()
    state.apply(in_force(5))
    assert state.apply(in_force(4)).outcome == 'ignored'
    assert state.generation == 5
    assert state.apply(in_force(6)).outcome == 'applied'
    assert state.generation == 6


def test_same_generation_with_another_head_is_a_violation():
    """Guards against instances that differ within one generation.

    A peer or the store that returns another head of the same generation has
    to be noticed.
    """
    state = ConfigurationState()
    state.apply(in_force(5, b'one'))
    with pytest.raises(InvariantViolation, match='config_monotonic'):
        state.apply(in_force(5, b'two'))


def test_reverting_is_a_violation():
    """Guards against an assertion of `config_monotonic` that never fails.

    `ConfigurationState.apply` ignores a lower generation before it asserts,
    so only a direct call can show that the assertion notices one.
    """
    with pytest.raises(InvariantViolation, match='generation_after=4'):
        assert_monotonic(in_force(5), in_force(4))


def test_provisional_configuration_is_confirmed_once():
    """Guards against a configuration that stays provisional.

    A read of the store that returns the same generation has to confirm it.
    """
    state = ConfigurationState()
    state.apply(in_force(5, provisional=True))
    assert state.apply(in_force(5)).outcome == 'confirmed'
    assert not state.in_force.provisional
    assert state.confirm('again').outcome == 'ignored'


@pytest.mark.parametrize(
    'datagram',
    [b'', b'\xc1', b'\x93\xa1p\x01\x02', bytes(1300), b'\xa2\xff\xff'],
)
def test_malformed_datagram_is_a_typed_error(datagram):
    """Guards against an exception that ends the control process.

    Any sender can reach the control port with arbitrary bytes.
    """
    with pytest.raises(GossipFormatError):
        decode_message(datagram)


def test_too_long_message_is_refused_and_updates_are_cut():
    """Guards against datagrams that a path fragments or drops.

    A message with many updates would exceed the size limit.
    """
    header = header_of('i1')
    updates = tuple(
        Update(header_of(f'instance-{index}').record) for index in range(60)
    )
    with pytest.raises(GossipFormatError):
        encode_message(Gossip(header, updates))
    fitting = fit_updates(header, updates)
    assert 10 < len(fitting) < 60
    datagram = encode_message(Gossip(header, fitting))
    assert len(datagram) <= MAX_DATAGRAM_BYTES
    assert decode_message(datagram) == Gossip(header, fitting)


def test_ping_is_small():
    """Guards the limit of control bytes against larger probes.

    Each instance sends and answers several probes a second.
    """
    assert len(encode_message(Ping(header_of('i1', 70000, b'h'), 9))) < 80
