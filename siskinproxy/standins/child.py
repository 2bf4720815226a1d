"""Child processes of a simulated deployment, with their log files."""

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

_REPOSITORY_ROOT: Final = Path(siskinproxy.__file__).parent.parent
#: Option of prctl(2): signal that the kernel sends when the parent ends.
_PR_SET_PDEATHSIG: Final = 1
_POLL_INTERVAL_S: Final = 0.05
_LIBC: Final = ctypes.CDLL(None)
#: A key=value pair of a log line; values with spaces are quoted.
_KEY_VALUE_PAIR: Final = re.compile(r'(\w+)=("[^"]*"|\S+)')


def wait_until(
    condition: Callable[[], bool],
    description: str,
    timeout_s: float,
) -> float:
    """Poll a condition until it holds.

    Parameters
    ----------
    condition : callable
        Returns whether the condition holds.
    description : str
        What is awaited, for the error message.
    timeout_s : float
        Maximum time to wait, in seconds.

    Returns
    -------
    float
        Time waited, in seconds.

    Raises
    ------
    StandinTimeoutError
        If the condition does not hold before the timeout.
    """
    start_s = time.monotonic()
    while not condition():
        if time.monotonic() - start_s > timeout_s:
            raise StandinTimeoutError(description, timeout_s)
        time.sleep(_POLL_INTERVAL_S)
    return time.monotonic() - start_s


def _kill_with_parent() -> None:
    # Runs in the child: SIGKILL gives the parent no chance to end its
    # children, so the kernel kills them when the parent ends.
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class Child:
    """Child process whose output goes to a log file.

    Parameters
    ----------
    name : str
        Name of the process; the log file is ``{name}.log``.
    module : str
        Module whose function ``main`` the process runs.
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
            # In a session of its own, the child gets no SIGINT from Ctrl-C in
            # the terminal: the parent ends its children in order.
            self._popen = subprocess.Popen(  # noqa: S603
                [sys.executable, '-c', program, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, 'PYTHONPATH': str(_REPOSITORY_ROOT)},
                start_new_session=True,
                preexec_fn=_kill_with_parent,  # noqa: PLW1509
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
        """Send SIGKILL and wait for the process to end."""
        self.signal(signal.SIGKILL)
        self._popen.wait()

    def events(self, name: str) -> list[dict[str, str]]:
        """Return the key=value pairs of each logged event of one name."""
        marker = f'event={name}'
        text = self.log_path.read_text(errors='replace')
        return [
            dict(_KEY_VALUE_PAIR.findall(line))
            for line in text.splitlines()
            if marker in line.split()
        ]
