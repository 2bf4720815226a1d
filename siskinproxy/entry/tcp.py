"""TCP sockets of an entry process."""

from gevent import socket

from siskinproxy.entry.records import Address

__all__ = ('connect', 'listen')


def connect(address: Address, timeout_s: float) -> socket.socket:
    """Return a connected socket that sends small messages at once.

    Parameters
    ----------
    address : Address
        Address of the server.
    timeout_s : float
        Time for connecting, in seconds.

    Returns
    -------
    socket.socket
        Connected socket with this timeout.

    Raises
    ------
    OSError
        The server cannot be reached in time.
    """
    # Without `create_connection`, which starts a thread for the resolver.
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
        Address to listen on; a restarted process gets it again at once.
    backlog : int
        Connections that wait to be accepted.

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
