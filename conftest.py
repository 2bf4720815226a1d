"""Passes over the tests listed in KNOWN-RED.txt, and prints them.

``--known-red`` runs them as well.

Processes that tests start get the default action of SIGINT. A shell that
starts pytest in the background makes it ignore SIGINT, which its children
would inherit, so that tests which interrupt a process would wait for ever.
"""

import signal
from pathlib import Path

_LIST = Path(__file__).parent / 'KNOWN-RED.txt'


def _known_red() -> list[str]:
    if not _LIST.exists():
        return []
    lines = _LIST.read_text().splitlines()
    return [line for line in lines if line.startswith('siskinproxy/')]


def pytest_addoption(parser):
    parser.addoption('--known-red', action='store_true')


def pytest_configure(config):
    # A handler, unlike an ignored signal, is not passed on to new programs.
    signal.signal(signal.SIGINT, signal.default_int_handler)


def pytest_collection_modifyitems(config, items):
    if config.getoption('--known-red'):
        return
    known = set(_known_red())
    passed_over = [item for item in items if item.nodeid in known]
    if passed_over:
        items[:] = [item for item in items if item.nodeid not in known]
        config.hook.pytest_deselected(items=passed_over)


def pytest_terminal_summary(terminalreporter, config):
    known = _known_red()
    if known and not config.getoption('--known-red'):
        terminalreporter.section('passed over: known red')
        for name in known:
            terminalreporter.write_line(name)
