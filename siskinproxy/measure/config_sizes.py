"""Measures configuration sizes in the store and the store calls of changes.

Run ``python -m siskinproxy.measure.config_sizes``. It uses the in-memory
stand-in of the store in virtual time; runs with the same seed give the same
result.
"""

import asyncio
import random
import uuid
from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, fields
from typing import Final

import fire
import msgspec

from siskinproxy.operators.configuration import (
    Configuration,
    Listener,
    Service,
    Target,
    Zone,
)
from siskinproxy.standins.store import (
    FakeKeyValueClient,
    MemoryStore,
    StoreLimits,
)
from siskinproxy.standins.virtual_time import run_in_virtual_time
from siskinproxy.store import (
    HeadReader,
    SubmitOptions,
    encode_sections,
    head_key,
    submit,
)

__all__ = ('ReaderCalls', 'Sizes', 'main', 'measure_readers', 'measure_sizes')

REGION: Final = 'alfold'
ZONES: Final = ('a', 'b', 'c')

#: Numbers of targets; 2,000 is one of 7 regions at the target size.
TARGET_COUNTS: Final = (10, 100, 1000, 2000)

#: Targets of consecutive services, repeated; the mean of 3.5 is that of the
#: target size.
SERVICE_SIZES: Final = (3, 4)

#: Changes before the measured one; the head record then holds its maximum
#: of 64 submissions.
EARLIER_CHANGES: Final = 64

#: Instances of a zone; 121 at the target size.
MEMBER_COUNTS: Final = (3, 30, 121)

#: Virtual time before the counted calls and during them.
_WARM_UP_S: Final = 300
_MEASURED_S: Final = 600

_UNLIMITED: Final = StoreLimits(writes_per_s=10**6, reads_per_s=10**6)


@dataclass(frozen=True, slots=True)
class Sizes:
    """Sizes of a configuration and store calls of a change to it.

    Parameters
    ----------
    targets : int
        Number of targets.
    services : int
        Number of services.
    sections : int
        Sections with content, including the base section.
    section_mean_bytes : int
        Mean size of a section with content.
    section_max_bytes : int
        Size of the largest section.
    total_bytes : int
        Total size of all sections.
    head_bytes : int
        Size of the head record with 64 submissions.
    json_bytes : int
        Size of the configuration as JSON, for comparison.
    changed_bytes : int
        Size of the sections that a change of one target writes, without the
        head record.
    calls : int
        Store calls of that change if the instance already has the
        configuration.
    calls_cold : int
        Store calls of that change if the instance must fetch the
        configuration first.
    calls_lost_answer : int
        Store calls of that change if the response to the write of the head
        record is lost.
    """

    targets: int
    services: int
    sections: int
    section_mean_bytes: int
    section_max_bytes: int
    total_bytes: int
    head_bytes: int
    json_bytes: int
    changed_bytes: int
    calls: int
    calls_cold: int
    calls_lost_answer: int


@dataclass(frozen=True, slots=True)
class ReaderCalls:
    """Rates of the store calls for the reader role in three zones.

    Two instances of each zone hold the reader role by a lease and watch the
    head record; the others check whether the role is vacant.

    Parameters
    ----------
    members : int
        Instances of each zone.
    renewals_s : float
        Lease renewals per second.
    looks_s : float
        Checks for a vacant reader role per second.
    watches_s : float
        Started watches per second.
    """

    members: int
    renewals_s: float
    looks_s: float
    watches_s: float


def _services(count: int) -> Iterator[Service]:
    number = 0
    while count > 0:
        size = min(SERVICE_SIZES[number % len(SERVICE_SIZES)], count)
        yield _service(number, size)
        count -= size
        number += 1


def _service(number: int, size: int) -> Service:
    name = f'service-{number:04}'
    high, low = divmod(number, 200)
    listener = Listener(
        f'203.0.{high}.{low + 1}',
        443,
        8443,
        deadline_ms=800,
        name=f'{name}-https',
    )
    targets = tuple(
        Target(
            f'{name}-{index}',
            f'10.{high}.{low}.{index + 1}',
            ZONES[index % len(ZONES)],
        )
        for index in range(size)
    )
    return Service(name, (listener,), targets)


def _with_slots(cfg: Configuration, slots: int) -> Configuration:
    """Return the configuration with new slots for the first target."""
    first = cfg.services[0]
    target = msgspec.structs.replace(first.targets[0], slots=slots)
    service = msgspec.structs.replace(
        first,
        targets=(target, *first.targets[1:]),
    )
    return msgspec.structs.replace(cfg, services=(service, *cfg.services[1:]))


def _submit_change(
    client: FakeKeyValueClient,
    cfg: Configuration,
    base: int,
    rng: random.Random,
    known: dict[bytes, bytes] | None = None,
) -> asyncio.Future[object]:
    submission_id = uuid.UUID(int=rng.getrandbits(128), version=4)
    return asyncio.ensure_future(
        submit(
            client,
            REGION,
            _with_slots(cfg, base + 1),
            base,
            str(submission_id),
            'ildiko',
            base,
            SubmitOptions(known_sections=known or {}, rng=rng),
        ),
    )


async def _measure(targets: int, seed: int) -> Sizes:
    rng = random.Random(seed)
    store = MemoryStore(_UNLIMITED)
    cfg = Configuration(
        REGION,
        tuple(map(Zone, ZONES)),
        tuple(_services(targets)),
    )
    base = 0
    while base < EARLIER_CHANGES:
        await _submit_change(FakeKeyValueClient(store), cfg, base, rng)
        base += 1
    sections = encode_sections(_with_slots(cfg, base))
    known = {section.digest: section.encoded for section in sections}
    warm = FakeKeyValueClient(store)
    await _submit_change(warm, cfg, base, rng, known)
    cold = FakeKeyValueClient(store)
    await _submit_change(cold, cfg, base + 1, rng)
    next_sections = encode_sections(_with_slots(cfg, base + 2))
    known = {section.digest: section.encoded for section in next_sections}
    lossy = _client_losing_commit_answer(store, warm)
    await _submit_change(lossy, cfg, base + 2, rng, known)
    sizes = [len(section.encoded) for section in sections if section.encoded]
    stored = store.get(head_key(REGION), asyncio.get_running_loop().time())
    stored_digests = {section.digest for section in sections}
    return Sizes(
        targets=targets,
        services=len(cfg.services),
        sections=len(sizes),
        section_mean_bytes=round(sum(sizes) / len(sizes)),
        section_max_bytes=max(sizes),
        total_bytes=sum(sizes),
        head_bytes=len(stored.value),
        json_bytes=len(msgspec.json.encode(cfg)),
        changed_bytes=sum(
            len(section.encoded)
            for section in next_sections
            if section.digest not in stored_digests
        ),
        calls=len(warm.log),
        calls_cold=len(cold.log),
        calls_lost_answer=len(lossy.log),
    )


def _client_losing_commit_answer(
    store: MemoryStore,
    earlier: FakeKeyValueClient,
) -> FakeKeyValueClient:
    """Return a client that loses the response to the write of the head record.

    The position of that write comes from the log of an earlier client that
    made the same calls.
    """
    commit = earlier.log.index(('CompareAndSwap', head_key(REGION)))
    return FakeKeyValueClient(store, fault_by_call={commit: 'lost_answer'})


def measure_sizes(targets: int, seed: int = 1) -> Sizes:
    """Measure a configuration with a number of targets.

    Parameters
    ----------
    targets : int
        Number of targets.
    seed : int
        Seed of the submission ids.

    Returns
    -------
    Sizes
        Sizes in bytes and numbers of store calls.
    """
    return run_in_virtual_time(_measure(targets, seed))


async def _measure_readers(members: int, seed: int) -> ReaderCalls:
    store = MemoryStore(_UNLIMITED)
    clients = []
    readers = []
    for zone in ZONES:
        for number in range(members):
            name = f'{zone}{number}'
            client = FakeKeyValueClient(store, name)
            rng = random.Random(f'{seed} {name}')
            reader = HeadReader(
                client,
                REGION,
                zone,
                name,
                lambda new_head: None,
                rng,
            )
            clients.append(client)
            readers.append(reader)
    await asyncio.gather(*(reader.start() for reader in readers))
    for running_reader in readers:
        running_reader.set_zone_members(members)
    await asyncio.sleep(_WARM_UP_S)
    before = _count_calls(clients)
    await asyncio.sleep(_MEASURED_S)
    calls = _count_calls(clients) - before
    await asyncio.gather(*(reader.close() for reader in readers))
    return ReaderCalls(
        members,
        round(calls['KeepAlive'] / _MEASURED_S, 2),
        round(calls['List'] / _MEASURED_S, 2),
        round(calls['Watch'] / _MEASURED_S, 2),
    )


def _count_calls(clients: list[FakeKeyValueClient]) -> Counter[str]:
    total: Counter[str] = Counter()
    for client in clients:
        total.update(client.calls)
    return total


def measure_readers(members: int, seed: int = 1) -> ReaderCalls:
    """Measure the rates of the store calls for the reader role.

    Parameters
    ----------
    members : int
        Instances of each of the three zones.
    seed : int
        Seed of the timer jitter of the readers.

    Returns
    -------
    ReaderCalls
        Mean rates of all instances together.
    """
    return run_in_virtual_time(_measure_readers(members, seed))


def _row(cells: Sequence[object]) -> str:
    return '| {} |'.format(' | '.join(map(str, cells)))


def _table(rows: Sequence[Sizes | ReaderCalls]) -> str:
    names = [item.name for item in fields(rows[0])]
    lines = [_row(names), _row(['---'] * len(names))]
    for row in rows:
        lines.append(_row([getattr(row, name) for name in names]))
    return '\n'.join(lines)


def _run(seed: int = 1) -> None:
    """Print the sizes and the reader calls as Markdown tables.

    Parameters
    ----------
    seed : int
        Seed of the submission ids and of the timer jitter.
    """
    sizes = [measure_sizes(count, seed) for count in TARGET_COUNTS]
    readers = [measure_readers(count, seed) for count in MEMBER_COUNTS]
    print(_table(sizes))
    print()
    print(_table(readers))


def main() -> None:
    """Parse the command line and print the tables."""
    fire.Fire(_run, name='config_sizes')


if __name__ == '__main__':
    main()
