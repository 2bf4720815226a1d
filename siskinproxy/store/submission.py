"""Submission of a configuration: the commit protocol.

A submission writes the changed sections, then replaces the head by
compare-and-swap. If the answer of the compare-and-swap is lost, the head tells
whether it took effect; a submission is never repeated as a new change.
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
    PRUNE_INTERVAL,
    prune_audit,
    read_entry,
    store_entry,
)
from siskinproxy.store.client import KeyValueClient
from siskinproxy.store.concurrency import run_all
from siskinproxy.store.head import (
    MAX_SUBMISSIONS,
    AuditEntry,
    Head,
    assemble,
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

#: Keep the head small, whatever an operator submits.
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
    """Submit a configuration.

    Parameters
    ----------
    client : KeyValueClient
        Client of the store.
    region : str
        Region of the configuration.
    new_cfg : Configuration
        Configuration to put into effect.
    base_generation : int
        Generation that the change was made on; 0 for the first one.
    submission_id : str
        Unique id, chosen by the submitter and kept over repetitions.
    operator : str
        Who submits the change.
    now_unix_s : int
        Current time in seconds since the Unix epoch.
    options : SubmitOptions
        Hooks and retries.

    Returns
    -------
    Accepted, Conflict, OutcomeUnknown or Rejected
        What became of the submission.
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
        if attempt.is_outcome_open:
            return OutcomeUnknown(f'{type(exc).__name__}: {exc}')
        return Rejected((exc,), 'store')


@dataclass(frozen=True, slots=True)
class _Request:
    region: str
    cfg: Configuration
    base_generation: int
    submission_id: str
    operator: str
    now_unix_s: int

    @property
    def fingerprint(self) -> bytes:
        """Identify the submitted content."""
        packed = msgspec.msgpack.encode((self.base_generation, self.cfg))
        return xxhash.xxh3_128_digest(packed)


def _loop_time() -> float:
    return asyncio.get_running_loop().time()


class _Attempt:
    """One call of `submit`."""

    def __init__(
        self,
        client: KeyValueClient,
        options: SubmitOptions,
        req: _Request,
    ) -> None:
        #: True while a compare-and-swap of the head may have taken effect.
        self.is_outcome_open = False
        self._client = client
        self._options = options
        self._req = req
        self._end_s = _loop_time() + options.retry.limit_s

    async def run(self) -> SubmissionResult:
        """Submit once; errors of the store that outlast the retries rise."""
        malformed = self._check_fields()
        if malformed:
            return Rejected(malformed, 'invalid')
        version, head = await self._retry(self._read_head)
        settled = await self._settle(head)
        if settled is not None:
            return settled
        prepared = await self._prepare(head)
        if isinstance(prepared, Rejected):
            return prepared
        return await self._commit(version, prepared)

    async def _prepare(self, head: Head) -> Head | Rejected:
        """Write everything that the changed head refers to."""
        previous = await self._load(head)
        errors = self._validate(previous)
        if errors:
            return Rejected(errors, 'invalid')
        cfg = self._with_retired(previous)
        digests = await self._write_sections(head, previous, cfg)
        # The commit replaces the only other copy of the last entry.
        await self._retry(self._store_entry, head.audit)
        entry = self._entry(previous, cfg)
        return next_head(head, digests, self._req.fingerprint, entry)

    def _check_fields(self) -> tuple[SubmissionFieldError, ...]:
        """Check the fields that the head repeats.

        An empty id would be shared by all submitters that forget to set it.
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
        region = self._req.region
        stored = await self._client.get(head_key(region))
        return stored.version, decode_head(region, stored)

    async def _settle(self, head: Head) -> SubmissionResult | None:
        """Return the result if the head decides it, else None."""
        req = self._req
        record = head.find_submission(req.submission_id)
        if record is not None:
            if record.fingerprint == req.fingerprint:
                return Accepted(record.generation, 'found_in_head')
            reused = SubmissionReusedError(req.submission_id, record.generation)
            return Rejected((reused,), 'submission_reused')
        if head.generation == req.base_generation:
            return None
        if head.generation - req.base_generation > MAX_SUBMISSIONS:
            return await self._retry(self._settle_by_audit, head)
        return Conflict(req.base_generation, head.generation)

    async def _settle_by_audit(self, head: Head) -> SubmissionResult:
        """Find the result of a submission that the head has forgotten."""
        req = self._req
        generation = req.base_generation + 1
        entry = await read_entry(self._client, req.region, generation)
        if entry is None:
            return OutcomeUnknown(
                f'generation {generation} is not in the trail'
            )
        if entry.submission_id == req.submission_id:
            return Accepted(generation, 'found_in_audit')
        return Conflict(req.base_generation, head.generation)

    async def _load(self, head: Head) -> Configuration | None:
        if not head.generation:
            return None
        known = dict(self._options.known_sections)
        await self._retry(fetch_sections, self._client, head, known)
        return assemble(head, known)

    def _with_retired(self, previous: Configuration | None) -> Configuration:
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

    def _entry(
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
        sections = encode_sections(cfg, previous, head.digests)
        present = {EMPTY_DIGEST, *head.digests}
        await run_all(
            self._retry(self._write_section, section)
            for section in sections
            if section.digest not in present
        )
        return tuple(section.digest for section in sections)

    async def _write_section(self, section: Section) -> None:
        key = section_key(self._req.region, section.digest)
        try:
            await self._client.compare_and_swap(key, section.encoded, 0)
        except StoreConflictError:
            await self._check_section(key, section)

    async def _check_section(self, key: str, section: Section) -> None:
        """Replace a section whose stored value does not match its digest."""
        found = await self._client.get(key)
        if digest_of(found.value) == section.digest:
            return
        await self._client.compare_and_swap(
            key,
            section.encoded,
            found.version,
        )

    async def _store_entry(self, entry: AuditEntry | None) -> None:
        await store_entry(self._client, self._req.region, entry)

    async def _commit(self, version: int, changed: Head) -> SubmissionResult:
        """Replace the head, or find out what replaced it."""
        encoded = encode_head(changed)
        found = version
        retry = 0
        while found == version:
            if await self._swap(encoded, version, retry):
                await self._finish(changed)
                return Accepted(changed.generation)
            found, head = await self._retry(self._read_head)
            retry += 1
        settled = await self._settle(head)
        if settled is None:
            # The head has the generation that this submission is based on,
            # and another version: the store lost data and was restored.
            return Conflict(
                self._req.base_generation,
                head.generation,
                'head_restored',
            )
        await self._finish(head)
        return settled

    async def _swap(self, encoded: bytes, version: int, retry: int) -> bool:
        """Try the compare-and-swap; False if the head has to be read."""
        key = head_key(self._req.region)
        try:
            await self._client.compare_and_swap(key, encoded, version)
        except StoreConflictError:
            # An earlier call with the same submission id may have won.
            self.is_outcome_open = True
            return False
        except StoreOutcomeUnknownError as exc:
            self.is_outcome_open = True
            await self._pause(retry, exc)
            return False
        except (StoreUnavailableError, StoreRateLimitError) as exc:
            await self._pause(retry, exc)
            return False
        return True

    async def _finish(self, head: Head) -> None:
        """Write the audit entry under its own key; failures are repaired."""
        try:
            await self._store_entry(head.audit)
            if head.generation % PRUNE_INTERVAL == 0:
                await prune_audit(self._client, head.region, head.generation)
        except StoreError:
            # The next reader or writer copies the entry from the head.
            return

    async def _retry(
        self,
        call: Callable[..., Awaitable[Any]],
        *args: Any,
    ) -> Any:
        """Repeat a call that is safe to repeat while the store fails."""
        retry = 0
        while True:
            try:
                return await call(*args)
            except (
                StoreOutcomeUnknownError,
                StoreRateLimitError,
                StoreUnavailableError,
            ) as exc:
                await self._pause(retry, exc)
            retry += 1

    async def _pause(self, retry: int, exc: StoreError) -> None:
        """Wait before a retry, or raise the error after the time limit."""
        delay_s = self._options.retry.delay_s(retry, self._options.rng)
        if _loop_time() + delay_s > self._end_s:
            raise exc
        await self._options.sleep(delay_s)
