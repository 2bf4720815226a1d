"""Packet format of the platform, checked against example packets in hex."""

import pytest

from siskinproxy.entry import packets
from siskinproxy.entry.records import Address
from siskinproxy.platform.packets import HEADER_BYTES, PlatformCodec

SYN = bytes.fromhex(
    '0000 c6120001 9c41 01bb 64400007 40 11223344 00000000 a1b2c3d5 00000000'
)
RESET = bytes.fromhex(
    '0000 64400007 01bb 9c41 c6120001 08 00000000 00000000 00000000 00000000'
)
CODEC = PlatformCodec(caller_port=8172)


def test_head_of_the_example():
    """Guards against header fields that are read at a wrong offset."""
    head = CODEC.decode_header(SYN)
    assert head == packets.PacketHeader(
        flow=bytes.fromhex('64400007 9c41 c6120001 01bb'),
        destination=bytes.fromhex('c6120001 01bb'),
        flags=packets.SYN,
        sequence=0x11223344,
        copy=0,
        token=0,
        data_bytes=0,
    )
    assert head.caller == '100.64.0.7:40001'


def test_reset_has_the_form_of_the_example():
    """Guards against an RST that the caller does not accept.

    The caller would then wait for a response until its deadline.
    """
    head = CODEC.decode_header(SYN)
    assert CODEC.build_reset(head) == RESET
    assert CODEC.caller_address(head) == Address('100.64.0.7', 8172)


def test_frame_changes_nothing_but_the_token():
    """Guards against forwarding that changes a packet beyond its token."""
    packet = SYN[:-4] + b'\0\0\0\0' + b'data'
    frame = CODEC.frame_for_target(0x7F3A91C2, 0xDEADBEEF, packet)
    assert frame[:8] == bytes.fromhex('00000000 7f3a91c2')
    assert frame[8:35] == packet[:27]
    assert frame[35:39] == bytes.fromhex('deadbeef')
    assert frame[39:] == b'data'


@pytest.mark.parametrize(
    'packet',
    [b'', SYN[:-1], SYN + b'x', b'\0\x05' + SYN[2:]],
    ids=['empty', 'cut', 'longer', 'announces_more'],
)
def test_incomplete_packets_have_no_head(packet):
    """Guards against reading fields or data that a datagram does not hold.

    The length field of such a packet does not match its size.
    """
    assert CODEC.decode_header(packet) is None


@pytest.mark.parametrize(
    ('wire', 'flags'),
    [
        (64, packets.SYN),
        (2, packets.ACK),
        (4 | 2, packets.FIN | packets.ACK),
        (8, packets.RST),
        (128 | 2, packets.ACK),
    ],
)
def test_flags(wire, flags):
    """Guards against flags of the wire that are decoded as other ones.

    Bit 128 has no meaning for instances and must not set any flag.
    """
    packet = bytearray(SYN)
    packet[14] = wire
    assert CODEC.decode_header(bytes(packet)).flags == flags
    assert len(SYN) == HEADER_BYTES
