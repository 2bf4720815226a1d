"""Tests of the log format: one line of key=value pairs for each event."""

import io
import re

import pytest

from siskinproxy.logs import EventLog, format_pairs, set_up_logs

LINE = re.compile(
    r'time=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{6}Z level=(\w+) '
    r'component=(\S+) (.*)'
)


@pytest.fixture
def stream():
    stream = io.StringIO()
    handler = set_up_logs(stream)
    yield stream
    handler.pop_application()


@pytest.mark.parametrize(
    ('value', 'formatted'),
    [
        (3, '3'),
        (0.5, '0.5'),
        (True, 'true'),
        (None, 'none'),
        ('alfold', 'alfold'),
        ('Vörösmarty', 'Vörösmarty'),
        ('two words', '"two words"'),
        ('', '""'),
        ('a=b', '"a=b"'),
        ('say "x"', r'"say \"x\""'),
        ('back\\slash', r'"back\\slash"'),
        ('line\nbreak', r'"line\nbreak"'),
        ('line\u2028break', r'"line\u2028break"'),
        ('\x1b[31m', r'"\u001b[31m"'),
        (('a', 1), '"(\'a\', 1)"'),
    ],
)
def test_quotes_values(value, formatted):
    """Guards against values that break the line or the pairs after them.

    Spaces, quotes, equals signs and control characters have to be quoted.
    """
    assert format_pairs({'key': value, 'next': 1}) == f'key={formatted} next=1'


@pytest.mark.parametrize('level', ['event', 'warning', 'error'])
def test_writes_one_line_per_event(stream, level):
    """Guards against lines without time, level, component or context."""
    log = EventLog('control', instance='a-1')
    getattr(log, level)('config_applied', generation=3, detail='{x} %s\n')
    (line,) = stream.getvalue().splitlines()
    shown_level, component, pairs = LINE.fullmatch(line).groups()
    assert shown_level == level.replace('event', 'info')
    assert component == 'control'
    assert pairs == (
        r'event=config_applied instance=a-1 generation=3 detail="{x} %s\n"'
    )


def test_any_key_is_allowed(stream):
    """Guards against event keys that collide with parameters of the logger."""
    EventLog('control').event('started', name='x', level='y', self='z')
    assert 'event=started name=x level=y self=z' in stream.getvalue()


def test_writes_to_stderr_by_default(capsys):
    """Guards against log lines in the standard output of a tool."""
    handler = set_up_logs()
    EventLog('control').event('started')
    handler.pop_application()
    out, err = capsys.readouterr()
    assert not out
    assert err.endswith('event=started\n')
