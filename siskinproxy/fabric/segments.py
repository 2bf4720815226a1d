"""IPv4 packets with one TCP segment: layout, address translation, checksums.

The fabric, the network between callers, instances and targets, carries each
packet in a UDP datagram. The IPv4 header has no options. The functions work at
fixed offsets, since they run once for each packet.

References
----------
RFC 791 (IPv4), RFC 9293 (TCP), RFC 1624 (incremental checksum update).
"""

import socket
import struct
from typing import Final, NamedTuple

from siskinproxy.errors import SegmentFormatError

__all__ = (
    'ACK',
    'FIN',
    'FLAGS_OFFSET',
    'FLOW_KEY',
    'MIN_SEGMENT_BYTES',
    'PSH',
    'RST',
    'SYN',
    'Endpoint',
    'Segment',
    'Translation',
    'answers_syn',
    'build_abort',
    'build_reset',
    'sequence_of',
    'build_segment',
    'has_valid_checksums',
    'has_payload',
    'is_ipv4_tcp',
    'pack_endpoint',
    'parse_segment',
    'rewrite_destination',
    'rewrite_source',
    'translate_destination',
    'translate_source',
    'unpack_endpoint',
)

# TCP flags; they combine.
FIN: Final = 1
SYN: Final = 2
RST: Final = 4
PSH: Final = 8
ACK: Final = 16

#: Part of a packet that identifies its flow: source address, destination
#: address, source port, destination port.
FLOW_KEY: Final = slice(12, 24)
#: Offset of the TCP flags in a packet, in bytes.
FLAGS_OFFSET: Final = 33
#: Length of an IPv4 and a TCP header without options.
MIN_SEGMENT_BYTES: Final = 40

_IP_HEADER_BYTES: Final = 20
_VERSION_AND_LENGTH: Final = 0x45  # IPv4, header of five 32-bit words
_PROTOCOL_OFFSET: Final = 9  # bytes
_PROTOCOL_TCP: Final = 6
_TIME_TO_LIVE_HOPS: Final = 64
_WINDOW_BYTES: Final = 65535
_MASK_16: Final = 0xFFFF
_MASK_32: Final = 0xFFFFFFFF

_IP_HEADER = struct.Struct('!BBHHHBBH4s4s')
_TCP_HEADER = struct.Struct('!HHIIBBHHH')
_ENDPOINT_WORDS = struct.Struct('!HHH')
_WORD_16 = struct.Struct('!H')

#: Start of a packet up to the TCP checksum: fields before the IPv4 checksum,
#: IPv4 checksum, source and destination address, source and destination port,
#: fields between, TCP checksum.
_TRANSLATED_PART = struct.Struct('!10sH4s4s2s2s12sH')
_TRANSLATED_PART_BYTES: Final = _TRANSLATED_PART.size


class Endpoint(NamedTuple):
    """IPv4 address (dotted) and port."""

    address: str
    port: int


class Segment(NamedTuple):
    """Parsed TCP segment with its endpoints.

    Flags are a bitwise OR of `FIN`, `SYN`, `RST`, `PSH` and `ACK`; sequence
    and acknowledgment numbers have 32 bits.
    """

    source: Endpoint
    destination: Endpoint
    flags: int
    sequence: int
    acknowledgment: int
    payload: bytes


def pack_endpoint(endpoint: Endpoint) -> bytes:
    """Return an address and port as 6 bytes in network order."""
    return socket.inet_aton(endpoint[0]) + _WORD_16.pack(endpoint[1])


def unpack_endpoint(packed: bytes) -> Endpoint:
    """Return the address and port that 6 bytes in network order hold."""
    return Endpoint(
        socket.inet_ntoa(packed[:4]), _WORD_16.unpack(packed[4:])[0]
    )


def is_ipv4_tcp(datagram: bytes) -> bool:
    """Tell whether a datagram is a TCP segment in IPv4 without options."""
    return (
        len(datagram) >= MIN_SEGMENT_BYTES
        and datagram[0] == _VERSION_AND_LENGTH
        and datagram[_PROTOCOL_OFFSET] == _PROTOCOL_TCP
    )


def _ones_complement_sum(octets: bytes) -> int:
    if len(octets) % 2:
        octets += b'\0'
    total = sum(struct.unpack(f'!{len(octets) // 2}H', octets))
    while total > _MASK_16:
        total = (total & _MASK_16) + (total >> 16)
    return total


def _tcp_checksum(source: bytes, destination: bytes, tcp: bytes) -> int:
    pseudo = source + destination + struct.pack('!HH', _PROTOCOL_TCP, len(tcp))
    return ~_ones_complement_sum(pseudo + tcp) & _MASK_16


def build_segment(  # noqa: WPS211
    source: Endpoint,
    destination: Endpoint,
    flags: int,
    sequence: int = 0,
    acknowledgment: int = 0,
    payload: bytes = b'',
) -> bytes:
    """Return an IPv4 packet with one TCP segment.

    Parameters
    ----------
    source, destination : Endpoint
        Addresses and ports.
    flags : int
        TCP flags, such as ``SYN | ACK``.
    sequence, acknowledgment : int
        Sequence and acknowledgment number, taken modulo 2**32.
    payload : bytes
        Data of the segment.

    Returns
    -------
    bytes
        The packet with valid checksums.
    """
    source_bytes = socket.inet_aton(source[0])
    destination_bytes = socket.inet_aton(destination[0])
    tcp = _TCP_HEADER.pack(
        source[1],
        destination[1],
        sequence & _MASK_32,
        acknowledgment & _MASK_32,
        # Data offset: five 32-bit words, the same as in the IPv4 header.
        (_IP_HEADER_BYTES // 4) << 4,
        flags,
        _WINDOW_BYTES,
        0,
        0,
    )
    checksum = _tcp_checksum(source_bytes, destination_bytes, tcp + payload)
    tcp = tcp[:16] + _WORD_16.pack(checksum) + tcp[18:] + payload
    fields = (
        _VERSION_AND_LENGTH,
        0,
        _IP_HEADER_BYTES + len(tcp),
        0,
        0,
        _TIME_TO_LIVE_HOPS,
        _PROTOCOL_TCP,
    )
    addresses = (source_bytes, destination_bytes)
    header = _IP_HEADER.pack(*fields, 0, *addresses)
    header_checksum = ~_ones_complement_sum(header) & _MASK_16
    return _IP_HEADER.pack(*fields, header_checksum, *addresses) + tcp


def parse_segment(datagram: bytes) -> Segment:
    """Return the fields of a segment.

    Parameters
    ----------
    datagram : bytes
        IPv4 packet.

    Returns
    -------
    Segment
        Endpoints, flags, sequence numbers and payload.

    Raises
    ------
    SegmentFormatError
        If the datagram is no IPv4 packet without options that holds TCP.
    """
    if not is_ipv4_tcp(datagram):
        raise SegmentFormatError(
            f'expected="IPv4 without options, TCP" length={len(datagram)}',
        )
    tcp = _TCP_HEADER.unpack_from(datagram, _IP_HEADER_BYTES)
    payload_offset = _IP_HEADER_BYTES + (tcp[4] >> 4) * 4
    return Segment(
        Endpoint(socket.inet_ntoa(datagram[12:16]), tcp[0]),
        Endpoint(socket.inet_ntoa(datagram[16:20]), tcp[1]),
        tcp[5],
        tcp[2],
        tcp[3],
        datagram[payload_offset:],
    )


def has_payload(datagram: bytes) -> bool:
    """Tell whether a segment carries data."""
    return len(datagram) > _IP_HEADER_BYTES + (datagram[32] >> 4) * 4


def has_valid_checksums(datagram: bytes) -> bool:
    """Tell whether both the IPv4 and the TCP checksum are valid."""
    header = datagram[:_IP_HEADER_BYTES]
    if _ones_complement_sum(header) != _MASK_16:
        return False
    tcp = datagram[_IP_HEADER_BYTES:]
    return _tcp_checksum(datagram[12:16], datagram[16:20], tcp) == 0


def _updated_checksum(checksum: int, removed: int, added: int) -> int:
    # RFC 1624 equation 3: HC' = ~(~HC + ~m + m'), on 16-bit words. `removed`
    # and `added` are sums of up to three words. The added multiple of 65535
    # is 0 in ones' complement and keeps the total from becoming negative.
    total = (~checksum & _MASK_16) + added + 3 * _MASK_16 - removed
    total = (total & _MASK_16) + (total >> 16)
    return ~((total & _MASK_16) + (total >> 16)) & _MASK_16


def _rewrite_endpoint(
    datagram: bytes,
    address_offset: int,
    port_offset: int,
    endpoint: bytes,
) -> bytes:
    packet = bytearray(datagram)
    old = (
        packet[address_offset : address_offset + 4]
        + packet[port_offset : port_offset + 2]
    )
    old_high, old_low, old_port = _ENDPOINT_WORDS.unpack(old)
    new_high, new_low, new_port = _ENDPOINT_WORDS.unpack(endpoint)
    removed = old_high + old_low
    added = new_high + new_low
    ip_checksum = (packet[10] << 8) | packet[11]
    tcp_checksum = (packet[36] << 8) | packet[37]
    _WORD_16.pack_into(
        packet, 10, _updated_checksum(ip_checksum, removed, added)
    )
    _WORD_16.pack_into(
        packet,
        36,
        _updated_checksum(tcp_checksum, removed + old_port, added + new_port),
    )
    packet[address_offset : address_offset + 4] = endpoint[:4]
    packet[port_offset : port_offset + 2] = endpoint[4:]
    return bytes(packet)


def rewrite_destination(datagram: bytes, endpoint: bytes) -> bytes:
    """Return the packet with another destination.

    Parameters
    ----------
    datagram : bytes
        IPv4 packet.
    endpoint : bytes
        Address and port, 6 bytes as from `pack_endpoint`.

    Returns
    -------
    bytes
        The packet with updated checksums.
    """
    return _rewrite_endpoint(datagram, 16, 22, endpoint)


def rewrite_source(datagram: bytes, endpoint: bytes) -> bytes:
    """Return the packet with another source, as `rewrite_destination`."""
    return _rewrite_endpoint(datagram, 12, 20, endpoint)


class Translation:
    """Replacement of one endpoint by another, with its checksum updates.

    The differences of the checksums depend on the two endpoints only, so they
    are computed once and not for each packet.

    Parameters
    ----------
    replaced, replacement : bytes
        Address and port, 6 bytes as from `pack_endpoint`.

    Attributes
    ----------
    address, port : bytes
        Parts of the replacement, in network order.
    ip_difference, tcp_difference : int
        What the translation adds to the sums behind the IPv4 and the TCP
        checksum, as 16-bit ones' complement numbers.
    """

    __slots__ = ('address', 'ip_difference', 'port', 'tcp_difference')

    def __init__(self, replaced: bytes, replacement: bytes) -> None:
        old_high, old_low, old_port = _ENDPOINT_WORDS.unpack(replaced)
        new_high, new_low, new_port = _ENDPOINT_WORDS.unpack(replacement)
        addresses = new_high + new_low - old_high - old_low
        self.address = replacement[:4]
        self.port = replacement[4:]
        self.ip_difference = _to_ones_complement(addresses)
        self.tcp_difference = _to_ones_complement(
            addresses + new_port - old_port
        )


def _to_ones_complement(difference: int) -> int:
    """Return a difference as a 16-bit ones' complement number above 0."""
    return difference % _MASK_16 or _MASK_16


def translate_destination(datagram: bytes, translation: Translation) -> bytes:
    """Return the packet with another destination.

    Parameters
    ----------
    datagram : bytes
        IPv4 packet whose destination is the replaced endpoint.
    translation : Translation
        Replaced and new destination.

    Returns
    -------
    bytes
        The packet with updated checksums, as from `rewrite_destination`.
    """
    start, ip_sum, source, _, port, _, middle, tcp_sum = (  # noqa: WPS236
        _TRANSLATED_PART.unpack_from(datagram)
    )
    # RFC 1624 equation 3; the sum of two 16-bit numbers carries at most once.
    ip_sum = _MASK_16 - ip_sum + translation.ip_difference
    tcp_sum = _MASK_16 - tcp_sum + translation.tcp_difference
    if ip_sum > _MASK_16:
        ip_sum -= _MASK_16
    if tcp_sum > _MASK_16:
        tcp_sum -= _MASK_16
    head = _TRANSLATED_PART.pack(
        start,
        _MASK_16 - ip_sum,
        source,
        translation.address,
        port,
        translation.port,
        middle,
        _MASK_16 - tcp_sum,
    )
    return head + datagram[_TRANSLATED_PART_BYTES:]


def translate_source(datagram: bytes, translation: Translation) -> bytes:
    """Return the packet with another source, as `translate_destination`."""
    start, ip_sum, _, destination, _, port, middle, tcp_sum = (  # noqa: WPS236
        _TRANSLATED_PART.unpack_from(datagram)
    )
    ip_sum = _MASK_16 - ip_sum + translation.ip_difference
    tcp_sum = _MASK_16 - tcp_sum + translation.tcp_difference
    if ip_sum > _MASK_16:
        ip_sum -= _MASK_16
    if tcp_sum > _MASK_16:
        tcp_sum -= _MASK_16
    head = _TRANSLATED_PART.pack(
        start,
        _MASK_16 - ip_sum,
        translation.address,
        destination,
        translation.port,
        port,
        middle,
        _MASK_16 - tcp_sum,
    )
    return head + datagram[_TRANSLATED_PART_BYTES:]


def build_reset(datagram: bytes) -> bytes:
    """Return the RST that refuses a connection request.

    Parameters
    ----------
    datagram : bytes
        The packet with the SYN.

    Returns
    -------
    bytes
        Packet to the SYN's source with RST and ACK set, as RFC 9293 section
        3.10.7.1 requires for a connection that does not exist.
    """
    syn = parse_segment(datagram)
    return build_segment(
        syn.destination,
        syn.source,
        RST | ACK,
        0,
        syn.sequence + 1 + len(syn.payload),
    )


def build_abort(datagram: bytes) -> bytes:
    """Return the RST that ends an established connection.

    Parameters
    ----------
    datagram : bytes
        A segment of the connection that carries an acknowledgment.

    Returns
    -------
    bytes
        Packet to the segment's source; its sequence number is the one that
        the source expects next, as RFC 9293 section 3.10.7.1 requires.
    """
    segment = parse_segment(datagram)
    return build_segment(
        segment.destination,
        segment.source,
        RST,
        segment.acknowledgment,
    )


def sequence_of(datagram: bytes) -> int:
    """Return the sequence number of a segment."""
    return int.from_bytes(datagram[24:28], 'big')


def answers_syn(reset: bytes, syn_sequence: int) -> bool:
    """Tell whether an RST refuses the connection that a SYN asked for.

    Parameters
    ----------
    reset : bytes
        Segment with RST set.
    syn_sequence : int
        Sequence number of the SYN.

    Returns
    -------
    bool
        True if sequence and acknowledgment numbers are those that RFC 9293
        section 3.10.7.1 requires of a reset in the CLOSED state. A reset of
        an established connection carries another sequence number.
    """
    expected = (syn_sequence + 1) & _MASK_32
    acknowledged = int.from_bytes(reset[28:32], 'big')
    return sequence_of(reset) == 0 and acknowledged == expected
