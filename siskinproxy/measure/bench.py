"""Packet process against a bare loop, on the same packets in one run.

The rounds alternate between the two receivers. The last line of the output
is one JSON object.
"""

import socket
import statistics
import sys
import tempfile
from collections.abc import Iterable, Sequence
from contextlib import ExitStack
from multiprocessing.connection import Connection
from multiprocessing.process import BaseProcess
from pathlib import Path
from typing import Final, NamedTuple

import fire
import msgspec

from siskinproxy.balancer.control_process import main as control_main
from siskinproxy.measure.bench_control import (
    ControlCost,
    free_port,
    measure_control,
    running,
    write_settings,
)
from siskinproxy.measure.bench_load import LoadGenerator, RoundResult
from siskinproxy.measure.bench_relays import (
    run_bare_loop,
    run_packet_process,
)
from siskinproxy.measure.decision_cost import DecisionCost, measure_decisions
from siskinproxy.measure.flow_samples import TARGET_PORT, make_configuration

__all__ = ('BenchReport', 'decision_table', 'main', 'summarize')

FLOWS: Final = 300_000
NEW_FLOWS_PER_S: Final = 3000
TARGETS: Final = 200
ROUNDS: Final = 6
ROUND_S: Final = 1.5
CONTROL_S: Final = 10.0

#: Flows and targets at which the decision cost is measured.
SIZES: Final = (
    (1_000, TARGETS),
    (10_000, TARGETS),
    (100_000, TARGETS),
    (FLOWS, TARGETS),
    (20_000, 10),
    (20_000, 100),
    (20_000, 1000),
    (20_000, 2000),
)

_START_LIMIT_S: Final = 60.0


class BenchReport(msgspec.Struct, frozen=True):
    """Last line of the output.

    Parameters
    ----------
    relay_pps, bare_pps : float
        Datagrams a second that came out of the packet process and of the
        bare loop; medians of the rounds.
    ratio : float
        Median over the rounds of the ratio of neighbouring rounds.
    new_flows_per_s : float
        New flows that the packet process opened while it was measured.
    bytes_per_flow : float
        Resident memory for one home entry.
    decision_us_p50, decision_us_p99 : float
        Time of the engine for one segment of an open flow.
    control_cpu_percent, control_rss_mb, control_bytes_per_s : float or None
        Highest figures of the control processes; None if not measured.
    """

    relay_pps: float
    bare_pps: float
    ratio: float
    new_flows_per_s: float
    bytes_per_flow: float
    decision_us_p50: float
    decision_us_p99: float
    control_cpu_percent: float | None = None
    control_rss_mb: float | None = None
    control_bytes_per_s: float | None = None


def summarize(
    relayed: Sequence[RoundResult],
    bare: Sequence[RoundResult],
    bytes_per_flow: float,
    decision: DecisionCost,
    control: ControlCost | None,
) -> BenchReport:
    """Put the report together.

    Parameters
    ----------
    relayed, bare : sequence of RoundResult
        Rounds of the packet process and of the bare loop, in their order.
    bytes_per_flow : float
        Memory for one home entry.
    decision : DecisionCost
        Decision cost at the benchmark's number of flows and targets.
    control : ControlCost or None
        Figures of the control process, if it was measured.

    Returns
    -------
    BenchReport
        The report.
    """
    relay_rates = [turn.received / turn.duration_s for turn in relayed]
    bare_rates = [turn.received / turn.duration_s for turn in bare]
    ratios = [
        one / other for one, other in zip(relay_rates, bare_rates, strict=True)
    ]
    opened = sum(turn.opened for turn in relayed)
    duration_s = sum(turn.duration_s for turn in relayed)
    report = BenchReport(
        round(statistics.median(relay_rates)),
        round(statistics.median(bare_rates)),
        round(statistics.median(ratios), 3),
        round(opened / duration_s),
        round(bytes_per_flow, 1),
        round(decision.p50_us, 2),
        round(decision.p99_us, 2),
    )
    if control is None:
        return report
    return msgspec.structs.replace(
        report,
        control_cpu_percent=round(control.cpu_percent, 2),
        control_rss_mb=round(control.rss_mb, 1),
        control_bytes_per_s=round(control.bytes_per_s),
    )


def decision_table(costs: Iterable[DecisionCost]) -> str:
    """Return the table of the decision cost over sizes."""
    lines = [
        '   flows  targets  p50_us  p99_us  open_p50_us  open_p99_us',
    ]
    lines.extend(
        f'{cost.flows:8}  {cost.targets:7}  {cost.p50_us:6.2f}'
        f'  {cost.p99_us:6.2f}  {cost.open_p50_us:11.2f}'
        f'  {cost.open_p99_us:11.2f}'
        for cost in costs
    )
    return '\n'.join(lines)


class _Relays(NamedTuple):
    relay_port: int
    bare_port: int
    bytes_per_flow: float
    pipe: Connection
    process: BaseProcess
    bare_process: BaseProcess


def _run_control_process(settings: str, pipe: Connection) -> None:
    sys.argv = ['siskinproxy-control', settings]
    control_main()


def _start_relays(stack: ExitStack, directory: Path) -> _Relays:
    ports = (free_port(socket.SOCK_DGRAM), free_port(socket.SOCK_DGRAM))
    link = free_port(socket.SOCK_STREAM)
    control = free_port(socket.SOCK_DGRAM)
    configuration = directory / 'configuration.json'
    cfg = make_configuration(TARGETS)
    configuration.write_bytes(msgspec.json.encode(cfg))
    settings = write_settings(
        directory / 'packet.toml',
        'bench',
        f'port = {ports[0]}\nlink_port = {link}\nfabric_port = {TARGET_PORT}',
        f'port = {control}\nconfiguration_file = "{configuration}"',
    )
    process, pipe = stack.enter_context(
        running(run_packet_process, settings, TARGETS, FLOWS),
    )
    stack.enter_context(running(_run_control_process, settings))
    bare, ready = stack.enter_context(
        running(run_bare_loop, ports[1], TARGETS, FLOWS),
    )
    for started in (pipe, ready):
        if not started.poll(_START_LIMIT_S):
            raise TimeoutError('a receiver did not start')
    ready.recv()
    return _Relays(*ports, pipe.recv(), pipe, process, bare)


def _compare() -> tuple[list[RoundResult], list[RoundResult], float]:
    relayed: list[RoundResult] = []
    bare: list[RoundResult] = []
    with ExitStack() as stack:
        name = stack.enter_context(tempfile.TemporaryDirectory())
        relays = _start_relays(stack, Path(name))
        relay_port, bare_port = relays.relay_port, relays.bare_port
        load = LoadGenerator(TARGETS, FLOWS, NEW_FLOWS_PER_S)
        stack.callback(load.close)
        # One short round each fills the caches and is not counted.
        pids = relays.process.pid or 0, relays.bare_process.pid or 0
        load.run_round(relay_port, pids[0], ROUND_S / 3)
        load.run_round(bare_port, pids[1], ROUND_S / 3)
        for _ in range(ROUNDS):
            relayed.append(load.run_round(relay_port, pids[0], ROUND_S))
            bare.append(load.run_round(bare_port, pids[1], ROUND_S))
            print(f'packet process {relayed[-1]}\nbare loop      {bare[-1]}')
        print('datagrams per second of processor time:')
        print('packet process', _per_cpu_s(relayed))
        print('bare loop', _per_cpu_s(bare))
        relays.process.terminate()
        if relays.pipe.poll(_START_LIMIT_S):
            counters = relays.pipe.recv()
            print({name: count for name, count in counters.items() if count})
    return relayed, bare, relays.bytes_per_flow


def _per_cpu_s(rounds: Iterable[RoundResult]) -> int:
    rates = [turn.received / max(turn.cpu_s, 0.01) for turn in rounds]
    return round(statistics.median(rates))


def _bench(control_s: float = CONTROL_S) -> None:
    """Run the benchmark.

    Parameters
    ----------
    control_s : float
        Length of the measurement of the control processes in seconds; 0
        leaves them out.
    """
    relayed, bare, bytes_per_flow = _compare()
    costs = [measure_decisions(*size) for size in SIZES]
    print(decision_table(costs))
    decision = costs[SIZES.index((FLOWS, TARGETS))]
    control = None
    if control_s:
        with tempfile.TemporaryDirectory() as name:
            control = measure_control(Path(name), TARGETS, control_s)
        print(control)
    report = summarize(relayed, bare, bytes_per_flow, decision, control)
    print(msgspec.json.encode(report).decode())


def main() -> None:
    """Entry point."""
    fire.Fire(_bench)


if __name__ == '__main__':
    main()
