"""Command line tool ``siskinproxyctl`` of operators.

It changes and inspects the configuration of a region through the
administration interface of its control processes. The exit codes tell scripts
what became of a command.
"""

import asyncio
import getpass
import sys
import uuid
from collections.abc import Coroutine
from pathlib import Path
from typing import Annotated, Any, Final, NoReturn

import fire
import msgspec
from fire import decorators

from siskinproxy.balancer.settings import (
    ENDPOINT_FORM,
    describe_key,
    read_settings,
    run_or_exit,
)
from siskinproxy.errors import (
    EXIT_SETTINGS,
    AdminAccessError,
    AdminError,
    AdminOutcomeUnknownError,
    AdminRequestError,
    AdminUnreachableError,
    SettingsError,
)
from siskinproxy.operators.admin_client import AdminClient
from siskinproxy.operators.ctl_output import (
    encode_json,
    message_to_dict,
    render_lines,
)
from siskinproxy.operators.proto import admin_pb2

__all__ = (
    'EXIT_CONFLICT',
    'EXIT_DONE',
    'EXIT_REFUSED',
    'EXIT_UNKNOWN',
    'EXIT_UNREACHABLE',
    'Commands',
    'CtlSettings',
    'main',
)

#: The command succeeded.
EXIT_DONE: Final = 0
#: The configuration or change was refused, for example since it breaks a rule;
#: nothing was changed.
EXIT_REFUSED: Final = 3
#: Another change was accepted first; nothing was changed.
EXIT_CONFLICT: Final = 4
#: The outcome of a change is unknown, or a watch ended before the generation was
#: in effect. For ``siskinproxy-fleet``: instances differ or did not answer.
EXIT_UNKNOWN: Final = 5
#: No endpoint executed the command; nothing was changed.
EXIT_UNREACHABLE: Final = 6

_Response = admin_pb2.ChangeResponse

_EXIT_CODE_BY_OUTCOME: Final = {
    _Response.ACCEPTED: EXIT_DONE,
    _Response.UNCHANGED: EXIT_DONE,
    _Response.REFUSED: EXIT_REFUSED,
    _Response.CONFLICT: EXIT_CONFLICT,
}

_EXIT_CODE_BY_ERROR: Final = {
    AdminAccessError: EXIT_SETTINGS,
    AdminRequestError: EXIT_SETTINGS,
    AdminUnreachableError: EXIT_UNREACHABLE,
    AdminOutcomeUnknownError: EXIT_UNKNOWN,
}

#: Stands for the settings file in errors about command line arguments.
_COMMAND_LINE: Final = 'arguments'
#: Default timeout of a watch, in seconds, as an argument.
_WATCH_TIMEOUT_S: Final = '30'


class CtlSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings file of ``siskinproxyctl``."""

    endpoints: Annotated[
        tuple[str, ...],
        describe_key(
            'administration endpoints, in the order of preference',
            form=ENDPOINT_FORM,
        ),
    ] = ()
    token: Annotated[
        str,
        describe_key('admin.token of the instances', secret=True),
    ] = ''
    operator: Annotated[
        str,
        describe_key('name in the audit trail; empty = login name'),
    ] = ''


def _parse_flag(text: str) -> bool:
    return text == 'True'


def _keep_arguments_as_text(target: Any) -> Any:
    """Pass arguments on as text.

    Otherwise fire would convert a zone name such as ``1`` to a number.
    """
    flags = decorators.SetParseFns(
        json=_parse_flag, overwrite_state=_parse_flag
    )
    return decorators.SetParseFn(str)(flags(target))


@_keep_arguments_as_text
class Commands:
    """Change and inspect the configuration of a region.

    Parameters
    ----------
    settings : str
        Path of a TOML file with ``endpoints``, ``token`` and ``operator``.
    endpoints : str
        Endpoints ``address:port``, separated by commas and in the order of
        preference; override the file.
    token : str
        Setting ``admin.token`` of the instances; overrides the file.
    operator : str
        Name in the audit trail; overrides the file. By default the login
        name.
    json : bool
        Print one line of JSON for each response.
    """

    def __init__(
        self,
        settings: str = '',
        endpoints: str = '',
        token: str = '',
        operator: str = '',
        json: bool = False,
    ) -> None:
        found = CtlSettings()
        if settings:
            found = read_settings(settings, CtlSettings)
        given = tuple(each for each in endpoints.split(',') if each)
        parsed = tuple(map(_parse_endpoint, given or found.endpoints))
        if not parsed:
            raise SettingsError(
                settings or _COMMAND_LINE,
                'endpoints',
                f'list of {ENDPOINT_FORM}',
                'nothing',
            )
        self._client = AdminClient(parsed, token or found.token)
        self._operator = operator or found.operator or getpass.getuser()
        self._is_json = json

    @_keep_arguments_as_text
    def check(self, file: str, overwrite_state: bool = False) -> NoReturn:
        """Check a configuration against the rules and the one in the store."""
        req = _read_configuration(file, overwrite_state)
        response = self._run(self._client.read('Check', req))
        self._print_and_exit(response, _exit_code_by_violations(response))

    @_keep_arguments_as_text
    def diff(self, file: str, overwrite_state: bool = False) -> NoReturn:
        """Show what submitting a configuration would change."""
        req = _read_configuration(file, overwrite_state)
        response = self._run(self._client.read('Difference', req))
        self._print_and_exit(response, _exit_code_by_violations(response))

    @_keep_arguments_as_text
    def submit(
        self,
        file: str,
        base: str = '',
        id: str = '',
        overwrite_state: bool = False,
    ) -> NoReturn:
        """Replace the configuration.

        Parameters
        ----------
        file : str
            Path of the configuration as JSON; ``-`` for standard input.
        base : str
            Generation that the change is based on; by default the one that
            is in the store now.
        id : str
            Submission id, to repeat a submission whose outcome is unknown.
        overwrite_state : bool
            Also replace which zones are out of service and which targets
            drain; otherwise the state that commands have set is kept.
        """
        content = _read_configuration(file, overwrite_state)
        if base:
            generation = _parse_integer('base', base)
        else:
            compared = self._run(self._client.read('Difference', content))
            self._print(compared)
            generation = compared.generation
        req = admin_pb2.SubmitRequest(
            submission=self._submission(id),
            content=content,
            base_generation=generation,
        )
        self._execute_change('Submit', req, f' --base {generation}')

    @_keep_arguments_as_text
    def zone_out(self, zone: str, id: str = '') -> NoReturn:
        """Take a zone out of service; its flows are abandoned."""
        self._set_zone(zone, id, in_service=False)

    @_keep_arguments_as_text
    def zone_in(self, zone: str, id: str = '') -> NoReturn:
        """Return a zone to service."""
        self._set_zone(zone, id, in_service=True)

    @_keep_arguments_as_text
    def drain(self, target: str, id: str = '') -> NoReturn:
        """Stop new flows to a target; established flows continue."""
        self._drain(target, id, draining=True)

    @_keep_arguments_as_text
    def undrain(self, target: str, id: str = '') -> NoReturn:
        """End the drain of a target; it gets new flows again."""
        self._drain(target, id, draining=False)

    @_keep_arguments_as_text
    def watch(
        self,
        generation: str = '0',
        timeout_s: str = _WATCH_TIMEOUT_S,
    ) -> NoReturn:
        """Show which instances have a generation in force, until all have.

        Parameters
        ----------
        generation : str
            Generation to wait for; by default the latest one.
        timeout_s : str
            Time after which the command gives up, in whole seconds.
        """
        req = admin_pb2.WatchRequest(
            generation=_parse_integer('generation', generation),
            timeout_s=_parse_integer('timeout_s', timeout_s),
        )
        in_effect = self._run(self._watch(req))
        sys.exit(EXIT_DONE if in_effect else EXIT_UNKNOWN)

    @_keep_arguments_as_text
    def status(self) -> NoReturn:
        """Show generation, zones, draining targets and instances."""
        req = admin_pb2.StatusRequest()
        response = self._run(self._client.read('Status', req))
        self._print_and_exit(response, EXIT_DONE)

    @_keep_arguments_as_text
    def audit(self, limit: str = '0') -> NoReturn:
        """Show the accepted changes, the newest first.

        Parameters
        ----------
        limit : str
            Largest number of changes; 0 for all.
        """
        req = admin_pb2.AuditRequest(limit=_parse_integer('limit', limit))
        response = self._run(self._client.read('Audit', req))
        self._print_and_exit(response, EXIT_DONE)

    def _set_zone(self, zone: str, given_id: str, in_service: bool) -> NoReturn:
        req = admin_pb2.SetZoneRequest(
            submission=self._submission(given_id),
            zone=zone,
            in_service=in_service,
        )
        self._execute_change('SetZone', req)

    def _drain(self, target: str, given_id: str, draining: bool) -> NoReturn:
        req = admin_pb2.DrainTargetRequest(
            submission=self._submission(given_id),
            target=target,
            draining=draining,
        )
        self._execute_change('DrainTarget', req)

    def _execute_change(
        self, method: str, req: Any, arguments: str = ''
    ) -> NoReturn:
        hint = f'repeat with --id {req.submission.id}{arguments}'
        response = self._run(self._client.change(method, req), hint)
        self._print_and_exit(response, _EXIT_CODE_BY_OUTCOME[response.outcome])

    async def _watch(self, req: admin_pb2.WatchRequest) -> bool:
        in_effect = False
        async for progress in self._client.watch(req):
            self._print(progress)
            in_effect = progress.in_effect
        return in_effect

    def _submission(self, given_id: str) -> admin_pb2.Submission:
        return admin_pb2.Submission(
            operator=self._operator,
            id=given_id or uuid.uuid4().hex,
        )

    def _run(self, call: Coroutine[Any, Any, Any], hint: str = '') -> Any:
        try:
            return asyncio.run(call)
        except AdminError as exc:
            code = _EXIT_CODE_BY_ERROR[type(exc)]
            self._report_error(exc, hint if code == EXIT_UNKNOWN else '')
            sys.exit(code)

    def _report_error(self, exc: AdminError, hint: str) -> None:
        name = type(exc).__name__
        if self._is_json:
            failure = {'error': name, 'detail': str(exc), 'hint': hint}
            sys.stdout.write(f'{encode_json(failure)}\n')
            return
        sys.stderr.write(f'{name}: {exc}\n')
        if hint:
            sys.stderr.write(f'{hint}\n')

    def _print_and_exit(self, message: Any, code: int) -> NoReturn:
        self._print(message)
        sys.exit(code)

    def _print(self, message: Any) -> None:
        if self._is_json:
            sys.stdout.write(f'{encode_json(message_to_dict(message))}\n')
            return
        for line in render_lines(message):
            sys.stdout.write(f'{line}\n')
        sys.stdout.flush()


def _read_configuration(
    path: str, overwrite_state: bool
) -> admin_pb2.ConfigurationRequest:
    try:
        encoded = (
            sys.stdin.buffer.read() if path == '-' else Path(path).read_bytes()
        )
    except OSError as exc:
        reason = exc.strerror or type(exc).__name__
        raise SettingsError(path, '-', 'readable file', reason) from exc
    return admin_pb2.ConfigurationRequest(
        configuration=encoded,
        overwrite_state=overwrite_state,
    )


def _exit_code_by_violations(response: Any) -> int:
    return EXIT_REFUSED if response.violations else EXIT_DONE


def _parse_endpoint(text: str) -> tuple[str, int]:
    address, _, port = text.rpartition(':')
    if not address or not (port.isascii() and port.isdecimal()):
        raise SettingsError(_COMMAND_LINE, 'endpoints', ENDPOINT_FORM, text)
    return address, int(port)


def _parse_integer(name: str, text: str) -> int:
    if not (text.isascii() and text.isdecimal()):
        raise SettingsError(_COMMAND_LINE, name, 'integer of at least 0', text)
    return int(text)


def main() -> None:
    """Run ``siskinproxyctl`` with the arguments of the process."""
    run_or_exit(fire.Fire, Commands, name='siskinproxyctl')


if __name__ == '__main__':
    main()
