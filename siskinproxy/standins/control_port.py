"""Control port of the stand-ins: JSON lines over TCP.

A request is one JSON object with the key ``command``; the other keys are the
arguments. The response is one JSON object; ``error`` names a failed command.
"""

from collections.abc import Callable, Mapping
from typing import Any, Final

import msgspec
from gevent import socket
from gevent.server import StreamServer

from siskinproxy.errors import StandinCommandError

__all__ = ('ControlServer', 'send_command')

#: Responses list the ids of every request of a run, so they can be long.
_CALL_TIMEOUT_S: Final = 20.0

Handler = Callable[..., Mapping[str, Any]]


class ControlServer:
    """Server that runs named commands.

    Parameters
    ----------
    address : str
        IPv4 address to listen on.
    port : int
        TCP port, 0 for any.
    commands : Mapping of str to callable
        Functions by command name; the other keys are keyword arguments.
    """

    def __init__(
        self,
        address: str,
        port: int,
        commands: Mapping[str, Handler],
    ) -> None:
        self._commands = commands
        self._server = StreamServer((address, port), self._serve)

    @property
    def port(self) -> int:
        """TCP port that the server listens on."""
        return self._server.server_port

    def start(self) -> None:
        """Listen and serve in the background."""
        self._server.start()

    def close(self) -> None:
        """Stop listening and end open connections."""
        self._server.stop(timeout=0)

    def _serve(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        with sock, sock.makefile('rb') as lines:
            for line in lines:
                sock.sendall(msgspec.json.encode(self._run(line)) + b'\n')

    def _run(self, line: bytes) -> Mapping[str, Any]:
        try:
            arguments = msgspec.json.decode(line, type=dict[str, Any])
        except msgspec.DecodeError as exc:
            return {'error': f'malformed command: {exc}'}
        handler = self._commands.get(arguments.pop('command', ''))
        if handler is None:
            return {'error': f'expected one of {sorted(self._commands)}'}
        try:
            return handler(**arguments)
        except (TypeError, KeyError, ValueError) as exc:
            return {'error': f'{type(exc).__name__}: {exc}'}


def send_command(
    endpoint: tuple[str, int],
    command: str,
    /,
    **arguments: object,
) -> dict[str, Any]:
    """Run one command on a control port.

    Parameters
    ----------
    endpoint : tuple of str and int
        Address and TCP port.
    command : str
        Name of the command.
    **arguments : object
        Its arguments.

    Returns
    -------
    dict
        The response.

    Raises
    ------
    StandinCommandError
        If the command failed.
    OSError
        If the port does not answer.
    """
    line = msgspec.json.encode({'command': command, **arguments}) + b'\n'
    with socket.create_connection(endpoint, timeout=_CALL_TIMEOUT_S) as sock:
        sock.sendall(line)
        with sock.makefile('rb') as lines:
            reply = lines.readline()
    if not reply:
        raise ConnectionResetError(f'no response to command={command}')
    response = msgspec.json.decode(reply, type=dict[str, Any])
    if 'error' in response:
        raise StandinCommandError(command, response['error'])
    return response
