"""Start, reload, rejected settings and stop of a real entry process."""

import os
import signal
import subprocess
import sys
from pathlib import Path

import gevent
import pytest

from siskinproxy.errors import EXIT_GREENLET_FAILED
from siskinproxy.platform.entry_main import SETTINGS_VARIABLE
from siskinproxy.soak.run import SETTINGS_TEMPLATE

#: Longest wait for the process or for a line of its log, in seconds.
TIMEOUT_S = 20
#: Loopback address derived from the process id, so that parallel pytest workers
#: do not use the same ports of one address.
HOST = f'127.240.{os.getpid() >> 8 & 255}.{os.getpid() & 255}'


def write_settings(path, **changes):
    """Write a settings file; `edits` are pairs of old and new text.

    No store listens on port 9, so that the process never becomes ready.
    """
    text = SETTINGS_TEMPLATE.format(
        number=1,
        host=HOST,
        first=HOST,
        packet=7711,
        ready=7712,
        peer=7713,
        metrics=7714,
        store_port=9,
    )
    for old, new in changes.get('edits', ()):
        assert old in text
        text = text.replace(old, new)
    path.write_text(text)


class RunningProcess:
    """An entry process in a subprocess, with its log in a file.

    `arguments` are those of the interpreter; `settings` writes the file.
    """

    def __init__(
        self,
        folder,
        arguments=('-m', 'siskinproxy.platform.entry_main'),
        settings=write_settings,
    ):
        self.path = folder / 'settings.toml'
        self.log = folder / 'log'
        settings(self.path)
        environment = os.environ | {SETTINGS_VARIABLE: str(self.path)}
        with self.log.open('wb') as log:
            self.popen = subprocess.Popen(
                [sys.executable, *arguments],
                env=environment,
                stdout=log,
                stderr=log,
            )

    def wait_for(self, text):
        with gevent.Timeout(TIMEOUT_S):
            while text not in self.log.read_text():
                gevent.sleep(0.05)
        lines = self.log.read_text().splitlines()
        return next(line for line in lines if text in line)


@pytest.fixture
def running(tmp_path):
    found = RunningProcess(tmp_path)
    yield found
    if found.popen.poll() is None:
        found.popen.kill()
    found.popen.wait(TIMEOUT_S)


def test_reload_applies_bounds_and_names_what_needs_a_restart(running):
    """Guards against a reload that does not log which sections need a restart.

    Only changes of bounds apply at once. An operator who is not told that the
    others need a restart takes them for applied.
    """
    running.wait_for('event=process_started')
    edits = [('stop_s = 6', 'stop_s = 3'), ('zone = "z1"', 'zone = "z2"')]
    write_settings(running.path, edits=edits)
    running.popen.send_signal(signal.SIGHUP)
    assert 'need_restart=instance' in running.wait_for('settings_reloaded')


def test_wrong_settings_are_refused_and_the_earlier_ones_kept(running):
    """Guards against a process that ends because of an invalid settings file.

    SIGHUP reads the file again while an operator may have made an error in it.
    """
    running.wait_for('event=process_started')
    write_settings(running.path, edits=[('stop_s = 6', 'stop_s = "6"')])
    running.popen.send_signal(signal.SIGHUP)
    line = running.wait_for('settings_rejected')
    assert 'bounds.stop_s' in line
    assert running.popen.poll() is None


def test_stop_ends_the_process_in_time(running):
    """Guards against a stop that takes so long that the platform kills it.

    The exit code must be 0, since any other one raises an alarm.
    """
    running.wait_for('event=process_started')
    running.popen.send_signal(signal.SIGTERM)
    running.wait_for('event=process_stopping')
    assert running.popen.wait(6) == 0
    assert 'event=process_stopped' in running.log.read_text()


#: Program in which the first calls of the follower fail.
FAILING_FOLLOWER = """
from siskinproxy.entry.follower import ChangeFollower
from siskinproxy.platform.entry_main import main

ask = ChangeFollower._ask
failures = iter(range({failures}))


def fail_first(follower, source):
    for _ in failures:
        raise OverflowError('too large')
    ask(follower, source)


ChangeFollower._ask = fail_first
main()
"""


def run_failing(folder, failures):
    code = FAILING_FOLLOWER.format(failures=failures)
    return RunningProcess(folder, ['-c', code])


def test_a_follower_that_failed_is_started_again(tmp_path):
    """Guards against a process that follows nothing after one error.

    It once stayed ready, and its greenlet ended.
    """
    running = run_failing(tmp_path, 3)
    try:
        line = running.wait_for('event=greenlet_failed')
        assert 'subject=follower kind=OverflowError' in line
        # The next call gets to the store, at whose port nobody listens.
        running.wait_for('event=source_lost')
        assert running.popen.poll() is None
    finally:
        running.popen.kill()
        running.popen.wait(TIMEOUT_S)


def test_a_process_whose_follower_keeps_failing_ends(tmp_path):
    """Guards against a process that stays ready but can follow nothing."""
    running = run_failing(tmp_path, 1000)
    assert running.popen.wait(TIMEOUT_S) == EXIT_GREENLET_FAILED
    assert 'greenlet=follower' in running.wait_for('event=process_given_up')
    running.wait_for('event=process_stopped')


def start_program(folder, environment=()):
    path = folder / 'settings.toml'
    write_settings(path)
    return subprocess.Popen(
        [sys.executable, '-S', '-m', 'siskinproxy.platform.entry_main'],
        env=os.environ
        | {
            SETTINGS_VARIABLE: str(path),
            'PYTHONPATH': os.pathsep.join(sys.path),
        }
        | dict(environment),
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )


def is_caught(pid, number):
    """Return whether the process has a handler of the signal."""
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        name, _, mask = line.partition(':')
        if name == 'SigCgt':
            return bool(int(mask, 16) >> (number - 1) & 1)
    return False


@pytest.mark.parametrize('delay_s', [0, 0.01, 0.03, 0.06, 0.1, 0.15, 0.25])
@pytest.mark.parametrize(
    'number', [signal.SIGHUP, signal.SIGTERM, signal.SIGINT]
)
def test_signals_at_each_step_of_the_start(tmp_path, number, delay_s):
    """Guards against a process that a signal ends while it starts.

    The default action of SIGHUP ends a process. The signal is sent after the
    first handler is installed, before gevent's handlers are.
    """
    process = start_program(tmp_path)
    try:
        with gevent.Timeout(TIMEOUT_S):
            while not is_caught(process.pid, signal.SIGHUP):
                gevent.sleep(0.001)
        gevent.sleep(delay_s)
        process.send_signal(number)
        if number == signal.SIGHUP:
            lines = iter(process.stdout.readline, '')
            assert any('event=settings_reloaded' in line for line in lines)
            assert process.poll() is None
            process.send_signal(signal.SIGTERM)
        assert process.wait(TIMEOUT_S) == 0
    finally:
        process.kill()
        process.wait(TIMEOUT_S)
        process.stdout.close()


def test_a_wrong_key_at_the_start_ends_the_process(tmp_path):
    """Guards against a process that starts with an invalid settings file.

    It must exit with code 2 and name the key.
    """
    path = Path(tmp_path) / 'settings.toml'
    write_settings(path, edits=[('zone = "z1"', 'zone = ""')])
    found = subprocess.run(
        [sys.executable, '-m', 'siskinproxy.platform.entry_main'],
        env=os.environ | {SETTINGS_VARIABLE: str(path)},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )
    assert found.returncode == 2
    assert 'key=instance.zone' in found.stderr
