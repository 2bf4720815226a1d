"""Measures the processor time of one selection of a target.

Run ``python -m siskinproxy.measure.selection_cost``. It prints one JSON object
for each number of targets of a service.
"""

import random
import sys
import time
from typing import Final

import fire
import msgspec

from siskinproxy.entry.cold_limit import ColdBounds, ColdLimit
from siskinproxy.entry.directory import TargetDirectory
from siskinproxy.entry.load_view import LoadView
from siskinproxy.entry.records import Address, TargetRecord
from siskinproxy.entry.responsiveness import Responsiveness
from siskinproxy.entry.target_selection import FULL_LOAD, Placer

__all__ = ('SIZES', 'SelectionCost', 'main', 'measure_selection')

#: Targets of the service, up to those of the largest supported region.
SIZES: Final = (10, 100, 2400, 14_000)
#: Targets that all selections of one measurement look at, at most. It bounds
#: the duration: a selection that scans takes a microsecond for each target.
_SCANNED_TARGETS: Final = 2_000_000
_MAX_SELECTIONS: Final = 5000
_ZONES: Final = 3
_SLOTS: Final = 8
_COLD_RATE_PER_S: Final = 10.0
_NS_PER_US: Final = 1000


class SelectionCost(msgspec.Struct, frozen=True):
    """Processor time of one selection among a number of targets.

    Parameters
    ----------
    targets : int
        Targets of the service.
    selections : int
        Number of selections measured.
    mean_us : float
        Mean processor time of a selection, in microseconds.
    p50_us, p99_us : float
        Median and 99th percentile, in microseconds.
    """

    targets: int
    selections: int
    mean_us: float
    p50_us: float
    p99_us: float


def _target(number: int) -> TargetRecord:
    return TargetRecord(
        name=f't-{number:x}',
        target_id=number,
        service='desk',
        address=Address('127.0.0.1', 1 + number % 60000),
        zone=f'z{number % _ZONES}',
        slots=_SLOTS,
        is_draining=False,
        warmup_left_s=0,
        started_unix_ms=1,
        revision=number,
    )


def measure_selection(targets: int) -> SelectionCost:
    """Measure selections as the engine makes them for new flows.

    Each selected target gets a flow, so that loads differ, and from half of
    all slots on the oldest flow ends.

    Parameters
    ----------
    targets : int
        Targets of the service, all warm and answering.

    Returns
    -------
    SelectionCost
        Time of a selection, including the look-up of the service's targets.
    """
    directory = TargetDirectory()
    for number in range(1, targets + 1):
        directory.announce(_target(number), 0)
    placer = Placer(
        'z0',
        ColdLimit('i-1', ColdBounds()),
        Responsiveness(),
        LoadView(),
        random.Random(1),
    )
    selections = min(_SCANNED_TARGETS // targets, _MAX_SELECTIONS)
    most_flows = targets * _SLOTS // 2
    flows = []
    times_ns = []
    for number in range(selections):
        started_ns = time.process_time_ns()
        placement = placer.choose(
            directory.usable_targets('desk'),
            _COLD_RATE_PER_S,
            number / 1000,
            full_load=FULL_LOAD,
        )
        times_ns.append(time.process_time_ns() - started_ns)
        placer.note_started(placement.target)
        flows.append(placement.target)
        if len(flows) > most_flows:
            placer.note_ended(flows.pop(0))
    times_ns.sort()
    return SelectionCost(
        targets,
        selections,
        mean_us=sum(times_ns) / selections / _NS_PER_US,
        p50_us=times_ns[selections // 2] / _NS_PER_US,
        p99_us=times_ns[selections * 99 // 100] / _NS_PER_US,
    )


def _run() -> None:
    """Print the cost of each size as a JSON line."""
    for targets in SIZES:
        cost = measure_selection(targets)
        sys.stdout.write(f'{msgspec.json.encode(cost).decode()}\n')


def main() -> None:
    """Run the measurements from the command line."""
    fire.Fire(_run)


if __name__ == '__main__':
    main()
