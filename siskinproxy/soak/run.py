"""Randomized soak test: ``python -m siskinproxy.soak.run --seed N --seconds S``.

Real entry processes run against stand-ins for the fabric, the store, the
targets and the callers. Overlapping faults are injected from outside: signals
to processes, failures of the store, and a proxy between each process and the
store. The results that callers and targets see are checked against the
invariants of docs/design.md.
"""

import os
import random
import signal
import subprocess  # noqa: S404
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from contextlib import closing
from pathlib import Path
from typing import Final

import fire
import gevent
import msgspec

from siskinproxy.entry.http_client import HttpClient
from siskinproxy.entry.records import Address
from siskinproxy.entry.status import STATUS_PATH, InstanceStatus
from siskinproxy.platform.entry_main import SETTINGS_VARIABLE
from siskinproxy.soak.callers import Caller, Outcome, SoakFabric
from siskinproxy.soak.odd_entries import ODD_ITEMS
from siskinproxy.soak.proxy import FaultProxy
from siskinproxy.soak.records import (
    SERVICES,
    TargetDescription,
    configuration_item,
    destination_of,
    target_item,
)
from siskinproxy.soak.store import SoakStore
from siskinproxy.soak.target import SoakTarget

__all__ = ('SETTINGS_TEMPLATE', 'Soak', 'SoakReport', 'main')

_INSTANCES: Final = 3
_TARGETS: Final = 6
_CALLERS: Final = 4
#: Each run uses the loopback network 127.N.0.0/16, where N depends on the seed,
#: so that several seeds can run concurrently.
_FIRST_NET: Final = 20
_NET_COUNT: Final = 200
_PACKET_PORT: Final = 7701
_READINESS_PORT: Final = 7702
_PEER_PORT: Final = 7703
_METRICS_PORT: Final = 7704
_REQUEST_DEADLINE_S: Final = 4.0
_STATUS_TIMEOUT_S: Final = 2.0
_START_TIMEOUT_S: Final = 20.0
#: Time after the last fault until all requests must succeed again, in seconds.
#: The platform allows 12 to 15 s after a fault of all instances at once.
_RECOVERY_S: Final = 12.0
#: Oldest copy from which the store is restored, in seconds.
_MAX_COPY_AGE_S: Final = 15.0
#: Time within which operators and targets write again after a restore, about,
#: in seconds.
_REWRITE_S: Final = 2.0
#: Interval at which a starting process is checked for signal handlers.
_SIGNAL_CHECK_S: Final = 0.005
#: Requests that are sent after that time; each must be answered.
_FINAL_REQUESTS: Final = 60

#: Settings file of an entry process, in TOML, for `str.format`.
SETTINGS_TEMPLATE: Final = """
[instance]
name = "i-{number}"
zone = "z{number}"
address = "{host}"
[listeners]
packet = "{host}:{packet}"
ready = "{host}:{ready}"
metrics_port = {metrics}
peer_port = {peer}
[store]
address = "127.0.0.1:{store_port}"
seeds = ["{first}:{peer}"]
[bounds]
heartbeat_ms = 1200
drain_ms = 3000
config_ms = 3000
zone_out_ms = 5000
stop_s = 6
flow_life_s = 60
cold_factor = 1.5
cold_slack = 5
"""


class SoakReport(msgspec.Struct, frozen=True):
    """Result of a run.

    Parameters
    ----------
    seed : int
        Seed.
    faults : dict of str to int
        Number of injected faults by kind.
    requests, answered, recovered : int
        Number of requests sent, of those answered, and of those answered
        after the recovery time, out of `_FINAL_REQUESTS`.
    violations : tuple of str
        Violated invariants, each with its name and the value that violates it.
    """

    seed: int
    faults: dict[str, int]
    requests: int
    answered: int
    recovered: int
    violations: tuple[str, ...]


class _EntryProcess:
    """An entry process; signals go to its process id only."""

    def __init__(
        self, net: int, number: int, folder: Path, store: Address
    ) -> None:
        self.host = _instance_host(net, number)
        self._path = folder / f'i-{number}.toml'
        self._log = folder / f'i-{number}.log'
        self._path.write_text(
            SETTINGS_TEMPLATE.format(
                number=number,
                host=self.host,
                first=_instance_host(net, 0),
                packet=_PACKET_PORT,
                ready=_READINESS_PORT,
                peer=_PEER_PORT,
                metrics=_METRICS_PORT,
                store_port=store.port,
            )
        )
        self._popen: subprocess.Popen | None = None

    @property
    def addresses(self) -> tuple[Address, Address]:
        """Address for packets and address for readiness probes."""
        return (
            Address(self.host, _PACKET_PORT),
            Address(self.host, _READINESS_PORT),
        )

    def start(self) -> None:
        """Start the process, also again after it has exited."""
        environment = os.environ | {SETTINGS_VARIABLE: str(self._path)}
        with self._log.open('ab') as log:
            self._popen = subprocess.Popen(  # noqa: S603
                [sys.executable, '-m', 'siskinproxy.platform.entry_main'],
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Send a signal unless the process has exited."""
        if self._popen.poll() is None:
            self._popen.send_signal(number)

    def handles_reload(self) -> bool:
        """Return whether the process has installed a handler of SIGHUP."""
        status = Path(f'/proc/{self._popen.pid}/status').read_text()
        mask = status.partition('SigCgt:')[2].split(maxsplit=1)[0]
        return bool(int(mask, 16) >> (signal.SIGHUP - 1) & 1)

    def fetch_status(self) -> InstanceStatus:
        """Return the status page of the process."""
        address = Address(self.host, _METRICS_PORT)
        with closing(HttpClient(address, _STATUS_TIMEOUT_S)) as client:
            answer = client.call('GET', STATUS_PATH)
        return msgspec.json.decode(answer.body, type=InstanceStatus)

    def has_exited(self) -> bool:
        """Return whether the process has exited."""
        return self._popen.poll() is not None

    def wait(self) -> None:
        """Wait until the process has exited."""
        while self._popen.poll() is None:
            gevent.sleep(0.02)

    def close(self) -> None:
        """Kill the process, also if it is paused, and wait for it."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.wait()


class Soak:
    """A run of the soak test with one seed.

    Parameters
    ----------
    seed : int
        Seed of all random choices; it also selects the loopback network.
    folder : Path
        Folder for the settings and logs of the processes.
    """

    def __init__(self, seed: int, folder: Path) -> None:
        self._seed = seed
        self._net = _FIRST_NET + seed % _NET_COUNT
        self._rng = random.Random(seed)
        self._store = SoakStore()
        self._folder = folder
        self._version = 0
        self._faults: Counter[str] = Counter()
        self._violations: list[str] = []
        self._counts: Counter[str] = Counter()
        self._disrupted: set[int] = set()
        self._outcomes: dict[str, Outcome] = {}
        self._sequences: Counter[int] = Counter()
        #: What operators and targets have written last, by key.
        self._written: dict[str, bytes] = {}
        self._targets: list[SoakTarget] = []

    def start(self) -> None:
        """Start the stand-ins and the entry processes."""
        self._store.start()
        self._proxies = [
            FaultProxy(self._store.address) for _ in range(_INSTANCES)
        ]
        for proxy in self._proxies:
            proxy.start()
        self._targets = [self._start_target(index) for index in range(_TARGETS)]
        self._change_configuration()
        self._processes = [
            _EntryProcess(
                self._net, index, self._folder, self._proxies[index].address
            )
            for index in range(_INSTANCES)
        ]
        for process in self._processes:
            process.start()
        self._fabric = SoakFabric([each.addresses for each in self._processes])
        self._fabric.start()
        self._callers = [
            Caller(
                f'127.{self._net}.3.{index + 1}',
                _PACKET_PORT,
                self._fabric.deliver,
                random.Random(self._seed + index),
            )
            for index in range(_CALLERS)
        ]

    def close(self) -> None:
        """Kill all processes and stop the stand-ins."""
        for process in self._processes:
            process.close()
        for caller in self._callers:
            caller.close()
        self._fabric.close()
        for target in self._targets:
            target.close()
        for proxy in self._proxies:
            proxy.close()
        self._store.close()

    def run(self, seconds: float) -> SoakReport:
        """Inject faults for a time in seconds, then check the invariants."""
        self._wait_until_ready()
        load_greenlets = [
            gevent.spawn(self._generate_load, number)
            for number in range(_CALLERS)
        ]
        end_s = time.monotonic() + seconds
        faults = []
        while time.monotonic() < end_s:
            faults.append(gevent.spawn(self._rng.choice(self._fault_actions())))
            gevent.sleep(self._rng.uniform(0.2, 1.5))
        gevent.joinall(faults)
        gevent.sleep(_RECOVERY_S)
        gevent.killall(load_greenlets)
        recovered = self._send_final_requests()
        self._check_invariants(recovered)
        return SoakReport(
            self._seed,
            dict(self._faults),
            self._counts['requests'],
            self._counts['answered'],
            recovered,
            tuple(self._violations),
        )

    def _fault_actions(self) -> list[Callable[[], None]]:
        on_processes = [self._kill, self._pause, self._stop, self._reload]
        on_store = [
            self._inject_store_fault,
            self._inject_link_fault,
            self._compact_history,
            self._restore_store,
        ]
        return (
            on_processes
            + on_store
            + [
                self._change_configuration,
                self._drain_target,
                self._put_odd_entry,
            ]
        )

    def _start_target(self, index: int) -> SoakTarget:
        target = SoakTarget(
            0x1000 + index,
            SERVICES[index % len(SERVICES)],
            Address(f'127.{self._net}.2.{index + 1}', 8000),
            _PACKET_PORT,
            random.Random(self._seed + index),
        )
        target.start()
        self._announce(target)
        return target

    def _wait_until_ready(self) -> None:
        with gevent.Timeout(_START_TIMEOUT_S):
            while self._send_request(0, 'start').answer is None:
                gevent.sleep(0.1)

    def _generate_load(self, caller: int) -> None:
        while True:
            service = self._rng.choice(SERVICES)
            self._send_request(caller, service)
            gevent.sleep(self._rng.uniform(0.005, 0.05))

    def _send_request(self, caller: int, service: str) -> Outcome:
        service = service if service in SERVICES else SERVICES[0]
        self._counts['requests'] += 1
        text = f'{service}-{self._counts["requests"]}'
        outcome = self._callers[caller].send_request(
            text, destination_of(service), _REQUEST_DEADLINE_S
        )
        self._outcomes[text] = outcome
        if outcome.answer is not None:
            self._counts['answered'] += 1
            if outcome.answer != f'{text} by {service}'.encode():
                self._violations.append(f'answer_integrity: {text}')
        return outcome

    def _send_final_requests(self) -> int:
        answers = [
            self._send_request(
                number % _CALLERS, SERVICES[number % len(SERVICES)]
            )
            for number in range(_FINAL_REQUESTS)
        ]
        return sum(each.answer is not None for each in answers)

    def _check_invariants(self, recovered: int) -> None:
        """Record violations that are seen after the end of the load.

        A target must not run a request of another service
        (service_isolation), no request may run twice (at_most_once) or run
        although its flow was reset before it was accepted (truthful_refusal).
        All final requests must be answered (recovery), and all entry processes
        must still run (process_ended) with the configuration that was written
        last (config_monotonic).
        """
        runs: Counter[str] = Counter()
        for target in self._targets:
            runs.update(target.runs)
            for text in target.runs:
                if not text.startswith(target.service):
                    self._violations.append(f'service_isolation: {text}')
        for text, count in runs.items():
            if count > 1:
                self._violations.append(f'at_most_once: {text} {count}')
            outcome = self._outcomes.get(text)
            if outcome is None:
                continue
            if outcome.was_reset and not outcome.is_open:
                self._violations.append(f'truthful_refusal: {text}')
        if recovered < _FINAL_REQUESTS:
            self._violations.append(f'recovery: {recovered}')
        for process in self._processes:
            if process.has_exited():
                self._violations.append(f'process_ended: {process.host}')
                continue
            version = process.fetch_status().config_version
            if version != self._version:
                self._violations.append(
                    f'config_monotonic: {process.host} has {version} in force '
                    f'instead of {self._version}'
                )

    def _announce(
        self, target: SoakTarget, *, is_draining: bool = False
    ) -> None:
        self._sequences[target.target_id] += 1
        description = TargetDescription(
            target.target_id,
            target.service,
            target.address,
            is_draining,
            self._sequences[target.target_id],
        )
        self._write(*target_item(description))

    def _change_configuration(self) -> None:
        self._faults['configuration'] += 1
        self._version += self._rng.randrange(1, 4)
        self._write(*configuration_item(self._version))

    def _write(self, key: str, value: bytes) -> None:
        """Write an entry of an operator or target."""
        self._written[key] = value
        self._store.put(key, value)

    def _claim_process(self) -> tuple[int, _EntryProcess] | None:
        free = [
            number
            for number in range(_INSTANCES)
            if number not in self._disrupted
        ]
        if not free:
            return None
        number = self._rng.choice(free)
        self._disrupted.add(number)
        return number, self._processes[number]

    def _kill(self) -> None:
        self._restart('kill', signal.SIGKILL)

    def _stop(self) -> None:
        self._restart('stop', signal.SIGTERM)

    def _restart(self, name: str, number: int) -> None:
        chosen = self._claim_process()
        if chosen is None:
            return
        self._faults[name] += 1
        chosen[1].signal(number)
        chosen[1].wait()
        gevent.sleep(self._rng.uniform(0, 0.5))
        chosen[1].start()
        gevent.sleep(1)
        self._disrupted.discard(chosen[0])

    def _pause(self) -> None:
        chosen = self._claim_process()
        if chosen is None:
            return
        self._faults['pause'] += 1
        chosen[1].signal(signal.SIGSTOP)
        gevent.sleep(self._rng.uniform(0.2, 3))
        chosen[1].signal(signal.SIGCONT)
        self._disrupted.discard(chosen[0])

    def _reload(self) -> None:
        self._faults['reload'] += 1
        process = self._rng.choice(self._processes)
        # While the interpreter loads, the program cannot yet handle signals.
        with gevent.Timeout(_START_TIMEOUT_S):
            while not (process.has_exited() or process.handles_reload()):
                gevent.sleep(_SIGNAL_CHECK_S)
        process.signal(signal.SIGHUP)

    def _inject_store_fault(self) -> None:
        mode = self._rng.choice(('refuse', 'silent'))
        self._faults[f'store_{mode}'] += 1
        self._store.mode = mode
        gevent.sleep(self._rng.uniform(0.5, 4))
        self._store.mode = 'up'

    def _inject_link_fault(self) -> None:
        proxy = self._rng.choice(self._proxies)
        mode = self._rng.choice(('slow', 'silent', 'one_way', 'refuse'))
        self._faults[f'link_{mode}'] += 1
        proxy.mode = mode
        if self._rng.random() < 0.5:
            proxy.reset()
        gevent.sleep(self._rng.uniform(0.5, 4))
        proxy.mode = 'pass'

    def _compact_history(self) -> None:
        self._faults['history'] += 1
        self._store.compact_history()

    def _restore_store(self) -> None:
        """Bring the store back from a copy after a short outage.

        Operators and targets write again what the copy lacks.
        """
        self._faults['restore'] += 1
        self._store.mode = 'refuse'
        gevent.sleep(self._rng.uniform(0.05, 2))
        self._store.restore(self._rng.uniform(0, _MAX_COPY_AGE_S))
        self._store.mode = 'up'
        for key in self._rng.sample(sorted(self._written), len(self._written)):
            if self._rng.random() < 0.5:
                gevent.sleep(self._rng.uniform(0, 2 * _REWRITE_S / _TARGETS))
            stored = self._store.items.get(key)
            if stored is None or stored.value != self._written[key]:
                self._store.put(key, self._written[key])

    def _drain_target(self) -> None:
        self._faults['drain'] += 1
        target = self._rng.choice(self._targets)
        self._announce(target, is_draining=True)
        gevent.sleep(self._rng.uniform(0.5, 3))
        self._announce(target)

    def _put_odd_entry(self) -> None:
        """Write an entry that nobody can use, and remove it after a time."""
        self._faults['odd_entry'] += 1
        key, value = self._rng.choice(ODD_ITEMS)
        self._store.put(key, value)
        gevent.sleep(self._rng.uniform(0.5, 4))
        # A fault of the store, or another odd entry, may have removed it.
        if key in self._store.items:
            self._store.remove(key)


def _instance_host(net: int, number: int) -> str:
    return f'127.{net}.1.{number + 1}'


def run_seed(seed: int, seconds: float) -> SoakReport:
    """Run one seed for a time in seconds, in a temporary folder.

    If the run raises an exception, the end of each log is written to stderr.
    """
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(seed, Path(folder))
        soak.start()
        try:
            return soak.run(seconds)
        except BaseException:
            for log in sorted(Path(folder).glob('*.log')):
                sys.stderr.write(log.read_text()[-3000:])
            raise
        finally:
            soak.close()


def _run(seed: int = 1, seconds: float = 20, count: int = 1) -> None:
    """Run seeds in turn; exit with code 1 if an invariant is violated.

    Parameters
    ----------
    seed : int
        First seed.
    seconds : float
        Time for which faults are injected, in seconds, for each seed.
    count : int
        Number of seeds.
    """
    all_passed = True
    for each in range(seed, seed + count):
        report = run_seed(each, seconds)
        all_passed = all_passed and not report.violations
        sys.stdout.write(f'{msgspec.json.encode(report).decode()}\n')
        sys.stdout.flush()
    sys.exit(0 if all_passed else 1)


def main() -> None:
    """Entry point of ``python -m siskinproxy.soak.run``."""
    fire.Fire(_run)


if __name__ == '__main__':
    main()
