"""Settings that the platform fills into the template of the deployment."""

import json
import math
import re
import signal
from functools import partial
from pathlib import Path

import pytest

from siskinproxy.entry import bounds
from siskinproxy.entry.directory import KnownTarget
from siskinproxy.entry.settings import EntrySettings
from siskinproxy.entry.stopping import may_become_unready
from siskinproxy.entry.tests.fakes import target
from siskinproxy.entry.tests.test_process import (
    HOST,
    TIMEOUT_S,
    RunningProcess,
)
from siskinproxy.settings_file import read_settings

TEMPLATE = Path(__file__).parents[3] / 'deploy/settings.toml'
#: Fields of the platform that the template uses for bounds, with the keys.
BOUND_FIELDS = {
    'heartbeat_ms': 'heartbeat_ms',
    'bounds.drain_ms': 'drain_ms',
    'bounds.config_apply_ms': 'config_ms',
    'bounds.evac_ms': 'zone_out_ms',
    'bounds.grace_s': 'stop_s',
    'bounds.flow_max_s': 'flow_life_s',
    'bounds.cold_over': 'cold_factor',
    'bounds.cold_slack': 'cold_slack',
}
#: Numbers that the platform's pages allow.
NUMBERS = [0, 0.0, 1e-9, 0.5, 1, 2500.5, 2500.0, 3_600_000, 1e12, 10**30, -1]
#: What is no number: flags, and a field without a value.
NOT_NUMBERS = [True, False, None]


def fields(**changes):
    """Return the platform's fields; None stands for a field without value."""
    found = {
        'node_name': 'front-a-1',
        'zone': 'a',
        'ip': HOST,
        'limits.link_mbps': 1000.0,
        'listen_addrs.packets': f'{HOST}:7711',
        'listen_addrs.ready': f'{HOST}:7712',
        'internal_port_range.0': 7713,
        'platform.address': '127.0.0.1:9',
        'seeds': ['127.0.0.1:8166'],
        'heartbeat_ms': 1200,
        'bounds.drain_ms': 3000,
        'bounds.config_apply_ms': 3000,
        'bounds.evac_ms': 5000,
        'bounds.grace_s': 6,
        'bounds.flow_max_s': 60,
        'bounds.cold_over': 1.5,
        'bounds.cold_slack': 5,
    }
    return found | changes


def render(text, values):
    """Fill in a template as the platform does: sections, then fields."""

    def section(match):
        value = values[match.group(1)]
        return '' if value is None or value is False else match.group(2)

    def field(match):
        value = values[match.group(1)]
        if match.group(2) or isinstance(value, bool):
            return json.dumps(value)
        return '' if value is None else str(value)

    text = re.sub(r'(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', section, text)
    return re.sub(r'\{\{([\w.]+)(\|json)?\}\}', field, text)


def write(path, **changes):
    path.write_text(render(TEMPLATE.read_text(), fields(**changes)))


def read(tmp_path, **changes):
    """Return the settings, and the keys whose values were replaced."""
    path = tmp_path / 'settings.toml'
    write(path, **changes)
    replaced = {}
    cfg = read_settings(
        str(path),
        EntrySettings,
        lambda exc, used: replaced.update({exc.key: used}),
    )
    return cfg, replaced


@pytest.mark.parametrize('name', BOUND_FIELDS)
@pytest.mark.parametrize('value', NUMBERS + NOT_NUMBERS)
def test_no_bound_of_the_platform_stops_the_instances(tmp_path, name, value):
    """Guards against one bound that keeps all instances from starting.

    All instances get the same bounds, and a fraction among them once ended
    each process at its start (review/8).
    """
    cfg, _ = read(tmp_path, **{name: value})
    found = getattr(cfg.bounds, BOUND_FIELDS[name])
    assert not isinstance(found, bool)
    assert math.isfinite(found)


@pytest.mark.parametrize('name', BOUND_FIELDS)
@pytest.mark.parametrize('value', [0.5, 25.5, 2500.5])
def test_a_fraction_is_kept_as_it_is(tmp_path, name, value):
    """Guards against a fraction that is rounded or replaced by a default."""
    key = BOUND_FIELDS[name]
    cfg, replaced = read(tmp_path, **{name: value})
    if key in {'cold_factor', 'flow_life_s', 'stop_s', 'cold_slack'}:
        value = min(value, 2500.5)
    highest = {'cold_factor': 100, 'cold_slack': 1000}.get(key, math.inf)
    assert getattr(cfg.bounds, key) == min(value, highest)
    assert bool(replaced) is (value > highest)


@pytest.mark.parametrize('name', BOUND_FIELDS)
@pytest.mark.parametrize('value', NOT_NUMBERS)
def test_a_bound_that_is_no_number_has_its_default(tmp_path, name, value):
    """Guards against a flag that counts as the number 0 or 1.

    The error must be reported with its key.
    """
    key = BOUND_FIELDS[name]
    cfg, replaced = read(tmp_path, **{name: value})
    default = getattr(type(cfg.bounds)(), key)
    assert getattr(cfg.bounds, key) == default
    assert replaced == {f'bounds.{key}': default}


@pytest.mark.parametrize('name', BOUND_FIELDS)
@pytest.mark.parametrize('value', NUMBERS + NOT_NUMBERS)
def test_all_that_follows_from_a_bound_can_be_computed(tmp_path, name, value):
    """Guards against a bound that a later computation does not bear.

    Times of zero would query the store without a pause; times without an end
    would keep a zone cold for good.
    """
    cfg, _ = read(tmp_path, **{name: value})
    follower = bounds.follower_timing(cfg.bounds)
    assert 0.1 <= follower.watch_s <= 1.0
    assert follower.retry_s >= 0.01
    directory = bounds.directory_timing(cfg.bounds)
    assert 0 <= directory.flow_life_s <= 3600
    assert 0 < directory.returned_zone_cold_s <= 125
    assert bounds.restore_timing(cfg.bounds).target_silence_s <= 185
    assert 0 <= bounds.engine_timing(cfg.bounds).zone_out_s <= 3600
    limit = bounds.cold_limit('i-1', cfg.bounds)
    for rate_per_s in (0, 0.01, 1e6):
        assert limit.allowance(KnownTarget(target(1)), rate_per_s) >= 0
    assert may_become_unready(1, 2, 2.0, cfg.bounds.stop_s)


@pytest.mark.parametrize(
    ('value', 'used', 'is_replaced'),
    [
        (0.5, 0.5, False),
        (1000, 1000, False),
        (10**9, 1_000_000, True),
        (-1, 0, True),
        (True, 0, True),
        (None, 0, True),
    ],
)
def test_a_wrong_bandwidth_costs_only_itself(
    tmp_path, value, used, is_replaced
):
    """Guards against a bandwidth that keeps instances from starting.

    It only decides which instances others ask first.
    """
    cfg, replaced = read(tmp_path, **{'limits.link_mbps': value})
    assert cfg.instance.link_mbps == used
    assert bool(replaced) is is_replaced


@pytest.mark.parametrize(
    'odd', ['', 'front-a-1:8166', '127.0.0.1', '127.0.0.1:0', 7, True, None]
)
def test_a_wrong_seed_costs_only_itself(tmp_path, odd):
    """Guards against one stale seed that keeps instances from starting."""
    if odd is None:
        cfg, replaced = read(tmp_path, seeds=[])
        assert cfg.store.seeds == ()
        assert not replaced
        return
    cfg, replaced = read(tmp_path, seeds=[odd, '127.0.0.2:8166'])
    assert cfg.store.seeds == ('127.0.0.2:8166',)
    assert list(replaced) == ['store.seeds']


@pytest.mark.parametrize('value', [2500.5, 2500.0, True, None, -1])
def test_start_and_reload_judge_a_file_alike(tmp_path, value):
    """Guards against a file that a running process takes and a new one not.

    Bounds that were rejected at a reload ended each process that was started
    after it, until no instance was left (review/8).
    """
    change = {'bounds.drain_ms': value}
    logs = []
    for at_start in ({}, change):
        folder = tmp_path / f'start-{len(logs)}'
        folder.mkdir()
        running = RunningProcess(folder, settings=partial(write, **at_start))
        try:
            running.wait_for('event=process_started')
            write(running.path, **change)
            running.popen.send_signal(signal.SIGHUP)
            running.wait_for('event=settings_reloaded')
            assert running.popen.poll() is None
        finally:
            running.popen.kill()
            running.popen.wait(TIMEOUT_S)
        logs.append(running.log.read_text())
    is_wrong = value not in {2500.0, 2500.5}
    assert [log.count('event=settings_replaced') for log in logs] == (
        [1, 2] if is_wrong else [0, 0]
    )
