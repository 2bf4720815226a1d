"""Compares the packet process with a minimal UDP forwarding loop.

Both receivers get the same datagrams in one run, in alternating rounds. The
benchmark also measures the time of the packet engine for one segment and the
resource use of control processes. The last line of the output is the report as
one JSON object.
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
    running_process,
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
ROUND_DURATION_S: Final = 1.5
CONTROL_DURATION_S: Final = 10.0

#: Pairs of numbers of flows and targets for the table of decision costs.
DECISION_SIZES: Final = (
    (1_000, TARGETS),
    (10_000, TARGETS),
    (100_000, TARGETS),
    (FLOWS, TARGETS),
    (20_000, 10),
    (20_000, 100),
    (20_000, 1000),
    (20_000, 2000),
)

_START_TIMEOUT_S: Final = 60.0


class BenchReport(msgspec.Struct, frozen=True):
    """Report of one run; the last line of the output.

    Parameters
    ----------
    relay_pps, bare_pps : float
        Datagrams per second that the packet process and the bare loop
        forwarded; medians over the rounds.
    ratio : float
        Throughput of the packet process relative to the bare loop; median
        over the pairs of consecutive rounds.
    new_flows_per_s : float
        New flows per second that the packet process opened in its rounds.
    bytes_per_flow : float
        Resident memory of one flow at its home instance.
    decision_us_p50, decision_us_p99 : float
        Quantiles of the time that the packet engine takes for one segment
        of an open flow, in microseconds.
    control_cpu_percent, control_rss_mb, control_bytes_per_s : float or None
        Processor time in percent of a core, resident memory in megabytes
        and gossip bytes per second, each of the control process with the
        highest value; None if not measured.
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
    """Aggregate the measurements into the report.

    Parameters
    ----------
    relayed, bare : sequence of RoundResult
        Results of the packet process and of the bare loop in the order of
        the rounds; both have the same length.
    bytes_per_flow : float
        Resident memory of one flow at its home instance.
    decision : DecisionCost
        Decision cost at ``FLOWS`` flows and ``TARGETS`` targets.
    control : ControlCost or None
        Resource use of the control processes; None if not measured.

    Returns
    -------
    BenchReport
        The report with rounded numbers.
    """
    relay_rates = [result.received / result.duration_s for result in relayed]
    bare_rates = [result.received / result.duration_s for result in bare]
    ratios = [
        relay_rate / bare_rate
        for relay_rate, bare_rate in zip(relay_rates, bare_rates, strict=True)
    ]
    opened = sum(result.opened for result in relayed)
    duration_s = sum(result.duration_s for result in relayed)
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
    """Format decision costs as a plain-text table, one row for each size."""
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


class _Receivers(NamedTuple):
    relay_port: int
    bare_port: int
    bytes_per_flow: float
    pipe: Connection
    process: BaseProcess
    bare_process: BaseProcess


def _run_control_process(settings: str, pipe: Connection) -> None:
    sys.argv = ['siskinproxy-control', settings]
    control_main()


def _start_receivers(stack: ExitStack, directory: Path) -> _Receivers:
    udp_ports = (free_port(socket.SOCK_DGRAM), free_port(socket.SOCK_DGRAM))
    link_port = free_port(socket.SOCK_STREAM)
    control = free_port(socket.SOCK_DGRAM)
    configuration = directory / 'configuration.json'
    cfg = make_configuration(TARGETS)
    configuration.write_bytes(msgspec.json.encode(cfg))
    settings = write_settings(
        directory / 'packet.toml',
        'bench',
        f'port = {udp_ports[0]}\nlink_port = {link_port}\n'
        f'fabric_port = {TARGET_PORT}',
        f'port = {control}\nconfiguration_file = "{configuration}"',
    )
    process, pipe = stack.enter_context(
        running_process(run_packet_process, settings, TARGETS, FLOWS),
    )
    stack.enter_context(running_process(_run_control_process, settings))
    bare, bare_pipe = stack.enter_context(
        running_process(run_bare_loop, udp_ports[1], TARGETS, FLOWS),
    )
    for startup_pipe in (pipe, bare_pipe):
        if not startup_pipe.poll(_START_TIMEOUT_S):
            raise TimeoutError(
                'packet process or bare loop not ready '
                f'after {_START_TIMEOUT_S} s',
            )
    bare_pipe.recv()
    return _Receivers(*udp_ports, pipe.recv(), pipe, process, bare)


def _run_rounds() -> tuple[list[RoundResult], list[RoundResult], float]:
    relayed: list[RoundResult] = []
    bare: list[RoundResult] = []
    with ExitStack() as stack:
        name = stack.enter_context(tempfile.TemporaryDirectory())
        receivers = _start_receivers(stack, Path(name))
        relay_port, bare_port = receivers.relay_port, receivers.bare_port
        load = LoadGenerator(TARGETS, FLOWS, NEW_FLOWS_PER_S)
        stack.callback(load.close)
        # One short warm-up round each fills the caches; its result is dropped.
        pids = receivers.process.pid or 0, receivers.bare_process.pid or 0
        load.run_round(relay_port, pids[0], ROUND_DURATION_S / 3)
        load.run_round(bare_port, pids[1], ROUND_DURATION_S / 3)
        for _ in range(ROUNDS):
            relayed.append(
                load.run_round(relay_port, pids[0], ROUND_DURATION_S)
            )
            bare.append(load.run_round(bare_port, pids[1], ROUND_DURATION_S))
            print(f'packet process {relayed[-1]}\nbare loop      {bare[-1]}')
        print('datagrams per second of processor time:')
        print('packet process', _datagrams_per_cpu_s(relayed))
        print('bare loop', _datagrams_per_cpu_s(bare))
        receivers.process.terminate()
        if receivers.pipe.poll(_START_TIMEOUT_S):
            counters = receivers.pipe.recv()
            print({name: count for name, count in counters.items() if count})
    return relayed, bare, receivers.bytes_per_flow


def _datagrams_per_cpu_s(rounds: Iterable[RoundResult]) -> int:
    rates = [result.received / max(result.cpu_s, 0.01) for result in rounds]
    return round(statistics.median(rates))


def _bench(control_s: float = CONTROL_DURATION_S) -> None:
    """Run the benchmark.

    Parameters
    ----------
    control_s : float
        Duration of the measurement of the control processes in seconds; 0
        skips it.
    """
    relayed, bare, bytes_per_flow = _run_rounds()
    costs = [measure_decisions(*size) for size in DECISION_SIZES]
    print(decision_table(costs))
    decision = costs[DECISION_SIZES.index((FLOWS, TARGETS))]
    control = None
    if control_s:
        with tempfile.TemporaryDirectory() as name:
            control = measure_control(Path(name), TARGETS, control_s)
        print(control)
    report = summarize(relayed, bare, bytes_per_flow, decision, control)
    print(msgspec.json.encode(report).decode())


def main() -> None:
    """Run the benchmark with the options of the command line."""
    fire.Fire(_bench)


if __name__ == '__main__':
    main()
