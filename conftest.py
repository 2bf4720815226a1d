"""Set-up of pytest: known failures, and the signal handling of processes.

The tests listed in KNOWN-RED.txt are not run, but their names are printed. The
option ``--known-red`` runs them as well.

Processes that tests start get the default action of SIGINT. A shell that
starts pytest in the background makes it ignore SIGINT. Its child processes
would inherit that, and tests that interrupt one would wait for ever.
"""

import signal
from pathlib import Path

_KNOWN_RED_FILE = Path(__file__).parent / 'KNOWN-RED.txt'


def _known_red_tests() -> list[str]:
    if not _KNOWN_RED_FILE.exists():
        return []
    lines = _KNOWN_RED_FILE.read_text().splitlines()
    return [line for line in lines if line.startswith('siskinproxy/')]


def pytest_addoption(parser):
    """Add the option ``--known-red``."""
    parser.addoption('--known-red', action='store_true')


def pytest_configure(config):
    """Restore the default action of SIGINT for child processes."""
    # Unlike an ignored signal, a handler is not inherited by other programs.
    signal.signal(signal.SIGINT, signal.default_int_handler)


def pytest_collection_modifyitems(config, items):
    """Deselect the tests that KNOWN-RED.txt lists."""
    if config.getoption('--known-red'):
        return
    known = set(_known_red_tests())
    deselected = [item for item in items if item.nodeid in known]
    if deselected:
        items[:] = [item for item in items if item.nodeid not in known]
        config.hook.pytest_deselected(items=deselected)


def pytest_terminal_summary(terminalreporter, config):
    """Print the names of the tests that were not run."""
    known = _known_red_tests()
    if known and not config.getoption('--known-red'):
        terminalreporter.section('not run: listed in KNOWN-RED.txt')
        for name in known:
            terminalreporter.write_line(name)
