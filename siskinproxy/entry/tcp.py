"""Creates connected and listening TCP sockets on gevent."""

from gevent import socket

from siskinproxy.entry.records import Address

__all__ = ('connect', 'listen')


def connect(address: Address, timeout_s: float) -> socket.socket:
    """Return a connected socket with `TCP_NODELAY`.

    Parameters
    ----------
    address : Address
        Address of the server.
    timeout_s : float
        Timeout of connecting, in seconds; stays set on the socket.

    Returns
    -------
    socket.socket
        Connected socket.

    Raises
    ------
    OSError
        The connection fails or times out.
    """
    # `create_connection` would start a thread for the resolver.
    conn = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        conn.settimeout(timeout_s)
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        conn.connect(address)
    except BaseException:
        conn.close()
        raise
    return conn


def listen(address: Address, backlog: int) -> socket.socket:
    """Return a listening socket.

    Parameters
    ----------
    address : Address
        Address to listen on. `SO_REUSEADDR` is set, so that a restarted
        process can bind to it at once.
    backlog : int
        Limit on connections that wait to be accepted.

    Returns
    -------
    socket.socket
        Listening socket.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(address)
    listener.listen(backlog)
    return listener
