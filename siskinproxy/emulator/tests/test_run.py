"""The command."""

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
    """Guards against a command that no test runs."""
    found = run(
        '--days=quiet-1',
        '--policies=siskinproxy,random',
        f'--plots={tmp_path}',
    )
    assert found.returncode == 0, found.stderr
    lines = [json.loads(line) for line in found.stdout.splitlines()]
    assert [line['policy'] for line in lines] == ['siskinproxy', 'random']
    assert 'siskinproxy' in (tmp_path / 'quiet-1.svg').read_text()


@pytest.mark.parametrize(
    'argument', ['--policies=none', '--days=/nonexistent.toml']
)
def test_wrong_arguments_are_named(argument):
    """Guards against a run of something else than was asked for."""
    found = run(argument)
    assert found.returncode == 2
    assert 'error=settings' in found.stderr
