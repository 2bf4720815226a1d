"""Changes of operators: from a request to the result of its submission."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, NamedTuple, TypeAlias

import msgspec
import xxhash

from siskinproxy.errors import (
    ConfigurationError,
    ConfigurationFormatError,
    StoreError,
    StoreUnavailableError,
    SubmissionReusedError,
    UnknownTargetError,
    UnknownZoneError,
)
from siskinproxy.logs import EventLog
from siskinproxy.operators.configuration import Configuration
from siskinproxy.operators.differences import (
    with_target_draining,
    with_zone_in_service,
)
from siskinproxy.operators.operational_state import (
    Kept,
    keep_operational_state,
)
from siskinproxy.store.client import KeyValueClient
from siskinproxy.store.head import (
    Head,
    assemble,
    decode_head,
    fetch_sections,
    head_key,
)
from siskinproxy.store.options import SubmitOptions
from siskinproxy.store.results import (
    Accepted,
    Conflict,
    Rejected,
    SubmissionResult,
)
from siskinproxy.store.submission import submit

__all__ = (
    'ChangeExecutor',
    'ChangeResult',
    'DrainChange',
    'Running',
    'SubmitChange',
    'Unchanged',
    'ZoneChange',
    'decode_configuration',
    'read_head',
    'read_running',
)

#: A command does not depend on other changes, so it is submitted again after
#: each of them. The limit ends a race that a command keeps losing.
_COMMAND_ATTEMPTS: Final = 10

#: Separates the caller's id from the fingerprint of the content.
_ID_SEPARATOR: Final = '/'


class Running(NamedTuple):
    """Configuration in the store.

    Parameters
    ----------
    head : Head
        Head that was read; generation 0 without a configuration.
    configuration : Configuration or None
        The configuration; None without one.
    """

    head: Head
    configuration: Configuration | None


@dataclass(frozen=True, slots=True)
class Unchanged:
    """The configuration has the requested state already.

    Parameters
    ----------
    generation : int
        Generation in the store.
    """

    generation: int


class ChangeResult(NamedTuple):
    """Result of a change.

    Parameters
    ----------
    outcome : SubmissionResult or Unchanged
        What became of it.
    kept : tuple of Kept
        State that commands set and that the submitted configuration
        contradicts.
    """

    outcome: SubmissionResult | Unchanged
    kept: tuple[Kept, ...] = ()


class SubmitChange(msgspec.Struct, frozen=True):
    """Replacement of the configuration.

    Parameters
    ----------
    encoded : bytes
        JSON as printed by the builders.
    base_generation : int
        Generation that the change was made on.
    overwrite_state : bool
        Whether the state that commands set is replaced too.
    """

    encoded: bytes
    base_generation: int
    overwrite_state: bool = False


class ZoneChange(msgspec.Struct, frozen=True):
    """Command that takes a zone out of service or returns it."""

    zone: str
    in_service: bool

    def apply(self, cfg: Configuration) -> Configuration:
        """Return the changed configuration."""
        return with_zone_in_service(cfg, self.zone, self.in_service)


class DrainChange(msgspec.Struct, frozen=True):
    """Command that starts or ends the drain of a target."""

    target: str
    draining: bool

    def apply(self, cfg: Configuration) -> Configuration:
        """Return the changed configuration."""
        return with_target_draining(cfg, self.target, self.draining)


Change: TypeAlias = SubmitChange | ZoneChange | DrainChange


def decode_configuration(encoded: bytes) -> Configuration:
    """Decode the JSON that the builders print.

    Parameters
    ----------
    encoded : bytes
        JSON text.

    Returns
    -------
    Configuration
        Not yet validated.

    Raises
    ------
    ConfigurationFormatError
        The text is no JSON, or has unknown, missing or mistyped fields.
    """
    try:
        return msgspec.json.decode(encoded, type=Configuration)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise ConfigurationFormatError(str(exc)) from exc


async def read_head(client: KeyValueClient, region: str) -> Head:
    """Read the head of a region from the store.

    Parameters
    ----------
    client : KeyValueClient
        Client of the store.
    region : str
        Region of the configuration.

    Returns
    -------
    Head
        Head; generation 0 without a configuration.

    Raises
    ------
    StoreError
        If the store cannot be read.
    """
    return decode_head(region, await client.get(head_key(region)))


async def read_running(client: KeyValueClient, region: str) -> Running:
    """Read the configuration of a region from the store.

    Parameters
    ----------
    client : KeyValueClient
        Client of the store.
    region : str
        Region of the configuration.

    Returns
    -------
    Running
        Head and configuration.

    Raises
    ------
    StoreError
        If the store cannot be read.
    """
    head = await read_head(client, region)
    if not head.generation:
        return Running(head, None)
    sections: dict[bytes, bytes] = {}
    await fetch_sections(client, head, sections)
    return Running(head, assemble(head, sections))


class ChangeExecutor:
    """Executes changes and logs every one of them with its result.

    Parameters
    ----------
    region : str
        Region of the configuration.
    store : callable
        Returns the client of the store, None if there is none.
    log : EventLog
        Where changes are logged, the refused ones too.
    options : SubmitOptions
        Rules and retries of submissions.
    now_unix_s : callable
        Returns the time in seconds since the Unix epoch.
    """

    def __init__(
        self,
        region: str,
        store: Callable[[], KeyValueClient | None],
        log: EventLog,
        options: SubmitOptions | None = None,
        now_unix_s: Callable[[], float] = time.time,
    ) -> None:
        self._region = region
        self._store = store
        self._log = log
        self._options = options or SubmitOptions()
        self._now_unix_s = now_unix_s

    @property
    def client(self) -> KeyValueClient:
        """Client of the store.

        Raises
        ------
        StoreUnavailableError
            If this instance has no store.
        """
        client = self._store()
        if client is None:
            raise StoreUnavailableError('reason="no store in the settings"')
        return client

    async def read(self) -> Running:
        """Read the configuration from the store."""
        return await read_running(self.client, self._region)

    def validate(
        self,
        cfg: Configuration,
        running: Running,
    ) -> tuple[ConfigurationError, ...]:
        """Return the rules that a configuration would break if submitted.

        Parameters
        ----------
        cfg : Configuration
            Configuration to check.
        running : Running
            Configuration that it would replace.
        """
        return self._options.validate(
            cfg,
            previous=running.configuration,
            now_unix_s=int(self._now_unix_s()),
        )

    async def execute(
        self,
        change: Change,
        operator: str,
        submission_id: str,
    ) -> ChangeResult:
        """Execute a change.

        Parameters
        ----------
        change : SubmitChange, ZoneChange or DrainChange
            What to change.
        operator : str
            Who makes the change.
        submission_id : str
            Id of the change. A repetition with the same id and content cannot
            apply the change twice.

        Returns
        -------
        ChangeResult
            What became of it.
        """
        started = _Started(change, operator, submission_id)
        try:
            result = await self._dispatch(started)
        except ConfigurationError as exc:
            result = ChangeResult(Rejected((exc,), 'invalid'))
        except StoreError as exc:
            result = ChangeResult(Rejected((exc,), 'store'))
        self._log_result(started, result)
        return result

    async def _dispatch(self, started: '_Started') -> ChangeResult:
        running = await self.read()
        settled = started.find(running.head)
        if settled is not None:
            return ChangeResult(settled)
        change = started.change
        if isinstance(change, SubmitChange):
            return await self._submit(started, change, running)
        return await self._command(started, change, running)

    async def _submit(
        self,
        started: '_Started',
        change: SubmitChange,
        running: Running,
    ) -> ChangeResult:
        cfg = decode_configuration(change.encoded)
        kept: tuple[Kept, ...] = ()
        previous = running.configuration
        if previous is not None and not change.overwrite_state:
            cfg, kept = keep_operational_state(previous, cfg)
        base = change.base_generation
        # The state was taken from the generation that was read, so the change
        # must not be based on another one that is accepted meanwhile.
        if base > running.head.generation:
            return ChangeResult(Conflict(base, running.head.generation))
        outcome = await self._send(started, cfg, base)
        return ChangeResult(outcome, kept)

    async def _command(
        self,
        started: '_Started',
        change: ZoneChange | DrainChange,
        running: Running,
    ) -> ChangeResult:
        outcome = await self._command_once(started, change, running)
        attempts = 1
        while isinstance(outcome, Conflict) and attempts < _COMMAND_ATTEMPTS:
            running = await self.read()
            outcome = await self._command_once(started, change, running)
            attempts += 1
        return ChangeResult(outcome)

    async def _command_once(
        self,
        started: '_Started',
        change: ZoneChange | DrainChange,
        running: Running,
    ) -> SubmissionResult | Unchanged:
        previous = running.configuration
        if previous is None:
            raise _unknown(change)
        cfg = change.apply(previous)
        if cfg == previous:
            return Unchanged(running.head.generation)
        return await self._send(started, cfg, running.head.generation)

    async def _send(
        self,
        started: '_Started',
        cfg: Configuration,
        base_generation: int,
    ) -> SubmissionResult:
        return await submit(
            self.client,
            self._region,
            cfg,
            base_generation,
            started.full_id,
            started.operator,
            int(self._now_unix_s()),
            self._options,
        )

    def _log_result(self, started: '_Started', result: ChangeResult) -> None:
        pairs = _result_pairs(result.outcome)
        kind = type(result.outcome).__name__
        is_effective = isinstance(result.outcome, Accepted | Unchanged)
        report = self._log.event if is_effective else self._log.warning
        report(
            'change',
            operator=started.operator,
            submission=started.submission_id,
            request=started.summary,
            result=kind.lower(),
            **pairs,
        )


@dataclass(frozen=True, slots=True)
class _Started:
    """Change with its submitter."""

    change: Change
    operator: str
    submission_id: str

    @property
    def full_id(self) -> str:
        """Id in the store: the caller's id and a fingerprint of the content.

        The submitted configuration depends on the one in effect, so its own
        fingerprint differs when the change is repeated later.
        """
        packed = msgspec.msgpack.encode(self.change)
        digest = xxhash.xxh3_64_hexdigest(packed)
        return f'{self.submission_id}{_ID_SEPARATOR}{digest}'

    @property
    def summary(self) -> str:
        """Text for the log."""
        match self.change:
            case ZoneChange(zone=zone, in_service=in_service):
                return f'zone {zone} in_service {str(in_service).lower()}'
            case DrainChange(target=target, draining=draining):
                return f'target {target} draining {str(draining).lower()}'
        base = self.change.base_generation
        return f'configuration on generation {base}'

    def find(self, head: Head) -> SubmissionResult | None:
        """Return the result if the head remembers the submission."""
        prefix = f'{self.submission_id}{_ID_SEPARATOR}'
        for record in head.submissions:
            if record.submission_id == self.full_id:
                return Accepted(record.generation, 'found_in_head')
            if record.submission_id.startswith(prefix):
                reused = SubmissionReusedError(
                    self.submission_id,
                    record.generation,
                )
                return Rejected((reused,), 'submission_reused')
        return None


def _unknown(change: ZoneChange | DrainChange) -> ConfigurationError:
    if isinstance(change, ZoneChange):
        return UnknownZoneError(change.zone)
    return UnknownTargetError(change.target)


def _result_pairs(outcome: SubmissionResult | Unchanged) -> dict[str, object]:
    match outcome:
        case Accepted(generation=generation, reason=reason):
            return {'generation': generation, 'reason': reason}
        case Unchanged(generation=generation):
            return {'generation': generation}
        case Conflict(base_generation=base, found_generation=found):
            return {'base_generation': base, 'generation': found}
        case Rejected(errors=errors, reason=reason):
            shown = '; '.join(f'{type(exc).__name__} {exc}' for exc in errors)
            return {'reason': reason, 'errors': shown}
    return {'reason': outcome.reason}
