"""Child processes of the launcher, with their log files."""

import ctypes
import os
import re
import signal
import subprocess  # noqa: S404
import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Final

import siskinproxy
from siskinproxy.errors import StandinTimeoutError

__all__ = ('Child', 'wait_until')

_ROOT: Final = Path(siskinproxy.__file__).parent.parent
_PR_SET_PDEATHSIG: Final = 1
_POLL_S: Final = 0.05
_LIBC: Final = ctypes.CDLL(None)
_PAIR: Final = re.compile(r'(\w+)=("[^"]*"|\S+)')


def wait_until(
    condition: Callable[[], bool],
    what: str,
    limit_s: float,
) -> float:
    """Ask repeatedly until a condition holds.

    Parameters
    ----------
    condition : callable
        Returns whether the condition holds.
    what : str
        Description for the error.
    limit_s : float
        Longest time to ask, in seconds.

    Returns
    -------
    float
        Time that passed, in seconds.

    Raises
    ------
    StandinTimeoutError
        If the condition does not hold in time.
    """
    start_s = time.monotonic()
    while not condition():
        if time.monotonic() - start_s > limit_s:
            raise StandinTimeoutError(what, limit_s)
        time.sleep(_POLL_S)
    return time.monotonic() - start_s


def _end_with_parent() -> None:
    # A launcher that is killed must not leave its children behind.
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class Child:
    """Process of the deployment.

    Parameters
    ----------
    name : str
        Name of the process and its log file.
    module : str
        Module whose ``main`` runs.
    arguments : sequence of str
        Command line arguments.
    directory : Path
        Directory of the log file.
    """

    def __init__(
        self,
        name: str,
        module: str,
        arguments: Sequence[str],
        directory: Path,
    ) -> None:
        self.name = name
        self.log_path = directory / f'{name}.log'
        program = f'from {module} import main; main()'
        with open(self.log_path, 'ab') as log:
            # An own session: Ctrl-C reaches the launcher only, which then
            # ends its children in order.
            self._popen = subprocess.Popen(  # noqa: S603
                [sys.executable, '-c', program, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, 'PYTHONPATH': str(_ROOT)},
                start_new_session=True,
                preexec_fn=_end_with_parent,  # noqa: PLW1509
            )

    @property
    def pid(self) -> int:
        """Process id."""
        return self._popen.pid

    @property
    def exit_code(self) -> int | None:
        """Exit code; None while the process runs."""
        return self._popen.poll()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.exit_code is None:
            self._popen.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        self.signal(signal.SIGKILL)
        self._popen.wait()

    def events(self, name: str) -> list[dict[str, str]]:
        """Return the logged events of one name, as key=value pairs."""
        marker = f'event={name}'
        text = self.log_path.read_text(errors='replace')
        return [
            dict(_PAIR.findall(line))
            for line in text.splitlines()
            if marker in line.split()
        ]
