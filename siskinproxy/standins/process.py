"""Parts that all stand-in processes use: UDP sockets and the stop event."""

import signal
from collections.abc import Mapping
from typing import Any, Final

import gevent
from gevent import socket
from gevent.event import Event

from siskinproxy.fabric.segments import Endpoint

__all__ = (
    'MAX_DATAGRAM_BYTES',
    'StopEvent',
    'open_udp_socket',
    'parse_endpoint',
)

#: Buffer size that holds any UDP datagram.
MAX_DATAGRAM_BYTES: Final = 65535

#: Holds bursts of several thousand packets that arrive while the process is
#: busy with another task; a smaller buffer would drop packets.
_SOCKET_BUFFER_BYTES: Final = 4 * 1024 * 1024
#: Delay between the stop command and the stop, so that the response is sent
#: before the process exits.
_STOP_DELAY_S: Final = 0.05


def open_udp_socket(endpoint: Endpoint) -> socket.socket:
    """Return a bound UDP socket with large send and receive buffers.

    Raises
    ------
    OSError
        If the address or port cannot be bound.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, _SOCKET_BUFFER_BYTES)
    sock.bind((endpoint.address, endpoint.port))
    return sock


def parse_endpoint(text: str) -> Endpoint:
    """Parse ``address:port``.

    Raises
    ------
    ValueError
        If the port is not an integer.
    """
    address, _, port = text.rpartition(':')
    return Endpoint(address, int(port))


class StopEvent:
    """Event set by SIGTERM, SIGINT or the stop command of a control port."""

    def __init__(self) -> None:
        self._event = Event()

    def wait(self) -> None:
        """Install the signal handlers and block until the event is set."""
        gevent.signal_handler(signal.SIGTERM, self._event.set)
        gevent.signal_handler(signal.SIGINT, self._event.set)
        self._event.wait()

    def handle_stop_command(self) -> Mapping[str, Any]:
        """Handle the stop command of a control port: set the event soon."""
        gevent.spawn_later(_STOP_DELAY_S, self._event.set)
        return {'stopping': True}
