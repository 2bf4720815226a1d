"""Commands of the tool that inspects instances of a platform's store.

The instances read the operators' configuration from a store of the platform
that they run on. The platform's package derives its command line tool, such as
``siskinproxy-fleet``, from `FleetCommands`.
"""

import sys
from collections.abc import Callable, Iterable
from contextlib import closing
from pathlib import Path
from typing import Annotated, Any, Final, NoReturn

import msgspec
from fire import decorators

from siskinproxy.entry.config_check import (
    compare_configurations,
    find_faults,
)
from siskinproxy.entry.http_client import HttpClient
from siskinproxy.entry.instances import INSTANCES_PREFIX, decode_instance
from siskinproxy.entry.records import (
    Address,
    DecodedRecord,
    OperatorConfiguration,
    UnusableRecord,
    parse_endpoint,
)
from siskinproxy.entry.status import STATUS_PATH, InstanceStatus
from siskinproxy.entry.store import PrefixStore, StoredItem
from siskinproxy.errors import SettingsError, StoreError
from siskinproxy.operators.ctl import (
    EXIT_DONE,
    EXIT_REFUSED,
    EXIT_UNKNOWN,
    EXIT_UNREACHABLE,
)
from siskinproxy.operators.fleet_view import (
    find_instance_differences,
    merge_audit,
    render_audit,
    render_statuses,
)
from siskinproxy.settings_file import (
    ENDPOINT_FORM,
    describe_key,
    read_settings,
)

__all__ = ('FleetCommands', 'FleetSettings', 'PlatformStore')

#: Timeout in seconds of connecting to an instance, and of each read or write. An
#: instance builds the status page from memory. The instances are asked one after
#: another, so an operator waits for each one that does not answer.
CALL_TIMEOUT_S: Final = 2.0
_HTTP_OK: Final = 200
#: Stands for the settings file in errors about command line arguments.
_COMMAND_LINE: Final = 'arguments'
_MAX_PORT: Final = 65535


class PlatformStore(msgspec.Struct, frozen=True):
    """How the tool reads the platform's store.

    Parameters
    ----------
    open_store : callable
        Returns the client of the store at an address.
    configuration_key : str
        Key of the operators' configuration.
    decode : callable
        Returns the record that an item of the store holds, or an
        `UnusableRecord`.
    """

    open_store: Callable[[Address], PrefixStore]
    configuration_key: str
    decode: Callable[[StoredItem], DecodedRecord]


class FleetSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings file of the command line tool."""

    store: Annotated[
        str,
        describe_key('address of the store', form=ENDPOINT_FORM),
    ]
    metrics_port: Annotated[
        int,
        describe_key(
            'port of the metrics on every instance', ge=1, le=_MAX_PORT
        ),
    ]
    instances: Annotated[
        tuple[str, ...],
        describe_key(
            'metrics addresses to ask if the store does not list any',
            form=ENDPOINT_FORM,
        ),
    ] = ()


class FleetCommands:
    """Inspect instances and check configurations.

    A subclass sets ``_platform_store``.

    Parameters
    ----------
    settings : str
        Path of a TOML file with ``store``, ``metrics_port`` and
        ``instances``.
    json : bool
        Print one line of JSON for each result.
    """

    _platform_store: PlatformStore

    def __init__(self, settings: str, json: bool = False) -> None:
        self._cfg = read_settings(settings, FleetSettings)
        self._is_json = json

    def status(self) -> NoReturn:
        """Show the state of each instance, and which instances differ."""
        statuses, unreachable = self._fetch_statuses()
        found = find_instance_differences(statuses, unreachable)
        if self._is_json:
            self._print_json(
                {'instances': statuses, 'differences': found},
            )
        else:
            self._print(render_statuses(statuses, found))
        sys.exit(EXIT_UNKNOWN if found else EXIT_DONE)

    @decorators.SetParseFn(str)
    def audit(self, limit: str = '0') -> NoReturn:
        """Show the changes that instances applied or rejected, newest first.

        Parameters
        ----------
        limit : str
            Largest number of changes; 0 for all.
        """
        count = _parse_integer('limit', limit)
        statuses, unreachable = self._fetch_statuses()
        lines = merge_audit(statuses)
        shown = lines[:count] if count else lines
        if self._is_json:
            self._print_json({'changes': shown, 'unreachable': unreachable})
        else:
            self._print(render_audit(shown))
            self._print(
                f'unreachable={address} reason="{reason}"'
                for address, reason in sorted(unreachable.items())
            )
        sys.exit(EXIT_UNKNOWN if unreachable else EXIT_DONE)

    @decorators.SetParseFn(str)
    def check(self, file: str) -> NoReturn:
        """Check a configuration against the rules and the one in the store.

        Parameters
        ----------
        file : str
            Path of the configuration as JSON; ``-`` for standard input.
        """
        cfg = self._read_file(file)
        faults = find_faults(cfg, self._read_stored_configuration())
        if self._is_json:
            self._print_json({'faults': faults})
        else:
            self._print(
                f'fault="{each.subject}" reason="{each.reason}"'
                for each in faults
            )
        sys.exit(EXIT_REFUSED if faults else EXIT_DONE)

    @decorators.SetParseFn(str)
    def diff(self, file: str) -> NoReturn:
        """Show what writing a configuration to the store would change.

        Parameters
        ----------
        file : str
            Path of the configuration as JSON; ``-`` for standard input.
        """
        cfg = self._read_file(file)
        stored = self._read_stored_configuration() or OperatorConfiguration(
            0, (), (), 0
        )
        changes = compare_configurations(stored, cfg)
        if self._is_json:
            self._print_json({'changes': changes})
        else:
            self._print(
                f'{each.change}="{each.subject}" field={each.field or "-"} '
                f'old={each.old or "-"} new={each.new or "-"}'
                for each in changes
            )
        sys.exit(EXIT_DONE)

    def _fetch_statuses(
        self,
    ) -> tuple[tuple[InstanceStatus, ...], dict[str, str]]:
        statuses = []
        unreachable = {}
        for address in self._find_instances():
            try:
                statuses.append(_fetch_status(address))
            except (StoreError, msgspec.MsgspecError) as exc:
                name = f'{address.host}:{address.port}'
                unreachable[name] = f'{type(exc).__name__}: {exc}'
        if not statuses:
            unreachable_details = {
                'instances': f'{len(unreachable)} asked'
            } | unreachable
            self._print_error('no instance answered', unreachable_details)
            sys.exit(EXIT_UNREACHABLE)
        return tuple(statuses), unreachable

    def _find_instances(self) -> tuple[Address, ...]:
        """Return the metrics addresses of all known instances.

        These are the ones in the settings and those of the instances that
        are registered in the store.
        """
        found = [parse_endpoint(each) for each in self._cfg.instances]
        try:
            changes = self._read_store(INSTANCES_PREFIX)
        except StoreError as exc:
            # The instances of the settings can be asked without the store.
            self._print_error('store did not answer', {'store': str(exc)})
            changes = ()
        records = (decode_instance(item) for item in changes)
        found += [
            Address(record.host, self._cfg.metrics_port)
            for record in records
            if record is not None
        ]
        return tuple(dict.fromkeys(found))

    def _read_store(self, prefix: str) -> tuple[StoredItem, ...]:
        address = parse_endpoint(self._cfg.store)
        with closing(self._platform_store.open_store(address)) as store:
            answer = store.read(prefix)
        return tuple(
            item for item in answer.items if isinstance(item, StoredItem)
        )

    def _read_stored_configuration(self) -> OperatorConfiguration | None:
        key = self._platform_store.configuration_key
        try:
            items = self._read_store(key)
        except StoreError as exc:
            self._print_error('store did not answer', {'store': str(exc)})
            sys.exit(EXIT_UNREACHABLE)
        for item in items:
            found = self._platform_store.decode(item)
            if isinstance(found, OperatorConfiguration):
                return found
        return None

    def _read_file(self, path: str) -> OperatorConfiguration:
        try:
            content = (
                sys.stdin.buffer.read()
                if path == '-'
                else Path(path).read_bytes()
            )
        except OSError as exc:
            reason = exc.strerror or type(exc).__name__
            raise SettingsError(path, '-', 'readable file', reason) from exc
        item = StoredItem(self._platform_store.configuration_key, content, 0)
        found = self._platform_store.decode(item)
        if isinstance(found, OperatorConfiguration):
            return found
        reason = found.reason if isinstance(found, UnusableRecord) else ''
        self._print_error('file is not a usable configuration', {path: reason})
        sys.exit(EXIT_REFUSED)

    def _print(self, lines: Iterable[str]) -> None:
        for line in lines:
            sys.stdout.write(f'{line}\n')
        sys.stdout.flush()

    def _print_json(self, found: Any) -> None:
        sys.stdout.write(f'{msgspec.json.encode(found).decode()}\n')
        sys.stdout.flush()

    def _print_error(self, error: str, details: dict[str, str]) -> None:
        for subject, reason in sorted(details.items()):
            sys.stderr.write(
                f'error="{error}" subject={subject} reason="{reason}"\n'
            )


def _fetch_status(address: Address) -> InstanceStatus:
    with closing(HttpClient(address, CALL_TIMEOUT_S)) as client:
        answer = client.call('GET', STATUS_PATH)
    if answer.status != _HTTP_OK:
        raise msgspec.DecodeError(
            f'expected HTTP status 200, found {answer.status}'
        )
    return msgspec.json.decode(answer.body, type=InstanceStatus)


def _parse_integer(name: str, text: str) -> int:
    if not (text.isascii() and text.isdecimal()):
        raise SettingsError(_COMMAND_LINE, name, 'integer of at least 0', text)
    return int(text)
