"""Execution of operators' changes: submissions and commands.

A submission replaces the configuration of a region. A command takes a zone out
of service or drains a target. `ChangeExecutor` applies either to the
configuration in the store.
"""

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
    KeptState,
    keep_operational_state,
)
from siskinproxy.store.client import KeyValueClient
from siskinproxy.store.head import (
    Head,
    assemble_configuration,
    decode_head,
    fetch_sections,
    head_key,
)
from siskinproxy.store.options import SubmitOptions
from siskinproxy.store.restoration import AcceptedHead, write_back
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
    'StoredConfiguration',
    'SubmitChange',
    'Unchanged',
    'ZoneChange',
    'decode_configuration',
    'read_head',
    'read_stored_configuration',
)

#: Highest number of submissions of a command. A command does not depend on
#: other changes, so it is submitted again if another change was accepted first.
#: The limit ends the repetition if that happens every time.
_MAX_COMMAND_ATTEMPTS: Final = 10

#: Separates the submitter's id from the fingerprint of the content.
_ID_SEPARATOR: Final = '/'


class StoredConfiguration(NamedTuple):
    """Configuration of a region as read from the store.

    Parameters
    ----------
    head : Head
        Record that names the current generation; generation 0 if the store has
        no configuration yet.
    configuration : Configuration or None
        The configuration; None if the store has none yet.
    """

    head: Head
    configuration: Configuration | None


@dataclass(frozen=True, slots=True)
class Unchanged:
    """The configuration already has the requested state.

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
        Whether the change was accepted, and why not otherwise.
    kept : tuple of KeptState
        States set by commands that were kept although the submitted
        configuration declares others.
    """

    outcome: SubmissionResult | Unchanged
    kept: tuple[KeptState, ...] = ()


class SubmitChange(msgspec.Struct, frozen=True):
    """Submission that replaces the configuration.

    Parameters
    ----------
    encoded : bytes
        JSON as printed by the builders.
    base_generation : int
        Generation that the submitter started from. If another one is current,
        the submission conflicts.
    overwrite_state : bool
        Whether to replace the state that commands have set as well: which
        zones are out of service and which targets drain.
    """

    encoded: bytes
    base_generation: int
    overwrite_state: bool = False


class ZoneChange(msgspec.Struct, frozen=True):
    """Command that takes a zone out of service or returns it to service."""

    zone: str
    in_service: bool

    def apply(self, cfg: Configuration) -> Configuration:
        """Return the changed configuration."""
        return with_zone_in_service(cfg, self.zone, self.in_service)


class DrainChange(msgspec.Struct, frozen=True):
    """Command that starts or ends draining a target."""

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
        The decoded configuration; its rules are not checked.

    Raises
    ------
    ConfigurationFormatError
        If the text is not JSON, or has unknown, missing or mistyped fields.
    """
    try:
        return msgspec.json.decode(encoded, type=Configuration)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise ConfigurationFormatError(str(exc)) from exc


async def read_head(client: KeyValueClient, region: str) -> Head:
    """Read the record that names the current generation of a region.

    Parameters
    ----------
    client : KeyValueClient
        Client of the store.
    region : str
        Region of the configuration.

    Returns
    -------
    Head
        Head of the region; generation 0 if the store has no configuration yet.

    Raises
    ------
    StoreError
        If the store cannot be read.
    """
    return decode_head(region, await client.get(head_key(region)))


async def read_stored_configuration(
    client: KeyValueClient, region: str
) -> StoredConfiguration:
    """Read the configuration of a region from the store.

    Parameters
    ----------
    client : KeyValueClient
        Client of the store.
    region : str
        Region of the configuration.

    Returns
    -------
    StoredConfiguration
        Head and configuration.

    Raises
    ------
    StoreError
        If the store cannot be read or its data is unusable.
    """
    head = await read_head(client, region)
    if not head.generation:
        return StoredConfiguration(head, None)
    sections: dict[bytes, bytes] = {}
    await fetch_sections(client, head, sections)
    return StoredConfiguration(head, assemble_configuration(head, sections))


class ChangeExecutor:
    """Executes changes of operators and logs each one with its result.

    Parameters
    ----------
    region : str
        Region of the configuration.
    store : callable
        Returns the client of the store, or None if this instance has no store.
    log : EventLog
        Log for the results of all changes, including refused ones.
    options : SubmitOptions
        Hooks, such as the validation, and retries of submissions.
    now_unix_s : callable
        Returns the current time in seconds since the Unix epoch.
    accepted : callable
        Returns the newest head that this instance knows to have been accepted,
        None if there is none. Without it, no head is written back.
    """

    def __init__(
        self,
        region: str,
        store: Callable[[], KeyValueClient | None],
        log: EventLog,
        options: SubmitOptions | None = None,
        now_unix_s: Callable[[], float] = time.time,
        accepted: Callable[[], AcceptedHead | None] | None = None,
    ) -> None:
        self._accepted = accepted
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

    async def read(self) -> StoredConfiguration:
        """Read the configuration of the region from the store.

        If the store was restored from an older copy, the newer configuration is
        written back first, so that no change is based on the older one.
        """
        stored = await read_stored_configuration(self.client, self._region)
        accepted = None if self._accepted is None else self._accepted()
        generation = stored.head.generation
        if accepted is None or generation >= accepted.generation:
            return stored
        found = await self.client.get(head_key(self._region))
        if await write_back(self.client, self._region, found, accepted):
            self._log.warning('older_head_replaced', generation=generation)
        return await read_stored_configuration(self.client, self._region)

    def validate(
        self,
        cfg: Configuration,
        running: StoredConfiguration,
    ) -> tuple[ConfigurationError, ...]:
        """Return an error for each rule that a configuration would break.

        Parameters
        ----------
        cfg : Configuration
            Configuration to check.
        running : StoredConfiguration
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
        """Execute a change and log its result.

        Parameters
        ----------
        change : SubmitChange, ZoneChange or DrainChange
            Change to execute.
        operator : str
            Name of the operator, for the log and the audit trail.
        submission_id : str
            Id of the change. A repetition with the same id and content cannot
            apply the change twice.

        Returns
        -------
        ChangeResult
            Outcome of the change. Errors of the configuration and of the store
            are part of it and not raised.
        """
        submitted = _SubmittedChange(change, operator, submission_id)
        try:
            result = await self._dispatch(submitted)
        except ConfigurationError as exc:
            result = ChangeResult(Rejected((exc,), 'invalid'))
        except StoreError as exc:
            result = ChangeResult(Rejected((exc,), 'store'))
        self._log_result(submitted, result)
        return result

    async def _dispatch(self, submitted: '_SubmittedChange') -> ChangeResult:
        running = await self.read()
        earlier_result = submitted.find_result(running.head)
        if earlier_result is not None:
            return ChangeResult(earlier_result)
        change = submitted.change
        if isinstance(change, SubmitChange):
            return await self._replace_configuration(submitted, change, running)
        return await self._execute_command(submitted, change, running)

    async def _replace_configuration(
        self,
        submitted: '_SubmittedChange',
        change: SubmitChange,
        running: StoredConfiguration,
    ) -> ChangeResult:
        cfg = decode_configuration(change.encoded)
        kept: tuple[KeptState, ...] = ()
        previous = running.configuration
        if previous is not None and not change.overwrite_state:
            cfg, kept = keep_operational_state(previous, cfg)
        base = change.base_generation
        # The kept state comes from the generation that was read. A submission
        # on a higher generation, accepted meanwhile, would lose state that was
        # set in that generation.
        if base > running.head.generation:
            return ChangeResult(Conflict(base, running.head.generation))
        outcome = await self._submit_configuration(submitted, cfg, base)
        return ChangeResult(outcome, kept)

    async def _execute_command(
        self,
        submitted: '_SubmittedChange',
        change: ZoneChange | DrainChange,
        running: StoredConfiguration,
    ) -> ChangeResult:
        """Submit the command until no other change is accepted first."""
        outcome = await self._submit_command(submitted, change, running)
        attempts = 1
        while (
            isinstance(outcome, Conflict) and attempts < _MAX_COMMAND_ATTEMPTS
        ):
            running = await self.read()
            outcome = await self._submit_command(submitted, change, running)
            attempts += 1
        return ChangeResult(outcome)

    async def _submit_command(
        self,
        submitted: '_SubmittedChange',
        change: ZoneChange | DrainChange,
        running: StoredConfiguration,
    ) -> SubmissionResult | Unchanged:
        """Apply the command to the configuration and submit it once."""
        previous = running.configuration
        if previous is None:
            raise _unknown_name_error(change)
        cfg = change.apply(previous)
        if cfg == previous:
            return Unchanged(running.head.generation)
        return await self._submit_configuration(
            submitted, cfg, running.head.generation
        )

    async def _submit_configuration(
        self,
        submitted: '_SubmittedChange',
        cfg: Configuration,
        base_generation: int,
    ) -> SubmissionResult:
        return await submit(
            self.client,
            self._region,
            cfg,
            base_generation,
            submitted.full_id,
            submitted.operator,
            int(self._now_unix_s()),
            self._options,
        )

    def _log_result(
        self, submitted: '_SubmittedChange', result: ChangeResult
    ) -> None:
        pairs = _result_fields(result.outcome)
        kind = type(result.outcome).__name__
        is_effective = isinstance(result.outcome, Accepted | Unchanged)
        report = self._log.event if is_effective else self._log.warning
        report(
            'change',
            operator=submitted.operator,
            submission=submitted.submission_id,
            request=submitted.summary,
            result=kind.lower(),
            **pairs,
        )


@dataclass(frozen=True, slots=True)
class _SubmittedChange:
    """Change with its submitter and its id."""

    change: Change
    operator: str
    submission_id: str

    @property
    def full_id(self) -> str:
        """Id in the store: the submitter's id and a fingerprint of the change.

        The fingerprint is that of the change and not of the configuration that
        results from it: the latter depends on the configuration in effect and
        may differ when the same change is repeated later. It covers the field
        names of the change.
        """
        packed = msgspec.msgpack.encode(self.change)
        digest = xxhash.xxh3_64_hexdigest(packed)
        return f'{self.submission_id}{_ID_SEPARATOR}{digest}'

    @property
    def summary(self) -> str:
        """Short description of the change for the log."""
        match self.change:
            case ZoneChange(zone=zone, in_service=in_service):
                return f'zone {zone} in_service {str(in_service).lower()}'
            case DrainChange(target=target, draining=draining):
                return f'target {target} draining {str(draining).lower()}'
        base = self.change.base_generation
        return f'configuration on generation {base}'

    def find_result(self, head: Head) -> SubmissionResult | None:
        """Return the result of an earlier submission with the same id.

        The result is None if the head records none. It is a rejection if the
        id was used for a change with other content.
        """
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


def _unknown_name_error(change: ZoneChange | DrainChange) -> ConfigurationError:
    """Return the error of a command if there is no configuration yet."""
    if isinstance(change, ZoneChange):
        return UnknownZoneError(change.zone)
    return UnknownTargetError(change.target)


def _result_fields(outcome: SubmissionResult | Unchanged) -> dict[str, object]:
    """Return the fields of the log line that depend on the outcome."""
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
