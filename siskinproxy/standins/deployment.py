"""Launcher of a complete deployment on the loopback interface.

Starts instances of the load balancer and their simulated peers (store, fabric,
backend servers and callers) as separate processes, for the demo and for tests
with real processes.
"""

import asyncio
import itertools
import os
import signal
import socket
import time
from collections.abc import Iterable
from contextlib import AsyncExitStack
from functools import partial
from pathlib import Path
from typing import Any, Final

import msgspec
from grpclib.client import Channel

from siskinproxy.errors import StandinCommandError
from siskinproxy.operators.configuration import Configuration, Target
from siskinproxy.standins.caller import Load
from siskinproxy.standins.child import Child, wait_until
from siskinproxy.standins.control_port import send_command
from siskinproxy.standins.ports import PortBlock
from siskinproxy.standins.proto import store_faults_pb2
from siskinproxy.standins.proto.store_faults_grpc import StoreControlStub
from siskinproxy.standins.target_server import TargetSettings
from siskinproxy.store.client import GrpcKeyValueClient
from siskinproxy.store.results import Accepted
from siskinproxy.store.submission import submit

__all__ = ('Deployment', 'Instance')

_LOOPBACK: Final = '127.0.0.1'
_CALLER_ADDRESSES: Final = '127.0.9.1 127.0.9.2 127.0.9.3 127.0.9.4'
#: Access token of the store.
_STORE_TOKEN: Final = 'loopback'
_START_TIMEOUT_S: Final = 20.0
#: Number of running instances that a new instance gets as gossip seeds.
_MAX_SEEDS: Final = 3
#: Number of requests that may wait for a slot of a target.
_TARGET_BACKLOG: Final = 8


class Instance:
    """Packet process and control process of one instance.

    ``state`` is ``live``, or ``leaving`` from the start of a planned stop.
    """

    def __init__(self, name: str, zone: str, address: str) -> None:
        self.name = name
        self.zone = zone
        self.address = address
        self.packet_port = 0
        self.control_port = 0
        self.settings_path = Path()
        self.state = 'live'
        self.packet: Child | None = None
        self.control: Child | None = None

    @property
    def children(self) -> tuple[Child, ...]:
        """Processes that were started."""
        return tuple(
            child for child in (self.packet, self.control) if child is not None
        )

    @property
    def is_running(self) -> bool:
        """Whether at least one of the processes runs."""
        return any(child.exit_code is None for child in self.children)

    @property
    def generation(self) -> int:
        """Latest generation that the packet process applied; 0 if none."""
        events = self.packet.events('snapshot_applied') if self.packet else []
        return int(events[-1]['generation']) if events else 0

    @property
    def members(self) -> int:
        """Number of members in its latest snapshot; 0 before the first."""
        events = self.packet.events('snapshot_applied') if self.packet else []
        return int(events[-1]['members']) if events else 0

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to both processes."""
        for child in self.children:
            child.signal(number)


class Deployment:
    """Processes of one region.

    Parameters
    ----------
    cfg : Configuration
        Initial configuration; its target ports are replaced by free ones.
    directory : Path
        Existing directory for settings and logs.
    seed : int
        Seed of the random number generators of the stand-in processes.
    list_lag_s : float
        Delay until the fabric uses a new instance list, in seconds.

    Attributes
    ----------
    cfg : Configuration
        Configuration that was submitted last.
    generation : int
        Generation of ``cfg``; 0 before the first submission.
    instances : list of Instance
        All instances that were started, also those that ended.
    store : Child or None
        Process of the store.
    """

    def __init__(
        self,
        cfg: Configuration,
        directory: Path,
        seed: int = 1,
        list_lag_s: float = 0.5,
    ) -> None:
        self._ports = PortBlock()
        self.cfg = _with_free_target_ports(cfg, self._ports)
        self.generation = 0
        self.instances: list[Instance] = []
        self.store: Child | None = None
        self._directory = directory
        self._seed = seed
        self._list_lag_s = list_lag_s
        self._serial_numbers = itertools.count(1)
        self._children: list[Child] = []
        self._control_ports: dict[str, int] = {}
        self._fabric_port = self._allocate_udp_port(_LOOPBACK)
        self._store_port = self._allocate_tcp_port()
        self._faults_port = self._allocate_tcp_port()

    def start(self, instances: int) -> None:
        """Start all processes and wait until the configuration is in effect.

        Parameters
        ----------
        instances : int
            Number of instances, distributed over the zones in turn.

        Raises
        ------
        StandinTimeoutError
            If a process does not respond in time, or the instances do not
            apply the configuration in time.
        """
        self._start_standins()
        zones = itertools.cycle(zone.name for zone in self.cfg.zones)
        for _ in range(instances):
            self._start_instance(next(zones))
        for name in self._control_ports:
            wait_until(
                partial(self._is_responding, name), name, _START_TIMEOUT_S
            )
        wait_until(self._is_store_listening, 'store', _START_TIMEOUT_S)
        self.publish_instances()
        self.submit(self.cfg)
        self.wait_for_members()
        self.wait_for_generation(_START_TIMEOUT_S)

    def close(self) -> None:
        """Kill all processes, also after SIGSTOP, and release the ports."""
        groups = [instance.children for instance in self.instances]
        for child in itertools.chain(self._children, *groups):
            child.signal(signal.SIGCONT)
            child.kill()
        self._ports.close()

    def running_instances(self) -> list[Instance]:
        """Return the running instances that are not in a planned stop."""
        return [
            instance
            for instance in self.instances
            if instance.is_running and instance.state == 'live'
        ]

    def add_instance(self, zone: str) -> Instance:
        """Start one more instance and publish it once it is ready."""
        instance = self._start_instance(zone)
        self.wait_for_members()
        self.wait_for_generation(_START_TIMEOUT_S)
        self.publish_instances()
        return instance

    def stop_instance(self, instance: Instance) -> None:
        """Begin the planned stop of an instance; does not wait for its exit."""
        instance.state = 'leaving'
        instance.signal(signal.SIGTERM)
        self.publish_instances()

    def start_control(self, instance: Instance) -> None:
        """Start or restart the control process of an instance."""
        instance.control = Child(
            f'{instance.name}-control',
            'siskinproxy.balancer.control_process',
            [str(instance.settings_path)],
            self._directory,
        )

    def publish_instances(self) -> None:
        """Send the list of running instances to the fabric and the store.

        Instances in a planned stop are listed as leaving until they exit.
        """
        listed = [item for item in self.instances if item.is_running]
        rows = [
            {
                'name': instance.name,
                'zone': instance.zone,
                'address': instance.address,
                'packet_port': instance.packet_port,
                'status': 'alive' if instance.state == 'live' else 'leaving',
            }
            for instance in listed
        ]
        self.command('fabric', 'set_instances', instances=rows)
        asyncio.run(self._put_instances(listed))

    def set_store_outage(self, is_active: bool) -> None:
        """Begin or end an outage of the store."""
        asyncio.run(self._set_store_faults(is_active))

    def submit(self, cfg: Configuration) -> float:
        """Submit a configuration.

        Returns
        -------
        float
            Monotonic time right after the acceptance, in seconds.

        Raises
        ------
        StandinCommandError
            If the configuration was not accepted.
        """
        result = asyncio.run(self._submit(cfg))
        if not isinstance(result, Accepted):
            raise StandinCommandError('submit', repr(result))
        self.cfg = cfg
        self.generation = result.generation
        return time.monotonic()

    def wait_for_generation(self, timeout_s: float) -> float:
        """Wait until all running instances apply the last configuration.

        Returns the time waited, in seconds. Raises `StandinTimeoutError` if
        ``timeout_s`` passes first.
        """
        return wait_until(
            lambda: all(
                instance.generation >= self.generation
                for instance in self.running_instances()
            ),
            f'all instances at generation {self.generation}',
            timeout_s,
        )

    def wait_for_members(self, timeout_s: float = _START_TIMEOUT_S) -> float:
        """Wait until all running instances have each other as members.

        Returns the time waited, in seconds. Raises `StandinTimeoutError` if
        ``timeout_s`` passes first.
        """
        running = self.running_instances()
        return wait_until(
            lambda: all(item.members == len(running) for item in running),
            f'{len(running)} members on all instances',
            timeout_s,
        )

    def command(self, name: str, command: str, /, **arguments: Any) -> Any:
        """Run a command on the control port of a stand-in process."""
        endpoint = (_LOOPBACK, self._control_ports[name])
        return send_command(endpoint, command, **arguments)

    def start_load(self, load: Load) -> None:
        """Let the callers generate a load."""
        self.command('callers', 'start', **msgspec.to_builtins(load))

    def caller_stats(self) -> dict[str, Any]:
        """Return the counters of the callers by name of the load."""
        return self.command('callers', 'stats')

    def target_stats(self) -> dict[str, Any]:
        """Return the counters of all targets by name of the target."""
        return self._query_all_targets('stats')

    def target_records(self) -> dict[str, Any]:
        """Return executions, accepted callers and resets by target."""
        return self._query_all_targets('executions')

    def target_command(
        self, target: str, command: str, **arguments: Any
    ) -> Any:
        """Run a command for one target on the control port of its zone."""
        zone = self.target(target).zone
        return self.command(
            f'targets-{zone}', command, target=target, **arguments
        )

    def target(self, name: str) -> Target:
        """Return the configuration of a target."""
        return next(
            target
            for service in self.cfg.services
            for target in service.targets
            if target.name == name
        )

    def targets_of(self, service: str) -> tuple[Target, ...]:
        """Return the targets of a service."""
        return next(
            item.targets for item in self.cfg.services if item.name == service
        )

    def _query_all_targets(self, command: str) -> dict[str, Any]:
        merged: dict[str, Any] = {}
        for zone in self.cfg.zones:
            merged |= self.command(f'targets-{zone.name}', command)
        return merged

    def _start_standins(self) -> None:
        self.store = self._start_child(
            'store',
            'siskinproxy.standins.store',
            f'--port={self._store_port}',
            f'--faults_port={self._faults_port}',
            f'--token={_STORE_TOKEN}',
        )
        self._start_standin(
            'fabric',
            'fabric',
            f'--port={self._fabric_port}',
            f'--list_lag_s={self._list_lag_s}',
        )
        fabric = f'--fabric={_LOOPBACK}:{self._fabric_port}'
        for zone in self.cfg.zones:
            path = self._write_targets(zone.name)
            name = f'targets-{zone.name}'
            self._start_standin(
                name, 'target', f'--targets_file={path}', fabric
            )
        self._start_standin(
            'callers',
            'caller',
            fabric,
            f'--addresses={_CALLER_ADDRESSES}',
        )

    def _start_standin(self, name: str, module: str, *arguments: str) -> None:
        port = self._allocate_tcp_port()
        self._control_ports[name] = port
        self._start_child(
            name,
            f'siskinproxy.standins.{module}',
            f'--control_port={port}',
            f'--seed={self._seed}',
            *arguments,
        )

    def _start_child(self, name: str, module: str, *arguments: str) -> Child:
        child = Child(name, module, arguments, self._directory)
        self._children.append(child)
        return child

    def _start_instance(self, zone: str) -> Instance:
        number = next(self._serial_numbers)
        instance = Instance(f'i{number}', zone, f'127.2.0.{number}')
        instance.packet_port = self._allocate_udp_port(instance.address)
        instance.control_port = self._allocate_udp_port(instance.address)
        instance.settings_path = self._write_settings(instance)
        instance.packet = Child(
            f'{instance.name}-packet',
            'siskinproxy.balancer.packet_process',
            [str(instance.settings_path)],
            self._directory,
        )
        self.start_control(instance)
        self.instances.append(instance)
        return instance

    def _write_settings(self, instance: Instance) -> Path:
        seeds = [
            f'{other.address}:{other.control_port}'
            for other in self.running_instances()[:_MAX_SEEDS]
        ]
        sections = {
            'instance': {
                'name': instance.name,
                'region': self.cfg.region,
                'zone': instance.zone,
                'address': instance.address,
            },
            'packet': {
                'port': instance.packet_port,
                'link_port': self._allocate_tcp_port(),
                'fabric_address': _LOOPBACK,
                'fabric_port': self._fabric_port,
            },
            'control': {'port': instance.control_port, 'seeds': seeds},
            'store': {
                'address': _LOOPBACK,
                'port': self._store_port,
                'token': _STORE_TOKEN,
            },
        }
        path = self._directory / f'{instance.name}.toml'
        path.write_text(_encode_toml(sections))
        return path

    def _write_targets(self, zone: str) -> Path:
        settings = [
            TargetSettings(
                name=target.name,
                service=service.name,
                address=target.address,
                ports={
                    listener.target_port: listener.mode
                    for listener in service.listeners
                },
                slots=target.slots,
                connections=target.connections,
                backlog=_TARGET_BACKLOG,
                warmup_s=target.warmup_s,
            )
            for service in self.cfg.services
            for target in service.targets
            if target.zone == zone
        ]
        path = self._directory / f'targets-{zone}.json'
        path.write_bytes(msgspec.json.encode(settings))
        return path

    async def _submit(self, cfg: Configuration) -> Any:
        client = GrpcKeyValueClient(_LOOPBACK, self._store_port, _STORE_TOKEN)
        await client.start()
        async with AsyncExitStack() as stack:
            stack.push_async_callback(client.close)
            return await submit(
                client,
                cfg.region,
                cfg,
                self.generation,
                f'launcher-{os.getpid()}-{next(self._serial_numbers)}',
                'launcher',
                int(time.time()),
            )

    async def _put_instances(self, instances: Iterable[Instance]) -> None:
        async with Channel(_LOOPBACK, self._faults_port) as channel:
            stub = StoreControlStub(channel)
            calls = [
                stub.PutInstance(
                    store_faults_pb2.Instance(
                        name=instance.name,
                        zone=instance.zone,
                        address=instance.address,
                        packet_port=instance.packet_port,
                        control_port=instance.control_port,
                        state=instance.state,
                    ),
                )
                for instance in instances
            ]
            gone = {item.name for item in self.instances}
            gone -= {item.name for item in instances}
            calls += [
                stub.RemoveInstance(store_faults_pb2.InstanceName(name=name))
                for name in gone
            ]
            await asyncio.gather(*calls)

    async def _set_store_faults(self, is_active: bool) -> None:
        async with Channel(_LOOPBACK, self._faults_port) as channel:
            await StoreControlStub(channel).SetFaults(
                store_faults_pb2.Faults(outage=is_active),
            )

    def _is_responding(self, name: str) -> bool:
        try:
            self.command(name, 'stats')
        except OSError:
            return False
        return True

    def _is_store_listening(self) -> bool:
        ports = (self._store_port, self._faults_port)
        try:
            for port in ports:
                socket.create_connection((_LOOPBACK, port), 1).close()
        except OSError:
            return False
        return True

    def _allocate_udp_port(self, address: str) -> int:
        return self._ports.allocate(socket.SOCK_DGRAM, (address,))

    def _allocate_tcp_port(self) -> int:
        return self._ports.allocate(socket.SOCK_STREAM, (_LOOPBACK,))


def _encode_toml(sections: dict[str, dict[str, Any]]) -> str:
    # JSON strings, numbers and lists of strings are valid TOML values.
    lines = []
    for name, section in sections.items():
        lines.append(f'[{name}]')
        for key, value in section.items():
            lines.append(f'{key} = {msgspec.json.encode(value).decode()}')
    return '\n'.join(lines)


def _with_free_target_ports(
    cfg: Configuration, ports: PortBlock
) -> Configuration:
    """Replace the target ports, so that deployments can run in parallel."""
    addresses = [
        target.address for service in cfg.services for target in service.targets
    ]
    services = []
    for service in cfg.services:
        listeners = tuple(
            msgspec.structs.replace(
                listener,
                target_port=ports.allocate(socket.SOCK_DGRAM, addresses),
            )
            for listener in service.listeners
        )
        services.append(
            msgspec.structs.replace(service, listeners=listeners),
        )
    return msgspec.structs.replace(cfg, services=tuple(services))
