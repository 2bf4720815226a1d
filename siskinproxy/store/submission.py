"""Submission of a configuration: the commit protocol.

A submission writes the changed sections, then replaces the head by
compare-and-swap. If the response to the compare-and-swap is lost, the head is
read to find out whether the write took effect: the head lists the ids of the
last accepted submissions. A submission is therefore idempotent.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Final

import msgspec
import xxhash

from siskinproxy.errors import (
    SiskinproxyError,
    StoreConflictError,
    StoreError,
    StoreOutcomeUnknownError,
    StoreRateLimitError,
    StoreUnavailableError,
    SubmissionFieldError,
    SubmissionReusedError,
    WrongRegionError,
)
from siskinproxy.operators.configuration import Configuration
from siskinproxy.store.audit import (
    PRUNE_INTERVAL_GENERATIONS,
    prune_audit,
    read_audit_entry,
    store_audit_entry,
)
from siskinproxy.store.client import KeyValueClient
from siskinproxy.store.concurrency import run_all
from siskinproxy.store.head import (
    MAX_LISTED_SUBMISSIONS,
    AuditEntry,
    Head,
    assemble_configuration,
    decode_head,
    encode_head,
    fetch_sections,
    head_key,
    next_head,
    section_key,
)
from siskinproxy.store.options import SubmitOptions
from siskinproxy.store.results import (
    Accepted,
    Conflict,
    OutcomeUnknown,
    Rejected,
    SubmissionResult,
)
from siskinproxy.store.sections import (
    EMPTY_DIGEST,
    Section,
    canonical_configuration,
    digest_of,
    encode_sections,
)

__all__ = ('submit',)

#: Limits of the texts that the head holds, which bound the size of the head
#: whatever an operator submits. A longer summary is cut off; a longer id or
#: operator name is rejected.
_MAX_SUMMARY_CHARS: Final = 300
_MAX_FIELD_CHARS: Final = 64


_DEFAULT_OPTIONS: Final = SubmitOptions()


async def submit(
    client: KeyValueClient,
    region: str,
    new_cfg: Configuration,
    base_generation: int,
    submission_id: str,
    operator: str,
    now_unix_s: int,
    options: SubmitOptions = _DEFAULT_OPTIONS,
) -> SubmissionResult:
    """Submit a configuration, to replace the one of a given generation.

    Parameters
    ----------
    client : KeyValueClient
        Client of the store.
    region : str
        Region whose configuration is replaced.
    new_cfg : Configuration
        The complete new configuration.
    base_generation : int
        Generation that the change is based on; 0 for the first configuration.
    submission_id : str
        Unique id, chosen by the submitter; the same for each repetition.
    operator : str
        Name of the operator who submits the change.
    now_unix_s : int
        Current time in seconds since the Unix epoch.
    options : SubmitOptions
        Rules and retries.

    Returns
    -------
    Accepted, Conflict, OutcomeUnknown or Rejected
        Result of the submission; errors of the store are not raised.
    """
    attempt = _Attempt(
        client,
        options,
        _Request(
            region,
            canonical_configuration(new_cfg),
            base_generation,
            submission_id,
            operator,
            now_unix_s,
        ),
    )
    try:
        return await attempt.run()
    except StoreError as exc:
        if attempt.may_have_committed:
            return OutcomeUnknown(f'{type(exc).__name__}: {exc}')
        return Rejected((exc,), 'store')


@dataclass(frozen=True, slots=True)
class _Request:
    """Arguments of a call to `submit`."""

    region: str
    cfg: Configuration
    base_generation: int
    submission_id: str
    operator: str
    now_unix_s: int

    @property
    def fingerprint(self) -> bytes:
        """Hash of the submitted configuration and its base generation."""
        packed = msgspec.msgpack.encode((self.base_generation, self.cfg))
        return xxhash.xxh3_128_digest(packed)


def _loop_time() -> float:
    return asyncio.get_running_loop().time()


class _Attempt:
    """One call to `submit`, with the state that it keeps."""

    def __init__(
        self,
        client: KeyValueClient,
        options: SubmitOptions,
        req: _Request,
    ) -> None:
        #: Whether a compare-and-swap of the head by this submission, in this
        #: call or in an earlier one, may have taken effect.
        self.may_have_committed = False
        self._client = client
        self._options = options
        self._req = req
        self._retry_deadline_s = _loop_time() + options.retry.limit_s

    async def run(self) -> SubmissionResult:
        """Submit the change and return its result.

        Raises
        ------
        StoreError
            The last error when the retries end, or one that a retry cannot
            resolve, such as a corrupt section.
        """
        malformed = self._check_fields()
        if malformed:
            return Rejected(malformed, 'invalid')
        version, head = await self._call_with_retries(self._read_head)
        result = await self._result_from_head(head)
        if result is not None:
            return result
        prepared = await self._prepare(head)
        if isinstance(prepared, Rejected):
            return prepared
        return await self._commit(version, prepared)

    async def _prepare(self, head: Head) -> Head | Rejected:
        """Write the changed sections and return the head to commit.

        Returns the rejection if the configuration is not valid.
        """
        previous = await self._load_configuration(head)
        errors = self._validate(previous)
        if errors:
            return Rejected(errors, 'invalid')
        cfg = self._apply_retirement(previous)
        digests = await self._write_sections(head, previous, cfg)
        # The commit replaces the head, which may hold the only copy of the
        # audit entry of the previous change.
        await self._call_with_retries(self._store_audit_entry, head.audit)
        entry = self._make_audit_entry(previous, cfg)
        return next_head(head, digests, self._req.fingerprint, entry)

    def _check_fields(self) -> tuple[SubmissionFieldError, ...]:
        """Check the lengths of the fields that are copied to the head.

        An empty id is rejected, since all submitters that forget to set the id
        would share it.
        """
        named = {
            'submission_id': self._req.submission_id,
            'operator': self._req.operator,
        }
        return tuple(
            SubmissionFieldError(name, len(text), _MAX_FIELD_CHARS)
            for name, text in named.items()
            if not 0 < len(text) <= _MAX_FIELD_CHARS
        )

    async def _read_head(self) -> tuple[int, Head]:
        """Return the version of the head key and the head."""
        region = self._req.region
        stored = await self._client.get(head_key(region))
        return stored.version, decode_head(region, stored)

    async def _result_from_head(self, head: Head) -> SubmissionResult | None:
        """Return the result that follows from a head that was read.

        None means that the submission is not in the head and that the head has
        the base generation, so that the change can be committed.
        """
        req = self._req
        record = head.find_submission(req.submission_id)
        if record is not None:
            if record.fingerprint == req.fingerprint:
                return Accepted(record.generation, 'found_in_head')
            reused = SubmissionReusedError(req.submission_id, record.generation)
            return Rejected((reused,), 'submission_reused')
        if head.generation == req.base_generation:
            return None
        if head.generation - req.base_generation > MAX_LISTED_SUBMISSIONS:
            return await self._call_with_retries(self._result_from_audit, head)
        return Conflict(req.base_generation, head.generation)

    async def _result_from_audit(self, head: Head) -> SubmissionResult:
        """Find the result of a submission too old to be listed in the head."""
        req = self._req
        generation = req.base_generation + 1
        entry = await read_audit_entry(self._client, req.region, generation)
        if entry is None:
            return OutcomeUnknown(
                f'generation {generation} is absent from the audit trail'
            )
        if entry.submission_id == req.submission_id:
            return Accepted(generation, 'found_in_audit')
        return Conflict(req.base_generation, head.generation)

    async def _load_configuration(self, head: Head) -> Configuration | None:
        """Read the configuration of a head; None for generation 0."""
        if not head.generation:
            return None
        known = dict(self._options.known_sections)
        await self._call_with_retries(fetch_sections, self._client, head, known)
        return assemble_configuration(head, known)

    def _apply_retirement(
        self,
        previous: Configuration | None,
    ) -> Configuration:
        req = self._req
        cfg = self._options.retire(
            previous,
            req.cfg,
            req.base_generation + 1,
            req.now_unix_s,
        )
        return canonical_configuration(cfg)

    def _validate(
        self,
        previous: Configuration | None,
    ) -> tuple[SiskinproxyError, ...]:
        req = self._req
        if req.cfg.region != req.region:
            return (WrongRegionError(req.region, req.cfg.region),)
        return self._options.validate(
            req.cfg,
            previous=previous,
            now_unix_s=req.now_unix_s,
        )

    def _make_audit_entry(
        self,
        previous: Configuration | None,
        cfg: Configuration,
    ) -> AuditEntry:
        req = self._req
        summary = self._options.summarize(previous, cfg)
        return AuditEntry(
            generation=req.base_generation + 1,
            base_generation=req.base_generation,
            operator=req.operator,
            unix_s=req.now_unix_s,
            submission_id=req.submission_id,
            summary=summary[:_MAX_SUMMARY_CHARS],
        )

    async def _write_sections(
        self,
        head: Head,
        previous: Configuration | None,
        cfg: Configuration,
    ) -> tuple[bytes, ...]:
        """Write the sections that changed; return the digests of all."""
        sections = encode_sections(cfg, previous, head.digests)
        present = {EMPTY_DIGEST, *head.digests}
        await run_all(
            self._call_with_retries(self._write_section, section)
            for section in sections
            if section.digest not in present
        )
        return tuple(section.digest for section in sections)

    async def _write_section(self, section: Section) -> None:
        """Write a section unless the store holds it with the right value."""
        key = section_key(self._req.region, section.digest)
        try:
            await self._client.compare_and_swap(key, section.encoded, 0)
        except StoreConflictError:
            await self._repair_section(key, section)

    async def _repair_section(self, key: str, section: Section) -> None:
        """Replace the value of a section key if it does not match the digest."""
        found = await self._client.get(key)
        if digest_of(found.value) == section.digest:
            return
        await self._client.compare_and_swap(
            key,
            section.encoded,
            found.version,
        )

    async def _store_audit_entry(self, entry: AuditEntry | None) -> None:
        await store_audit_entry(self._client, self._req.region, entry)

    async def _commit(self, version: int, changed: Head) -> SubmissionResult:
        """Replace the head, or find out what has replaced it.

        Parameters
        ----------
        version : int
            Version of the head key that the change is based on. While the head
            still has it, the compare-and-swap has not taken effect and can be
            repeated.
        changed : Head
            Head to write.
        """
        encoded = encode_head(changed)
        found = version
        retry = 0
        while found == version:
            if await self._swap_head(encoded, version, retry):
                await self._record_audit(changed)
                return Accepted(changed.generation)
            found, head = await self._call_with_retries(self._read_head)
            retry += 1
        result = await self._result_from_head(head)
        if result is None:
            # The head has the base generation of this submission but another
            # version, so the store was restored after a loss of data.
            return Conflict(
                self._req.base_generation,
                head.generation,
                'head_restored',
            )
        await self._record_audit(head)
        return result

    async def _swap_head(
        self,
        encoded: bytes,
        version: int,
        retry: int,
    ) -> bool:
        """Try the compare-and-swap; return False if the head must be read."""
        key = head_key(self._req.region)
        try:
            await self._client.compare_and_swap(key, encoded, version)
        except StoreConflictError:
            # An earlier call with this submission id may have replaced the head.
            self.may_have_committed = True
            return False
        except StoreOutcomeUnknownError as exc:
            self.may_have_committed = True
            await self._wait_before_retry(retry, exc)
            return False
        except (StoreUnavailableError, StoreRateLimitError) as exc:
            await self._wait_before_retry(retry, exc)
            return False
        return True

    async def _record_audit(self, head: Head) -> None:
        """Copy the audit entry to its own key and prune the trail if due.

        Errors of the store are ignored: the head still holds the entry, and a
        later commit prunes again.
        """
        try:
            await self._store_audit_entry(head.audit)
            if head.generation % PRUNE_INTERVAL_GENERATIONS == 0:
                await prune_audit(self._client, head.region, head.generation)
        except StoreError:
            # The next reader of the trail or the next commit copies the entry
            # from the head.
            return

    async def _call_with_retries(
        self,
        call: Callable[..., Awaitable[Any]],
        *args: Any,
    ) -> Any:
        """Make an idempotent call; retry it while the store is failing.

        Retries end at the deadline that all calls of the submission share.
        """
        retry = 0
        while True:
            try:
                return await call(*args)
            except (
                StoreOutcomeUnknownError,
                StoreRateLimitError,
                StoreUnavailableError,
            ) as exc:
                await self._wait_before_retry(retry, exc)
            retry += 1

    async def _wait_before_retry(self, retry: int, exc: StoreError) -> None:
        """Wait before a retry; raise the error if the deadline would pass."""
        delay_s = self._options.retry.delay_s(retry, self._options.rng)
        if _loop_time() + delay_s > self._retry_deadline_s:
            raise exc
        await self._options.sleep(delay_s)
