import runpy
from pathlib import Path

import msgspec
import pytest

from siskinproxy import errors
from siskinproxy.operators import Configuration, validate
from siskinproxy.operators.builders import configuration

ROOT = Path(__file__).parents[3]
FIRST_CONFIGURATION_MAX_LINES = 10


def _code_of_page(heading):
    page = (ROOT / 'docs' / 'operators.md').read_text(encoding='utf-8')
    section = page.partition(f'## {heading}\n')[2]
    return section.partition('```python\n')[2].partition('```')[0]


def test_first_configuration_of_the_page_runs(capsys):
    """Guards against a documented example that fails or is invalid.

    A change of the builders could break the example in docs/operators.md
    unnoticed.
    """
    code = _code_of_page('A first configuration')
    assert 0 < len(code.splitlines()) <= FIRST_CONFIGURATION_MAX_LINES
    exec(compile(code, 'operators.md', 'exec'), {})  # noqa: S102
    cfg = msgspec.json.decode(capsys.readouterr().out, type=Configuration)
    assert not validate(cfg)


def _listener_rows(cfg):
    return [
        (each.name, each.mode, each.priority, each.idempotent)
        for service in cfg.services
        for each in service.listeners
    ]


def _target_rows(cfg):
    return [
        (
            service.name,
            len(service.targets),
            {(target.slots, target.connections) for target in service.targets},
        )
        for service in cfg.services
    ]


EXAMPLES = {
    'vorosmarty': (
        'alfold',
        'abc',
        [
            ('weight-submission', 'request', 0, False),
            ('blank-tickets', 'request', 1, True),
            ('ledgers', 'stream', 2, False),
        ],
        [
            ('ticket-desk', 7, {(4, 2000)}),
            ('ledger-archive', 3, {(4, 2000)}),
        ],
    ),
    'vozes_do_tejo': (
        'lisboa',
        'abcd',
        [
            ('status-check', 'request', 0, True),
            ('licence-activation', 'request', 0, False),
            ('samples', 'stream', 2, False),
        ],
        [
            ('status-and-licence', 7, {(2, 2000)}),
            ('sample-download', 4, {(2, 2000)}),
        ],
    ),
}


@pytest.mark.parametrize('name', EXAMPLES)
def test_examples_print_the_users_configurations(name, capsys):
    """Guards against an edit of an example that changes its configuration.

    The scripts declare the services of users. A changed listener, limit or
    zone would be valid, so that only a comparison with `EXAMPLES` finds it.
    """
    region, zones, listeners, targets = EXAMPLES[name]
    runpy.run_path(str(ROOT / 'examples' / f'{name}.py'), run_name='__main__')
    cfg = msgspec.json.decode(capsys.readouterr().out, type=Configuration)
    assert cfg.region == region
    assert ''.join(zone.name for zone in cfg.zones) == zones
    assert _listener_rows(cfg) == listeners
    assert _target_rows(cfg) == targets
    used = {each.zone for service in cfg.services for each in service.targets}
    assert used == set(zones)


def _builder():
    cfg = configuration(region='alfold').zone('a')
    desk = cfg.service('desk')
    desk.listener('203.0.113.1', 443, target_port=7000)
    desk.target('desk-1', '127.1.1.1', zone='a')
    return cfg, desk


MISTAKES = {
    'region-type': (
        lambda cfg, desk: configuration(region=7),
        errors.BuilderError,
    ),
    'service-type': (
        lambda cfg, desk: cfg.service(None),
        errors.BuilderError,
    ),
    'zone-type': (lambda cfg, desk: cfg.zone(['b']), errors.BuilderError),
    'zone-flag-type': (
        lambda cfg, desk: cfg.zone('b', in_service='no'),
        errors.BuilderError,
    ),
    'port-type': (
        lambda cfg, desk: desk.listener('203.0.113.1', '80', target_port=1),
        errors.BuilderError,
    ),
    'mode': (
        lambda cfg, desk: desk.listener(
            '203.0.113.1', 80, target_port=1, mode='http'
        ),
        errors.BuilderError,
    ),
    'slots-type': (
        lambda cfg, desk: desk.target('x', '127.1.1.2', zone='a', slots=1.5),
        errors.BuilderError,
    ),
    'duplicate-zone': (
        lambda cfg, desk: cfg.zone('a'),
        errors.DuplicateNameError,
    ),
    'duplicate-service': (
        lambda cfg, desk: cfg.service('desk'),
        errors.DuplicateNameError,
    ),
    'duplicate-target-between-services': (
        lambda cfg, desk: cfg.service('archive').target(
            'desk-1', '127.1.1.2', zone='a'
        ),
        errors.DuplicateNameError,
    ),
    'duplicate-listener-between-services': (
        lambda cfg, desk: cfg.service('archive').listener(
            '203.0.113.1', 443, target_port=7001
        ),
        errors.DuplicateListenerError,
    ),
    'unknown-zone': (
        lambda cfg, desk: desk.target('x', '127.1.1.2', zone='z'),
        errors.UnknownZoneError,
    ),
}


@pytest.mark.parametrize(('mistake', 'kind'), MISTAKES.values(), ids=MISTAKES)
def test_mistake_is_reported_where_it_is_made(mistake, kind):
    """Guards against a wrong declaration reported late or by another error.

    Without a check in each call, the error would be raised by `build`, far
    from the wrong line. A rejected declaration must not change the builder.
    """
    cfg, desk = _builder()
    before = desk.declared()
    with pytest.raises(kind):
        mistake(cfg, desk)
    assert desk.declared() == before


def test_print_writes_nothing_if_invalid(capsys):
    """Guards against printing an invalid configuration.

    The output may be piped into a submission, so the validation must come
    before the first byte is written.
    """
    cfg, desk = _builder()
    desk.target('desk-2', 'nowhere', zone='a', slots=0)
    with pytest.raises(ExceptionGroup) as caught:
        cfg.print()
    kinds = {type(error) for error in caught.value.exceptions}
    assert kinds == {errors.InvalidAddressError, errors.ValueRangeError}
    assert not capsys.readouterr().out
