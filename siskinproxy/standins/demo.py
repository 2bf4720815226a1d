"""Demo: the Vörösmarty deployment on the loopback interface.

Drains a target, adds and stops an instance, takes a zone out of service and
returns it, while callers send requests and hold long flows. Prints a table;
the last line is one JSON object. Exits with 1 if an invariant was broken.
"""

import signal
import subprocess  # noqa: S404
import sys
import tempfile
import time
from contextlib import closing
from pathlib import Path
from typing import Any, Final

import fire
import msgspec

import siskinproxy
from siskinproxy.errors import SiskinproxyError
from siskinproxy.logs import format_pairs
from siskinproxy.operators.configuration import Configuration
from siskinproxy.operators.differences import (
    with_target_draining,
    with_zone_in_service,
)
from siskinproxy.standins.caller import Load
from siskinproxy.standins.child import wait_until
from siskinproxy.standins.deployment import Deployment
from siskinproxy.standins.summary import (
    Summary,
    imbalance,
    list_faults,
    summarize,
)

__all__ = ('Demo', 'main', 'run', 'shorten_warmup')

_EXAMPLE: Final = (
    Path(siskinproxy.__file__).parent.parent / 'examples' / 'vorosmarty.py'
)
_INSTANCES: Final = 7
_REQUESTS_PER_S: Final = 125.0
_WORK_MS: Final = 40.0
_LONG_FLOWS: Final = 60
_CHUNK_INTERVAL_MS: Final = 500.0
#: The default of 30 s would not fit into the run.
_WARMUP_S: Final = 4.0
_STEADY_S: Final = 10.0
#: Limit of the invariants `drain` and `zone_out`.
_CHANGE_LIMIT_S: Final = 3.0
#: Limit of the invariant `config_monotonic`.
_CONFIGURATION_LIMIT_S: Final = 9.0
#: Time in which a drained target or a zone out of service must stay silent.
_SILENCE_S: Final = 2.0
_STOP_LIMIT_S: Final = 20.0
_FINISH_LIMIT_S: Final = 15.0
_DESK: Final = 'ticket-desk'


def shorten_warmup(cfg: Configuration, warmup_s: float) -> Configuration:
    """Return a configuration with another warm-up time of all targets."""
    services = [
        msgspec.structs.replace(
            service,
            targets=tuple(
                msgspec.structs.replace(target, warmup_s=warmup_s)
                for target in service.targets
            ),
        )
        for service in cfg.services
    ]
    return msgspec.structs.replace(cfg, services=tuple(services))


class Demo:
    """Steps of the demo.

    Parameters
    ----------
    deployment : Deployment
        Deployment that was not started yet.
    """

    def __init__(self, deployment: Deployment) -> None:
        self.violations: dict[str, int] = {}
        self.imbalance: float = 1
        self._deployment = deployment
        self._start_s = time.monotonic()
        self._rows: list[tuple[str, ...]] = []
        self._abandoned: dict[str, float] = {}
        self._marks: dict[str, Any] = {}

    def run(self) -> Summary:
        """Run all steps and return the counted outcomes."""
        self._say(f'starting {_INSTANCES} instances')
        self._deployment.start(_INSTANCES)
        self._say('all instances serve the configuration')
        self._start_loads()
        self._begin()
        time.sleep(_STEADY_S)
        self.imbalance = self._end('steady')
        self._drain('desk-2')
        self._replace_instance()
        self._change_zone('b')
        self._finish()
        return self._summarize()

    def print_table(self) -> None:
        """Print what happened in each step."""
        head = ('step', 'seconds', 'answered', 'refused', 'broken', 'imbalance')
        for row in (head, *self._rows):
            cells = [f'{cell:>10}' for cell in row[1:]]
            sys.stdout.write(f'{row[0]:<24}{"".join(cells)}\n')

    def seconds(self) -> float:
        """Return the time since the start of the demo."""
        return round(time.monotonic() - self._start_s, 1)

    def _say(self, text: str) -> None:
        sys.stdout.write(f'[{self.seconds():5.1f} s] {text}\n')
        sys.stdout.flush()

    def _begin(self) -> None:
        self._marks = self._measure()

    def _end(self, step: str) -> float:
        marks = self._marks
        now = self._measure()
        targets = [target.name for target in self._deployment.targets_of(_DESK)]
        ratio = imbalance(marks['targets'], now['targets'], targets)
        counts = [
            str(now[name] - marks[name])
            for name in ('answered', 'refused', 'broken')
        ]
        seconds = f'{now["at_s"] - marks["at_s"]:.1f}'
        self._rows.append((step, seconds, *counts, f'{ratio:.3f}'))
        return ratio

    def _measure(self) -> dict[str, Any]:
        loads = self._deployment.caller_stats().values()
        counts = {
            name: sum(load[name] for load in loads)
            for name in ('answered', 'refused', 'broken')
        }
        targets = self._deployment.target_stats()
        return {'targets': targets, 'at_s': time.monotonic(), **counts}

    def _start_loads(self) -> None:
        for service in self._deployment.cfg.services:
            for listener in service.listeners:
                load = Load(
                    name=listener.name,
                    service=service.name,
                    address=listener.address,
                    port=listener.port,
                    kind=listener.mode,
                    rate=_REQUESTS_PER_S,
                    flows=_LONG_FLOWS,
                    work_ms=_WORK_MS,
                    interval_ms=_CHUNK_INTERVAL_MS,
                )
                self._deployment.start_load(load)
        self._say('callers send requests and open long flows')
        wait_until(
            lambda: self._open_flows() == _LONG_FLOWS,
            f'{_LONG_FLOWS} long flows',
            _FINISH_LIMIT_S,
        )

    def _open_flows(self) -> int:
        loads = self._deployment.caller_stats().values()
        return sum(load['established'] for load in loads)

    def _drain(self, target: str) -> None:
        deployment = self._deployment
        self._begin()
        self._say(f'draining {target}')
        accepted_s = deployment.submit(
            with_target_draining(deployment.cfg, target, flag=True),
        )
        self._wait_for_configuration()
        self._check_silence('drain', [target], 'syns', accepted_s)
        deployment.submit(
            with_target_draining(deployment.cfg, target, flag=False),
        )
        self._wait_for_configuration()
        self._end('drain')

    def _replace_instance(self) -> None:
        deployment = self._deployment
        self._begin()
        self._say('adding an instance')
        deployment.add_instance(zone='a')
        self._end('add instance')
        self._begin()
        leaving = deployment.instances[0]
        self._say(f'stopping instance {leaving.name} (SIGTERM)')
        deployment.stop_instance(leaving)
        stopped_s = wait_until(
            lambda: not leaving.is_running,
            f'exit of {leaving.name}',
            _STOP_LIMIT_S,
        )
        deployment.publish_instances()
        self._say(f'instance {leaving.name} ended after {stopped_s:.1f} s')
        self._end('stop instance')

    def _change_zone(self, zone: str) -> None:
        deployment = self._deployment
        targets = [
            target.name
            for service in deployment.cfg.services
            for target in service.targets
            if target.zone == zone
        ]
        self._begin()
        self._say(f'taking zone {zone} out of service')
        accepted_s = deployment.submit(
            with_zone_in_service(deployment.cfg, zone, flag=False),
        )
        until_unix_s = time.time() + _CHANGE_LIMIT_S
        self._abandoned |= dict.fromkeys(targets, until_unix_s)
        self._wait_for_configuration()
        self._check_silence('zone_out', targets, 'received', accepted_s)
        self._end('zone out of service')
        self._begin()
        self._say(f'returning zone {zone} to service, its targets cold')
        for target in targets:
            deployment.target_command(target, 'cold')
        deployment.submit(
            with_zone_in_service(deployment.cfg, zone, flag=True),
        )
        self._wait_for_configuration()
        time.sleep(_WARMUP_S)
        self._check_use(targets)
        self._end('zone in service')

    def _wait_for_configuration(self) -> None:
        try:
            waited_s = self._deployment.wait_for_generation(
                _CONFIGURATION_LIMIT_S,
            )
        except SiskinproxyError as exc:
            self._violate('config_monotonic', 1, str(exc))
            return
        generation = self._deployment.generation
        self._say(f'generation {generation} in effect after {waited_s:.2f} s')

    def _check_silence(
        self,
        invariant: str,
        targets: list[str],
        counter: str,
        accepted_s: float,
    ) -> None:
        end_s = accepted_s + _CHANGE_LIMIT_S
        time.sleep(max(end_s - time.monotonic(), 0))
        before = self._count(targets, counter)
        time.sleep(_SILENCE_S)
        excess = self._count(targets, counter) - before
        if excess:
            self._violate(invariant, excess, f'targets={targets}')
        else:
            self._say(f'{invariant} holds for {", ".join(targets)}')

    def _check_use(self, targets: list[str]) -> None:
        used = self._count(targets, 'syns')
        desk = [name for name in targets if name.startswith('desk')]
        if not used:
            self._violate('zone_in', len(desk), 'no new flow')

    def _count(self, targets: list[str], counter: str) -> int:
        stats = self._deployment.target_stats()
        return sum(stats[name].get(counter, 0) for name in targets)

    def _violate(self, invariant: str, count: int, detail: str) -> None:
        self.violations[invariant] = count
        self._say(f'VIOLATION of {invariant}: count={count} {detail}')

    def _finish(self) -> None:
        deployment = self._deployment
        self._say('stopping the callers')
        for name in deployment.caller_stats():
            deployment.command('callers', 'stop_load', name=name)
        wait_until(self._is_idle, 'end of all requests', _FINISH_LIMIT_S)

    def _is_idle(self) -> bool:
        loads = self._deployment.caller_stats().values()
        return not any(load['in_progress'] for load in loads)

    def _summarize(self) -> Summary:
        deployment = self._deployment
        outcomes = deployment.command('callers', 'outcomes')
        records = deployment.target_records()
        resets = deployment.command('fabric', 'resets')
        for fault in list_faults(outcomes, records, resets, self._abandoned):
            self._say(f'fault {format_pairs(fault)}')
        summary = summarize(
            outcomes,
            deployment.caller_stats(),
            records,
            deployment.target_stats(),
            self._abandoned,
        )
        self.violations |= summary.violations()
        return summary


def _read_example() -> Configuration:
    printed = subprocess.run(  # noqa: S603
        [sys.executable, str(_EXAMPLE)],
        check=True,
        capture_output=True,
        cwd=_EXAMPLE.parent.parent,
        env={'PYTHONPATH': str(_EXAMPLE.parent.parent)},
    ).stdout
    return msgspec.json.decode(printed, type=Configuration)


def _exit_on_signal(number: int, frame: object) -> None:
    sys.exit(128 + number)


def run(seed: int = 1, directory: str = '') -> None:
    """Run the demo.

    Parameters
    ----------
    seed : int
        Seed of the stand-ins.
    directory : str
        Existing directory in which settings and logs remain; empty if they
        are not needed after the run.
    """
    signal.signal(signal.SIGTERM, _exit_on_signal)
    cfg = shorten_warmup(_read_example(), _WARMUP_S)
    with tempfile.TemporaryDirectory(prefix='siskinproxy-') as temporary:
        deployment = Deployment(cfg, Path(directory or temporary), seed)
        demo = Demo(deployment)
        with closing(deployment):
            summary = demo.run()
    demo.print_table()
    line = {
        **msgspec.to_builtins(summary),
        'imbalance': round(demo.imbalance, 3),
        'seconds': demo.seconds(),
        'violations': demo.violations,
    }
    sys.stdout.write(f'{msgspec.json.encode(line).decode()}\n')
    if demo.violations:
        sys.exit(1)


def main() -> None:
    """Entry point of the demo."""
    fire.Fire(run)


if __name__ == '__main__':
    main()
