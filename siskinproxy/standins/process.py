"""Parts that the stand-in processes share: sockets and the stop event."""

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

MAX_DATAGRAM_BYTES: Final = 65535

#: Bursts of several thousand packets must not overflow the buffer while
#: the process is busy with another task.
_BUFFER_BYTES: Final = 4 * 1024 * 1024
#: Time for the response to the stop command to leave before the exit.
_STOP_DELAY_S: Final = 0.05


def open_udp_socket(endpoint: Endpoint) -> socket.socket:
    """Return a bound UDP socket with large buffers."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, _BUFFER_BYTES)
    sock.bind((endpoint.address, endpoint.port))
    return sock


def parse_endpoint(text: str) -> Endpoint:
    """Return the endpoint of ``address:port``."""
    address, _, port = text.rpartition(':')
    return Endpoint(address, int(port))


class StopEvent:
    """Event that SIGTERM, SIGINT or the stop command sets."""

    def __init__(self) -> None:
        self._event = Event()

    def wait(self) -> None:
        """Block until the process has to stop."""
        gevent.signal_handler(signal.SIGTERM, self._event.set)
        gevent.signal_handler(signal.SIGINT, self._event.set)
        self._event.wait()

    def command(self) -> Mapping[str, Any]:
        """Handle the stop command of a control port."""
        gevent.spawn_later(_STOP_DELAY_S, self._event.set)
        return {'stopping': True}
