"""Tests of ``siskinproxyctl`` against administration endpoints."""

import contextlib
import json
import socket
import threading
import time

import fire
import pytest
from msgspec.structs import replace

from siskinproxy.balancer.settings import run_or_exit
from siskinproxy.operators import (
    admin_client,
    with_target_draining,
    with_zone_in_service,
)
from siskinproxy.operators.changes import DrainChange, ZoneChange
from siskinproxy.operators.ctl import Commands
from siskinproxy.operators.tests import admin_region, samples

CFG = samples.CONFIGURATION
FASTER = samples.with_services(
    replace(
        samples.DESK,
        targets=(replace(samples.DESK_1, slots=9), samples.DESK_2),
    ),
    samples.ARCHIVE,
)
INVALID = replace(CFG, zones=(samples.ZONE_A,))

#: Commands that change something: by name, the command with a valid and with an
#: invalid argument.
CHANGES = {
    'submit': (['submit', 'faster.json'], ['submit', 'invalid.json']),
    'zone-out': (['zone-out', 'b'], ['zone-out', 'x']),
    'zone-in': (['zone-in', 'a'], ['zone-in', 'x']),
    'drain': (['drain', 'desk-1'], ['drain', 'x']),
    'undrain': (['undrain', 'desk-2'], ['undrain', 'x']),
}
#: Commands that read the store, in the same form.
READS_OF_STORE = {
    'check': (['check', 'faster.json'], ['check', 'invalid.json']),
    'diff': (['diff', 'faster.json'], ['diff', 'invalid.json']),
    'audit': (['audit'], None),
}
#: Commands that an instance answers without the store, in the same form.
LOCAL_READS = {
    'status': (['status'], None),
    'watch': (['watch', '--generation=1'], None),
}
ALL = {**CHANGES, **READS_OF_STORE, **LOCAL_READS}

#: Zone a is out of service and desk-2 drains, so that every command of the
#: tables has something to change.
START = with_target_draining(
    samples.with_zone_a(in_service=False), 'desk-2', flag=True
)


@pytest.fixture
def region(tmp_path, monkeypatch):
    monkeypatch.chdir(tmp_path)
    for name, cfg in {'faster': FASTER, 'invalid': INVALID, 'cfg': CFG}.items():
        (tmp_path / f'{name}.json').write_bytes(admin_region.encode(cfg))
    (tmp_path / 'malformed.json').write_bytes(b'{"region": 1}')
    (tmp_path / 'start.json').write_bytes(admin_region.encode(START))
    made = admin_region.Region()
    yield made
    made.close()


class Tool:
    """Runs the tool in this process and keeps its output in `out` and `err`."""

    def __init__(self, region, capsys):
        self.region = region
        self._capsys = capsys

    def __call__(self, *arguments, endpoints=None, token=admin_region.TOKEN):
        command = [
            *arguments,
            '--operator=ildiko',
            f'--token={token}',
            f'--endpoints={endpoints or self.region.endpoint}',
        ]
        with pytest.raises(SystemExit) as caught:
            run_or_exit(fire.Fire, Commands, command=command)
        self.out, self.err = self._capsys.readouterr()
        return caught.value.code


@pytest.fixture
def tool(region, capsys):
    return Tool(region, capsys)


@pytest.fixture
def started(tool):
    assert tool('submit', 'start.json') == 0
    return tool


def _generation(tool):
    return tool.region.running().head.generation


def _commands(table):
    return pytest.mark.parametrize(
        'command',
        [good for good, _ in table.values()],
        ids=table,
    )


@_commands(ALL)
def test_success(started, command):
    """Guards against a valid command that fails or changes too much.

    A change makes exactly one generation, a command that reads makes none.
    """
    is_change = command[0] in CHANGES
    assert started(*command) == 0, started.err
    assert started.out
    assert _generation(started) == 1 + is_change
    assert started(*command, '--json') == 0, started.err
    for line in started.out.splitlines():
        assert isinstance(json.loads(line), dict)


@pytest.mark.parametrize(
    'command',
    [bad for _, bad in ALL.values() if bad],
    ids=[name for name, (_, bad) in ALL.items() if bad],
)
def test_validation(started, command):
    """Guards against a refused change that has an effect or shows no reason."""
    assert started(*command) == 3
    assert 'Unknown' in started.out
    assert _generation(started) == 1


@pytest.mark.parametrize('name', ['check', 'diff', 'submit'])
def test_malformed_file(started, name):
    """Guards against a traceback for a missing file or wrong content."""
    assert started(name, 'malformed.json') == 3
    assert 'ConfigurationFormatError' in started.out
    assert started(name, 'absent.json') == 2
    assert 'readable file' in started.err


@_commands(ALL)
def test_wrong_token(started, command):
    """Guards against access without the token.

    An empty, shortened, extended or non-ASCII token must not pass the check.
    """
    for token in ('', 'secre', 'secret2', 'é'):
        assert started(*command, token=token) == 2
        assert not started.out
    assert _generation(started) == 1


@_commands(ALL)
def test_unreachable_endpoint(started, command):
    """Guards against success, or no failover, when an endpoint is down.

    The connection is refused; the next endpoint has to execute the command.
    """
    closed_endpoint = started.region.closed_endpoint
    assert started(*command, endpoints=closed_endpoint) == 6
    assert 'AdminUnreachableError' in started.err
    assert _generation(started) == 1
    both = f'{closed_endpoint},{started.region.endpoint}'
    assert started(*command, endpoints=both) == 0, started.err


@contextlib.contextmanager
def _closing_endpoint():
    """Yield an endpoint that reads each request and closes the connection."""
    with socket.create_server(('127.0.0.1', 0)) as listening:

        def serve():
            with contextlib.suppress(OSError):
                while True:
                    conn, _ = listening.accept()
                    conn.settimeout(0.1)
                    with contextlib.suppress(TimeoutError):
                        while conn.recv(65536):
                            continue
                    conn.close()

        thread = threading.Thread(target=serve)
        thread.start()
        yield f'127.0.0.1:{listening.getsockname()[1]}'
        listening.shutdown(socket.SHUT_RDWR)
        thread.join(5)


@contextlib.contextmanager
def _silent_endpoint():
    """Yield an endpoint that ignores attempts to connect."""
    with contextlib.ExitStack() as stack:
        listening = socket.socket()
        stack.enter_context(listening)
        listening.bind(('127.0.0.1', 0))
        listening.listen(0)
        # Fill the backlog, so that the kernel ignores further attempts.
        for _ in range(4):
            waiting = stack.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex(listening.getsockname())
        yield f'127.0.0.1:{listening.getsockname()[1]}'


@_commands(ALL)
def test_connection_closed_after_the_request(started, command):
    """Guards against reporting a change as failed that may have been made.

    The endpoint closes the connection after the request has been sent.
    """
    if command[0] == 'submit':
        # Without a base the tool calls Difference before it submits.
        command = [*command, '--base=1']
    with _closing_endpoint() as closing:
        expected = 5 if command[0] in CHANGES else 6
        assert started(*command, endpoints=closing) == expected
        both = f'{closing},{started.region.endpoint}'
        assert started(*command, endpoints=both) == 0, started.err


@_commands(ALL)
def test_silent_endpoint(started, command, monkeypatch):
    """Guards against a command that hangs at an endpoint that is cut off.

    A network partition leaves attempts to connect without any answer.
    """
    monkeypatch.setattr(admin_client, 'CONNECT_TIMEOUT_S', 0.2)
    with _silent_endpoint() as silent:
        started_s = time.monotonic()
        assert started(*command, endpoints=silent) == 6
        both = f'{silent},{started.region.endpoint}'
        assert started(*command, endpoints=both) == 0, started.err
        assert time.monotonic() - started_s < 4


@_commands({**CHANGES, **READS_OF_STORE})
def test_store_outage(started, command):
    """Guards against a wrong outcome or an effect during an outage.

    The endpoint answers, but cannot reach the store.
    """
    started.region.store.faults.outage = True
    assert started(*command) == 6
    assert 'StoreUnavailableError' in started.err
    started.region.store.faults.outage = False
    assert _generation(started) == 1


@_commands(LOCAL_READS)
def test_store_outage_leaves_local_reads(started, command):
    """Guards against a status or watch that fails during a store outage."""
    started.region.store.faults.outage = True
    assert started(*command) == 0


@_commands(CHANGES)
def test_lost_answer_of_the_store(started, command):
    """Guards against applying a change twice.

    The store applies the write, but its answer to the endpoint is lost.
    """
    started.region.store.faults.lost_answers = 1
    assert started(*command) == 0, started.err
    assert _generation(started) == 2


@_commands(CHANGES)
def test_lost_answer_of_the_endpoint(started, command):
    """Guards against applying a change twice.

    An endpoint executes the change, but its answer is lost, so the tool repeats
    the call at the next endpoint.
    """
    region = started.region
    both = f'{region.answer_dropping},{region.endpoint}'
    assert started(*command, endpoints=both) == 0, started.err
    assert 'accepted as generation 2' in started.out
    assert _generation(started) == 2


@_commands(CHANGES)
def test_outcome_unknown(started, command):
    """Guards against reporting an unknown outcome as failure or success.

    The store applies the write of the head, but its answer is lost and an
    outage keeps the endpoint from reading the head again.
    """
    region = started.region
    if command[0] == 'submit':
        command = [*command, '--base=1']
    region.client.lose_head = True
    assert started(*command, '--id=change-1', '--json') == 5
    found = json.loads(started.out.splitlines()[-1])
    assert found['error'] == 'AdminOutcomeUnknownError'
    assert 'repeat with --id change-1' in found['hint']
    region.store.faults.outage = False
    # The repetition finds the accepted change even after another change.
    other = ZoneChange('b', in_service=False)
    region.run(region.executor.execute(other, 'ana', 'other'))
    accepted = _generation(started)
    assert started(*command, '--id=change-1') == 0, started.err
    assert 'accepted as generation 2' in started.out
    assert _generation(started) == accepted


@_commands(CHANGES)
def test_unknown_outcome_stays_unknown(started, command):
    """Guards against exit code 6 (no effect) for an unknown outcome.

    The first call has an unknown outcome, and no repetition is executed.
    """
    region = started.region
    region.client.lose_head = True
    endpoints = f'{region.endpoint},{region.closed_endpoint}'
    assert started(*command, endpoints=endpoints) == 5
    assert 'repeat with --id' in started.err


@_commands(CHANGES)
def test_conflict_between_two_operators(started, command):
    """Guards against overwriting the change of another operator.

    The other change is accepted between reading and writing the head. Commands
    do not depend on other changes and are submitted again; a replacement of the
    configuration ends as a conflict.
    """
    region = started.region
    other = DrainChange('archive-1', draining=True)

    async def change_first():
        await region.executor.execute(other, 'ana', 'other')

    region.client.before_head = change_first
    is_submit = command[0] == 'submit'
    assert started(*command) == (4 if is_submit else 0)
    running = region.running()
    assert running.head.generation == (2 if is_submit else 3)
    assert running.configuration.services[0].targets[0].draining


def test_submission_on_an_earlier_generation(started):
    """Guards against a submission that overwrites later changes.

    That happens if the tool replaces the given base by the latest generation.
    """
    assert started('submit', 'faster.json', '--base=1') == 0
    assert started('submit', 'cfg.json', '--base=1') == 4
    assert 'generation 2 was accepted first' in started.out
    assert started('submit', 'cfg.json', '--base=9') == 4
    assert _generation(started) == 2


def test_id_used_for_another_change(started):
    """Guards against success for a change that was not made.

    The submission id belongs to an earlier change with another content.
    """
    assert started('zone-out', 'b', '--id=x') == 0
    assert started('drain', 'desk-1', '--id=x') == 3
    assert 'SubmissionReusedError' in started.out


@pytest.mark.parametrize(
    ('flags', 'expected'),
    [
        ([], with_zone_in_service(FASTER, 'a', flag=False)),
        (['--overwrite_state'], FASTER),
    ],
    ids=['kept', 'overwritten'],
)
def test_script_undoes_commands_only_when_asked(started, flags, expected):
    """Guards against undoing commands by submitting a configuration.

    A script that builds it does not know which zones commands took out of
    service and which targets they drain.
    """
    assert started('diff', 'faster.json', *flags) == 0
    kept = 'zone a stays out of service: set by command'
    assert (kept in started.out) == (not flags)
    assert started('submit', 'faster.json', *flags) == 0
    assert (kept in started.out) == (not flags)
    found = started.region.running().configuration
    states = [zone.in_service for zone in found.zones]
    assert states == [zone.in_service for zone in expected.zones]
    draining = {
        target.name
        for service in found.services
        for target in service.targets
        if target.draining
    }
    assert draining == (set() if flags else {'desk-2'})


def test_repeated_command_changes_nothing(started):
    """Guards against a new generation for a command without effect."""
    assert started('zone-out', 'a') == 0
    assert 'nothing to change in generation 1' in started.out
    assert _generation(started) == 1


def test_watch_names_the_instances(tool):
    """Guards against progress that does not name lagging or dead instances."""
    region = tool.region
    region.instances = [
        admin_region.CONFIRMED,
        admin_region.LAGGING,
        admin_region.DEAD,
    ]
    assert tool('watch', '--generation=1', '--timeout_s=0') == 5
    assert tool.out.splitlines() == [
        'generation 1: 1 of 2 instances',
        '  lagging: b-1',
        '  unreachable: b-2',
    ]
    stopped = admin_region.DEAD._replace(generation=1)
    region.instances = [admin_region.CONFIRMED, stopped]
    assert tool('watch', '--generation=1') == 0
    assert '  unreachable: b-2' in tool.out.splitlines()
    assert tool.out.splitlines()[-1] == 'generation 1 is in effect'


def test_watch_waits_for_the_generation_in_the_store(started):
    """Guards against watching an older generation than the last change.

    The instance that answers has not yet applied the generation in the store.
    """
    assert started('zone-out', 'b') == 0
    assert started('watch', '--timeout_s=0') == 5
    assert started.out.startswith('generation 2: 0 of 1 instances')
    started.region.store.faults.outage = True
    assert started('watch', '--timeout_s=0') == 0
    assert started.out.startswith('generation 1: 1 of 1 instances')


def test_audit_names_who_when_and_what(started):
    """Guards against audit entries without operator, time or content."""
    assert started('zone-out', 'b', '--id=change-1') == 0
    assert started('audit', '--json') == 0
    newest, first = json.loads(started.out)['entries']
    assert newest == {
        'generation': 2,
        'base_generation': 1,
        'operator': 'ildiko',
        'unix_s': admin_region.NOW_UNIX_S,
        'submission_id': 'change-1',
        'summary': 'zone b changed: now out of service',
        'result': 'accepted',
    }
    assert first['summary'] == 'first configuration'
    assert started('audit', '--limit=1') == 0
    assert len(started.out.splitlines()) == 1


def test_refused_and_conflicting_changes_are_logged(started):
    """Guards against refused calls that are not logged."""
    started('zone-out', 'x')
    started('submit', 'faster.json', '--base=9')
    started('status', token='wrong')
    events = started.region.log.events[-3:]
    assert [name for name, _ in events] == [
        'change',
        'change',
        'admin_access_denied',
    ]
    refused, conflict = events[0][1], events[1][1]
    assert (refused['operator'], refused['result']) == ('ildiko', 'rejected')
    assert 'UnknownZoneError zone=x' in refused['errors']
    assert (conflict['result'], conflict['base_generation']) == ('conflict', 9)


@pytest.mark.parametrize(
    'command',
    [
        ['status', '--endpoints=a'],
        ['watch', '--generation=x'],
        ['audit', '--limit=-1'],
        ['submit', 'cfg.json', '--base=x'],
        ['zone-out', 'b', '--id=a/b'],
        ['zone-out'],
        ['status', '--settings=absent.toml'],
    ],
)
def test_usage_errors(tool, command):
    """Guards against wrong arguments that do not end with exit code 2.

    The tool checks all of them itself except the id, which the endpoint rejects
    as malformed.
    """
    if '--endpoints=a' in command:
        assert tool(command[0], endpoints='a') == 2
    else:
        assert tool(*command) == 2


def test_settings_file(region, capsys, tmp_path):
    """Guards against a settings file that is ignored or not checked."""
    (tmp_path / 'ctl.toml').write_text(
        f'endpoints = ["{region.endpoint}"]\n'
        f'token = "{admin_region.TOKEN}"\n'
        'operator = "ildiko"\n',
    )
    with pytest.raises(SystemExit) as caught:
        run_or_exit(
            fire.Fire, Commands, command=['status', '--settings=ctl.toml']
        )
    assert caught.value.code == 0
    assert 'region alfold, generation 1' in capsys.readouterr().out
    (tmp_path / 'ctl.toml').write_text('endpoint = 1\n')
    with pytest.raises(SystemExit) as caught:
        run_or_exit(
            fire.Fire, Commands, command=['status', '--settings=ctl.toml']
        )
    assert caught.value.code == 2


def test_name_like_a_number_stays_a_text(started):
    """Guards against a zone name such as 007 that is looked up as 7.

    That happens if fire converts arguments to numbers.
    """
    assert started('zone-out', '1e3') == 3
    assert 'zone=1e3' in started.out
