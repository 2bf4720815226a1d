"""Demo: a complete deployment with processes on the loopback interface.

Runs the configuration of ``examples/vorosmarty.py``. Drains a target, adds and
stops an instance, takes a zone out of service and returns it, while callers
send requests and keep long flows open. Prints a table with the results of each
step; the last line is one JSON object. Exits with 1 if an invariant was
violated, or if requests were refused although the targets could execute them.
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
    excess_refusals,
    imbalance,
    list_faults,
    summarize,
)

__all__ = ('Demo', 'main', 'run', 'with_warmup')

_EXAMPLE_PATH: Final = (
    Path(siskinproxy.__file__).parent.parent / 'examples' / 'vorosmarty.py'
)
#: Number of instances at the start.
_INSTANCE_COUNT: Final = 7
_REQUESTS_PER_S_PER_LISTENER: Final = 125.0
_MS_PER_S: Final = 1000.0
#: Mean execution time of a request.
_WORK_MS: Final = 40.0
#: Number of long flows that stay open.
_LONG_FLOWS: Final = 60
_CHUNK_INTERVAL_MS: Final = 500.0
#: Replaces the default warm-up of 30 s, which is too long for the demo.
_WARMUP_S: Final = 4.0
#: Length of the first step, without any change.
_STEADY_S: Final = 10.0
#: Time from the acceptance of a change after which the invariant ``drain``
#: allows no new flows, and ``zone_out`` no packets, to the targets concerned.
_CHANGE_LIMIT_S: Final = 3.0
#: Time within which a new configuration has to be in effect on all running
#: instances; later is a violation of the invariant ``config_monotonic``.
_CONFIGURATION_LIMIT_S: Final = 9.0
#: Time during which the demo checks that a drained target gets no new flows
#: and that the targets of a zone out of service get no packets.
_SILENCE_CHECK_S: Final = 2.0
#: Maximum time to wait for the exit of an instance in a planned stop.
_STOP_TIMEOUT_S: Final = 20.0
#: Maximum time until all long flows are open, and at the end until all
#: requests and flows have ended.
_FINISH_TIMEOUT_S: Final = 15.0
#: Service of the example whose targets execute requests.
_REQUEST_SERVICE: Final = 'ticket-desk'


def with_warmup(cfg: Configuration, warmup_s: float) -> Configuration:
    """Return a copy of a configuration with this warm-up of all targets."""
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
    """Runs the steps of the demo and collects their results.

    Parameters
    ----------
    deployment : Deployment
        Deployment that is not started yet.

    Attributes
    ----------
    violations : dict of str to int
        Number of violations by name of the violated invariant.
    imbalance : float
        Highest over mean busy time of the targets in the step ``steady``.
    """

    def __init__(self, deployment: Deployment) -> None:
        self.violations: dict[str, int] = {}
        self.imbalance: float = 1
        self._deployment = deployment
        self._start_s = time.monotonic()
        self._rows: list[tuple[str, ...]] = []
        # As the parameter ``abandoned`` of `summarize`.
        self._abandoned: dict[str, float] = {}
        self._start_counters: dict[str, Any] = {}

    def run(self) -> Summary:
        """Run all steps and return the counts of the outcomes."""
        self._print_progress(f'starting {_INSTANCE_COUNT} instances')
        self._deployment.start(_INSTANCE_COUNT)
        self._print_progress('all instances serve the configuration')
        self._begin_step()
        self._start_loads()
        self._end_step('start')
        self._print_load()
        self._begin_step()
        time.sleep(_STEADY_S)
        self.imbalance = self._end_step('steady')
        self._drain('desk-2')
        self._replace_instance()
        self._remove_and_return_zone('b')
        self._finish()
        return self._summarize()

    def print_table(self) -> None:
        """Print the duration and the results of each step."""
        head = ('step', 'seconds', 'answered', 'refused', 'broken', 'imbalance')
        for row in (head, *self._rows):
            cells = [f'{cell:>10}' for cell in row[1:]]
            sys.stdout.write(f'{row[0]:<24}{"".join(cells)}\n')

    def seconds(self) -> float:
        """Return the time since the start of the demo, in seconds."""
        return round(time.monotonic() - self._start_s, 1)

    def _print_progress(self, text: str) -> None:
        sys.stdout.write(f'[{self.seconds():5.1f} s] {text}\n')
        sys.stdout.flush()

    def _begin_step(self) -> None:
        self._start_counters = self._read_counters()

    def _end_step(self, step: str) -> float:
        start_counters = self._start_counters
        end_counters = self._read_counters()
        targets = [
            target.name
            for target in self._deployment.targets_of(_REQUEST_SERVICE)
        ]
        ratio = imbalance(
            start_counters['targets'], end_counters['targets'], targets
        )
        counts = [
            str(end_counters[name] - start_counters[name])
            for name in ('answered', 'refused', 'broken')
        ]
        seconds = f'{end_counters["at_s"] - start_counters["at_s"]:.1f}'
        self._rows.append((step, seconds, *counts, f'{ratio:.3f}'))
        self._check_refusals(
            step,
            end_counters['refused'] - start_counters['refused'],
            end_counters['answered'] - start_counters['answered'],
        )
        return ratio

    def _check_refusals(self, step: str, refused: int, answered: int) -> None:
        excess = excess_refusals(
            refused,
            refused + answered,
            self._offered_per_s(),
            self._capacity_per_s(),
        )
        if excess:
            total = self.violations.get('needless_refusal', 0) + excess
            self._record_violation('needless_refusal', total, f'step={step!r}')

    def _offered_per_s(self) -> float:
        services = self._deployment.cfg.services
        listeners = next(
            item.listeners for item in services if item.name == _REQUEST_SERVICE
        )
        return _REQUESTS_PER_S_PER_LISTENER * len(listeners)

    def _capacity_per_s(self) -> float:
        """Return the rate of requests that the warm targets can execute.

        Targets that drain, whose zone is out of service, or that returned cold
        do not count.
        """
        deployment = self._deployment
        zones_out = {
            zone.name for zone in deployment.cfg.zones if not zone.in_service
        }
        slots = sum(
            target.slots
            for target in deployment.targets_of(_REQUEST_SERVICE)
            if not target.draining
            and target.zone not in zones_out
            and target.name not in self._abandoned
        )
        return slots * _MS_PER_S / _WORK_MS

    def _print_load(self) -> None:
        self._print_progress(
            f'callers offer {self._offered_per_s():.0f} requests/s;'
            f' the targets can execute {self._capacity_per_s():.0f}/s'
        )

    def _read_counters(self) -> dict[str, Any]:
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
                    rate=_REQUESTS_PER_S_PER_LISTENER,
                    flows=_LONG_FLOWS,
                    work_ms=_WORK_MS,
                    interval_ms=_CHUNK_INTERVAL_MS,
                )
                self._deployment.start_load(load)
        self._print_progress('callers send requests and open long flows')
        wait_until(
            lambda: self._open_flows() == _LONG_FLOWS,
            f'{_LONG_FLOWS} established long flows',
            _FINISH_TIMEOUT_S,
        )

    def _open_flows(self) -> int:
        loads = self._deployment.caller_stats().values()
        return sum(load['established'] for load in loads)

    def _drain(self, target: str) -> None:
        deployment = self._deployment
        self._begin_step()
        self._print_progress(f'draining {target}')
        accepted_s = deployment.submit(
            with_target_draining(deployment.cfg, target, flag=True),
        )
        self._wait_for_configuration()
        self._check_silence('drain', [target], 'syns', accepted_s)
        deployment.submit(
            with_target_draining(deployment.cfg, target, flag=False),
        )
        self._wait_for_configuration()
        self._end_step('drain')

    def _replace_instance(self) -> None:
        deployment = self._deployment
        self._begin_step()
        self._print_progress('adding an instance')
        deployment.add_instance(zone='a')
        self._end_step('add instance')
        self._begin_step()
        stopping = deployment.instances[0]
        self._print_progress(f'stopping instance {stopping.name} (SIGTERM)')
        deployment.stop_instance(stopping)
        stopped_s = wait_until(
            lambda: not stopping.is_running,
            f'exit of instance {stopping.name}',
            _STOP_TIMEOUT_S,
        )
        deployment.publish_instances()
        self._print_progress(
            f'instance {stopping.name} exited after {stopped_s:.1f} s'
        )
        self._end_step('stop instance')

    def _remove_and_return_zone(self, zone: str) -> None:
        deployment = self._deployment
        targets = [
            target.name
            for service in deployment.cfg.services
            for target in service.targets
            if target.zone == zone
        ]
        self._begin_step()
        self._print_progress(f'taking zone {zone} out of service')
        accepted_s = deployment.submit(
            with_zone_in_service(deployment.cfg, zone, flag=False),
        )
        until_unix_s = time.time() + _CHANGE_LIMIT_S
        self._abandoned |= dict.fromkeys(targets, until_unix_s)
        self._wait_for_configuration()
        self._check_silence('zone_out', targets, 'received', accepted_s)
        self._end_step('zone out of service')
        self._begin_step()
        self._print_progress(
            f'returning zone {zone} to service, with cold targets'
        )
        for target in targets:
            deployment.target_command(target, 'cold')
        deployment.submit(
            with_zone_in_service(deployment.cfg, zone, flag=True),
        )
        self._wait_for_configuration()
        time.sleep(_WARMUP_S)
        self._check_new_flows(targets)
        self._end_step('zone in service')

    def _wait_for_configuration(self) -> None:
        try:
            waited_s = self._deployment.wait_for_generation(
                _CONFIGURATION_LIMIT_S,
            )
        except SiskinproxyError as exc:
            self._record_violation('config_monotonic', 1, str(exc))
            return
        generation = self._deployment.generation
        self._print_progress(
            f'generation {generation} in effect after {waited_s:.2f} s'
        )

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
        time.sleep(_SILENCE_CHECK_S)
        excess = self._count(targets, counter) - before
        if excess:
            self._record_violation(invariant, excess, f'targets={targets}')
        else:
            self._print_progress(f'{invariant} holds for {", ".join(targets)}')

    def _check_new_flows(self, targets: list[str]) -> None:
        new_flows = self._count(targets, 'syns')
        desk = [name for name in targets if name.startswith('desk')]
        if not new_flows:
            self._record_violation(
                'zone_in',
                len(desk),
                'targets of the returned zone got no new flow',
            )

    def _count(self, targets: list[str], counter: str) -> int:
        stats = self._deployment.target_stats()
        return sum(stats[name].get(counter, 0) for name in targets)

    def _record_violation(
        self, invariant: str, count: int, detail: str
    ) -> None:
        self.violations[invariant] = count
        self._print_progress(
            f'VIOLATION of {invariant}: count={count} {detail}'
        )

    def _finish(self) -> None:
        deployment = self._deployment
        self._begin_step()
        self._print_progress('stopping the callers')
        for name in deployment.caller_stats():
            deployment.command('callers', 'stop_load', name=name)
        wait_until(
            self._callers_are_idle, 'end of all requests', _FINISH_TIMEOUT_S
        )
        self._end_step('finish')

    def _callers_are_idle(self) -> bool:
        loads = self._deployment.caller_stats().values()
        return not any(load['in_progress'] for load in loads)

    def _summarize(self) -> Summary:
        deployment = self._deployment
        outcomes = deployment.command('callers', 'outcomes')
        records = deployment.target_records()
        resets = deployment.command('fabric', 'resets')
        for fault in list_faults(outcomes, records, resets, self._abandoned):
            self._print_progress(f'fault {format_pairs(fault)}')
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
        [sys.executable, str(_EXAMPLE_PATH)],
        check=True,
        capture_output=True,
        cwd=_EXAMPLE_PATH.parent.parent,
        env={'PYTHONPATH': str(_EXAMPLE_PATH.parent.parent)},
    ).stdout
    return msgspec.json.decode(printed, type=Configuration)


def _exit_on_signal(number: int, frame: object) -> None:
    sys.exit(128 + number)


def run(seed: int = 1, directory: str = '') -> None:
    """Run the demo.

    Parameters
    ----------
    seed : int
        Seed of the random number generators of the stand-in processes.
    directory : str
        Existing directory for settings and logs, which remain there; empty
        for a temporary directory that is removed after the run.
    """
    signal.signal(signal.SIGTERM, _exit_on_signal)
    cfg = with_warmup(_read_example(), _WARMUP_S)
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
    """Entry point of ``python -m siskinproxy.standins.demo``."""
    fire.Fire(run)


if __name__ == '__main__':
    main()
