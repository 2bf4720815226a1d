"""Tests of the command ``python -m siskinproxy.emulator.run``."""

import json
import subprocess
import sys

import pytest


def run(*args):
    return subprocess.run(
        [sys.executable, '-m', 'siskinproxy.emulator.run', *args],
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )


def test_command_prints_results_and_writes_plots(tmp_path):
    """The command could fail, or leave out a policy or the plots, unnoticed.

    No other test checks the lines that it prints and the plots that it writes.
    """
    completed = run(
        '--days=quiet-1',
        '--policies=siskinproxy,random',
        f'--plots={tmp_path}',
    )
    assert completed.returncode == 0, completed.stderr
    lines = [json.loads(line) for line in completed.stdout.splitlines()]
    assert [line['policy'] for line in lines] == ['siskinproxy', 'random']
    assert 'siskinproxy' in (tmp_path / 'quiet-1.svg').read_text()


@pytest.mark.parametrize(
    'argument', ['--policies=none', '--days=/nonexistent.toml']
)
def test_wrong_arguments_are_named(argument):
    """An unknown policy or day must be an error.

    If it were ignored, the command would run other cases than were asked for.
    """
    completed = run(argument)
    assert completed.returncode == 2
    assert 'error=settings' in completed.stderr
