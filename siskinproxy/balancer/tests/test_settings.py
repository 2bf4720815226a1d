"""Tests of the settings file of an instance and its reference page."""

import subprocess
import sys
from pathlib import Path

import pytest

from siskinproxy.balancer import settings, settings_reference
from siskinproxy.errors import EXIT_SETTINGS, SettingsError

ROOT = Path(__file__).parents[3]

INSTANCE = """
[instance]
name = 'a-1'
region = 'alfold'
zone = 'a'
address = '127.0.1.1'
"""
PACKET = """
[packet]
fabric_address = '127.0.0.1'
"""
MINIMUM = INSTANCE + PACKET


def _write(tmp_path, text):
    path = tmp_path / 'instance.toml'
    path.write_text(text, encoding='utf-8')
    return str(path)


def _read(tmp_path, text):
    path = _write(tmp_path, text)
    return settings.read_settings(path, settings.InstanceSettings)


def test_minimum_has_defaults(tmp_path):
    """Guards against changed defaults, which the design page documents."""
    found = _read(tmp_path, MINIMUM)
    assert found.instance.name == 'a-1'
    assert found.limits == settings.Limits(
        learned_flows=200_000,
        home_flows=1_500_000,
        copy_bytes_per_s=8000,
        drain_limit_s=300.0,
        sight_s=3.0,
        learned_s=4.0,
        flow_idle_s=7440.0,
        takeover_s=2.0,
        view_retention_s=30.0,
        address_reuse_delay_s=7440,
    )
    off = (
        found.packet.metrics_port,
        found.control.metrics_port,
        found.admin.port,
        found.store.address,
        found.control.configuration_file,
        found.control.seeds,
    )
    assert off == (0, 0, 0, '', '', ())


def test_reads_values(tmp_path):
    """Guards against keys that are validated but not applied."""
    text = f"""
    {MINIMUM}
    metrics_port = 9100
    [control]
    seeds = ['127.0.1.2:7402', '127.0.2.1:7402']
    [store]
    address = '127.0.0.2'
    token = 's'
    [limits]
    sight_s = 2
    """
    found = _read(tmp_path, text)
    assert found.packet.metrics_port == 9100
    assert found.control.seeds == ('127.0.1.2:7402', '127.0.2.1:7402')
    assert found.store == settings.StoreSettings(
        address='127.0.0.2',
        port=7500,
        token='s',
    )
    assert isinstance(found.limits.sight_s, float)


def _limits(line):
    return f'{MINIMUM}[limits]\n{line}\n'


PORTS = 'integer from 1 to 65535'
IDLE = 'number from 1 to 604800 s'

REJECTED = {
    'unknown-section': (
        MINIMUM + '[colour]\n',
        'colour',
        'one of instance, packet, control, store, admin, limits',
        'unknown key',
    ),
    'unknown-key': (
        MINIMUM + '[store]\nhost = 1\n',
        'store.host',
        'one of address, port, token',
        'unknown key',
    ),
    'key-with-line-break': (
        MINIMUM + '[admin]\n"a\\nb" = 1\n',
        r'admin.a\nb',
        'one of port, token',
        'unknown key',
    ),
    'missing-section': (INSTANCE, 'packet', 'section', 'nothing'),
    'missing-key': (
        INSTANCE + '[packet]\n',
        'packet.fabric_address',
        'IPv4 address',
        'nothing',
    ),
    'section-is-value': (
        'store = 1\n' + MINIMUM,
        'store',
        'section',
        '1',
    ),
    'text-for-number': (
        MINIMUM + 'port = "80"\n',
        'packet.port',
        PORTS,
        '80',
    ),
    'truth-for-number': (
        MINIMUM + 'port = true\n',
        'packet.port',
        PORTS,
        'True',
    ),
    'fraction-for-integer': (
        MINIMUM + 'port = 1.5\n',
        'packet.port',
        PORTS,
        '1.5',
    ),
    'number-for-text': (
        MINIMUM.replace("'a-1'", '1'),
        'instance.name',
        'non-empty text',
        '1',
    ),
    'empty-name': (
        MINIMUM.replace("'a-1'", "''"),
        'instance.name',
        'non-empty text',
        '',
    ),
    'port-low': (MINIMUM + 'port = 0\n', 'packet.port', PORTS, '0'),
    'port-high': (MINIMUM + 'port = 65536\n', 'packet.port', PORTS, '65536'),
    'limit-low': (
        _limits('flow_idle_s = 0.5'),
        'limits.flow_idle_s',
        IDLE,
        '0.5',
    ),
    'limit-nan': (
        _limits('flow_idle_s = nan'),
        'limits.flow_idle_s',
        IDLE,
        'nan',
    ),
    'limit-infinite': (
        _limits('flow_idle_s = inf'),
        'limits.flow_idle_s',
        IDLE,
        'inf',
    ),
    'host-name': (
        MINIMUM.replace('127.0.1.1', 'localhost'),
        'instance.address',
        'IPv4 address',
        'localhost',
    ),
    'ipv6': (
        MINIMUM.replace('127.0.0.1', '::1'),
        'packet.fabric_address',
        'IPv4 address',
        '::1',
    ),
    'store-address': (
        MINIMUM + '[store]\naddress = "store"\n',
        'store.address',
        'IPv4 address or empty',
        'store',
    ),
    'seed-without-port': (
        MINIMUM + '[control]\nseeds = ["127.0.1.2"]\n',
        'control.seeds',
        'list of IPv4 address:port',
        "['127.0.1.2']",
    ),
    'seed-port': (
        MINIMUM + '[control]\nseeds = ["127.0.1.2:0"]\n',
        'control.seeds',
        'list of IPv4 address:port',
        "['127.0.1.2:0']",
    ),
    'seed-type': (
        MINIMUM + '[control]\nseeds = "127.0.1.2:1"\n',
        'control.seeds',
        'list of IPv4 address:port',
        '127.0.1.2:1',
    ),
    'secret-not-shown': (
        MINIMUM + '[admin]\ntoken = 12345\n',
        'admin.token',
        'text',
        'int',
    ),
    'quotes-and-line-breaks': (
        MINIMUM.replace("'127.0.1.1'", '"a\\n\\"b"'),
        'instance.address',
        'IPv4 address',
        r'a\n\"b',
    ),
    'long-value': (
        MINIMUM.replace('127.0.1.1', 'x' * 500),
        'instance.address',
        'IPv4 address',
        'x' * 80 + '...',
    ),
    'admin-without-token': (
        MINIMUM + '[admin]\nport = 7600\n',
        'admin.token',
        'non-empty text, since admin.port is set',
        'nothing',
    ),
    'reuse-before-flows-expire': (
        _limits('address_reuse_delay_s = 7439'),
        'limits.address_reuse_delay_s',
        'at least 7440 s, the value of limits.flow_idle_s',
        '7439',
    ),
    'flows-outlive-reuse': (
        _limits('flow_idle_s = 7440.5'),
        'limits.address_reuse_delay_s',
        'at least 7440.5 s, the value of limits.flow_idle_s',
        '7440',
    ),
    'no-toml': (
        'instance =',
        '-',
        'TOML document in UTF-8',
        'Invalid value (at end of document)',
    ),
}


@pytest.mark.parametrize(
    ('text', 'key', 'expected', 'found'),
    REJECTED.values(),
    ids=REJECTED,
)
def test_names_key_expected_and_found(tmp_path, text, key, expected, found):
    """Guards against wrong settings that are ignored or hard to locate."""
    with pytest.raises(SettingsError) as caught:
        _read(tmp_path, text)
    exc = caught.value
    assert (exc.key, exc.expected, exc.found) == (key, expected, found)
    assert exc.path.endswith('instance.toml')
    assert len(str(exc).splitlines()) == 1


@pytest.mark.parametrize(
    ('content', 'expected'),
    [(None, 'readable file'), (b'\xff', 'TOML document in UTF-8')],
    ids=['missing', 'encoding'],
)
def test_unreadable_file_is_a_settings_error(tmp_path, content, expected):
    """Guards against a traceback for a missing or binary file."""
    path = tmp_path / 'instance.toml'
    if content is not None:
        path.write_bytes(content)
    with pytest.raises(SettingsError) as caught:
        settings.read_settings(str(path), settings.InstanceSettings)
    assert caught.value.expected == expected


def test_run_or_exit_prints_one_line(tmp_path, capsys):
    """Guards against a settings error without exit code 2 and one line.

    Supervisors rely on the exit code, and operators on the line on stderr.
    """
    path = str(tmp_path / 'absent.toml')
    with pytest.raises(SystemExit) as caught:
        settings.run_or_exit(
            settings.read_settings,
            path,
            settings.InstanceSettings,
        )
    assert caught.value.code == EXIT_SETTINGS
    out, err = capsys.readouterr()
    assert not out
    assert err == (
        f'error=settings file={path} key=- expected="readable file" '
        'found="No such file or directory"\n'
    )


def test_run_or_exit_returns_the_result():
    """Guards against a wrapper that drops the result of the call."""
    assert settings.run_or_exit(divmod, 7, 2) == (3, 1)


def _described_keys():
    for section in settings.iterate_fields(settings.InstanceSettings):
        for field in settings.iterate_fields(section.kind):
            yield pytest.param(field, id=f'{section.name}.{field.name}')


@pytest.mark.parametrize('field', list(_described_keys()))
def test_each_key_has_metadata(field):
    """Guards against keys that the reference page cannot describe.

    Each has a description, each number has bounds, each time and rate a unit.
    """
    assert field.meta.description
    if field.kind in {int, float}:
        assert field.meta.ge is not None
        assert field.meta.le is not None
    if field.name.endswith('_per_s'):
        assert field.unit == 'bytes/s'
    elif field.name.endswith('_s'):
        assert field.unit == 's'


def test_reference_page_matches_the_code():
    """Guards against a reference page older than the settings structs."""
    page = (ROOT / 'docs' / 'settings.md').read_text(encoding='utf-8')
    assert page == settings_reference.render_reference()


def test_reference_module_prints_the_page():
    """Guards against a broken command that generates the reference page."""
    module = 'siskinproxy.balancer.settings_reference'
    result = subprocess.run(
        [sys.executable, '-m', module],
        capture_output=True,
        check=True,
        cwd=ROOT,
        encoding='utf-8',
    )
    assert result.stdout == settings_reference.render_reference()
    assert not result.stderr
