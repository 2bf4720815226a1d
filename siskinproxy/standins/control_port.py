"""Control port of the stand-in processes: JSON lines over TCP.

A request is one line with a JSON object; the key ``command`` names the command
and the other keys are its arguments. The response is one line with a JSON
object; a failed command has only the key ``error``, with the reason.
"""

from collections.abc import Callable, Mapping
from typing import Any, Final

import msgspec
from gevent import socket
from gevent.server import StreamServer

from siskinproxy.errors import StandinCommandError

__all__ = ('ControlServer', 'send_command')

#: Timeout of each socket operation. A response may list the ids of all
#: requests of a run, so it can be large.
_RESPONSE_TIMEOUT_S: Final = 20.0

#: Takes the arguments of a command and returns the response.
Handler = Callable[..., Mapping[str, Any]]


class ControlServer:
    """TCP server that runs commands by name.

    Parameters
    ----------
    address : str
        IPv4 address to listen on.
    port : int
        TCP port; 0 selects a free port.
    commands : Mapping of str to callable
        Functions by command name; the other keys of a request are passed as
        keyword arguments.
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
        """Start to serve in the background."""
        self._server.start()

    def close(self) -> None:
        """Stop listening and close open connections."""
        self._server.stop(timeout=0)

    def _serve(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        with sock, sock.makefile('rb') as lines:
            for line in lines:
                sock.sendall(msgspec.json.encode(self._execute(line)) + b'\n')

    def _execute(self, line: bytes) -> Mapping[str, Any]:
        try:
            arguments = msgspec.json.decode(line, type=dict[str, Any])
        except msgspec.DecodeError as exc:
            return {
                'error': f'malformed command, expected a JSON object: {exc}'
            }
        handler = self._commands.get(arguments.pop('command', ''))
        if handler is None:
            return {
                'error': f'unknown command, expected one of {sorted(self._commands)}'
            }
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
        Arguments of the command.

    Returns
    -------
    dict
        Response of the command.

    Raises
    ------
    StandinCommandError
        If the response has the key ``error``.
    OSError
        If the connection fails, times out or closes without a response.
    """
    line = msgspec.json.encode({'command': command, **arguments}) + b'\n'
    with socket.create_connection(
        endpoint, timeout=_RESPONSE_TIMEOUT_S
    ) as sock:
        sock.sendall(line)
        with sock.makefile('rb') as lines:
            reply = lines.readline()
    if not reply:
        raise ConnectionResetError(
            f'connection closed without a response to command={command}'
        )
    response = msgspec.json.decode(reply, type=dict[str, Any])
    if 'error' in response:
        raise StandinCommandError(command, response['error'])
    return response
