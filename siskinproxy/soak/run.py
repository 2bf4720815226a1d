"""Randomized soak: ``python -m siskinproxy.soak.run --seed N --seconds S``.

Real entry processes run under a stand-in of the platform. Faults come from
outside, in series that overlap: signals, the store's answers, and a loopback
proxy between each process and the store. What callers and targets see is
checked against the promises of docs/design.md.
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
from pathlib import Path
from typing import Final

import fire
import gevent
import msgspec

from siskinproxy.entry.records import Address
from siskinproxy.platform.entry_main import SETTINGS_VARIABLE
from siskinproxy.soak.callers import Caller, Outcome, SoakFabric
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
#: Loopback networks 127.N.0.0, so that seeds can run side by side.
_FIRST_NET: Final = 20
_NETS: Final = 200
_PACKET_PORT: Final = 7701
_READY_PORT: Final = 7702
_PEER_PORT: Final = 7703
_METRICS_PORT: Final = 7704
_DEADLINE_S: Final = 4.0
_START_LIMIT_S: Final = 20.0
#: Time after the last fault in which everything has to work again: the
#: platform states 12 to 15 s for all instances at once.
_RECOVERY_S: Final = 12.0
_CALM_REQUESTS: Final = 60

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
    """What a run found.

    Parameters
    ----------
    seed : int
        Seed.
    faults : dict of str to int
        Faults that were injected.
    requests, answered, recovered : int
        Requests sent, those answered, and those answered after the last
        fault out of `_CALM_REQUESTS`.
    violations : tuple of str
        Broken promises; empty if all were kept.
    """

    seed: int
    faults: dict[str, int]
    requests: int
    answered: int
    recovered: int
    violations: tuple[str, ...]


class _Process:
    """One entry process, which the soak started and ends by its id."""

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
                ready=_READY_PORT,
                peer=_PEER_PORT,
                metrics=_METRICS_PORT,
                store_port=store.port,
            )
        )
        self._popen: subprocess.Popen | None = None

    @property
    def addresses(self) -> tuple[Address, Address]:
        """Packet and readiness address."""
        return (
            Address(self.host, _PACKET_PORT),
            Address(self.host, _READY_PORT),
        )

    def start(self) -> None:
        """Start the process, or start it again."""
        environment = os.environ | {SETTINGS_VARIABLE: str(self._path)}
        with self._log.open('ab') as log:
            self._popen = subprocess.Popen(  # noqa: S603
                [sys.executable, '-m', 'siskinproxy.platform.entry_main'],
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Send a signal if the process runs."""
        if self._popen.poll() is None:
            self._popen.send_signal(number)

    def ended_by_itself(self) -> bool:
        """Return whether the process is gone."""
        return self._popen.poll() is not None

    def wait(self) -> None:
        """Return when the process has ended."""
        while self._popen.poll() is None:
            gevent.sleep(0.02)

    def close(self) -> None:
        """End the process."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.wait()


class Soak:
    """One run.

    Parameters
    ----------
    seed : int
        Seed of all choices.
    folder : Path
        Where settings and logs are written.
    """

    def __init__(self, seed: int, folder: Path) -> None:
        self._seed = seed
        self._net = _FIRST_NET + seed % _NETS
        self._rng = random.Random(seed)
        self._store = SoakStore()
        self._folder = folder
        self._version = 0
        self._faults: Counter[str] = Counter()
        self._violations: list[str] = []
        self._counts: Counter[str] = Counter()
        self._busy: set[int] = set()
        self._outcomes: dict[str, Outcome] = {}
        self._targets: list[SoakTarget] = []

    def start(self) -> None:
        """Start the stand-ins and the processes."""
        self._store.start()
        self._proxies = [
            FaultProxy(self._store.address) for _ in range(_INSTANCES)
        ]
        for proxy in self._proxies:
            proxy.start()
        self._targets = [self._start_target(index) for index in range(_TARGETS)]
        self._change_configuration()
        self._processes = [
            _Process(
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
        """End all processes and stand-ins."""
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
        """Inject faults for a time, then check that all is well again."""
        self._wait_until_served()
        loads = [gevent.spawn(self._load, number) for number in range(_CALLERS)]
        end_s = time.monotonic() + seconds
        faults = []
        while time.monotonic() < end_s:
            faults.append(gevent.spawn(self._rng.choice(self._kinds())))
            gevent.sleep(self._rng.uniform(0.2, 1.5))
        gevent.joinall(faults)
        gevent.sleep(_RECOVERY_S)
        gevent.killall(loads)
        recovered = self._ask_in_calm()
        self._check(recovered)
        return SoakReport(
            self._seed,
            dict(self._faults),
            self._counts['requests'],
            self._counts['answered'],
            recovered,
            tuple(self._violations),
        )

    def _kinds(self) -> list[Callable[[], None]]:
        on_processes = [self._kill, self._pause, self._stop, self._reload]
        on_store = [
            self._disturb_store,
            self._disturb_link,
            self._forget_history,
        ]
        return (
            on_processes
            + on_store
            + [
                self._change_configuration,
                self._drain_target,
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

    def _wait_until_served(self) -> None:
        with gevent.Timeout(_START_LIMIT_S):
            while self._request(0, 'start').answer is None:
                gevent.sleep(0.1)

    def _load(self, caller: int) -> None:
        while True:
            service = self._rng.choice(SERVICES)
            self._request(caller, service)
            gevent.sleep(self._rng.uniform(0.005, 0.05))

    def _request(self, caller: int, service: str) -> Outcome:
        service = service if service in SERVICES else SERVICES[0]
        self._counts['requests'] += 1
        text = f'{service}-{self._counts["requests"]}'
        outcome = self._callers[caller].ask(
            text, destination_of(service), _DEADLINE_S
        )
        self._outcomes[text] = outcome
        if outcome.answer is not None:
            self._counts['answered'] += 1
            if outcome.answer != f'{text} by {service}'.encode():
                self._violations.append(f'answer_integrity: {text}')
        return outcome

    def _ask_in_calm(self) -> int:
        answers = [
            self._request(number % _CALLERS, SERVICES[number % len(SERVICES)])
            for number in range(_CALM_REQUESTS)
        ]
        return sum(each.answer is not None for each in answers)

    def _check(self, recovered: int) -> None:
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
        if recovered < _CALM_REQUESTS:
            self._violations.append(f'recovery: {recovered}')
        for process in self._processes:
            if process.ended_by_itself():
                self._violations.append(f'process_ended: {process.host}')

    def _announce(
        self, target: SoakTarget, *, is_draining: bool = False
    ) -> None:
        description = TargetDescription(
            target.target_id, target.service, target.address, is_draining
        )
        self._store.put(*target_item(description))

    def _change_configuration(self) -> None:
        self._faults['configuration'] += 1
        self._version += self._rng.randrange(1, 4)
        self._store.put(*configuration_item(self._version))

    def _free_process(self) -> tuple[int, _Process] | None:
        free = [
            number for number in range(_INSTANCES) if number not in self._busy
        ]
        if not free:
            return None
        number = self._rng.choice(free)
        self._busy.add(number)
        return number, self._processes[number]

    def _kill(self) -> None:
        self._restart('kill', signal.SIGKILL)

    def _stop(self) -> None:
        self._restart('stop', signal.SIGTERM)

    def _restart(self, name: str, number: int) -> None:
        chosen = self._free_process()
        if chosen is None:
            return
        self._faults[name] += 1
        chosen[1].signal(number)
        chosen[1].wait()
        gevent.sleep(self._rng.uniform(0, 0.5))
        chosen[1].start()
        gevent.sleep(1)
        self._busy.discard(chosen[0])

    def _pause(self) -> None:
        chosen = self._free_process()
        if chosen is None:
            return
        self._faults['pause'] += 1
        chosen[1].signal(signal.SIGSTOP)
        gevent.sleep(self._rng.uniform(0.2, 3))
        chosen[1].signal(signal.SIGCONT)
        self._busy.discard(chosen[0])

    def _reload(self) -> None:
        self._faults['reload'] += 1
        self._rng.choice(self._processes).signal(signal.SIGHUP)

    def _disturb_store(self) -> None:
        mode = self._rng.choice(('refuse', 'silent'))
        self._faults[f'store_{mode}'] += 1
        self._store.mode = mode
        gevent.sleep(self._rng.uniform(0.5, 4))
        self._store.mode = 'up'

    def _disturb_link(self) -> None:
        proxy = self._rng.choice(self._proxies)
        mode = self._rng.choice(('slow', 'silent', 'one_way', 'refuse'))
        self._faults[f'link_{mode}'] += 1
        proxy.mode = mode
        if self._rng.random() < 0.5:
            proxy.reset()
        gevent.sleep(self._rng.uniform(0.5, 4))
        proxy.mode = 'pass'

    def _forget_history(self) -> None:
        self._faults['history'] += 1
        self._store.forget_history()

    def _drain_target(self) -> None:
        self._faults['drain'] += 1
        target = self._rng.choice(self._targets)
        self._announce(target, is_draining=True)
        gevent.sleep(self._rng.uniform(0.5, 3))
        self._announce(target)


def _instance_host(net: int, number: int) -> str:
    return f'127.{net}.1.{number + 1}'


def run_seed(seed: int, seconds: float) -> SoakReport:
    """Run one seed in a folder of its own."""
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
    """Run seeds one after the other; exit code 1 if a promise was broken.

    Parameters
    ----------
    seed : int
        First seed.
    seconds : float
        Time in which faults are injected, for each seed.
    count : int
        Number of seeds.
    """
    is_clean = True
    for each in range(seed, seed + count):
        report = run_seed(each, seconds)
        is_clean = is_clean and not report.violations
        sys.stdout.write(f'{msgspec.json.encode(report).decode()}\n')
        sys.stdout.flush()
    sys.exit(0 if is_clean else 1)


def main() -> None:
    """Entry point of ``python -m siskinproxy.soak.run``."""
    fire.Fire(_run)


if __name__ == '__main__':
    main()
