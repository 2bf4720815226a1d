"""TCP segments in IPv4: address translation, checksums and resets."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskinproxy.errors import SegmentFormatError
from siskinproxy.fabric import segments

ENDPOINTS = st.builds(
    segments.Endpoint,
    st.ip_addresses(v=4).map(str),
    st.integers(0, 65535),
)


@given(ENDPOINTS, ENDPOINTS, ENDPOINTS, st.binary(max_size=64))
def test_translation_keeps_checksums_valid(source, destination, target, data):
    """Guards against segments that a TCP stack discards for their checksums.

    Rewriting an address updates the checksums by the difference only.
    """
    packet = segments.build_segment(
        source, destination, segments.ACK, 7, 9, data
    )
    assert segments.has_valid_checksums(packet)
    there = segments.rewrite_destination(packet, segments.pack_endpoint(target))
    assert segments.has_valid_checksums(there)
    parsed = segments.parse_segment(there)
    assert (parsed.source, parsed.destination) == (source, target)
    assert parsed.payload == data
    back = segments.rewrite_source(there, segments.pack_endpoint(destination))
    assert segments.parse_segment(back).source == destination


@pytest.mark.parametrize(
    'datagram',
    [b'', b'\x45' * 39, b'\x46' + bytes(60), b'\x45' + bytes(60)],
    ids=['empty', 'short', 'options', 'not-tcp'],
)
def test_rejects_other_packets(datagram):
    """Guards against reading TCP fields from a packet that does not hold them.

    With IPv4 options, for example, ports and flags are at other offsets.
    """
    with pytest.raises(SegmentFormatError):
        segments.parse_segment(datagram)


def test_reset_acknowledges_syn():
    """Guards against an RST that the caller's TCP stack ignores.

    The RST has to acknowledge the SYN, also if the number wraps to 0.
    """
    syn = segments.build_segment(
        segments.Endpoint('127.0.9.1', 4000),
        segments.Endpoint('203.0.113.1', 80),
        segments.SYN,
        2**32 - 1,
    )
    reset = segments.parse_segment(segments.build_reset(syn))
    assert reset.flags == segments.RST | segments.ACK
    assert reset.acknowledgment == 0
    assert reset.destination == segments.Endpoint('127.0.9.1', 4000)


@given(ENDPOINTS, ENDPOINTS, ENDPOINTS, st.binary(max_size=64))
def test_prepared_translation_equals_rewriting(source, replaced, new, data):
    """Guards against a precomputed difference that yields a wrong checksum.

    Equal endpoints and differences of 0 modulo 65535 are the cases in which
    ones' complement has two representations.
    """
    old_bytes = segments.pack_endpoint(replaced)
    new_bytes = segments.pack_endpoint(new)
    for first, second in ((old_bytes, new_bytes), (old_bytes, old_bytes)):
        translation = segments.Translation(first, second)
        there = segments.build_segment(source, replaced, 16, 7, 9, data)
        assert segments.translate_destination(
            there, translation
        ) == segments.rewrite_destination(there, second)
        back = segments.build_segment(replaced, source, 16, 7, 9, data)
        assert segments.translate_source(
            back, translation
        ) == segments.rewrite_source(back, second)
